//! Estimates the cost of sending a request to each target and chooses one.
//!
//! The cost of a target is the time that a request is expected to take there:
//! the target's average response time, increased by its requests per slot and
//! by its recent failures. No target is excluded for good: failures decay with
//! `FAILURE_COUNT_HALF_LIFE`, the best of several failing targets is still
//! used, and a target that is slower than the others is probed with one request
//! now and then; see [`ServiceLatency::target_latency_ms`].
//!
//! The number of requests at a target is its last load report, corrected by
//! the requests that this entry process sent and completed since. Without the
//! correction, two entry processes with the same report would both send to the
//! target that looked idle.

use cowsliproad_kernel::clock::Millis;

/// The time in which the failure count of a target halves. A target that fails
/// part of its requests does so for some seconds: a longer half-life keeps
/// recovered targets out of use, a shorter one probes failing targets more
/// often.
const FAILURE_COUNT_HALF_LIFE: Millis = Millis(2_500);

/// The cost that one recent failure of a target adds, as a multiple of the
/// target's response time.
const RECENT_FAILURE_COST_FACTOR: f64 = 3.0;

/// The weight of a new sample in the moving average of a target's response
/// times, when the previous sample was taken just before.
const NEW_LATENCY_SAMPLE_WEIGHT: f64 = 0.2;

/// The time in which the moving average of a target's earlier response times
/// loses half of its weight.
const LATENCY_AVERAGE_HALF_LIFE: Millis = Millis(2_500);

/// The largest extra response time that probes of a slow target may cost, as a
/// share of the time between two probes.
const MAX_PROBE_TIME_SHARE: f64 = 0.01;

/// The longest time that a slow target goes without a request before the target
/// is probed.
const MAX_PROBE_INTERVAL: Millis = Millis(120_000);

/// The largest number of requests that a valid load report states. Targets
/// have some ten slots and queue a few more requests.
const MAX_LOAD_REPORT_REQUEST_COUNT: u32 = 10_000;

/// How long the requests of a load report count in full. Agents send two
/// reports within this time.
const LOAD_REPORT_TTL: Millis = Millis(1_000);

/// The time in which the requests of an expired load report halve.
const EXPIRED_LOAD_REPORT_HALF_LIFE: Millis = Millis(500);

/// The cost of a target in another availability zone, in milliseconds: the
/// round trip and the charge for traffic between zones.
const CROSS_ZONE_COST_MS: f64 = 4.0;

/// The response time assumed while no target of a service has answered, in
/// milliseconds. The value is large compared with `CROSS_ZONE_COST_MS`, so
/// that an entry process that has just started uses the targets of all
/// availability zones.
pub const DEFAULT_LATENCY_MS: f64 = 100.0;

/// Response times, failures and load of one target, as this entry process
/// observes them.
#[derive(Clone, Copy, Debug)]
pub struct TargetStats {
    mean_latency_ms: f64,
    /// When a request to the target last succeeded or failed.
    last_outcome_at: Millis,
    failure_count: f64,
    failures_decayed_at: Millis,
    reported_requests: u32,
    reported_at: Millis,
    requests_sent_since_report: u32,
    requests_completed_since_report: u32,
    in_flight: u32,
}

impl TargetStats {
    /// Stats of a target that this entry process has not used yet.
    pub fn new() -> TargetStats {
        TargetStats {
            mean_latency_ms: 0.0,
            last_outcome_at: Millis(0),
            failure_count: 0.0,
            failures_decayed_at: Millis(0),
            reported_requests: 0,
            reported_at: Millis(0),
            requests_sent_since_report: 0,
            requests_completed_since_report: 0,
            in_flight: 0,
        }
    }

    /// Counts a request that is sent to the target.
    pub fn record_sent_request(&mut self) {
        self.in_flight += 1;
        self.requests_sent_since_report += 1;
    }

