//! Chooses the next target of a request, and waits while no target is usable.

use std::rc::Rc;

use cowsliproad_admission::{
    patience::{CallerAttempt, PendingStream, StreamAdmission},
    quarantine::{Admission, PartList, QuarantineVerdict},
};
use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::timer::sleep;
use cowsliproad_routing::fleet::Target;
use http::Response;
use slog::info;

use super::{
    AttemptCost, Call, ExecutionStatus, MAX_QUEUE_RANK,
    failure::RejectionReason,
};
use crate::{
    entry::{
        ChosenTarget, Entry,
        choose::{PermitWaitPolicy, TargetShortage},
    },
    limits,
    outcome::Outcome,
    reply::Body,
};

/// Permits that may be denied to a request before the request goes to a target
/// without a rate limit, or is rejected.
const MAX_DENIED_PERMITS: usize = 3;

/// Time reserved before a caller's deadline for delivering the response, also
/// from a VM whose CPU share is used up for the moment.
pub(super) const RESPONSE_DELIVERY_MARGIN: Millis = Millis(100);

/// Requests that wait for the end of a cooldown are spread over this time, so
/// that the target doesn't get all of them at once.
pub const MAX_COOLDOWN_STAGGER: Millis = Millis(200);

/// How often a request that waits looks for a usable target without news: the
/// halt or closure of a group ends by itself.
const TARGET_RECHECK_INTERVAL: Millis = Millis(500);

/// For this time after a cooldown, requests that may be retried elsewhere
/// probe whether the target accepts requests again; other requests avoid
/// that target.
pub const COOLDOWN_PROBE_PERIOD: Millis = Millis(1_000);

impl Call {
    /// Chooses the next target, and waits while no target is usable.
    pub async fn wait_for_next_target(
        &mut self,
        entry: &Rc<Entry>,
    ) -> Result<ChosenTarget, Response<Body>> {
        let wait_until = self
            .deadline
            .min(self.waiting_since + self.max_target_wait(entry));
        loop {
            let (news, connection_freed) = (
                entry.targets_changed.notified(),
                entry.connection_freed.notified(),
            );
            let now = Millis::now();
            let (verdict, admission) =
                entry.admit_request(&self.fingerprint, self.admission, now);
            match verdict {
                QuarantineVerdict::Allowed => {
                    self.set_admission(entry, admission)
                }
                QuarantineVerdict::Refused(after) => {
                    return Err(self.reject_request(
                        entry,
                        RejectionReason::Poison(after),
                        Outcome::Quarantined,
                    ));
                }
                QuarantineVerdict::Suspended(after) => {
                    return Err(self.reject_request(
                        entry,
                        RejectionReason::Suspended(after),
                        Outcome::Suspected,
                    ));
                }
            }
            let lookahead = self.max_permit_lookahead(wait_until.since(now));
            let shortage = match self.choose_target(entry, now, lookahead) {
                Ok((choice, max_permit_wait)) => {
                    match self
                        .reserve_target(entry, choice, max_permit_wait)
                        .await?
                    {
                        Some(choice) => return Ok(choice),
                        None => continue,
                    }
                }
                Err(shortage) => shortage,
            };
            let wait_left = wait_until.since(now);
            if let Some(shortage) = shortage
                && (wait_left.0 == 0
                    || self.is_target_wait_futile(
                        entry, &shortage, wait_until, now,
                    ))
            {
                let after =
                    self.time_until_target_usable(entry, &shortage, now);
                return Err(self.reject_request(
                    entry,
                    RejectionReason::Busy(after),
                    shortage.outcome(),
                ));
            }
            if wait_left.0 == 0 {
                let reason =
                    RejectionReason::NoTarget("no target can be used");
                let outcome = self.unusable_targets_outcome(entry, now);
                return Err(self.reject_request(entry, reason, outcome));
            }
            let cooldown_end = shortage.and_then(|it| it.cooldown_end);
            if let Some(end) = cooldown_end {
                self.draw_cooldown_stagger(entry, wait_until.since(end));
            }
            // A limit that ends now can't end the wait: a permit that is free
            // now has already been denied.
            let rate_limit_end = shortage.and_then(|it| it.rate_limit_end);
            let ends = rate_limit_end.into_iter().filter(|it| *it > now);
            let ends = ends.chain(cooldown_end);
            let pause = ends.min().map_or(wait_left, |it| it.since(now));
            let pause = pause.min(wait_left).min(TARGET_RECHECK_INTERVAL);
            tokio::select! {
                () = news => {}
                () = connection_freed => {}
                () = sleep(pause.duration()) => {}
            }
        }
    }

    /// Sets whether the request is a trial of its refused prompt parts.
    fn set_admission(&mut self, entry: &Entry, admission: Admission) {
        if std::mem::replace(&mut self.admission, admission) == admission {
            return;
        }
        entry.metrics.record_prompt_part_event("tried");
        info!(entry.log, "part_tried"; "request" => &*self.request_id,
            "parts" => %PartList(&self.fingerprint.prompt_parts));
    }

