//! One attempt at a target, from its start to its end.

use std::{cell::Cell, rc::Rc};

use cowsliproad_admission::quarantine::WorkDigest;
use cowsliproad_kernel::{Name, clock::Millis};

use crate::{
    call::{AttemptError, Call},
    ends::{self, Suspicion},
    entry::{Choice, Entry},
};

/// One attempt at a target. However it ends, by its caller too, it is
/// asked whether the target ended under it, unless it is known not to have.
#[derive(Debug)]
pub struct Attempt {
    entry: Rc<Entry>,
    choice: Choice,
    call: (Name, WorkDigest),
    began: Millis,
    /// When the request ends, also at the target.
    until: Millis,
    /// When it was written to a connection.
    sent: Cell<Option<Millis>>,
    /// Whether an event of its answer came.
    has_progress: Cell<bool>,
    /// Whether it is known, or asked, what became of the target.
    settled: Cell<bool>,
}

impl Attempt {
    /// Counts a request in.
    pub fn new(entry: &Rc<Entry>, call: &Call, choice: &Choice) -> Attempt {
        choice.endpoint.borrow_mut().request_stats.record_send();
        Attempt {
            entry: entry.clone(),
            choice: choice.clone(),
            call: (call.id.clone(), call.work),
            began: Millis::now(),
            until: call.until,
            sent: Cell::new(None),
            has_progress: Cell::new(false),
            settled: Cell::new(false),
        }
    }

    /// Whether it may be written now. What its target asks for may have
    /// changed since it was chosen.
    pub fn may_send(&self, now: Millis) -> Result<(), &'static str> {
        if !self.entry.is_ready_target(&self.choice.target) {
            return Err("its target left");
        }
        if self.entry.cooldown_end(&self.choice.target, now).is_some() {
            return Err("its target asked to be left alone");
        }
        if !self.choice.may_send(now) {
            return Err("its target named a limit");
        }
        Ok(())
    }

    /// Notes that it is written to a connection. As long as none is made, what
    /// becomes of the target says nothing of the request.
    pub fn sent(&self) {
        self.sent.set(Some(Millis::now()));
    }

    /// Notes that nothing was written after all.
    pub fn unsent(&self) {
        self.sent.set(None);
    }

    /// When it was written to a connection.
    pub fn sent_at(&self) -> Option<Millis> {
        self.sent.get()
    }

    /// Notes that the target answers: it lived when the request was sent. The
    /// answer may have been on its way for long.
    pub fn answered(&self) {
        let Some(sent) = self.sent.get() else { return };
        let target = &self.choice.target;
        let mut endpoint = self.choice.endpoint.borrow_mut();
        endpoint.last_seen_alive = endpoint.last_seen_alive.max(Some(sent));
        drop(endpoint);
        self.entry.record_zone_contact(&target.zone, sent);
        self.entry.check_answer_after_crash(target, sent, Millis::now());
    }

    /// Notes an event of its answer.
    pub fn progress(&self) {
        self.has_progress.set(true);
    }

    /// Notes a good answer.
    pub fn success(&self) {
        let now = Millis::now();
        let took = now.since(self.began);
        self.choice
            .endpoint
            .borrow_mut()
            .request_stats
            .record_success(took, now);
        self.outlived();
        self.entry.record_survival(self.call.1, now);
    }

    /// Notes an answer that tells of a failure.
    pub fn failed(&self) {
        self.choice
            .endpoint
            .borrow_mut()
            .request_stats
            .record_failure(Millis::now());
        self.outlived();
    }

    /// Notes that the target outlived it.
    pub fn outlived(&self) {
        self.settled.set(true);
    }

    /// Notes that there was no answer.
    pub fn on_attempt_failed(&self, error: &AttemptError) {
        self.choice.on_attempt_failed(&self.entry, error);
        self.left(error);
    }

    /// Asks what became of the target, if it may have begun it.
    pub fn left(&self, error: &AttemptError) {
        match error {
            AttemptError::Refused(_)
            | AttemptError::Unsent(_)
            | AttemptError::Withheld(_) => {
                self.outlived();
            }
            AttemptError::Broken(_) => {
                self.suspect(Suspicion::for_broken_connection)
            }
            AttemptError::Unknown(_) => self.give_up(),
        }
    }

    fn give_up(&self) {
        let until = self.until;
        self.suspect(|request, work| {
            Suspicion::abandoned(request, work, until)
        });
    }

    fn suspect(&self, new: impl FnOnce(Name, WorkDigest) -> Suspicion) {
        if !self.settled.replace(true) && self.sent.get().is_some() {
            let (request, work) = self.call.clone();
            let suspect = new(request, work);
            let suspect = suspect.with_answer_begun(self.has_progress.get());
            ends::add_suspicion(&self.entry, &self.choice, suspect);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.choice.endpoint.borrow_mut().request_stats.record_completion();
        self.give_up();
    }
}
