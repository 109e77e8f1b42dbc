//! What is kept while a request runs, and what is measured at its end.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use cowsliproad_config::object::RequestType;
use cowsliproad_kernel::{code::Code, id, wire::RequestFailure};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use slog::info;

use crate::{Shared, answer::Companion, view::InFlight};

/// The instruments that callers' requests are measured with.
#[derive(Clone, Debug)]
pub struct Instruments {
    results: Counter<u64>,
    seconds: Histogram<f64>,
}

impl Instruments {
    /// Makes the instruments.
    pub fn new(meter: &Meter) -> Instruments {
        Instruments {
            results: meter.u64_counter("entry_results").build(),
            seconds: meter.f64_histogram("entry_request_seconds").build(),
        }
    }
}

/// Counts a request in the entry while it lives.
pub(super) struct EntryGuard {
    pub(super) shared: Arc<Shared>,
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What is kept while a request runs, and written down at its end.
pub(super) struct Finish {
    pub(super) shared: Arc<Shared>,
    pub(super) request: id::Request,
    pub(super) request_type: Arc<RequestType>,
    pub(super) arrival: Instant,
    pub(super) _guard: EntryGuard,
    pub(super) _share: InFlight,
}

impl Companion for Finish {
    fn ended(&mut self, failure: Option<&RequestFailure>) {
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

/// A kept answer that is read out is not measured as a request.
pub(super) struct Ignored {
    pub(super) _guard: EntryGuard,
}

impl Companion for Ignored {
    fn ended(&mut self, _: Option<&RequestFailure>) {}
}
