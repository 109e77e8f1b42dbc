//! Choice of the target for a request, by cost, from this entry process's
//! state of all targets.

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
};

use cowsliproad_kernel::clock::Millis;
use cowsliproad_routing::{
    fleet::Target,
    pick::{
        self, ServiceLatency, TargetCandidate, TargetLocality, TargetStats,
    },
};

use super::{
    ChosenTarget, CooldownRecovery, Endpoint, Entry, GroupReport,
    groups::AGENT_REPORT_TIMEOUT,
};
use crate::outcome::Outcome;

/// Snapshot of the usable targets of a service, scored by cost, at one moment.
pub struct CandidateSnapshot {
    scored: Vec<ScoredTarget>,
    observed_at: Millis,
    usual: ServiceLatency,
    /// Estimated requests of other entry processes that no agent's report
    /// includes yet.
    unreported_requests: f64,
    /// Requests a second that each target would get if all targets got equally
    /// many.
    equal_share_requests_per_second: f64,
    /// The number of eligible targets, including targets that can't be used
    /// now.
    eligible_count: usize,
    /// The eligible targets that can't be used now, by reason.
    unusable: UnusableTargets,
    /// When the first cooldown of a target ends, or the first probe of a
    /// recovering target times out.
    cooldown_end: Option<Millis>,
}

/// Targets of a service that can't be used at one moment, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnusableTargets {
    /// Targets whose group is broken or halted.
    pub group_down: usize,
    /// Targets whose agent is silent, while most agents report.
    pub agent_silent: usize,
    /// Working targets in a cooldown that they requested with Retry-After.
    pub cooling: usize,
    /// Targets that a probe tries after a cooldown.
    pub probed: usize,
    /// Targets to which this entry process may open no more connections.
    pub no_connection: usize,
}

/// A target that could get the request, if the target's rate limit allows it.
struct ScoredTarget {
    choice: ChosenTarget,
    /// The earliest time to request a permit, if the target's rate limit
    /// demands one.
    permit_at: Option<Millis>,
}

/// When targets that now decline requests by a rate limit or a cooldown take
/// requests again.
#[derive(Clone, Copy, Debug)]
pub struct TargetShortage {
    /// When the first rate-limited target may grant a permit.
    pub rate_limit_end: Option<Millis>,
    /// When the first cooldown of a target ends.
    pub cooldown_end: Option<Millis>,
    /// Whether every eligible target is rate-limited or in a cooldown, so that
    /// no target becomes usable before a limit or cooldown ends.
    pub covers_all_targets: bool,
}

impl TargetShortage {
    /// The shortage in snapshots of targets; None if no target declines
    /// requests by a rate limit or a cooldown.
    pub fn new<'a>(
        snapshots: impl Iterator<Item = &'a CandidateSnapshot>,
    ) -> Option<TargetShortage> {
        let mut shortage = TargetShortage {
            rate_limit_end: None,
            cooldown_end: None,
            covers_all_targets: true,
        };
        for snapshot in snapshots {
            let limited = snapshot.scored.iter().filter_map(|it| it.permit_at);
            let rate_limit_end =
                shortage.rate_limit_end.into_iter().chain(limited);
            shortage.rate_limit_end = rate_limit_end.min();
            let ends = shortage.cooldown_end.into_iter();
            shortage.cooldown_end = ends.chain(snapshot.cooldown_end).min();
            let kept = snapshot.scored.len() + snapshot.unusable.cooling;
            shortage.covers_all_targets &= kept == snapshot.eligible_count;
        }
        shortage.earliest_shortage_end().map(|_| shortage)
    }

    /// The outcome of a request that is rejected for this shortage.
    pub fn outcome(&self) -> Outcome {
        match self.rate_limit_end {
            Some(_) => Outcome::RateLimit,
            None => Outcome::Cooldown,
        }
    }

    /// When the first target may take a request again.
    pub fn earliest_shortage_end(&self) -> Option<Millis> {
        self.rate_limit_end.into_iter().chain(self.cooldown_end).min()
    }
}

