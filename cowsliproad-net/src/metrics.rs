//! Metrics of one process, in the text form that `/metrics` serves.
//!
//! Each program owns its meter, so that several can live in one process of
//! the demo without sharing counters.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// A program's meter and what it has measured.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// A set of metrics with nothing in it.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let provider = match exporter {
            Ok(exporter) => {
                SdkMeterProvider::builder().with_reader(exporter).build()
            }
            // A fresh registry takes any exporter; without one the numbers
            // are merely not shown.
            Err(_) => SdkMeterProvider::builder().build(),
        };
        Metrics { registry, provider }
    }

    /// The meter that instruments are made with.
    pub fn meter(&self) -> Meter {
        self.provider.meter("cowsliproad")
    }

    /// Everything measured so far.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# metrics don't encode: {error}\n"),
        }
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
