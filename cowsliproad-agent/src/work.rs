//! One accepted request and its answer as it arrives.
//!
//! The whole answer is kept in memory, so any number of listeners can read it
//! at their own speed and from any offset, also after it is finished.

use std::{
    pin::pin,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use cowsliproad_admission::quarantine;
use cowsliproad_kernel::{
    Name,
    clock::Millis,
    id,
    sync::lock,
    wire::{
        AnswerContent, AnswerFormat, RequestFailure, RequestPersistence,
        StoredAnswer, SubmitMode, SubmitRequest,
    },
};
use tokio::sync::Notify;

/// The largest answer accepted from a target.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Whether a request may run more than once at targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RerunPolicy {
    /// The request came without a ticket and may be repeated.
    Allowed,
    /// The request came with a ticket and must not be repeated.
    Never,
}

/// One accepted request, its answer so far and its listeners.
#[derive(Debug)]
pub struct RequestWork {
    /// The request's id.
    pub request_id: id::Request,
    /// The organisation that submitted the request.
    pub organisation: Name,
    /// The name of the request type.
    pub request_type: Name,
    /// The request body as the caller sent it.
    pub request_body: Bytes,
    /// The request's deadline on this process's clock.
    pub deadline: Millis,
    /// Whether the request may run more than once.
    pub rerun_policy: RerunPolicy,
    /// The request's priority at a model engine; lower values run first.
    pub engine_priority: i64,
    /// The idempotency key that the caller sent with the request.
    pub idempotency_key: Option<Name>,
    persistence: RequestPersistence,
    progress: Mutex<AnswerProgress>,
    progress_changed: Notify,
    is_cancelled: AtomicBool,
    cancellation: Notify,
    listener_count: AtomicUsize,
}

#[derive(Debug)]
struct AnswerProgress {
    answer_bytes: Vec<u8>,
    ending: Option<AnswerEnding>,
}

/// How a request ended: with a whole answer or a failure.
#[derive(Clone, Debug)]
pub enum AnswerEnding {
    /// The answer is complete.
    Whole {
        /// The format of the answer.
        format: AnswerFormat,
        /// The length of the answer in bytes.
        length: u64,
        /// The BLAKE3 digest of the answer.
        digest: [u8; 32],
    },
    /// The request failed.
    Failed(RequestFailure),
}

/// The next part of an answer that a listener reads.
#[derive(Debug)]
pub enum AnswerPiece {
    /// The next bytes of the answer.
    Bytes(Vec<u8>),
    /// All answer bytes are read; the request has ended.
    End(AnswerEnding),
    /// No further answer bytes have arrived yet.
    Pending,
}

impl RequestWork {
    /// The digest of the organisation, request type and body. Equal
    /// submissions have the same digest, whatever their request ids.
    pub fn submission_digest(&self) -> quarantine::WorkDigest {
        quarantine::WorkDigest::digest_submission(
            &self.organisation,
            &self.request_type,
            &self.request_body,
        )
    }

    /// Creates a request that has not started.
    pub fn new(submit: &SubmitRequest, now: Millis) -> RequestWork {
        RequestWork {
            request_id: submit.request,
            organisation: submit.organisation.clone(),
            request_type: submit.request_type.clone(),
            request_body: Bytes::from(submit.body.clone()),
            deadline: now + submit.time_left,
            rerun_policy: match submit.ticket {
                Some(_) => RerunPolicy::Never,
                None => RerunPolicy::Allowed,
            },
            engine_priority: submit.urgency as i64,
            idempotency_key: submit.idempotency_key.clone(),
            persistence: submit.persistence,
            progress: Mutex::new(AnswerProgress {
                answer_bytes: Vec::new(),
                ending: None,
            }),
            progress_changed: Notify::new(),
            is_cancelled: AtomicBool::new(false),
            cancellation: Notify::new(),
            listener_count: AtomicUsize::new(0),
        }
    }

    /// Creates a finished request from an answer that a peer agent hands over.
    pub fn from_stored_answer(answer: StoredAnswer) -> RequestWork {
        let submit = SubmitRequest {
            attempt: id::Attempt(0),
            request: answer.request,
            organisation: answer.organisation,
            request_type: "".into(),
            urgency: cowsliproad_kernel::wire::Urgency::Normal,
            time_left: Millis(0),
            ticket: None,
            idempotency_key: None,
            persistence: RequestPersistence::Keep,
            queue_weight: 1,
            body: Vec::new(),
            mode: SubmitMode::ReportOnly,
        };
        let work = RequestWork::new(&submit, Millis(0));
        match answer.result {
            Ok(content) => {
                work.append_answer_bytes(&content.answer_bytes);
                work.record_result(Ok(content.format));
            }
            Err(failure) => work.record_result(Err(failure)),
        }
        work
    }

