//! Metrics of the entry process.

use cowsliproad_admission::{memory, window::RetryUsage};
use cowsliproad_kernel::{Name, clock::Millis};
use cowsliproad_net::metrics::Metrics;
use cowsliproad_routing::fleet::Target;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use crate::entry::choose::CandidateSnapshot;

/// The counters, gauges and histograms of an entry process, and their text
/// output.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    service_targets: Gauge<u64>,
    readiness_checks: Counter<u64>,
    answers: Counter<u64>,
    tries: Counter<u64>,
    first_byte: Histogram<u64>,
    whole: Histogram<u64>,
    crash_suspicions: Counter<u64>,
    quarantined: Counter<u64>,
    suspected_prompt_parts: Counter<u64>,
    prompt_parts: Counter<u64>,
    limited: Counter<u64>,
    limits: Gauge<u64>,
    cooldowns: Counter<u64>,
    cooling: Gauge<u64>,
    rollbacks: Counter<u64>,
    caught_up: Histogram<u64>,
    caller_connections: Counter<u64>,
    open_caller_connections: Gauge<u64>,
    refused_bodies: Counter<u64>,
    caller_bytes: Gauge<u64>,
    caller_bytes_allowed: Gauge<u64>,
    unfinished_bodies: Gauge<u64>,
    peers: Gauge<u64>,
    targets: Gauge<u64>,
    expert_map_skew: Gauge<u64>,
    config_version: Gauge<u64>,
    newest_config_version: Gauge<u64>,
    log_answer_age: Gauge<u64>,
    config_confirmed_age: Gauge<u64>,
    silent_polls: Counter<u64>,
    late_digests: Counter<u64>,
    missed_targets: Counter<u64>,
    retries: Counter<u64>,
    retries_spent: Gauge<u64>,
    retries_allowed: Gauge<u64>,
    retry_reports: Counter<u64>,
    retry_report_bytes: Counter<u64>,
    task_restarts: Counter<u64>,
}

impl EntryMetrics {
    /// Creates all metrics at zero.
    pub fn new() -> EntryMetrics {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        EntryMetrics {
            requests: meter.u64_counter("requests").build(),
            service_targets: meter.u64_gauge("service_targets").build(),
            readiness_checks: meter.u64_counter("readiness_checks").build(),
            answers: meter.u64_counter("answers").build(),
            tries: meter.u64_counter("tries").build(),
            first_byte: meter.u64_histogram("first_byte_ms").build(),
            whole: meter.u64_histogram("whole_answer_ms").build(),
            quarantined: meter.u64_counter("quarantined").build(),
            prompt_parts: meter
                .u64_counter("quarantined_prompt_parts")
                .build(),
            suspected_prompt_parts: meter
                .u64_counter("suspected_prompt_parts")
                .build(),
            limited: meter.u64_counter("limited").build(),
            limits: meter.u64_gauge("limits").build(),
            cooldowns: meter.u64_counter("cooldowns").build(),
            cooling: meter.u64_gauge("cooling_targets").build(),
            rollbacks: meter.u64_counter("log_rollbacks").build(),
            caught_up: meter.u64_histogram("log_caught_up_ms").build(),
            crash_suspicions: meter.u64_counter("doubts").build(),
            caller_connections: meter
                .u64_counter("caller_connections")
                .build(),
            open_caller_connections: meter
                .u64_gauge("open_caller_connections")
                .build(),
            refused_bodies: meter.u64_counter("refused_bodies").build(),
            caller_bytes: meter.u64_gauge("caller_bytes").build(),
            caller_bytes_allowed: meter
                .u64_gauge("caller_bytes_allowed")
                .build(),
            unfinished_bodies: meter.u64_gauge("unfinished_bodies").build(),
            peers: meter.u64_gauge("peers").build(),
            targets: meter.u64_gauge("targets").build(),
            expert_map_skew: meter
                .u64_gauge("expert_map_skew_percent")
                .build(),
            config_version: meter.u64_gauge("config_version").build(),
            newest_config_version: meter
                .u64_gauge("newest_config_version")
                .build(),
            config_confirmed_age: meter
                .u64_gauge("config_confirmed_age_ms")
                .build(),
            silent_polls: meter.u64_counter("silent_polls").build(),
            late_digests: meter.u64_counter("late_digests").build(),
            missed_targets: meter.u64_counter("missed_targets").build(),
            retries: meter.u64_counter("retries").build(),
            retries_spent: meter.u64_gauge("retries_spent").build(),
            retries_allowed: meter.u64_gauge("retries_allowed").build(),
            retry_reports: meter.u64_counter("retry_reports").build(),
            retry_report_bytes: meter
                .u64_counter("retry_report_bytes")
                .build(),
            task_restarts: meter.u64_counter("task_restarts").build(),
            log_answer_age: meter.u64_gauge("log_answer_age_ms").build(),
            metrics,
        }
    }