    /// Counts a request that has ended at the target, whatever its outcome.
    pub fn record_completed_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.requests_completed_since_report += 1;
    }

    /// Records the number of requests at the target that a load report states;
    /// ignores a report of more than `MAX_LOAD_REPORT_REQUEST_COUNT`.
    pub fn record_load_report(&mut self, reported_requests: u32, now: Millis) {
        if reported_requests > MAX_LOAD_REPORT_REQUEST_COUNT {
            return;
        }
        self.reported_requests = reported_requests;
        self.reported_at = now;
        self.requests_sent_since_report = 0;
        self.requests_completed_since_report = 0;
    }

    /// Records a successful response of the target and its latency.
    pub fn record_success(&mut self, latency: Millis, now: Millis) {
        self.decay_failure_count(now);
        self.failure_count *= 0.5;
        let latency = latency.0 as f64;
        let age = now.since(self.last_outcome_at).0 as f64
            / LATENCY_AVERAGE_HALF_LIFE.0 as f64;
        let weight =
            1.0 - (1.0 - NEW_LATENCY_SAMPLE_WEIGHT) * 0.5_f64.powf(age);
        self.mean_latency_ms = match self.mean_latency_ms {
            0.0 => latency,
            average => average + (latency - average) * weight,
        };
        self.last_outcome_at = now;
    }

    /// Records a failed request to the target.
    pub fn record_failure(&mut self, now: Millis) {
        self.decay_failure_count(now);
        self.failure_count += 1.0;
        self.last_outcome_at = now;
    }

    /// The average response time of the target in milliseconds; `None` before
    /// the first response.
    pub fn mean_latency_ms(&self) -> Option<f64> {
        (self.mean_latency_ms > 0.0).then_some(self.mean_latency_ms)
    }

    /// The estimated number of requests at the target, from all entry
    /// processes.
    pub fn estimated_request_count(&self, now: Millis) -> u32 {
        let estimate = self
            .decayed_reported_requests(now)
            .saturating_add(self.requests_sent_since_report);
        let estimate =
            estimate.saturating_sub(self.requests_completed_since_report);
        estimate.max(self.in_flight)
    }

    /// The number of requests of the last load report, which decays after
    /// [`LOAD_REPORT_TTL`]. Where no agent sends load reports, the reports
    /// arrive with the target's responses only: without decay, a target that
    /// looked busy would get no requests and look busy for good.
    fn decayed_reported_requests(&self, now: Millis) -> u32 {
        let age = now.since(self.reported_at);
        if age <= LOAD_REPORT_TTL {
            return self.reported_requests;
        }
        let half_lives = (age - LOAD_REPORT_TTL).0 as f64
            / EXPIRED_LOAD_REPORT_HALF_LIFE.0 as f64;
        (f64::from(self.reported_requests) * 0.5_f64.powf(half_lives)) as u32
    }

    /// Requests that this entry process sent to the target since its last load
    /// report.
    pub fn requests_sent_since_report(&self) -> u32 {
        self.requests_sent_since_report
    }

    /// Requests of this entry process that are in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The number of recent failures of the target, decayed to the time `now`.
    pub fn decayed_failure_count(&self, now: Millis) -> f64 {
        let age = now.since(self.failures_decayed_at).0 as f64
            / FAILURE_COUNT_HALF_LIFE.0 as f64;
        self.failure_count * 0.5_f64.powf(age)
    }

    fn decay_failure_count(&mut self, now: Millis) {
        self.failure_count = self.decayed_failure_count(now);
        self.failures_decayed_at = now;
    }
}

impl Default for TargetStats {
    fn default() -> TargetStats {
        TargetStats::new()
    }
}

/// A target that may be chosen, with the inputs of its cost.
#[derive(Clone, Copy, Debug)]
pub struct TargetCandidate<'a> {
    /// The stats that this entry process keeps of the target.
    pub stats: &'a TargetStats,
    /// The number of requests that the target runs at once.
    pub slots: u32,
    /// Whether the target is in the availability zone of the entry process.
    pub locality: TargetLocality,
    /// The target's service time in percent of its normal service time.
    pub service_time_percent_of_normal: u32,
    /// The expected response time of the target in milliseconds; see
    /// [`ServiceLatency`].
    pub latency_ms: f64,
}

/// The shortest and the mean response time among the targets of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLatency {
    min_latency_ms: f64,
    mean_latency_ms: f64,
}

