//! Moves of a request away from a target that is silent or slow.
//!
//! Such a target may still answer, so a request leaves only if it can go on
//! elsewhere: the request may run again, a retry is left in the budget, and a
//! target that has not got the request is usable now. A stream that has begun
//! keeps its target until another target has sent an event.

use cowsliproad_admission::quarantine::Admission;
use cowsliproad_kernel::clock::Millis;
use slog::info;

use super::{AttemptCost, AttemptError, Call, failure::MAX_EXTRA_ATTEMPTS};
use crate::entry::{ChosenTarget, Entry};

impl Call {
    /// Whether the request can leave the target of the attempt in progress and
    /// go on at another target.
    pub fn can_move(&self, entry: &Entry) -> bool {
        let now = Millis::now();
        let max_runs = self.route.max_attempts as usize;
        self.route.allows_resend()
            && self.possible_runs + 1 < max_runs
            && self.attempt_count < max_runs + MAX_EXTRA_ATTEMPTS
            && now < self.deadline
            && self.may_attempt_new_target()
            && entry.has_retry_left(&self.service, now)
            && self.has_unattempted_target(entry, now)
    }

    /// Begins to look for another target while `held` still answers.
    pub fn start_move(
        &mut self,
        entry: &Entry,
        held: &ChosenTarget,
        why: &'static str,
    ) {
        self.held_target = Some(held.target.id.clone());
        self.restart_target_wait();
        self.next_attempt_cost = AttemptCost::OneRetry;
        // If the attempt was a trial, the move would be another one.
        self.admission = Admission::Regular;
        // The held target counts as a possible run during the move, so that
        // all attempts together stay within the bound of the route.
        self.note_possible_run();
        info!(entry.log, "stream_moves"; "request" => &*self.request_id,
            "from" => &*held.target.id, "why" => why,
            "tries" => self.attempt_count, "left" => self.time_left().0);
    }

    /// Records that an attempt to go on elsewhere begins.
    pub fn note_move_attempt(&mut self) {
        self.note_possible_run();
    }

    /// Records the error of an attempt to go on elsewhere.
    pub fn note_move_error(
        &mut self,
        entry: &Entry,
        choice: &ChosenTarget,
        error: &AttemptError,
    ) {
        choice.record_failed_attempt(entry, error);
        entry.metrics.record_attempt_outcome(&choice.target, error.label());
        match error {
            AttemptError::Refused(_) => self.possible_runs -= 1,
            AttemptError::Unsent(_) | AttemptError::Withheld(_) => {
                self.possible_runs -= 1;
                self.attempted_targets.retain(|it| *it != choice.target.id);
            }
            AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionBroken(_)
            | AttemptError::EndlessFailure
            | AttemptError::AnswerDropped => {}
        }
        info!(entry.log, "move_failed"; "request" => &*self.request_id,
            "target" => &*choice.target.id, "why" => ?error);
    }

    /// Ends a move that failed: the held target goes on with the request.
    pub fn abandon_move(&mut self, entry: &Entry) {
        self.held_target = None;
        self.possible_runs -= 1;
        info!(entry.log, "stream_stays"; "request" => &*self.request_id,
            "tries" => self.attempt_count, "runs" => self.possible_runs,
            "left" => self.time_left().0);
    }

    /// Ends a move that succeeded: the held target is left.
    pub fn complete_move(&mut self, entry: &Entry, held: &ChosenTarget) {
        entry.metrics.record_attempt_outcome(&held.target, "left");
        self.held_target = None;
        // The attempt in progress counts once it has failed.
        self.possible_runs -= 1;
    }
}
