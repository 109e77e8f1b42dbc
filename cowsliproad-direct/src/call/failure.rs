//! What follows when a try fails, or can't be made; see the parent module.

use std::rc::Rc;

use cowsliproad_admission::patience;
use cowsliproad_kernel::clock::Millis;
use http::Response;
use slog::info;
use tokio::time::sleep;

use super::{AttemptError, Call, Certainty, RetryCost};
use crate::{
    entry::{Choice, Entry},
    reply::{self, Body},
};

/// When to come back if all targets are full.
pub const FULL_BACKOFF: Millis = Millis(250);

/// Callers that are told of a free place come back after this at the least:
/// their way there and back takes longer than the place stays free.
const MIN_RETURN: Millis = Millis(50);

/// They look for new targets after this at the latest.
const MAX_RETURN: Millis = Millis(600_000);

/// Tries beyond the targets that a route allows, at targets that were asked
/// before and said that they did not run the request.
const SPARE_TRIES: usize = 4;

/// Tries of one request of any kind. Those that can't connect end at once or
/// after a quarter of a second each.
const MAX_TRIES: usize = 12;

/// Why a request gets no answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No attempt may follow.
    NoTarget(&'static str),
    /// It waited so long that no first event can reach its caller in time.
    TooLate(Millis),
    /// Its targets take no more, by their own word, before so long.
    Busy(Millis),
    /// Targets crashed each time they ran it.
    Poison(Millis),
    /// A rank of a group crashed as it ran it, and it is not sent to another
    /// one before so long.
    Suspended(Millis),
}

/// The pause after a connection broke under a request. It gives connections to
/// other targets that ended at the same moment time to break, so that the
/// retry doesn't pick one of them.
const BREAK_DELAY: Millis = Millis(8);

/// The pause before a target that refused is asked again.
const RETRY_BACKOFF: Millis = Millis(60);

impl Call {
    /// Takes an error in. Returns the final answer if nothing may follow.
    pub async fn on_attempt_failed(
        &mut self,
        entry: &Rc<Entry>,
        choice: &Choice,
        error: AttemptError,
    ) -> Option<Response<Body>> {
        let why = match error {
            AttemptError::Refused(why) => {
                entry.metrics.record_attempt("refused");
                why
            }
            AttemptError::Unsent(why) => {
                entry.metrics.record_attempt("unsent");
                self.sent.retain(|it| *it != choice.target.id);
                // What never arrived is no repeat.
                if self.left().0 > 0 && self.tries < MAX_TRIES {
                    info!(entry.log, "unsent"; "request" => &*self.id,
                        "target" => &*choice.target.id, "why" => why);
                    return None;
                }
                why
            }
            AttemptError::Withheld(why) => {
                entry.metrics.record_attempt("withheld");
                self.sent.retain(|it| *it != choice.target.id);
                if self.left().0 > 0 && self.tries < MAX_TRIES {
                    info!(entry.log, "withheld"; "request" => &*self.id,
                        "target" => &*choice.target.id, "why" => why);
                    return None;
                }
                why
            }
            AttemptError::Unknown(why) | AttemptError::Broken(why) => {
                entry.metrics.record_attempt("unknown");
                self.ran();
                why
            }
        };
        if !self.may_try_again(entry, choice, why) {
            return Some(self.reject_with(entry, Reason::NoTarget(why)));
        }
        if matches!(error, AttemptError::Broken(_)) {
            sleep(BREAK_DELAY.duration()).await;
        }
        let again = self.sent.len() >= self.route.max_attempts as usize;
        let now = Millis::now();
        let cools = entry.cooldown_end(&choice.target, now).is_some();
        if again && !cools && matches!(error, AttemptError::Refused(_)) {
            sleep(RETRY_BACKOFF.duration()).await;
        }
        None
    }

    /// Whether another try is allowed. It draws on the budget once there is a
    /// target for it.
    pub fn may_try_again(
        &mut self,
        entry: &Entry,
        choice: &Choice,
        why: &'static str,
    ) -> bool {
        let safe =
            self.certainty == Certainty::NotRun || self.route.allows_resend();
        let attempts = self.route.max_attempts as usize;
        let room = self.runs < attempts && self.tries < attempts + SPARE_TRIES;
        let allowed = safe && room && self.left().0 > 0;
        self.next = RetryCost::Budget;
        info!(entry.log, "missed"; "request" => &*self.id,
            "target" => &*choice.target.id, "why" => why,
            "repeats" => self.route.allows_resend(), "tries" => self.tries,
            "runs" => self.runs, "again" => allowed,
            "left" => self.left().0);
        allowed
    }

    /// The final answer of a request that gets none of a target. That it has
    /// not run, and when its caller may come back, is said where that is so.
    pub fn reject_with(
        &self,
        entry: &Entry,
        reason: Reason,
    ) -> Response<Body> {
        let left = self.left();
        let (text, after) = match reason {
            Reason::NoTarget(_) => {
                ("not run: no target\n", self.come_back(entry))
            }
            Reason::TooLate(after) => {
                ("not run: too late for a first event\n", after)
            }
            Reason::Busy(after) => {
                entry.metrics.record_permit_request("refused");
                let after = after.clamp(MIN_RETURN, MAX_RETURN);
                let after =
                    patience::jittered_retry(after, entry.random_fraction());
                ("not run: targets take no more\n", after)
            }
            Reason::Poison(after) => {
                entry.metrics.record_quarantine("request");
                ("targets ended each time they ran this\n", after)
            }
            Reason::Suspended(after) => {
                entry.metrics.record_quarantine("suspended request");
                ("a target ended while it ran this\n", after)
            }
        };
        info!(entry.log, "rejected"; "request" => &*self.id,
            "reason" => ?reason, "certainty" => ?self.certainty,
            "tries" => self.tries, "caller_try" => ?self.caller_try,
            "waited" => Millis::now().since(self.arrived).0,
            "after" => after.0, "left" => left.0, "work" => %self.work);
        match (self.certainty, reason) {
            (Certainty::NotRun, _) => reply::not_run(text, after),
            (Certainty::Unknown, Reason::Poison(_)) => reply::unknown(text),
            (Certainty::Unknown, _) if left.0 == 0 => reply::overdue(),
            (Certainty::Unknown, _) => reply::unknown("no whole answer\n"),
        }
    }

    /// When the caller should come back. Those of streams wait as long as they
    /// do: their group may have formed again by then.
    fn come_back(&self, entry: &Entry) -> Millis {
        // Callers wait for a third of what they have left at most.
        let longest = Millis(self.left().0 / 3);
        if self.route.is_stream() {
            return longest;
        }
        let after =
            patience::jittered_retry(FULL_BACKOFF, entry.random_fraction());
        longest.min(after)
    }
}