    /// Records the status of an answer to a caller and the time to its first
    /// byte.
    pub fn record_caller_answer(&self, status: u16, took: Millis) {
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, std::slice::from_ref(&status));
        self.first_byte.record(took.0, &[status]);
    }

    /// Records the time until an answer to a caller was complete.
    pub fn record_answer_duration(&self, took: Millis) {
        self.whole.record(took.0, &[]);
    }

    /// Records how a caller's request ended, with the service and the route
    /// that it was matched to and the availability zone of this entry process.
    pub fn record_request_outcome(
        &self,
        service_and_route: Option<(&Name, &Name)>,
        zone: &Name,
        outcome: &'static str,
    ) {
        let unmatched = Name::from("");
        let (service, route) =
            service_and_route.unwrap_or((&unmatched, &unmatched));
        let labels = [
            KeyValue::new("service", service.clone()),
            KeyValue::new("route", route.clone()),
            KeyValue::new("zone", zone.clone()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Sets the numbers of a service's targets by state.
    pub fn set_service_targets(
        &self,
        service: &Name,
        targets: &CandidateSnapshot,
    ) {
        let unusable = targets.unusable();
        let states = [
            ("usable", targets.usable_count()),
            ("limited", targets.limited_count()),
            ("group_down", unusable.group_down),
            ("agent_silent", unusable.agent_silent),
            ("cooling", unusable.cooling),
            ("probed", unusable.probed),
            ("no_connection", unusable.no_connection),
        ];
        for (state, count) in states {
            let labels = [
                KeyValue::new("service", service.clone()),
                KeyValue::new("state", state),
            ];
            self.service_targets.record(count as u64, &labels);
        }
    }

    /// Records the answer to a readiness check.
    pub fn record_readiness_check(&self, answer: &'static str) {
        self.readiness_checks.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Records the outcome of an attempt at a target.
    pub fn record_attempt_outcome(
        &self,
        target: &Target,
        outcome: &'static str,
    ) {
        let labels = [
            KeyValue::new("service", target.service.clone()),
            KeyValue::new("target_zone", target.zone.clone()),
            KeyValue::new("outcome", outcome),
        ];
        self.tries.add(1, &labels);
    }

    /// Records that a task of the process panicked and starts again.
    pub fn record_task_restart(&self, task_name: &'static str) {
        self.task_restarts.add(1, &[KeyValue::new("task", task_name)]);
    }

    /// Records the outcome of suspicions that a target crashed under requests.
    pub fn record_suspicion_outcomes(
        &self,
        requests: usize,
        outcome: &'static str,
    ) {
        let outcome = KeyValue::new("outcome", outcome);
        self.crash_suspicions.add(requests as u64, &[outcome]);
    }

    /// Records a quarantine event: work was refused, suspended or freed, or a
    /// request for refused work was rejected.
    pub fn record_quarantine_event(&self, outcome: &'static str) {
        self.quarantined.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that a target crashed while it ran a request with these many
    /// prompt parts and had not begun to answer.
    pub fn record_suspected_prompt_parts(&self, parts: usize) {
        self.suspected_prompt_parts.add(parts as u64, &[]);
    }

    /// Records that a prompt part was refused, freed, tried, or cleared of
    /// crashes by an answer.
    pub fn record_prompt_part_event(&self, outcome: &'static str) {
        self.prompt_parts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the outcome of a permit request at a rate-limited target.
    pub fn record_permit_outcome(&self, outcome: &'static str) {
        self.limited.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets the number of targets that state a rate limit.
    pub fn set_limited_targets(&self, targets: usize) {
        self.limits.record(targets as u64, &[]);
    }

    /// Records that a target requested a cooldown, or a longer one.
    pub fn record_cooldown(&self) {
        self.cooldowns.add(1, &[]);
    }

    /// Sets the number of targets in a cooldown.
    pub fn set_cooling_targets(&self, targets: usize) {
        self.cooling.record(targets as u64, &[]);
    }

    /// Records a rollback of the platform's log to an older copy.
    pub fn record_log_rollback(&self) {
        self.rollbacks.add(1, &[]);
    }

    /// Records the time from a rollback until all topics of the log were read
    /// again.
    pub fn record_log_catch_up(&self, took: Millis) {
        self.caught_up.record(took.0, &[]);
    }

    /// Records a caller's body that was not kept, and why.
    pub fn record_refused_body(&self, reason: &'static str) {
        self.refused_bodies.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Sets what callers make the process hold.
    pub fn set_caller_memory(&self, usage: memory::Usage) {
        self.caller_bytes.record(usage.held_bytes as u64, &[]);
        self.caller_bytes_allowed.record(usage.capacity_bytes as u64, &[]);
        self.unfinished_bodies.record(usage.upload_count as u64, &[]);
    }

    /// Records connections of callers that were closed to make room, or turned
    /// away.
    pub fn record_caller_connections(
        &self,
        outcome: &'static str,
        connections: usize,
    ) {
        let outcome = KeyValue::new("outcome", outcome);
        self.caller_connections.add(connections as u64, &[outcome]);
    }

    /// Sets the number of open connections of callers.
    pub fn set_caller_connections(&self, connections: usize) {
        self.open_caller_connections.record(connections as u64, &[]);
    }

    /// Sets the numbers of known other entry processes and of usable targets.
    pub fn set_known_peers_and_targets(&self, peers: usize, targets: usize) {
        self.peers.record(peers as u64, &[]);
        self.targets.record(targets as u64, &[]);
    }

    /// Sets the step time of a group under its expert map, in percent of the
    /// step time under perfect balance.
    pub fn set_expert_map_skew(&self, group: &str, skew_percent: u32) {
        let group = KeyValue::new("group", group.to_string());
        self.expert_map_skew.record(u64::from(skew_percent), &[group]);
    }

    /// Sets the version of the configuration in force, and the newest version
    /// that this entry process or another one has announced.
    pub fn set_config_versions(&self, in_force: u64, newest: u64) {
        self.config_version.record(in_force, &[]);
        self.newest_config_version.record(newest, &[]);
    }

    /// Sets the time since the log last answered a call for a topic.
    pub fn set_log_answer_age(
        &self,
        topic: &'static str,
        call: &'static str,
        age: Millis,
    ) {
        let labels =
            [KeyValue::new("topic", topic), KeyValue::new("call", call)];
        self.log_answer_age.record(age.0, &labels);
    }

    /// Sets the time since the log last confirmed to any entry process that no
    /// newer configuration was written.
    pub fn set_config_confirmed_age(&self, age: Millis) {
        self.config_confirmed_age.record(age.0, &[]);
    }

    /// Records that a long poll did not return records that the log had.
    pub fn record_silent_poll(&self) {
        self.silent_polls.add(1, &[]);
    }

    /// Records a digest that was received long after it was sent.
    pub fn record_late_digest(&self) {
        self.late_digests.add(1, &[]);
    }

    /// Records targets that the log listed and this entry process had dropped
    /// or missed.
    pub fn record_missed_targets(&self, count: usize) {
        self.missed_targets.add(count as u64, &[]);
    }

    /// Records that a retry was spent or denied, and what this entry process
    /// has used of the service's retry budget within the budget's window.
    pub fn record_retry(
        &self,
        service: &str,
        outcome: &'static str,
        usage: RetryUsage,
    ) {
        let service = KeyValue::new("service", service.to_string());
        let labels = [service.clone(), KeyValue::new("outcome", outcome)];
        self.retries.add(1, &labels);
        let service = [service];
        self.retries_spent.record(u64::from(usage.spent), &service);
        self.retries_allowed.record(usage.allowed as u64, &service);
    }

    /// Records a report of retries that was sent to these many recipients.
    pub fn record_retry_report(&self, recipients: usize, bytes: usize) {
        self.retry_reports.add(recipients as u64, &[]);
        self.retry_report_bytes.add((recipients * bytes) as u64, &[]);
    }

    /// Renders all metrics as text.
    pub fn render_text(&self) -> String {
        self.metrics.text()
    }
}

impl Default for EntryMetrics {
    fn default() -> EntryMetrics {
        EntryMetrics::new()
    }
}
