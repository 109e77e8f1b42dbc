//! One request and its growing answer.
//!
//! The answer is kept whole in memory from its first byte, so any number of
//! listeners can read it at their own pace and from any offset, also after
//! it is finished.

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

/// The largest answer that is kept, in bytes.
pub const MAX_ANSWER: usize = 8 << 20;

/// Whether the work may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It came without a ticket.
    Allowed,
    /// It came with a ticket.
    Never,
}

/// One request.
#[derive(Debug)]
pub struct Work {
    /// The request.
    pub request: id::Request,
    /// Who asked.
    pub organisation: Name,
    /// The request type.
    pub request_type: Name,
    /// The caller's body.
    pub body: Bytes,
    /// When the answer has lost its use, by this process's clock.
    pub deadline: Millis,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// The priority at the engine, lowest first.
    pub priority: i64,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    persistence: RequestPersistence,
    progress: Mutex<Progress>,
    changed: Notify,
    cancelled: AtomicBool,
    cancel: Notify,
    listeners: AtomicUsize,
}

#[derive(Debug)]
struct Progress {
    bytes: Vec<u8>,
    ending: Option<Ending>,
}

/// How work ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// With a whole answer.
    Whole {
        /// How to read it.
        format: AnswerFormat,
        /// Its length in bytes.
        length: u64,
        /// Its digest.
        digest: [u8; 32],
    },
    /// Without one.
    Failed(RequestFailure),
}

/// What a listener gets next.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of the answer.
    Bytes(Vec<u8>),
    /// The end.
    End(Ending),
    /// Nothing yet.
    Nothing,
}

impl Work {
    /// What it is, whatever request it is of.
    pub fn kind(&self) -> quarantine::WorkDigest {
        quarantine::WorkDigest::digest_submission(
            &self.organisation,
            &self.request_type,
            &self.body,
        )
    }

    /// Work that has not started.
    pub fn new(submit: &SubmitRequest, now: Millis) -> Work {
        Work {
            request: submit.request,
            organisation: submit.organisation.clone(),
            request_type: submit.request_type.clone(),
            body: Bytes::from(submit.body.clone()),
            deadline: now + submit.time_left,
            repeat: match submit.ticket {
                Some(_) => Repeat::Never,
                None => Repeat::Allowed,
            },
            priority: submit.urgency as i64,
            key: submit.idempotency_key.clone(),
            persistence: submit.persistence,
            progress: Mutex::new(Progress { bytes: Vec::new(), ending: None }),
            changed: Notify::new(),
            cancelled: AtomicBool::new(false),
            cancel: Notify::new(),
            listeners: AtomicUsize::new(0),
        }
    }

    /// Finished work that a peer hands over.
    pub fn finished(answer: StoredAnswer) -> Work {
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
        let work = Work::new(&submit, Millis(0));
        match answer.result {
            Ok(content) => {
                work.append(&content.bytes);
                work.finish(Ok(content.format));
            }
            Err(failure) => work.finish(Err(failure)),
        }
        work
    }

    /// The finished answer as a peer takes it.
    pub fn to_answer(&self) -> Option<StoredAnswer> {
        let progress = self.lock();
        let result = match progress.ending.as_ref()? {
            Ending::Whole { format, .. } => Ok(AnswerContent {
                format: *format,
                bytes: progress.bytes.clone(),
            }),
            Ending::Failed(failure) => Err(*failure),
        };
        Some(StoredAnswer {
            request: self.request,
            organisation: self.organisation.clone(),
            result,
        })
    }

    /// Adds bytes to the answer.
    pub fn append(&self, bytes: &[u8]) {
        self.lock().bytes.extend_from_slice(bytes);
        self.changed.notify_waiters();
    }

    /// The number of answer bytes so far.
    pub fn length(&self) -> usize {
        self.lock().bytes.len()
    }

    /// Ends the work. Only the first ending counts.
    pub fn finish(&self, result: Result<AnswerFormat, RequestFailure>) {
        let mut progress = self.lock();
        if progress.ending.is_some() {
            return;
        }
        progress.ending = Some(match result {
            Ok(format) => Ending::Whole {
                format,
                length: progress.bytes.len() as u64,
                digest: *blake3::hash(&progress.bytes).as_bytes(),
            },
            Err(failure) => Ending::Failed(failure),
        });
        drop(progress);
        self.changed.notify_waiters();
    }

    /// How it ended, if it did.
    pub fn ending(&self) -> Option<Ending> {
        self.lock().ending.clone()
    }

    /// What stands at an offset, at most `most` bytes of it.
    pub fn read(&self, offset: u64, most: usize) -> Piece {
        let progress = self.lock();
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = progress.bytes.get(start..).unwrap_or_default();
        if !rest.is_empty() {
            return Piece::Bytes(rest[..rest.len().min(most)].to_vec());
        }
        match &progress.ending {
            Some(ending) => Piece::End(ending.clone()),
            None => Piece::Nothing,
        }
    }

    /// Waits for a piece at an offset, at most `most` bytes of it.
    pub async fn next(&self, offset: u64, most: usize) -> Piece {
        loop {
            let mut changed = pin!(self.changed.notified());
            // Enabled before the look, so that no change goes unnoticed.
            changed.as_mut().enable();
            match self.read(offset, most) {
                Piece::Nothing => changed.await,
                piece => return piece,
            }
        }
    }

    /// Asks the call to the target to stop.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        self.cancel.notify_waiters();
    }

    /// Waits until the work is cancelled.
    pub async fn cancelled(&self) {
        loop {
            let mut cancel = pin!(self.cancel.notified());
            cancel.as_mut().enable();
            if self.cancelled.load(Ordering::Acquire) {
                return;
            }
            cancel.await;
        }
    }

    /// Notes a listener.
    pub fn attach(&self) {
        self.listeners.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a listener left; tells whether the work is now unwanted.
    pub fn detach(&self) -> Wanted {
        let before = self.listeners.fetch_sub(1, Ordering::Relaxed);
        if before > 1 { Wanted::Yes } else { self.wanted() }
    }

    /// Whether anybody wants the answer.
    pub fn wanted(&self) -> Wanted {
        let listened = self.listeners.load(Ordering::Relaxed) > 0;
        let kept = self.persistence == RequestPersistence::Keep
            || self.repeat == Repeat::Never;
        if listened || kept { Wanted::Yes } else { Wanted::No }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        lock(&self.progress)
    }
}

/// Whether work is still wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wanted {
    /// Somebody listens, or the answer is to be kept.
    Yes,
    /// Nobody would miss it.
    No,
}
