//! Counts requests in flight and records the metrics of finished requests.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use cowsliproad_config::object::RequestType;
use cowsliproad_kernel::{code::Code, id, wire::Failure};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use slog::info;

use crate::{Shared, answer::Companion, view::InFlight};

/// The metrics of callers' requests.
#[derive(Clone, Debug)]
pub struct Instruments {
    results: Counter<u64>,
    seconds: Histogram<f64>,
}

impl Instruments {
    /// Creates the metrics of callers' requests.
    pub fn new(meter: &Meter) -> Instruments {
        Instruments {
            results: meter.u64_counter("entry_results").build(),
            seconds: meter.f64_histogram("entry_request_seconds").build(),
        }
    }
}

/// Keeps a request counted as in flight in the entry process until dropped.
pub(super) struct EntryGuard {
    pub(super) shared: Arc<Shared>,
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps a request counted as in flight, and records its metrics and logs its
/// failure when its answer ends.
pub(super) struct Finish {
    pub(super) shared: Arc<Shared>,
    pub(super) request: id::Request,
    pub(super) request_type: Arc<RequestType>,
    pub(super) arrival: Instant,
    pub(super) _guard: EntryGuard,
    pub(super) _share: InFlight,
}

impl Companion for Finish {
    fn ended(&mut self, failure: Option<&Failure>) {
        let code = failure.map_or(Code::Ok, |it| it.code);
        let taken = self.arrival.elapsed();
        let instruments = &self.shared.instruments;
        let kind = self.request_type.name.to_string();
        instruments.results.add(
            1,
            &[
                KeyValue::new("type", kind.clone()),
                KeyValue::new("code", code.name()),
            ],
        );
        let kind = [KeyValue::new("type", kind)];
        instruments.seconds.record(taken.as_secs_f64(), &kind);
        if let Some(failure) = failure {
            info!(self.shared.log, "failed";
                "request" => %self.request,
                "type" => %self.request_type.name,
                "code" => failure.code.name(),
                "ran" => failure.ran.as_str(),
                "taken_ms" => taken.as_millis() as u64);
        }
    }
}

/// Keeps a reclaim of a kept answer counted as in flight. A reclaim is not
/// recorded in the request metrics.
pub(super) struct Ignored {
    pub(super) _guard: EntryGuard,
}

impl Companion for Ignored {
    fn ended(&mut self, _: Option<&Failure>) {}
}
