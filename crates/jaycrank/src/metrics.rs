//! Metrics of an instance in the text format of Prometheus.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jaycrank_metric::Error;
use jaycrank_metric::Registry;
use jaycrank_policy::tally;
use jaycrank_settings::Rank;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use tokio::time::Instant;

use crate::node::Parts;

/// Bucket bounds of the latency histogram.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Values of a metric by label value.
pub type Family = BTreeMap<&'static str, u64>;

/// Callback that reads a family of values at the time of a scrape.
pub type Callback = Arc<dyn Fn() -> Family + Send + Sync>;

/// Outcome of a query, as a label value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Every group answered.
    Complete,
    /// Some groups are missing.
    Partial,
    /// The query was refused.
    Refused,
}

impl From<tally::Outcome> for Outcome {
    fn from(outcome: tally::Outcome) -> Self {
        match outcome {
            tally::Outcome::Refused => Self::Refused,
            tally::Outcome::Complete => Self::Complete,
            tally::Outcome::Partial => Self::Partial,
        }
    }
}

/// The instruments of an instance.
pub struct Metrics {
    registry: Registry,
    queries: Counter<u64>,
    latency: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments with a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new()?;
        let meter = registry.meter();
        let queries = meter
            .u64_counter("jaycrank_queries")
            .with_description("Queries by service, rank and outcome")
            .build();
        let latency = meter
            .f64_histogram("jaycrank_query")
            .with_unit("s")
            .with_description("Time from the arrival of a query to its answer")
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .build();
        Ok(Self { registry, queries, latency })
    }

    /// Counts a query and records the time until its answer.
    pub fn record_query(&self, service: &str, rank: Rank, outcome: Outcome, time: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let rank = KeyValue::new("rank", <&'static str>::from(rank));
        let outcome = KeyValue::new("outcome", <&'static str>::from(outcome));
        self.latency.record(time.as_secs_f64(), &[service.clone(), rank.clone()]);
        self.queries.add(1, &[service, rank, outcome]);
    }

    /// Adds a family of counters whose values are read at the time of a scrape.
    pub fn add_counters(&self, name: &'static str, label: &'static str, callback: Callback) {
        self.registry
            .meter()
            .u64_observable_counter(name)
            .with_callback(move |observer| {
                for (value, count) in callback() {
                    observer.observe(count, &[KeyValue::new(label, value)]);
                }
            })
            .build();
    }

    /// Adds a family of gauges whose values are read at the time of a scrape.
    pub fn add_gauges(&self, name: &'static str, label: &'static str, callback: Callback) {
        self.registry
            .meter()
            .u64_observable_gauge(name)
            .with_callback(move |observer| {
                for (value, number) in callback() {
                    observer.observe(number, &[KeyValue::new(label, value)]);
                }
            })
            .build();
    }

    /// Adds the metrics whose values are read from the parts of an instance.
    ///
    /// The parts own the metrics, so the callbacks hold only weak references to them.
    pub fn register(&self, parts: &Arc<Parts>) {
        self.add_gauges("jaycrank_revision", "document", callback(parts, revision));
        self.add_gauges("jaycrank_peers", "liveness", callback(parts, peers));
        self.add_gauges("jaycrank_documents", "kind", callback(parts, documents));
        self.add_gauges("jaycrank_claim_partitions", "state", callback(parts, partitions));
        let calls = |parts: &Parts| parts.calls.snapshot();
        self.add_counters("jaycrank_platform_calls", "kind", callback(parts, calls));
        self.add_counters(
            "jaycrank_heartbeat_bytes",
            "direction",
            callback(parts, heartbeat_bytes),
        );
        self.add_counters("jaycrank_extra_requests", "kind", callback(parts, extra_requests));
    }

    /// Encodes all values in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn scrape(&self) -> Result<String, Error> {
        self.registry.scrape()
    }
}

/// Creates a callback that reads a family from the parts, or an empty one once they are dropped.
fn callback(
    parts: &Arc<Parts>,
    read: impl Fn(&Parts) -> Family + Send + Sync + 'static,
) -> Callback {
    let parts = Arc::downgrade(parts);
    Arc::new(move || parts.upgrade().map(|parts| read(&parts)).unwrap_or_default())
}

/// Returns the revision of the settings in force.
fn revision(parts: &Parts) -> Family {
    Family::from([("config", parts.shared.active().config().revision())])
}

fn peers(parts: &Parts) -> Family {
    let mut family = Family::from([("live", 0)]);
    for peer in parts.shared.exchange().membership().peers(Instant::now().into_std()) {
        *family.entry(peer.liveness.into()).or_default() += 1;
    }
    family
}

fn documents(parts: &Parts) -> Family {
    let mut family = Family::new();
    for key in parts.shared.exchange().documents().revisions().keys() {
        let kind = match key.split('/').next() {
            Some("config") => "config",
            Some("map") => "map",
            Some("tally") => "tally",
            _ => "other",
        };
        *family.entry(kind).or_default() += 1;
    }
    family
}

fn partitions(parts: &Parts) -> Family {
    Family::from([("owned", parts.claims.epochs().len() as u64)])
}

fn heartbeat_bytes(parts: &Parts) -> Family {
    let traffic = parts.shared.exchange().traffic();
    Family::from([("sent", traffic.sent_bytes()), ("received", traffic.received_bytes())])
}

fn extra_requests(parts: &Parts) -> Family {
    let dump = parts.shared.fleet().dump();
    Family::from([("hedged", dump.hedges), ("cancelled", dump.cancels)])
}