/// Whether a request may wait for permits at rate-limited targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitWaitPolicy {
    /// The request uses only a permit that is free now, and otherwise goes to
    /// another target.
    Now,
    /// The request waits for a permit that becomes free within this time.
    Within(Millis),
    /// The request doesn't ask for permits.
    Never,
}

impl CandidateSnapshot {
    /// The number of targets that get requests, possibly by permits.
    pub fn usable_count(&self) -> usize {
        self.scored.len()
    }

    /// The number of usable targets that state a rate limit.
    pub fn limited_count(&self) -> usize {
        let rates = self.scored.iter().map(|it| it.choice.rate_limit);
        rates.flatten().count()
    }

    /// The eligible targets that can't be used, by reason.
    pub fn unusable(&self) -> UnusableTargets {
        self.unusable
    }

    /// The outcome of a request that found no usable target: the reason that
    /// holds for most targets. None if some target is usable.
    pub fn unusable_outcome(&self) -> Option<Outcome> {
        if !self.scored.is_empty() {
            return None;
        }
        let UnusableTargets {
            group_down,
            agent_silent,
            cooling,
            probed,
            no_connection,
        } = self.unusable;
        let reasons = [
            (group_down, Outcome::GroupDown),
            (agent_silent, Outcome::AgentSilent),
            (cooling + probed, Outcome::Cooldown),
            (no_connection, Outcome::NoConnection),
        ];
        let most = reasons.into_iter().max_by_key(|it| it.0);
        let most = most.filter(|it| it.0 > 0);
        Some(most.map_or(Outcome::NoTarget, |it| it.1))
    }

    /// Chooses the target with the least cost or, where agents report, one of
    /// the cheapest at random; see [`pick::choose_target_by_cost`]. A target whose
    /// rate limit is below its equal share is preferred at the same or lower
    /// cost, so that its limit is used up. `draw` is a random number from 0 to
    /// 1.
    pub fn choose_target(
        &self,
        permit_wait: PermitWaitPolicy,
        draw: f64,
    ) -> Option<ChosenTarget> {
        let usable = self
            .scored
            .iter()
            .filter(|it| self.is_target_usable(it, permit_wait));
        let usable: Vec<&ChosenTarget> = usable.map(|it| &it.choice).collect();
        let costs: Vec<f64> = usable.iter().map(|it| it.cost_ms).collect();
        let slots = usable.iter().map(|it| it.target.slots).max()?;
        let step =
            self.usual.expected_rank_response_time_ms() / f64::from(slots);
        let place = pick::choose_target_by_cost(
            &costs,
            step,
            self.unreported_requests,
            draw,
        )?;
        let is_below_share = |it: &ChosenTarget| {
            it.rate_limit.is_some_and(|it| {
                it.requests_per_second() < self.equal_share_requests_per_second
            })
        };
        let limited = usable
            .iter()
            .filter(|it| is_below_share(it) && it.cost_ms <= costs[place]);
        let limited = limited.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        Some((*limited.unwrap_or(&usable[place])).clone())
    }

    fn is_target_usable(
        &self,
        scored: &ScoredTarget,
        permit_wait: PermitWaitPolicy,
    ) -> bool {
        let Some(permit_at) = scored.permit_at else { return true };
        match permit_wait {
            PermitWaitPolicy::Now => {
                permit_at <= self.observed_at
                    && !scored
                        .choice
                        .endpoint
                        .borrow()
                        .permit_request_in_flight
            }
            PermitWaitPolicy::Within(max_permit_wait) => {
                permit_at <= self.observed_at + max_permit_wait
            }
            PermitWaitPolicy::Never => false,
        }
    }
}

impl Endpoint {
    /// The earliest time at which to request the next permit. A denial counts
    /// no more once more entry processes can be reached.
    fn next_permit_request_time(&self, reachable_fraction: f64) -> Millis {
        if reachable_fraction > self.permit_denied_at_fraction {
            return Millis(0);
        }
        self.next_permit_request_at
    }