    /// Whether no target can become usable for the request by `wait_until`, or
    /// a retry by the caller would reach another target sooner.
    fn is_target_wait_futile(
        &self,
        entry: &Entry,
        shortage: &TargetShortage,
        wait_until: Millis,
        now: Millis,
    ) -> bool {
        let in_time = |end: Millis| {
            end <= wait_until
                && end + RESPONSE_DELIVERY_MARGIN <= self.deadline
        };
        let ends_in_time = shortage.cooldown_end.is_some_and(in_time);
        // A caller's retry may go to a target that this request may not.
        let caller_retry_is_sooner = self.caller_try == CallerAttempt::First
            && self.execution == ExecutionStatus::NotRun
            && !self.may_attempt_new_target()
            && self.has_unattempted_target(entry, now);
        shortage.covers_all_targets
            && (!ends_in_time || caller_retry_is_sooner)
    }

    /// Whether the route allows the request to be sent to one more target.
    pub(super) fn may_attempt_new_target(&self) -> bool {
        self.attempted_targets.len() < self.route.max_attempts as usize
    }

    /// Whether some usable target has not got this request yet. A retry by the
    /// caller could go to that target even if this request may not.
    pub(super) fn has_unattempted_target(
        &self,
        entry: &Entry,
        now: Millis,
    ) -> bool {
        let unattempted =
            |it: &Target| !self.attempted_targets.contains(&it.id);
        let candidates =
            entry.score_candidates(&self.service, now, Millis(0), unattempted);
        candidates.choose_target(PermitWaitPolicy::Now, 0.0).is_some()
    }

    /// Why the request found no usable target until it could wait no longer.
    fn unusable_targets_outcome(&self, entry: &Entry, now: Millis) -> Outcome {
        let all =
            entry.score_candidates(&self.service, now, Millis(0), |_| true);
        all.unusable_outcome().unwrap_or(Outcome::Deadline)
    }

    /// The time until some target accepts a retry by the caller.
    fn time_until_target_usable(
        &self,
        entry: &Entry,
        shortage: &TargetShortage,
        now: Millis,
    ) -> Millis {
        let all =
            entry.score_candidates(&self.service, now, Millis(0), |_| true);
        if all.choose_target(PermitWaitPolicy::Now, 0.0).is_some() {
            return Millis(0);
        }
        let all = TargetShortage::new([&all].into_iter());
        let end = all
            .and_then(|it| it.earliest_shortage_end())
            .or(shortage.earliest_shortage_end());
        end.map_or(Millis(0), |it| it.since(now))
    }

    /// Draws the random delay of the request after the end of a cooldown,
    /// once, and at most `max_delay`.
    fn draw_cooldown_stagger(&mut self, entry: &Entry, max_delay: Millis) {
        if self.cooldown_stagger.0 == 0 {
            let max_delay = MAX_COOLDOWN_STAGGER.min(max_delay).0 as f64;
            self.cooldown_stagger =
                Millis((max_delay * entry.random_fraction()) as u64);
        }
    }

    /// Acquires what an attempt at the chosen target needs: a permit if the
    /// target states a limit and, for a retry, a share of the retry budget.
    /// Returns `None` if the target grants no permit within `max_permit_wait`.
    async fn reserve_target(
        &mut self,
        entry: &Rc<Entry>,
        mut choice: ChosenTarget,
        max_permit_wait: Millis,
    ) -> Result<Option<ChosenTarget>, Response<Body>> {
        if let StreamAdmission::RetryAfter(after) =
            self.admit_stream_start(entry, Millis::now())
        {
            return Err(self.reject_request(
                entry,
                RejectionReason::TooLate(after),
                Outcome::TooLate,
            ));
        }
        if !limits::acquire_permit(entry, &mut choice, max_permit_wait).await {
            self.denied_permits += 1;
            return Ok(None);
        }
        let now = Millis::now();
        self.retry_spent_at = None;
        if self.next_attempt_cost == AttemptCost::OneRetry {
            if !entry.try_spend_retry(&self.request_id, &self.service, now) {
                choice.return_permit();
                return Err(self.reject_request(
                    entry,
                    RejectionReason::NoTarget("no retry is left"),
                    Outcome::RetryBudget,
                ));
            }
            self.retry_spent_at = Some(now);
        }
        self.log_chosen_target(entry, &choice, now);
        choice.endpoint.borrow_mut().mark_recovery_probe(now);
        self.attempt_count += 1;
        self.denied_permits = 0;
        Ok(Some(choice))
    }

    /// Whether a stream that no target has run can still send its first event
    /// in time, or the caller should retry later.
    fn admit_stream_start(
        &self,
        entry: &Entry,
        now: Millis,
    ) -> StreamAdmission {
        let (Some(silence_timeout), Some(expected_first_event_delay)) =
            (self.route.caller_idle_timeout, self.route.latency_goal)
        else {
            return StreamAdmission::Now;
        };
        if self.execution == ExecutionStatus::Unknown {
            return StreamAdmission::Now;
        }
        let Call { arrived, caller_try, .. } = *self;
        let time_to_deadline = self.time_left();
        let stream = PendingStream {
            arrived_at: arrived,
            silence_timeout,
            expected_first_event_delay,
            time_to_deadline,
            caller_try,
        };
        stream.decide_admission(now, entry.random_fraction())
    }