impl ServiceLatency {
    /// Computes the shortest and the mean response time of a service's targets.
    pub fn new<'a>(
        targets: impl Iterator<Item = &'a TargetStats>,
    ) -> ServiceLatency {
        let (mut min_latency_ms, mut sum, mut count) =
            (f64::INFINITY, 0.0, 0.0);
        for time in targets.filter_map(TargetStats::mean_latency_ms) {
            min_latency_ms = min_latency_ms.min(time);
            sum += time;
            count += 1.0;
        }
        if count == 0.0 {
            return ServiceLatency {
                min_latency_ms: DEFAULT_LATENCY_MS,
                mean_latency_ms: DEFAULT_LATENCY_MS,
            };
        }
        ServiceLatency { min_latency_ms, mean_latency_ms: sum / count }
    }

    /// The expected response time of a target that is not part of a group. A
    /// target without a response counts as fast as the fastest, so that it
    /// gets a request. A target that is due for a probe counts as fast as well,
    /// until a request is in flight there: only a request can show that a slow
    /// target has recovered.
    pub fn target_latency_ms(&self, stats: &TargetStats, now: Millis) -> f64 {
        match stats.mean_latency_ms() {
            Some(latency) if !self.is_probe_due(stats, latency, now) => {
                latency
            }
            _ => self.min_latency_ms,
        }
    }

    /// Whether the last request to the target ended so long ago that the extra
    /// time of a slow response is at most [`MAX_PROBE_TIME_SHARE`] of the time
    /// since that request.
    fn is_probe_due(
        &self,
        stats: &TargetStats,
        latency_ms: f64,
        now: Millis,
    ) -> bool {
        let interval =
            (latency_ms - self.min_latency_ms) / MAX_PROBE_TIME_SHARE;
        let interval = interval.min(MAX_PROBE_INTERVAL.0 as f64);
        let age = now.since(stats.last_outcome_at).0 as f64;
        stats.in_flight == 0 && age > interval
    }

    /// The expected response time of a rank of a group. The ranks run in lock
    /// step, so a rank with a longer average only had longer responses.
    pub fn expected_rank_response_time_ms(&self) -> f64 {
        self.mean_latency_ms
    }
}

/// Whether a target is in the same availability zone as the entry process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetLocality {
    /// The target is in the availability zone of the entry process.
    SameZone,
    /// The target is in another availability zone.
    OtherZone,
}

/// Chooses a target at random, preferring low costs, when all entry processes
/// see the same costs because they get the same load reports.
///
/// If every entry process sent to the target with the least cost, all would
/// use the same targets until the next report. So each entry process chooses
/// as if all entry processes together filled the targets up to an equal cost:
/// of `unreported_requests`, which other entry processes send before the next
/// reports, a target gets as many as fit between its cost and that level, and
/// its probability is proportional to this number.
///
/// `cost_per_request` is the cost that one more request adds to a target, and
/// `random_fraction` is a random number from 0 to 1. Returns the index of the
/// chosen target in `costs`.
pub fn choose_target_by_cost(
    costs: &[f64],
    cost_per_request: f64,
    unreported_requests: f64,
    random_fraction: f64,
) -> Option<usize> {
    let mut order: Vec<usize> = (0..costs.len()).collect();
    order.sort_by(|a, b| costs[*a].total_cmp(&costs[*b]));
    let (mut sum, mut level, mut count) = (0.0, 0.0, 0);
    for index in &order {
        if count > 0 && costs[*index] >= level {
            break;
        }
        sum += costs[*index];
        count += 1;
        level = (sum + cost_per_request * (unreported_requests + 1.0))
            / f64::from(count);
    }
    let candidates = &order[..count as usize];
    let total: f64 = candidates.iter().map(|it| level - costs[*it]).sum();
    let mut remaining = random_fraction * total;
    for index in candidates {
        remaining -= level - costs[*index];
        if remaining < 0.0 {
            return Some(*index);
        }
    }
    candidates.last().copied()
}

/// The cost of sending a request to a target, in milliseconds.
pub fn expected_request_cost_ms(
    candidate: &TargetCandidate,
    now: Millis,
) -> f64 {
    let stats = candidate.stats;
    let latency = candidate.latency_ms.max(1.0)
        * f64::from(candidate.service_time_percent_of_normal.max(1))
        / 100.0;
    let requests = f64::from(stats.estimated_request_count(now));
    let slots = f64::from(candidate.slots.max(1));
    // Requests of one batch slow one another down before all slots are in use;
    // beyond that, a request waits for a slot to become free.
    let sharing_cost = latency * requests / slots;
    let waiting_cost =
        latency * (requests + 1.0 - slots).max(0.0) / slots * 2.0;
    let failure_cost = (latency + CROSS_ZONE_COST_MS)
        * RECENT_FAILURE_COST_FACTOR
        * stats.decayed_failure_count(now);
    let zone_cost = match candidate.locality {
        TargetLocality::SameZone => 0.0,
        TargetLocality::OtherZone => CROSS_ZONE_COST_MS,
    };
    latency + sharing_cost + waiting_cost + failure_cost + zone_cost
}
