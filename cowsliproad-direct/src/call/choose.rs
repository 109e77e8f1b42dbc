//! Which target a request goes to next, and the wait for one; see the parent
//! module.

use std::rc::Rc;

use cowsliproad_admission::{
    patience::{CallerAttempt, PendingStream, StreamAdmission},
    quarantine::QuarantineVerdict,
};
use cowsliproad_kernel::clock::Millis;
use cowsliproad_routing::fleet::Target;
use http::Response;
use slog::info;
use tokio::time::sleep;

use super::{Call, Certainty, LAST_RANK, RetryCost, failure::Reason};
use crate::{
    entry::{
        Choice, Entry,
        choose::{Asks, Shortage},
    },
    limits,
    reply::Body,
};

/// Permits that a request asks for in vain before it goes where no limit is,
/// or is refused.
const MAX_DENIED: usize = 3;

/// What is left of a caller's patience for the answer's way, also from a VM
/// that has used up its share of the processor for the moment.
const ANSWER_LATENCY: Millis = Millis(100);

/// Requests that wait for the end of one cooldown are sent within this time,
/// not all at once.
pub const MAX_STAGGER: Millis = Millis(200);

/// Within this time after a cooldown, requests that can go elsewhere find out
/// whether the target takes more.
pub const PROBE_PERIOD: Millis = Millis(1_000);

impl Call {
    /// Chooses the next target, and waits for one if there is none.
    pub async fn next_target(
        &mut self,
        entry: &Rc<Entry>,
    ) -> Result<Choice, Response<Body>> {
        let wait = self.until.min(self.waits_since + self.wait(entry));
        loop {
            let (news, freed) =
                (entry.news.notified(), entry.freed.notified());
            let now = Millis::now();
            let verdict = entry.quarantine.borrow_mut().admit(self.work, now);
            match verdict {
                QuarantineVerdict::Allowed => {}
                QuarantineVerdict::Refused(after) => {
                    return Err(self.reject_with(entry, Reason::Poison(after)));
                }
                QuarantineVerdict::Suspended(after) => {
                    let reason = Reason::Suspended(after);
                    return Err(self.reject_with(entry, reason));
                }
            }
            let ahead = self.share_of(wait.since(now));
            let shortage = match self.choose(entry, now, ahead) {
                Ok((choice, patience)) => {
                    match self.take(entry, choice, patience).await? {
                        Some(choice) => return Ok(choice),
                        None => continue,
                    }
                }
                Err(shortage) => shortage,
            };
            let patience = wait.since(now);
            if let Some(shortage) = shortage
                && (patience.0 == 0
                    || self.is_futile(entry, &shortage, wait, now))
            {
                let after = self.free_after(entry, &shortage, now);
                return Err(self.reject_with(entry, Reason::Busy(after)));
            }
            if patience.0 == 0 {
                let reason = Reason::NoTarget("no target can be used");
                return Err(self.reject_with(entry, reason));
            }
            let cooldown_end = shortage.and_then(|it| it.cooldown_end);
            if let Some(end) = cooldown_end {
                self.spread_out(entry, wait.since(end));
            }
            // A permit that is free now was asked for in vain.
            let limit_end = shortage.and_then(|it| it.limit_end);
            let ends = limit_end.into_iter().filter(|it| *it > now);
            let ends = ends.chain(cooldown_end);
            let pause = ends.min().map_or(patience, |it| it.since(now));
            tokio::select! {
                () = news => {}
                () = freed => {}
                () = sleep(pause.min(patience).duration()) => {}
            }
        }
    }

    /// Whether it waits in vain for the targets that it may be sent to.
    fn is_futile(
        &self,
        entry: &Entry,
        shortage: &Shortage,
        wait: Millis,
        now: Millis,
    ) -> bool {
        let in_time =
            |end: Millis| end <= wait && end + ANSWER_LATENCY <= self.until;
        let ends_in_time = shortage.cooldown_end.is_some_and(in_time);
        // A caller that may come back gets to another target sooner.
        let returns = self.caller_try == CallerAttempt::First
            && self.certainty == Certainty::NotRun
            && !self.may_go_elsewhere()
            && self.has_others(entry, now);
        shortage.is_complete && (!ends_in_time || returns)
    }

    /// Whether its route allows it to be sent to one more target.
    fn may_go_elsewhere(&self) -> bool {
        self.sent.len() < self.route.max_attempts as usize
    }

    /// Whether its caller's next try could be sent to a target now that this
    /// one may not be sent to.
    fn has_others(&self, entry: &Entry, now: Millis) -> bool {
        let others = |it: &Target| !self.sent.contains(&it.id);
        let others = entry.candidates(&self.service, now, Millis(0), others);
        others.choose(Asks::Now, 0.0).is_some()
    }

    /// How long no target takes its caller's next try.
    fn free_after(
        &self,
        entry: &Entry,
        shortage: &Shortage,
        now: Millis,
    ) -> Millis {
        let all = entry.candidates(&self.service, now, Millis(0), |_| true);
        if all.choose(Asks::Now, 0.0).is_some() {
            return Millis(0);
        }
        let all = Shortage::new([&all].into_iter());
        let end = all.and_then(|it| it.end()).or(shortage.end());
        end.map_or(Millis(0), |it| it.since(now))
    }

    /// Draws how long after the end of a cooldown it goes, once, within the
    /// time that it can wait.
    fn spread_out(&mut self, entry: &Entry, most: Millis) {
        if self.stagger.0 == 0 {
            let most = MAX_STAGGER.min(most).0 as f64;
            self.stagger = Millis((most * entry.draw()) as u64);
        }
    }