    /// How long the request may wait for a usable target. The caller of a
    /// stream gives up after the silence timeout of the route. If the request
    /// is rejected just before that, the caller retries at the stated time.
    fn max_target_wait(&self, entry: &Entry) -> Millis {
        let silence = self
            .route
            .caller_idle_timeout
            .map(|it| it - RESPONSE_DELIVERY_MARGIN);
        silence.unwrap_or(entry.settings().target_wait_ms)
    }

    /// Chooses the target for the next attempt, and returns how long the
    /// request may wait for a permit of that target. Targets that have not got
    /// the request are preferred while the route allows one more target;
    /// targets that accept the request now are preferred to targets that
    /// accept it within `lookahead`. Without a usable target, returns the
    /// shortage that rate limits and cooldowns cause, if any. A request that
    /// may go to only one target avoids targets whose cooldown has just ended,
    /// if another target is usable.
    fn choose_target(
        &self,
        entry: &Entry,
        now: Millis,
        lookahead: Millis,
    ) -> Result<(ChosenTarget, Millis), Option<TargetShortage>> {
        let choose = |after| {
            self.choose_target_with_stagger(entry, now, lookahead, after)
        };
        if self.route.max_attempts > 1 || entry.cooldowns.borrow().is_empty() {
            return choose(self.cooldown_stagger);
        }
        let chosen = choose(self.cooldown_stagger + COOLDOWN_PROBE_PERIOD);
        chosen.or_else(|_| choose(self.cooldown_stagger))
    }

    /// Chooses a target like [`Call::choose_target`], with every cooldown
    /// extended by `cooldown_stagger`.
    fn choose_target_with_stagger(
        &self,
        entry: &Entry,
        now: Millis,
        lookahead: Millis,
        cooldown_stagger: Millis,
    ) -> Result<(ChosenTarget, Millis), Option<TargetShortage>> {
        let candidates = |unattempted: bool| {
            let fits = |it: &Target| {
                self.held_target.as_ref() != Some(&it.id)
                    && self.attempted_targets.contains(&it.id) != unattempted
            };
            entry.score_candidates(&self.service, now, cooldown_stagger, fits)
        };
        let may_ask = self.denied_permits < MAX_DENIED_PERMITS;
        let asks = if may_ask {
            PermitWaitPolicy::Now
        } else {
            PermitWaitPolicy::Never
        };
        let more_allowed = self.may_attempt_new_target();
        let preferred = candidates(more_allowed);
        if let Some(choice) =
            preferred.choose_target(asks, entry.random_fraction())
        {
            return Ok((choice, Millis(0)));
        }
        let attempted = more_allowed.then(|| candidates(false));
        let attempted = attempted.as_ref();
        let chosen = attempted
            .and_then(|it| it.choose_target(asks, entry.random_fraction()));
        if let Some(choice) = chosen {
            return Ok((choice, Millis(0)));
        }
        let considered =
            || [Some(&preferred), attempted].into_iter().flatten();
        if !may_ask || lookahead == Millis(0) {
            return Err(TargetShortage::new(considered()));
        }
        let asks = PermitWaitPolicy::Within(lookahead);
        let chosen = considered()
            .find_map(|it| it.choose_target(asks, entry.random_fraction()));
        let chosen = chosen.map(|it| (it, lookahead));
        chosen.ok_or_else(|| TargetShortage::new(considered()))
    }

    fn log_chosen_target(
        &self,
        entry: &Entry,
        choice: &ChosenTarget,
        now: Millis,
    ) {
        let endpoint = choice.endpoint.borrow();
        let group = endpoint.group.as_ref();
        let age = group.map_or(-1, |it| now.since(it.reported_at).0 as i64);
        let report = endpoint.rate_limit.limit_report(now);
        info!(entry.log, "chosen"; "request" => &*self.request_id,
            "work" => %self.fingerprint.request,
            "target" => &*choice.target.id, "route" => &*self.route.name,
            "cost" => choice.cost_ms as u64, "at_target" => endpoint.request_stats.estimated_request_count(now),
            "own" => endpoint.request_stats.in_flight(), "report_age" => age,
            "limit" => choice.rate_limit.map(|it| it.requests_per_second()),
            "limit_age" => report.map(|it| it.rate_limit_age.0),
            "denied" => self.denied_permits,
            "left" => self.time_left().0, "try" => self.attempt_count + 1);
    }

    /// How far in the future a permit for the request may become valid. Less
    /// urgent requests leave later permits to more urgent ones.
    fn max_permit_lookahead(&self, wait_left: Millis) -> Millis {
        let ranks = u64::from(MAX_QUEUE_RANK) + 1;
        let rank = u64::from(self.queue_rank());
        Millis(wait_left.0 * (ranks - rank) / ranks)
    }
}
