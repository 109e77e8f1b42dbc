//! The entry's counters and histograms.

use cowsliproad_kernel::clock::Millis;
use cowsliproad_net::metrics::Metrics;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

/// Counters and histograms, and the text that shows them.
#[derive(Clone, Debug)]
pub struct Measure {
    metrics: Metrics,
    answers: Counter<u64>,
    tries: Counter<u64>,
    first_byte: Histogram<u64>,
    whole: Histogram<u64>,
    suspicions: Counter<u64>,
    quarantined: Counter<u64>,
    limited: Counter<u64>,
    limits: Gauge<u64>,
    cooldowns: Counter<u64>,
    cooling: Gauge<u64>,
    rollbacks: Counter<u64>,
    caught_up: Histogram<u64>,
    peers: Gauge<u64>,
    targets: Gauge<u64>,
}

impl Measure {
    /// Nothing measured yet.
    pub fn new() -> Measure {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        Measure {
            answers: meter.u64_counter("answers").build(),
            tries: meter.u64_counter("tries").build(),
            first_byte: meter.u64_histogram("first_byte_ms").build(),
            whole: meter.u64_histogram("whole_answer_ms").build(),
            quarantined: meter.u64_counter("quarantined").build(),
            limited: meter.u64_counter("limited").build(),
            limits: meter.u64_gauge("limits").build(),
            cooldowns: meter.u64_counter("cooldowns").build(),
            cooling: meter.u64_gauge("cooling_targets").build(),
            rollbacks: meter.u64_counter("log_rollbacks").build(),
            caught_up: meter.u64_histogram("log_caught_up_ms").build(),
            suspicions: meter.u64_counter("doubts").build(),
            peers: meter.u64_gauge("peers").build(),
            targets: meter.u64_gauge("targets").build(),
            metrics,
        }
    }

    /// Notes an answer's status and the time to its first byte.
    pub fn answered(&self, status: u16, took: Millis) {
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, std::slice::from_ref(&status));
        self.first_byte.record(took.0, &[status]);
    }

    /// Notes the time to the end of an answer.
    pub fn ended(&self, took: Millis) {
        self.whole.record(took.0, &[]);
    }

    /// Notes how a try at a target ended.
    pub fn tried(&self, outcome: &'static str) {
        self.tries.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Notes what became of requests under which a target may have ended.
    pub fn suspected(&self, requests: usize, outcome: &'static str) {
        let outcome = KeyValue::new("outcome", outcome);
        self.suspicions.add(requests as u64, &[outcome]);
    }

    /// Notes work that is refused, a request of it that was, or work that is
    /// refused no longer.
    pub fn quarantined(&self, outcome: &'static str) {
        self.quarantined.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Notes what came of asking for a place at a target that names a limit.
    pub fn limited(&self, outcome: &'static str) {
        self.limited.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Notes how many targets name a limit.
    pub fn knows_limits(&self, targets: usize) {
        self.limits.record(targets as u64, &[]);
    }

    /// Notes that a target asked to be left alone, or for longer.
    pub fn cooled_down(&self) {
        self.cooldowns.add(1, &[]);
    }

    /// Notes how many targets are left alone.
    pub fn knows_cooling(&self, targets: usize) {
        self.cooling.record(targets as u64, &[]);
    }

    /// Notes that the platform's log came back from an older copy.
    pub fn rolled_back(&self) {
        self.rollbacks.add(1, &[]);
    }

    /// Notes how long it took until all of that log was read again.
    pub fn caught_up(&self, took: Millis) {
        self.caught_up.record(took.0, &[]);
    }

    /// Notes how many other entries and targets it knows.
    pub fn knows(&self, peers: usize, targets: usize) {
        self.peers.record(peers as u64, &[]);
        self.targets.record(targets as u64, &[]);
    }

    /// All of it as text.
    pub fn text(&self) -> String {
        self.metrics.text()
    }
}

impl Default for Measure {
    fn default() -> Measure {
        Measure::new()
    }
}
