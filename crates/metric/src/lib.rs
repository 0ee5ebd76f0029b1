//! Metric instruments of a process, exported in the Prometheus text format.
//!
//! ```
//! use jaycrank_metric::Registry;
//!
//! let registry = Registry::new()?;
//! registry.meter().u64_counter("requests").build().add(1, &[]);
//! assert!(registry.scrape()?.contains("requests_total"));
//! # Ok::<(), jaycrank_metric::Error>(())
//! ```

use std::fmt;

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::TextEncoder;

/// Failure to set up or encode the metrics.
#[derive(Debug)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "metrics: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Registry of the metric instruments of a process.
#[derive(Debug)]
pub struct Registry {
    registry: prometheus::Registry,
    _provider: SdkMeterProvider,
    meter: Meter,
}

impl Registry {
    /// Creates a registry without instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jaycrank");
        Ok(Self { registry, _provider: provider, meter })
    }

    /// Returns the meter that builds instruments.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Encodes the current values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn scrape(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| Error(error.to_string()))?;
        String::from_utf8(text).map_err(|error| Error(error.to_string()))
    }
}
