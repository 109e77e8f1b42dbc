//! What follows when a try fails, or can't be made; see the parent module.

use std::rc::Rc;

use cowsliproad_admission::patience;
use cowsliproad_kernel::clock::Millis;
use http::Response;
use slog::info;
use tokio::time::sleep;

use super::{AttemptError, Call, Certainty, Draws};
use crate::{
    entry::{Choice, Entry},
    reply::{self, Body},
};

/// When to come back if all targets are full.
pub const FULL_TIME: Millis = Millis(250);

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

/// What a caller hears whose work ends its targets.
const DEADLY: &str = "targets ended each time they ran this\n";

/// The pause after a connection broke under a request. Where many targets end
/// at the same moment, connections to the others are seen to break by then:
/// the way there and back takes 3 ms. Without it a second try went to a target
/// that was gone too, and none was left: 70 requests on four days of crashes,
/// each of which broke within 7 ms.
const BREAK_TIME: Millis = Millis(8);

/// The pause before a target that refused is asked again.
const AGAIN_TIME: Millis = Millis(60);

impl Call {
    /// Takes a error in. Returns the final answer if nothing may follow.
    pub async fn on_attempt_failed(
        &mut self,
        entry: &Rc<Entry>,
        choice: &Choice,
        error: AttemptError,
    ) -> Option<Response<Body>> {
        let why = match error {
            AttemptError::Refused(why) => {
                entry.measure.tried("refused");
                why
            }
            AttemptError::Unsent(why) => {
                entry.measure.tried("unsent");
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
                entry.measure.tried("withheld");
                self.sent.retain(|it| *it != choice.target.id);
                if self.left().0 > 0 && self.tries < MAX_TRIES {
                    info!(entry.log, "withheld"; "request" => &*self.id,
                        "target" => &*choice.target.id, "why" => why);
                    return None;
                }
                why
            }
            AttemptError::Unknown(why) | AttemptError::Broken(why) => {
                entry.measure.tried("unknown");
                self.ran();
                why
            }
        };
        if !self.may_try_again(entry, choice, why) {
            return Some(self.give_up(entry, why));
        }
        if matches!(error, AttemptError::Broken(_)) {
            sleep(BREAK_TIME.duration()).await;
        }
        let again = self.sent.len() >= self.route.attempts as usize;
        let now = Millis::now();
        let cools = entry.cooldown_end(&choice.target, now).is_some();
        if again && !cools && matches!(error, AttemptError::Refused(_)) {
            sleep(AGAIN_TIME.duration()).await;
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
        let safe = self.certainty == Certainty::NotRun || self.route.repeats();
        let attempts = self.route.attempts as usize;
        let room = self.runs < attempts && self.tries < attempts + SPARE_TRIES;
        let allowed = safe && room && self.left().0 > 0;
        self.next = Draws::Budget;
        info!(entry.log, "missed"; "request" => &*self.id,
            "target" => &*choice.target.id, "why" => why,
            "repeats" => self.route.repeats(), "tries" => self.tries,
            "runs" => self.runs, "again" => allowed,
            "left" => self.left().0);
        allowed
    }

    /// The final answer of a request that no target answers.
    pub fn give_up(&self, entry: &Entry, why: &'static str) -> Response<Body> {
        let left = self.left();
        info!(entry.log, "given_up"; "request" => &*self.id, "why" => why,
            "certainty" => ?self.certainty, "tries" => self.tries,
            "left" => left.0);
        match self.certainty {
            Certainty::NotRun => {
                reply::not_run("not run: no target\n", self.come_back())
            }
            Certainty::Unknown if left.0 == 0 => reply::overdue(),
            Certainty::Unknown => reply::unknown("no whole answer\n"),
        }
    }

    /// When the caller should come back.
    fn come_back(&self) -> Millis {
        let longest = self.longest_return();
        if self.route.streams() { longest } else { longest.min(FULL_TIME) }
    }

    /// Callers wait for a third of what they have left at most.
    fn longest_return(&self) -> Millis {
        Millis(self.left().0 / 3)
    }

    /// The answer to a caller that is best off coming back.
    pub(super) fn put_off(
        &self,
        entry: &Entry,
        after: Millis,
    ) -> Response<Body> {
        info!(entry.log, "put_off"; "request" => &*self.id,
            "waited" => Millis::now().since(self.arrived).0,
            "visit" => ?self.visit, "after" => after.0,
            "left" => self.left().0);
        reply::not_run("not run: too late for a first event\n", after)
    }

    /// The answer to a caller whose targets take no more for now.
    pub(super) fn turn_away(
        &self,
        entry: &Entry,
        after: Millis,
    ) -> Response<Body> {
        let after = after.clamp(MIN_RETURN, MAX_RETURN);
        let after = patience::spread_return(after, entry.draw());
        info!(entry.log, "turned_away"; "request" => &*self.id,
            "certainty" => ?self.certainty, "after" => after.0,
            "left" => self.left().0);
        entry.measure.limited("refused");
        match self.certainty {
            Certainty::NotRun => {
                reply::not_run("not run: targets take no more\n", after)
            }
            Certainty::Unknown => reply::unknown("no whole answer\n"),
        }
    }

    /// The answer to a caller whose work ends its targets. That it ran is said
    /// where it may have; otherwise it never does.
    pub(super) fn refuse(
        &self,
        entry: &Entry,
        after: Millis,
    ) -> Response<Body> {
        info!(entry.log, "refused"; "request" => &*self.id,
            "work" => %self.work, "certainty" => ?self.certainty,
            "after" => after.0);
        entry.measure.quarantined("request");
        match self.certainty {
            Certainty::NotRun => reply::not_run(DEADLY, after),
            Certainty::Unknown => reply::unknown(DEADLY),
        }
    }
}
