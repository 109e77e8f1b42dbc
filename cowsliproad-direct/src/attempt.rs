//! One attempt at a target, from its start to its end.

use std::{cell::Cell, rc::Rc};

use cowsliproad_admission::quarantine::{Admission, Fingerprint};
use cowsliproad_kernel::{Name, clock::Millis};

use crate::{
    call::{AttemptError, Call},
    ends::{self, CrashSuspicion},
    entry::{ChosenTarget, Entry},
};

/// One attempt to run a request at a target. However the attempt ends, also if
/// the caller disconnects, the entry process checks whether the target crashed
/// meanwhile, unless the target is known to have survived.
#[derive(Debug)]
pub struct Attempt {
    entry: Rc<Entry>,
    choice: ChosenTarget,
    request_id: Name,
    fingerprint: Fingerprint,
    started_at: Millis,
    service: Name,
    /// When the attempt spent a retry from the service's retry budget, if it
    /// did.
    retry_spent_at: Cell<Option<Millis>>,
    /// When the request expires, here and at the target.
    deadline: Millis,
    /// When the request was written to a connection.
    sent_at: Cell<Option<Millis>>,
    /// Whether an event of the response arrived.
    event_received: Cell<bool>,
    admission: Admission,
    /// Whether the target is known to have survived the attempt, or the check
    /// for a crash has begun.
    target_check_settled: Cell<bool>,
}

impl Attempt {
    /// Starts an attempt, which counts as in flight at its target until
    /// dropped.
    pub fn new(
        entry: &Rc<Entry>,
        call: &Call,
        choice: &ChosenTarget,
    ) -> Attempt {
        choice.endpoint.borrow_mut().request_stats.record_sent_request();
        Attempt {
            entry: entry.clone(),
            choice: choice.clone(),
            request_id: call.request_id.clone(),
            fingerprint: call.fingerprint.clone(),
            started_at: Millis::now(),
            service: call.service.clone(),
            retry_spent_at: Cell::new(call.retry_spent_at()),
            deadline: call.deadline,
            sent_at: Cell::new(None),
            event_received: Cell::new(false),
            admission: call.admission,
            target_check_settled: Cell::new(false),
        }
    }

    /// Whether the request may be sent now, or why not. The target may have
    /// left, entered a cooldown or changed its limit since it was chosen, and
    /// the request may have been refused.
    pub fn may_send_request(&self, now: Millis) -> Result<(), &'static str> {
        if !self.entry.is_ready_target(&self.choice.target) {
            return Err("its target left");
        }
        if self.entry.cooldown_end(&self.choice.target, now).is_some() {
            return Err("its target is in a cooldown");
        }
        if !self.choice.may_send_request(now) {
            return Err("its target stated a limit");
        }
        let quarantine = self.entry.request_quarantine.borrow();
        if quarantine.refuses_request(&self.fingerprint, self.admission, now) {
            return Err("it was refused");
        }
        Ok(())
    }

    /// Records that the request is being written to a connection. Until then,
    /// a crash of the target can't be due to the request.
    pub fn note_request_sent(&self) {
        let now = Millis::now();
        if let Some(spent_at) = self.retry_spent_at.get() {
            let mut budget = self.entry.retry_budget.borrow_mut();
            budget.postpone_retry(&self.service, spent_at, now);
            self.retry_spent_at.set(Some(now));
        }
        self.sent_at.set(Some(now));
    }

    /// Records that no byte of the request was written after all.
    pub fn note_request_unsent(&self) {
        self.sent_at.set(None);
    }

    /// When the request was written to a connection.
    pub fn sent_at(&self) -> Option<Millis> {
        self.sent_at.get()
    }

    /// Records that the target responded, which shows that it was alive when
    /// the request was sent. The response may have been delayed since.
    pub fn note_response(&self) {
        let Some(sent_at) = self.sent_at.get() else { return };
        let target = &self.choice.target;
        let mut endpoint = self.choice.endpoint.borrow_mut();
        endpoint.last_seen_alive = endpoint.last_seen_alive.max(Some(sent_at));
        drop(endpoint);
        self.entry.record_zone_contact(&target.zone, sent_at);
        self.entry.retract_crash_on_answer(target, sent_at, Millis::now());
    }

    /// Records that an event of the response arrived.
    pub fn note_event_received(&self) {
        if !self.event_received.replace(true) {
            self.entry.record_answered_parts(
                &self.fingerprint.prompt_parts,
                Millis::now(),
            );
        }
    }

    /// Records a successful response.
    pub fn note_successful_response(&self) {
        let now = Millis::now();
        let took = now.since(self.started_at);
        self.choice
            .endpoint
            .borrow_mut()
            .request_stats
            .record_success(took, now);
        self.note_target_survived();
        self.entry.record_survived_work(self.fingerprint.request, now);
        // A stream's parts were recorded with its first event.
        if !self.event_received.get() {
            self.entry
                .record_answered_parts(&self.fingerprint.prompt_parts, now);
        }
    }

    /// Records a response with a failure status.
    pub fn note_failure_response(&self) {
        self.choice
            .endpoint
            .borrow_mut()
            .request_stats
            .record_failure(Millis::now());
        self.note_target_survived();
    }

    /// Records that the target did not crash during the attempt.
    pub fn note_target_survived(&self) {
        self.target_check_settled.set(true);
    }

    /// Records that the attempt ended without a response to pass on to the
    /// caller.
    pub fn note_error(&self, error: &AttemptError) {
        self.choice.record_failed_attempt(&self.entry, error);
        self.check_target_after_error(error);
    }

    /// Checks whether the target crashed, if it may have begun the request.
    pub fn check_target_after_error(&self, error: &AttemptError) {
        match error {
            AttemptError::Refused(_)
            | AttemptError::Unsent(_)
            | AttemptError::Withheld(_)
            | AttemptError::EndlessFailure
            | AttemptError::AnswerDropped => {
                self.note_target_survived();
            }
            AttemptError::ConnectionBroken(_) => self.record_crash_suspicion(
                CrashSuspicion::new_for_broken_connection,
            ),
            AttemptError::MayHaveRun(_) => {
                self.suspect_crash_of_abandoned_attempt()
            }
        }
    }

    fn suspect_crash_of_abandoned_attempt(&self) {
        let deadline = self.deadline;
        self.record_crash_suspicion(|request_id, fingerprint| {
            CrashSuspicion::new_for_abandoned_request(
                request_id,
                fingerprint,
                deadline,
            )
        });
    }

    fn record_crash_suspicion(
        &self,
        new_suspicion: impl FnOnce(Name, Fingerprint) -> CrashSuspicion,
    ) {
        if !self.target_check_settled.replace(true)
            && self.sent_at.get().is_some()
        {
            let suspicion = new_suspicion(
                self.request_id.clone(),
                self.fingerprint.clone(),
            );
            let suspicion =
                suspicion.with_answer_begun(self.event_received.get());
            ends::add_crash_suspicion(&self.entry, &self.choice, suspicion);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.choice
            .endpoint
            .borrow_mut()
            .request_stats
            .record_completed_request();
        self.suspect_crash_of_abandoned_attempt();
    }
}
