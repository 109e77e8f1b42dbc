//! Counts requests in flight and records the metrics of finished requests.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use cowsliproad_config::object::RequestType;
use cowsliproad_kernel::{code::ResultCode, id, wire::RequestFailure};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use slog::info;

use crate::{
    EntryState, answer::AnswerObserver, view::OrganisationInFlightGuard,
};

/// The metrics of callers' requests.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    result_counter: Counter<u64>,
    duration_seconds: Histogram<f64>,
    refused_bodies: Counter<u64>,
}

impl RequestMetrics {
    /// Creates the metrics of callers' requests.
    pub fn new(meter: &Meter) -> RequestMetrics {
        RequestMetrics {
            result_counter: meter.u64_counter("entry_results").build(),
            duration_seconds: meter
                .f64_histogram("entry_request_seconds")
                .build(),
            refused_bodies: meter.u64_counter("entry_refused_bodies").build(),
        }
    }

    /// Counts a body that was not kept for lack of memory, and why.
    pub(super) fn record_refused_body(&self, reason: &'static str) {
        self.refused_bodies.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// Keeps a request counted as in flight in the entry process until dropped.
pub(super) struct EntryInFlightGuard {
    pub(super) entry_state: Arc<EntryState>,
}

impl Drop for EntryInFlightGuard {
    fn drop(&mut self) {
        self.entry_state.in_flight_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps a request counted as in flight, and records its metrics and logs its
/// failure when its answer ends.
pub(super) struct RequestRecorder {
    pub(super) entry_state: Arc<EntryState>,
    pub(super) request_id: id::Request,
    pub(super) request_type: Arc<RequestType>,
    pub(super) arrived_at: Instant,
    pub(super) _entry_in_flight: EntryInFlightGuard,
    pub(super) _organisation_in_flight: OrganisationInFlightGuard,
}

impl AnswerObserver for RequestRecorder {
    fn answer_ended(&mut self, failure: Option<&RequestFailure>) {
        let code = failure.map_or(ResultCode::Ok, |it| it.code);
        let elapsed = self.arrived_at.elapsed();
        let request_metrics = &self.entry_state.request_metrics;
        let kind = self.request_type.name.to_string();
        request_metrics.result_counter.add(
            1,
            &[
                KeyValue::new("type", kind.clone()),
                KeyValue::new("code", code.name()),
            ],
        );
        let kind = [KeyValue::new("type", kind)];
        request_metrics.duration_seconds.record(elapsed.as_secs_f64(), &kind);
        if let Some(failure) = failure {
            info!(self.entry_state.logger, "failed";
                "request" => %self.request_id,
                "type" => %self.request_type.name,
                "code" => failure.code.name(),
                "ran" => failure.ran.as_str(),
                "taken_ms" => elapsed.as_millis() as u64);
        }
    }
}

/// Keeps a reclaim of a kept answer counted as in flight. A reclaim is not
/// recorded in the request metrics.
pub(super) struct UnrecordedReclaim {
    pub(super) _entry_in_flight: EntryInFlightGuard,
}

impl AnswerObserver for UnrecordedReclaim {
    fn answer_ended(&mut self, _: Option<&RequestFailure>) {}
}