    /// The finished answer in the form of a handover, or `None` while the
    /// request is unfinished.
    pub fn to_stored_answer(&self) -> Option<StoredAnswer> {
        let progress = self.lock_progress();
        let result = match progress.ending.as_ref()? {
            AnswerEnding::Whole { format, .. } => Ok(AnswerContent {
                format: *format,
                answer_bytes: progress.answer_bytes.clone(),
            }),
            AnswerEnding::Failed(failure) => Err(*failure),
        };
        Some(StoredAnswer {
            request: self.request_id,
            organisation: self.organisation.clone(),
            result,
        })
    }

    /// Appends bytes to the answer and wakes its listeners.
    pub fn append_answer_bytes(&self, bytes: &[u8]) {
        self.lock_progress().answer_bytes.extend_from_slice(bytes);
        self.progress_changed.notify_waiters();
    }

    /// The number of answer bytes received so far.
    pub fn answer_length(&self) -> usize {
        self.lock_progress().answer_bytes.len()
    }

    /// Records the request's result and wakes the listeners. A second result
    /// is ignored.
    pub fn record_result(&self, result: Result<AnswerFormat, RequestFailure>) {
        let mut progress = self.lock_progress();
        if progress.ending.is_some() {
            return;
        }
        progress.ending = Some(match result {
            Ok(format) => AnswerEnding::Whole {
                format,
                length: progress.answer_bytes.len() as u64,
                digest: *blake3::hash(&progress.answer_bytes).as_bytes(),
            },
            Err(failure) => AnswerEnding::Failed(failure),
        });
        drop(progress);
        self.progress_changed.notify_waiters();
    }

    /// How the request ended, or `None` while it is unfinished.
    pub fn answer_ending(&self) -> Option<AnswerEnding> {
        self.lock_progress().ending.clone()
    }

    /// Reads up to `max_bytes` of the answer from a byte offset.
    pub fn read_answer(&self, offset: u64, max_bytes: usize) -> AnswerPiece {
        let progress = self.lock_progress();
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = progress.answer_bytes.get(start..).unwrap_or_default();
        if !rest.is_empty() {
            return AnswerPiece::Bytes(
                rest[..rest.len().min(max_bytes)].to_vec(),
            );
        }
        match &progress.ending {
            Some(ending) => AnswerPiece::End(ending.clone()),
            None => AnswerPiece::Pending,
        }
    }

    /// Waits until the answer has bytes at the byte offset `offset` or the
    /// request has ended. Reads up to `max_bytes` of the answer from there.
    pub async fn next_answer_piece(
        &self,
        offset: u64,
        max_bytes: usize,
    ) -> AnswerPiece {
        loop {
            let mut changed = pin!(self.progress_changed.notified());
            // Registered as a waiter before the read, so that no new answer
            // bytes are missed.
            changed.as_mut().enable();
            match self.read_answer(offset, max_bytes) {
                AnswerPiece::Pending => changed.await,
                piece => return piece,
            }
        }
    }

    /// Signals the running call to the target to stop.
    pub fn request_cancellation(&self) {
        self.is_cancelled.store(true, Ordering::Release);
        self.cancellation.notify_waiters();
    }

    /// Waits until the request is cancelled.
    pub async fn wait_until_cancelled(&self) {
        loop {
            let mut cancel = pin!(self.cancellation.notified());
            cancel.as_mut().enable();
            if self.is_cancelled.load(Ordering::Acquire) {
                return;
            }
            cancel.await;
        }
    }

    /// Adds a listener to the answer.
    pub fn add_listener(&self) {
        self.listener_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a listener. Returns whether the answer is still wanted.
    pub fn decrement_listener_count(&self) -> AnswerInterest {
        let before = self.listener_count.fetch_sub(1, Ordering::Relaxed);
        if before > 1 {
            AnswerInterest::Wanted
        } else {
            self.answer_interest()
        }
    }

    /// Whether the answer has a listener or must be kept.
    pub fn answer_interest(&self) -> AnswerInterest {
        let listened = self.listener_count.load(Ordering::Relaxed) > 0;
        let kept = self.persistence == RequestPersistence::Keep
            || self.rerun_policy == RerunPolicy::Never;
        if listened || kept {
            AnswerInterest::Wanted
        } else {
            AnswerInterest::Unwanted
        }
    }

    fn lock_progress(&self) -> MutexGuard<'_, AnswerProgress> {
        lock(&self.progress)
    }
}

/// Whether the answer to a request is still wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerInterest {
    /// The answer has a listener, or must be kept.
    Wanted,
    /// The answer has no listener and need not be kept.
    Unwanted,
}
