//! Decides between a retry and a rejection after an attempt failed or no
//! target could be chosen.

use std::rc::Rc;

use cowsliproad_admission::{
    patience,
    quarantine::{Admission, PartList, WorkDigest},
};
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::timer::sleep;
use http::Response;
use slog::info;

use super::{
    AttemptCost, AttemptError, Call, ExecutionStatus, GROUP_IS_BROKEN,
};
use crate::{
    entry::{ChosenTarget, Entry},
    outcome::Outcome,
    reply::{self, Body},
};

/// The retry delay for callers when all targets are full.
pub const TARGETS_FULL_BACKOFF: Millis = Millis(250);

/// The shortest retry delay for callers rejected while targets are busy: a
/// free permit would expire during the round trip to the caller.
const MIN_RETRY_AFTER: Millis = Millis(50);

/// The longest retry delay for callers rejected while targets are busy, so
/// that they find targets that have joined since.
const MAX_RETRY_AFTER: Millis = Millis(600_000);

/// Attempts that a request may make beyond the number of targets that its
/// route lets it try. They are allowed because targets may state that they
/// didn't run the request: such attempts don't count as possible runs.
pub(super) const MAX_EXTRA_ATTEMPTS: usize = 4;

/// Attempts of one request, including failed connects. A failed connect ends
/// at once or after 250 ms.
const MAX_ATTEMPTS: usize = 12;

/// Why a request is rejected without a target's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectionReason {
    /// No further attempt is allowed.
    NoTarget(&'static str),
    /// The request waited so long that no first event can reach its caller in
    /// time. The caller may retry after this delay.
    TooLate(Millis),
    /// The targets have stated limits or cooldowns that leave no capacity for
    /// this long.
    Busy(Millis),
    /// There is no memory for the answer of a target.
    NoMemory,
    /// A crash-inducing request: targets crashed each time they ran it. The
    /// caller may retry after this delay.
    Poison(Millis),
    /// One rank of a group crashed while it ran the request. For this long,
    /// the request is not sent to another rank.
    Suspended(Millis),
}

/// The delay of a retry after a connection broke. Connections to other targets
/// that crashed at the same moment break meanwhile, so that the retry avoids
/// those targets.
const CONNECTION_LOSS_RETRY_DELAY: Millis = Millis(8);

/// The delay before a request is retried at a target that has refused the
/// request.
const REFUSAL_BACKOFF: Millis = Millis(60);

impl Call {
    /// Records the error of an attempt. Returns the rejection if no retry is
    /// allowed, or `None` after the delay that precedes a retry.
    pub async fn note_attempt_error(
        &mut self,
        entry: &Rc<Entry>,
        choice: &ChosenTarget,
        error: AttemptError,
    ) -> Option<Response<Body>> {
        entry.metrics.record_attempt_outcome(&choice.target, error.label());
        let cause = match error {
            AttemptError::Refused(cause) => cause,
            AttemptError::Unsent(cause) => {
                self.attempted_targets.retain(|it| *it != choice.target.id);
                // Sending a request that never arrived is no retry.
                if self.time_left().0 > 0 && self.attempt_count < MAX_ATTEMPTS
                {
                    info!(entry.log, "unsent"; "request" => &*self.request_id,
                        "target" => &*choice.target.id, "why" => cause);
                    return None;
                }
                cause
            }
            AttemptError::Withheld(cause) => {
                self.attempted_targets.retain(|it| *it != choice.target.id);
                if self.time_left().0 > 0 && self.attempt_count < MAX_ATTEMPTS
                {
                    info!(entry.log, "withheld"; "request" => &*self.request_id,
                        "target" => &*choice.target.id, "why" => cause);
                    return None;
                }
                cause
            }
            AttemptError::MayHaveRun(cause)
            | AttemptError::ConnectionBroken(cause) => {
                self.note_possible_run();
                // If the attempt was a trial, a retry would be another one.
                self.admission = Admission::Regular;
                cause
            }
            AttemptError::EndlessFailure => {
                self.note_possible_run();
                self.admission = Admission::Regular;
                "a failure without end"
            }
            AttemptError::AnswerDropped => {
                self.note_possible_run();
                // Another answer would find no memory either.
                return Some(self.reject_request(
                    entry,
                    RejectionReason::NoMemory,
                    self.failed_attempt_outcome(&error),
                ));
            }
        };
        if !self.may_retry(entry, choice, cause) {
            let outcome = self.failed_attempt_outcome(&error);
            return Some(self.reject_request(
                entry,
                RejectionReason::NoTarget(cause),
                outcome,
            ));
        }
        if matches!(error, AttemptError::ConnectionBroken(_)) {
            sleep(CONNECTION_LOSS_RETRY_DELAY.duration()).await;
        }
        let targets_used_up =
            self.attempted_targets.len() >= self.route.max_attempts as usize;
        let now = Millis::now();
        let is_cooling = entry.cooldown_end(&choice.target, now).is_some();
        if targets_used_up
            && !is_cooling
            && matches!(error, AttemptError::Refused(_))
        {
            sleep(REFUSAL_BACKOFF.duration()).await;
        }
        None
    }

