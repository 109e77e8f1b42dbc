//! Metrics of one program, in the Prometheus text format that `/metrics`
//! serves.
//!
//! Each program has its own registry, so that the demo can run several
//! programs in one process without sharing counters between them.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The metrics registry of one program.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty registry.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let provider = match exporter {
            Ok(exporter) => {
                SdkMeterProvider::builder().with_reader(exporter).build()
            }
            // Registering an exporter in an empty registry doesn't fail. If
            // it did, the program would run without visible metrics.
            Err(_) => SdkMeterProvider::builder().build(),
        };
        Metrics { registry, provider }
    }

    /// Returns the meter that creates counters, gauges and histograms.
    pub fn meter(&self) -> Meter {
        self.provider.meter("cowsliproad")
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# can't encode metrics: {error}\n"),
        }
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