    /// When the probe of a recovering target times out, while one is in
    /// flight. Until then no other request is sent to the target.
    fn probe_timeout_at(&self, now: Millis) -> Option<Millis> {
        match self.cooldown_recovery {
            CooldownRecovery::Probed(at) => Some(at + RECOVERY_PROBE_TIMEOUT),
            CooldownRecovery::Done | CooldownRecovery::Pending => None,
        }
        .filter(|end| *end > now)
    }

    /// Records that a request is about to be sent, which makes the request a
    /// probe if the target is recovering.
    pub fn mark_recovery_probe(&mut self, now: Millis) {
        if self.cooldown_recovery != CooldownRecovery::Done {
            self.cooldown_recovery = CooldownRecovery::Probed(now);
        }
    }
}

impl Entry {
    /// Sets the gauges of each service's targets by state, for which the
    /// targets are scored as for a request.
    pub fn record_target_states(&self) {
        let Some(catalog) = self.catalog() else { return };
        let now = Millis::now();
        for service in catalog.services() {
            let all =
                self.score_candidates(&service.name, now, Millis(0), |_| true);
            self.metrics.set_service_targets(&service.name, &all);
        }
    }

    /// Scores the targets of a service for which `is_eligible` is true.
    /// Cooldowns count as longer by `stagger`.
    pub fn score_candidates(
        &self,
        service: &str,
        now: Millis,
        stagger: Millis,
        is_eligible: impl Fn(&Target) -> bool,
    ) -> CandidateSnapshot {
        let fleet = self.fleet.borrow();
        let max_connections = self.max_connections_per_target(service);
        let zone = &self.settings().zone;
        let of_service =
            fleet.ready_targets().filter(|it| &*it.service == service);
        let endpoints: Vec<(&Target, Rc<RefCell<Endpoint>>)> = of_service
            .map(|it| (it, self.endpoint_or_insert(&it.id)))
            .collect();
        // Where most agents report, a target whose agent is silent is not idle
        // but unknown: the VM may be frozen or slow.
        let has_recent_report = |group: &Option<GroupReport>| {
            let report_age =
                group.as_ref().map(|it| now.since(it.reported_at));
            report_age.is_some_and(|age| age < AGENT_REPORT_TIMEOUT)
        };
        let reporting = endpoints
            .iter()
            .filter(|it| has_recent_report(&it.1.borrow().group));
        let most_report = reporting.count() * 2 > endpoints.len();
        let records: Vec<TargetStats> =
            endpoints.iter().map(|it| it.1.borrow().request_stats).collect();
        let usual = ServiceLatency::new(records.iter());
        let unreported_requests = if most_report {
            self.estimate_unreported_requests(service, &records, now)
        } else {
            0.0
        };
        let targets = endpoints.len();
        let mut eligible_count = 0;
        let reachable_fraction = OnceCell::new();
        let mut unusable = UnusableTargets::default();
        let mut cooldown_end = None;
        let mut scored: Vec<ScoredTarget> = Vec::new();
        for (target, endpoint) in endpoints {
            if !is_eligible(target) {
                continue;
            }
            eligible_count += 1;
            let endpoint_state = endpoint.borrow();
            let group = endpoint_state.group.as_ref();
            let closed =
                group.is_some_and(|it| !self.group_accepts_requests(it, now));
            if closed {
                unusable.group_down += 1;
                continue;
            }
            if most_report && !has_recent_report(&endpoint_state.group) {
                unusable.agent_silent += 1;
                continue;
            }
            if let Some(end) = self.cooldown_end(target, now - stagger) {
                unusable.cooling += 1;
                let end = end + stagger;
                cooldown_end = cooldown_end.into_iter().chain([end]).min();
                continue;
            }
            if let Some(end) = endpoint_state.probe_timeout_at(now) {
                unusable.probed += 1;
                cooldown_end = cooldown_end.into_iter().chain([end]).min();
                continue;
            }
            if endpoint_state.open_connection_count >= max_connections
                && endpoint_state.connection_pool.has_no_idle_connection()
            {
                unusable.no_connection += 1;
                continue;
            }
            let near = target.zone == *zone;
            let locality = if near {
                TargetLocality::SameZone
            } else {
                TargetLocality::OtherZone
            };
            let latency_ms = match group {
                Some(_) => usual.expected_rank_response_time_ms(),
                None => {
                    usual.target_latency_ms(&endpoint_state.request_stats, now)
                }
            };
            let candidate = TargetCandidate {
                stats: &endpoint_state.request_stats,
                slots: target.slots,
                locality,
                service_time_percent_of_normal: group
                    .map_or(100, |it| it.service_time_percent_of_normal),
                latency_ms,
            };
            let cost_ms = pick::expected_request_cost_ms(&candidate, now);
            let rate_limit = endpoint_state.rate_limit.rate();
            let needs = rate_limit
                .filter(|it| !endpoint_state.has_spare_permit(*it, now));
            let permit_at = needs.map(|_| {
                let fraction = reachable_fraction.get_or_init(|| {
                    self.peers.borrow().reachable_entry_fraction(now)
                });
                endpoint_state.next_permit_request_time(*fraction)
            });
            drop(endpoint_state);
            let choice = ChosenTarget {
                target: target.clone(),
                endpoint,
                cost_ms,
                max_connections,
                rate_limit,
                permit: None,
            };
            scored.push(ScoredTarget { choice, permit_at });
        }
        let limited = scored.iter().any(|it| it.choice.rate_limit.is_some());
        let equal_share_requests_per_second = if limited {
            self.equal_share_requests_per_second(service, targets, now)
        } else {
            0.0
        };
        CandidateSnapshot {
            scored,
            observed_at: now,
            usual,
            unreported_requests,
            equal_share_requests_per_second,
            eligible_count,
            unusable,
            cooldown_end,
        }
    }