    /// Whether a retry is allowed. The retry budget is spent later, once a
    /// target has been chosen.
    pub fn may_retry(
        &mut self,
        entry: &Entry,
        choice: &ChosenTarget,
        cause: &'static str,
    ) -> bool {
        let is_safe = self.execution == ExecutionStatus::NotRun
            || self.route.allows_resend();
        let attempts = self.route.max_attempts as usize;
        let within_bounds = self.possible_runs < attempts
            && self.attempt_count < attempts + MAX_EXTRA_ATTEMPTS;
        let allowed = is_safe && within_bounds && self.time_left().0 > 0;
        self.next_attempt_cost = AttemptCost::OneRetry;
        info!(entry.log, "missed"; "request" => &*self.request_id,
            "target" => &*choice.target.id, "why" => cause,
            "repeats" => self.route.allows_resend(), "tries" => self.attempt_count,
            "runs" => self.possible_runs, "again" => allowed,
            "left" => self.time_left().0);
        allowed
    }

    /// Logs the rejection of a request and builds the response, which counts
    /// as `outcome`. The response states "not run", with a retry delay, only if
    /// no target can have run the request.
    pub fn reject_request(
        &self,
        entry: &Entry,
        reason: RejectionReason,
        outcome: Outcome,
    ) -> Response<Body> {
        let left = self.time_left();
        let (text, after) = match reason {
            RejectionReason::NoTarget(_) => {
                ("not run: no target\n", self.caller_retry_delay(entry))
            }
            RejectionReason::TooLate(after) => {
                ("not run: too late for a first event\n", after)
            }
            RejectionReason::Busy(after) => {
                entry.metrics.record_permit_outcome("refused");
                let after = after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                let after =
                    patience::add_retry_jitter(after, entry.random_fraction());
                ("not run: targets take no more\n", after)
            }
            RejectionReason::NoMemory => {
                ("no memory for the answer\n", self.caller_retry_delay(entry))
            }
            RejectionReason::Poison(after) => {
                entry.metrics.record_quarantine_event("request");
                ("targets ended each time they ran this\n", after)
            }
            RejectionReason::Suspended(after) => {
                entry.metrics.record_quarantine_event("suspended request");
                ("a target ended while it ran this\n", after)
            }
        };
        info!(entry.log, "rejected"; "request" => &*self.request_id,
            "reason" => ?reason, "outcome" => outcome.label(),
            "certainty" => ?self.execution,
            "tries" => self.attempt_count, "caller_try" => ?self.caller_try,
            "waited" => Millis::now().since(self.arrived).0,
            "after" => after.0, "left" => left.0, "work" => %self.fingerprint.request,
            "parts" => %PartList(self.suspicious_parts(reason)));
        let response = match (self.execution, reason) {
            (ExecutionStatus::NotRun, _) => {
                reply::not_run_response(text, after)
            }
            (ExecutionStatus::Unknown, RejectionReason::Poison(_)) => {
                reply::outcome_unknown_response(text)
            }
            (ExecutionStatus::Unknown, _) if left.0 == 0 => {
                reply::deadline_exceeded_response()
            }
            (ExecutionStatus::Unknown, _) => {
                reply::outcome_unknown_response("no whole answer\n")
            }
        };
        outcome.attach_to(response)
    }

    /// The outcome of a request whose last attempt ended with an error.
    fn failed_attempt_outcome(&self, error: &AttemptError) -> Outcome {
        match error {
            _ if self.time_left().0 == 0 => Outcome::Deadline,
            AttemptError::Refused(GROUP_IS_BROKEN) => Outcome::GroupDown,
            AttemptError::Refused(_) => Outcome::QueueFull,
            AttemptError::Unsent(_) | AttemptError::Withheld(_) => {
                Outcome::Unsent
            }
            AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionBroken(_)
            | AttemptError::EndlessFailure => Outcome::AttemptFailed,
            AttemptError::AnswerDropped => Outcome::NoMemory,
        }
    }

    /// The prompt parts to log with a rejection: those of a request that is
    /// refused for its content or for a part.
    fn suspicious_parts(&self, reason: RejectionReason) -> &[WorkDigest] {
        match reason {
            RejectionReason::Poison(_) => &self.fingerprint.prompt_parts,
            _ => &[],
        }
    }

    /// The retry delay stated to the caller. For streams it is as long as
    /// callers honour, because the group may have formed again by then.
    fn caller_retry_delay(&self, entry: &Entry) -> Millis {
        // Callers wait for at most a third of their remaining time.
        let max_delay = Millis(self.time_left().0 / 3);
        if self.route.has_stream_responses() {
            return max_delay;
        }
        let delay = patience::add_retry_jitter(
            TARGETS_FULL_BACKOFF,
            entry.random_fraction(),
        );
        max_delay.min(delay)
    }
}
