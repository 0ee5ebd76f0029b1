//! Counters and the latency histogram of the gateway.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jaycrank_metric::Error;
use jaycrank_metric::Registry;
use jaycrank_policy::clients::Counts;
use jaycrank_policy::memory::Memory;
use opentelemetry::KeyValue;
use opentelemetry::metrics::AsyncInstrument;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use smol_str::SmolStr;

use crate::traffic::Count;
use crate::traffic::Traffic;

/// Bucket boundaries of the latency histogram, in seconds.
const LATENCY_BOUNDARIES_S: [f64; 12] =
    [0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Metric instruments of one gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Counter<u64>,
    resent: Counter<u64>,
    catalog_calls: Counter<u64>,
    exchanged_leafs: Counter<u64>,
    leaf_crashes: Counter<u64>,
    held_back: Counter<u64>,
    closed: Counter<u64>,
    latency: Histogram<f64>,
    /// Number of requests by outcome, for the state dump.
    outcomes: Mutex<BTreeMap<&'static str, u64>>,
}

impl Metrics {
    /// Creates the instruments in a new registry. Messages and bytes are read from `traffic`.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be built.
    pub fn new(traffic: Arc<Traffic>) -> Result<Self, Error> {
        let registry = Registry::new()?;
        let meter = registry.meter();
        observe_traffic(meter, traffic);
        let requests = meter
            .u64_counter("jaycrank_requests")
            .with_description("Requests by route and outcome")
            .build();
        let resent = meter
            .u64_counter("jaycrank_resent")
            .with_description("Requests sent to one more leaf, by cause")
            .build();
        let catalog_calls = meter
            .u64_counter("jaycrank_catalog_calls")
            .with_description("Calls to the catalog by kind and outcome")
            .build();
        let exchanged_leafs = meter
            .u64_counter("jaycrank_exchanged_leafs")
            .with_description("Entries of leafs heard from other instances, by their relation")
            .build();
        let leaf_crashes = meter
            .u64_counter("jaycrank_leaf_crashes")
            .with_description(
                "Crashes of leafs with a request in flight, by whether it ran isolated",
            )
            .build();
        let held_back = meter
            .u64_counter("jaycrank_held_back")
            .with_description(
                "Requests not sent to a leaf because of the limit that it states or its rest",
            )
            .build();
        let closed = meter
            .u64_counter("jaycrank_connections_closed")
            .with_description("Connections closed or refused, by listener and cause")
            .build();
        let latency = meter
            .f64_histogram("jaycrank_request")
            .with_unit("s")
            .with_description("Time from the arrival of a request to its answer")
            .with_boundaries(LATENCY_BOUNDARIES_S.to_vec())
            .build();
        Ok(Self {
            registry,
            requests,
            resent,
            catalog_calls,
            exchanged_leafs,
            leaf_crashes,
            held_back,
            closed,
            latency,
            outcomes: Mutex::default(),
        })
    }

    /// Counts a request and records its latency.
    pub fn record_request(&self, route: &str, outcome: &'static str, time: Duration) {
        *self.lock().entry(outcome).or_default() += 1;
        let route = KeyValue::new("route", route.to_owned());
        self.latency.record(time.as_secs_f64(), std::slice::from_ref(&route));
        self.requests.add(1, &[route, KeyValue::new("outcome", outcome)]);
    }

    /// Returns the number of requests since the start, by outcome.
    pub fn outcomes(&self) -> BTreeMap<SmolStr, u64> {
        self.lock().iter().map(|(outcome, count)| ((*outcome).into(), *count)).collect()
    }

    /// Counts a retry or hedge of a request.
    pub fn record_resend(&self, cause: &'static str) {
        self.resent.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a call to the catalog.
    pub fn record_catalog_call(&self, kind: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.catalog_calls.add(1, &labels);
    }

    /// Counts leaf entries received from another instance. `relation` is `reader` for the instance
    /// through which this one reads the catalog, and `other` for one that is polled as a fallback.
    pub fn record_exchanged_leafs(&self, relation: &'static str, leafs: usize) {
        self.exchanged_leafs.add(leafs as u64, &[KeyValue::new("relation", relation)]);
    }

    /// Counts a leaf that crashed with a request in flight.
    pub fn record_leaf_crash(&self, isolated: bool) {
        self.leaf_crashes.add(1, &[KeyValue::new("isolated", isolated)]);
    }

    /// Counts a request that is not sent to a leaf because of its limit: `other-leaf` if another leaf
    /// may take it, `waiting` if it waits for a token, `refused` if it is refused.
    pub fn record_held_back(&self, consequence: &'static str) {
        self.held_back.add(1, &[KeyValue::new("consequence", consequence)]);
    }

    /// Counts connections that were closed or refused: `others` if a new one needed the room, `unread`
    /// if the client did not read, `slow` if the memory of its answer was needed, `full` for new ones that found no room.
    pub fn record_closed(&self, listener: &'static str, counts: Counts) {
        let Counts { closed, blocked, slow, refused } = counts;
        let causes = [("others", closed), ("unread", blocked), ("slow", slow), ("full", refused)];
        for (cause, count) in causes {
            let labels = [KeyValue::new("listener", listener), KeyValue::new("cause", cause)];
            self.closed.add(count, &labels);
        }
    }

    /// Observes the use of a memory.
    pub fn observe_memory(&self, name: &'static str, memory: Arc<Memory>) {
        let meter = self.registry.meter();
        let label = [KeyValue::new("memory", name)];
        let (used, labels) = (memory.clone(), label.clone());
        meter
            .u64_observable_gauge("jaycrank_memory")
            .with_unit("By")
            .with_description("Memory in use for clients and other instances")
            .with_callback(move |observer| observer.observe(used.bytes() as u64, &labels))
            .build();
        meter
            .u64_observable_counter("jaycrank_memory_refused")
            .with_description("Times that memory was refused, or taken from an unfinished body")
            .with_callback(move |observer| {
                let usage = memory.usage();
                observer.observe(usage.refused + usage.revoked, &label);
            })
            .build();
    }

    /// Encodes all values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn scrape(&self) -> Result<String, Error> {
        self.registry.scrape()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, u64>> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the instruments for messages and bytes by kind and distance.
fn observe_traffic(meter: &Meter, traffic: Arc<Traffic>) {
    let observe = |traffic: Arc<Traffic>, value: fn(&Count) -> u64| {
        move |observer: &dyn AsyncInstrument<u64>| {
            for (name, count) in traffic.counts() {
                let (kind, distance) = name.split_once('/').unwrap_or((&name, ""));
                let labels = [
                    KeyValue::new("kind", kind.to_owned()),
                    KeyValue::new("distance", distance.to_owned()),
                ];
                observer.observe(value(&count), &labels);
            }
        }
    };
    meter
        .u64_observable_counter("jaycrank_messages")
        .with_description("Messages sent, by kind and distance")
        .with_callback(observe(traffic.clone(), |count| count.messages))
        .build();
    meter
        .u64_observable_counter("jaycrank_sent")
        .with_unit("By")
        .with_description("Bytes sent, by kind and distance")
        .with_callback(observe(traffic.clone(), |count| count.sent))
        .build();
    meter
        .u64_observable_counter("jaycrank_received")
        .with_unit("By")
        .with_description("Bytes received in reply, by kind and distance")
        .with_callback(observe(traffic, |count| count.received))
        .build();
}