    /// Takes a target that was chosen, with a permit there if it names a limit;
    /// none if it has no permit within `patience`.
    async fn take(
        &mut self,
        entry: &Rc<Entry>,
        mut choice: Choice,
        patience: Millis,
    ) -> Result<Option<Choice>, Response<Body>> {
        if let StreamAdmission::RetryAfter(after) =
            self.start(entry, Millis::now())
        {
            return Err(self.reject_with(entry, Reason::TooLate(after)));
        }
        if !limits::permit(entry, &mut choice, patience).await {
            self.denied += 1;
            return Ok(None);
        }
        let now = Millis::now();
        if self.next == RetryCost::Budget
            && !entry.spend_retry(&self.service, now)
        {
            choice.give_back();
            let reason = Reason::NoTarget("no retry is left");
            return Err(self.reject_with(entry, reason));
        }
        self.log_choice(entry, &choice, now);
        choice.endpoint.borrow_mut().probe(now);
        self.tries += 1;
        self.denied = 0;
        Ok(Some(choice))
    }

    /// Whether a stream that nothing has run of is still worth its start.
    fn start(&self, entry: &Entry, now: Millis) -> StreamAdmission {
        let (Some(silence_timeout), Some(expected_first_event_delay)) =
            (self.route.caller_idle_timeout, self.route.latency_goal)
        else {
            return StreamAdmission::Now;
        };
        if self.certainty == Certainty::Unknown {
            return StreamAdmission::Now;
        }
        let Call { arrived, caller_try, .. } = *self;
        let time_to_deadline = self.left();
        let stream = PendingStream {
            arrived_at: arrived,
            silence_timeout,
            expected_first_event_delay,
            time_to_deadline,
            caller_try,
        };
        stream.decide_admission(now, entry.draw())
    }

    /// How long the request may wait for a target to be usable. A caller of a
    /// stream that hears nothing for longer leaves and is lost; one that is
    /// answered just before comes back when it was told to.
    fn wait(&self, entry: &Entry) -> Millis {
        let silence =
            self.route.caller_idle_timeout.map(|it| it - ANSWER_LATENCY);
        silence.unwrap_or(entry.settings().wait_ms)
    }

    /// The best target that the request may still be sent to, and how long it
    /// may wait for a permit there: a new one while its route allows more, else
    /// one that was asked before; one that takes it now, else one that does so
    /// within `ahead`. Without one, what the targets' own words have to do with
    /// that. A request that may go to one target only leaves those whose
    /// cooldown has just ended to others, if it can.
    fn choose(
        &self,
        entry: &Entry,
        now: Millis,
        ahead: Millis,
    ) -> Result<(Choice, Millis), Option<Shortage>> {
        let choose = |after| self.choose_after(entry, now, ahead, after);
        if self.route.max_attempts > 1 || entry.cooldowns.borrow().is_empty() {
            return choose(self.stagger);
        }
        let chosen = choose(self.stagger + PROBE_PERIOD);
        chosen.or_else(|_| choose(self.stagger))
    }

    /// The same, where cooldowns count as longer by `stagger`.
    fn choose_after(
        &self,
        entry: &Entry,
        now: Millis,
        ahead: Millis,
        stagger: Millis,
    ) -> Result<(Choice, Millis), Option<Shortage>> {
        let candidates = |new: bool| {
            let fits = |it: &Target| self.sent.contains(&it.id) != new;
            entry.candidates(&self.service, now, stagger, fits)
        };
        let may_ask = self.denied < MAX_DENIED;
        let asks = if may_ask { Asks::Now } else { Asks::Never };
        let more = self.may_go_elsewhere();
        let first = candidates(more);
        if let Some(choice) = first.choose(asks, entry.draw()) {
            return Ok((choice, Millis(0)));
        }
        let before = more.then(|| candidates(false));
        let before = before.as_ref();
        let chosen = before.and_then(|it| it.choose(asks, entry.draw()));
        if let Some(choice) = chosen {
            return Ok((choice, Millis(0)));
        }
        let seen = || [Some(&first), before].into_iter().flatten();
        if !may_ask || ahead == Millis(0) {
            return Err(Shortage::new(seen()));
        }
        let asks = Asks::Ahead(ahead);
        let chosen = seen().find_map(|it| it.choose(asks, entry.draw()));
        let chosen = chosen.map(|it| (it, ahead));
        chosen.ok_or_else(|| Shortage::new(seen()))
    }

    fn log_choice(&self, entry: &Entry, choice: &Choice, now: Millis) {
        let endpoint = choice.endpoint.borrow();
        let group = endpoint.group.as_ref();
        let age = group.map_or(-1, |it| now.since(it.heard).0 as i64);
        let report = endpoint.limit.limit_report(now);
        info!(entry.log, "chosen"; "request" => &*self.id,
            "work" => %self.work,
            "target" => &*choice.target.id, "route" => &*self.route.name,
            "cost" => choice.cost as u64, "at_target" => endpoint.record.estimated_occupancy(now),
            "own" => endpoint.record.in_flight(), "report_age" => age,
            "limit" => choice.limit.map(|it| it.requests_per_second()),
            "limit_age" => report.map(|it| it.rate_limit_age.0),
            "denied" => self.denied,
            "left" => self.left().0, "try" => self.tries + 1);
    }

    /// How far ahead a permit may lie that it takes. Less urgent requests leave
    /// those that lie further ahead to more urgent ones.
    fn share_of(&self, patience: Millis) -> Millis {
        let ranks = u64::from(LAST_RANK) + 1;
        let rank = u64::from(self.urgency());
        Millis(patience.0 * (ranks - rank) / ranks)
    }
}