    /// Requests a second that each target of a service would get from all
    /// entry processes if all targets got equally many.
    fn equal_share_requests_per_second(
        &self,
        service: &str,
        targets: usize,
        now: Millis,
    ) -> f64 {
        let entries = self.peers.borrow().entry_process_count() as f64;
        let budget = self.retry_budget.borrow();
        let usual = budget.window(service);
        let usual =
            usual.map_or(0.0, |it| it.estimate_requests(ONE_SECOND, now));
        usual * entries / targets.max(1) as f64
    }

    /// Estimates the requests that other entry processes sent to a service and
    /// that no report includes yet. Entry processes see much the same state,
    /// so they are taken to send what this entry process does: its usual rate,
    /// or its latest burst if that is more.
    fn estimate_unreported_requests(
        &self,
        service: &str,
        records: &[TargetStats],
        now: Millis,
    ) -> f64 {
        let others = (self.peers.borrow().entry_process_count() - 1) as f64;
        let sent: u32 =
            records.iter().map(TargetStats::requests_sent_since_report).sum();
        let budget = self.retry_budget.borrow();
        let usual = budget.window(service);
        let usual = usual.map_or(0.0, |it| {
            it.estimate_requests(UNREPORTED_REQUESTS_ESTIMATION_SPAN, now)
        });
        usual.max(f64::from(sent)) * others
    }

    /// Connections that this entry process may open to one target of a
    /// service: its part of the service's limit.
    fn max_connections_per_target(&self, service: &str) -> usize {
        let catalog = self.catalog.borrow();
        let service = catalog.as_ref().and_then(|it| it.0.service(service));
        let Some(max_connections) =
            service.and_then(|it| it.max_connections_per_target)
        else {
            return usize::MAX;
        };
        let entries = self.peers.borrow().entry_process_count();
        (max_connections as usize / entries).max(MIN_CONNECTIONS_PER_TARGET)
    }
}

const ONE_SECOND: Millis = Millis(1_000);

/// How long the answer to a target's recovery probe is awaited before another
/// request is sent to the target.
const RECOVERY_PROBE_TIMEOUT: Millis = Millis(400);

/// The length of time for which the unreported requests of other entry
/// processes are estimated: two report intervals of an agent.
/// `cowsliproad-bench routing` compares this length with others.
const UNREPORTED_REQUESTS_ESTIMATION_SPAN: Millis = Millis(800);

/// Connections to one target that every entry process may open, however many
/// entry processes share the service's limit.
const MIN_CONNECTIONS_PER_TARGET: usize = 1;
