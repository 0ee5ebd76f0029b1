//! Counts of members' queries at one instance, and merged over instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use jaycrank_settings::Rank;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::share::Demand;

/// Time constant of the average demand. If it were shorter than a few heartbeats, the allocation
/// would follow noise; if it were much longer, it would follow a flood late.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Resolution of latencies.
const LATENCY_UNIT: Duration = Duration::from_micros(100);

/// Longest latency recorded, in units of [`LATENCY_UNIT`]: 10 minutes.
const LATENCY_MAX_UNITS: u64 = 6_000_000;

/// Precision of recorded latencies, in significant decimal digits.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;

/// Counts of one member, service and rank at one instance since it started.
///
/// Each answer or refusal increments exactly one of `refused`, `complete` and `partial`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Queries received.
    pub offered: u64,
    /// Queries admitted.
    pub admitted: u64,
    /// Queries refused, before or after admission.
    pub refused: u64,
    /// Queries answered completely.
    pub complete: u64,
    /// Queries answered partially.
    pub partial: u64,
}

impl Tally {
    /// Returns the number of answers and refusals, which is the sequence number of the tally.
    pub fn position(&self) -> u64 {
        self.refused + self.complete + self.partial
    }

    /// Returns the number of answers.
    pub fn answers(&self) -> u64 {
        self.complete + self.partial
    }

    /// Adds the counts of another instance or incarnation.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.admitted += other.admitted;
        self.refused += other.refused;
        self.complete += other.complete;
        self.partial += other.partial;
    }
}

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Refused, whether or not it may have had an effect.
    Refused,
    /// Answered completely.
    Complete,
    /// Answered partially.
    Partial,
}

/// Key by which queries are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Service of the queries.
    pub service: SmolStr,
    /// Rank of the queries.
    pub rank: Rank,
    /// Member that sent the queries.
    pub member: SmolStr,
}

impl Key {
    /// Creates a key.
    pub fn new(service: impl Into<SmolStr>, rank: Rank, member: impl Into<SmolStr>) -> Self {
        Self { service: service.into(), rank, member: member.into() }
    }
}

struct Counts {
    tally: Tally,
    latency: Histogram<u32>,
    /// Queries received, with exponential decay, as of `last_offered_at`.
    demand: f64,
    last_offered_at: Option<Instant>,
    first_offered_at: Option<Instant>,
}

impl Counts {
    /// Returns the factor by which demand has decayed since `last_offered_at`.
    fn demand_decay(&self, now: Instant) -> f64 {
        let elapsed =
            self.last_offered_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the fraction of the averaging window since the first query. Without this correction,
    /// a new instance would report too little demand for seconds, and get too little capacity.
    fn observed_fraction(&self, now: Instant) -> f64 {
        let elapsed =
            self.first_offered_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (1.0 - (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp())
            .max(OBSERVED_FRACTION_MIN)
    }
}

/// Minimum of [`Counts::observed_fraction`], so that the first query does not look like a flood.
const OBSERVED_FRACTION_MIN: f64 = 0.1;

/// Counter of one key at this instance.
pub struct Counter {
    counts: Mutex<Counts>,
}

impl Counter {
    fn new() -> Self {
        let counts = Counts {
            tally: Tally::default(),
            latency: histogram(),
            demand: 0.0,
            last_offered_at: None,
            first_offered_at: None,
        };
        Self { counts: Mutex::new(counts) }
    }

    /// Counts a received query.
    pub fn count_offered(&self, now: Instant) {
        let mut counts = self.lock();
        counts.tally.offered += 1;
        counts.demand = counts.demand * counts.demand_decay(now) + 1.0;
        counts.last_offered_at = Some(now);
        counts.first_offered_at.get_or_insert(now);
    }

    /// Counts an admitted query.
    pub fn count_admitted(&self) {
        self.lock().tally.admitted += 1;
    }

    /// Counts the outcome of a query and its latency, and returns the tally that includes it.
    ///
    /// The position of each returned tally is unique.
    pub fn count_outcome(&self, outcome: Outcome, latency: Duration) -> Tally {
        let mut counts = self.lock();
        match outcome {
            Outcome::Refused => counts.tally.refused += 1,
            Outcome::Complete => counts.tally.complete += 1,
            Outcome::Partial => counts.tally.partial += 1,
        }
        if outcome != Outcome::Refused {
            let units = latency.as_micros() / LATENCY_UNIT.as_micros();
            let units = u64::try_from(units).unwrap_or(LATENCY_MAX_UNITS).min(LATENCY_MAX_UNITS);
            add_latency(&mut counts.latency, units, 1);
        }
        counts.tally
    }

    /// Returns the counts so far.
    pub fn tally(&self) -> Tally {
        self.lock().tally
    }

    /// Returns the queries received per second, as an exponential moving average.
    pub fn demand(&self, now: Instant) -> f64 {
        let counts = self.lock();
        counts.demand * counts.demand_decay(now)
            / (DEMAND_WINDOW.as_secs_f64() * counts.observed_fraction(now))
    }

    fn record(&self) -> Record {
        let counts = self.lock();
        let latency = counts.latency.iter_recorded();
        let latency = latency.map(|step| (step.value_iterated_to(), step.count_at_value().into()));
        Record { tally: counts.tally, latency: latency.collect() }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn histogram() -> Histogram<u32> {
    let mut histogram =
        Histogram::new(LATENCY_SIGNIFICANT_DIGITS).expect("the number of digits is in range");
    histogram.auto(true);
    histogram
}

fn add_latency(histogram: &mut Histogram<u32>, units: u64, count: u32) {
    // The histogram resizes itself, so all values up to the bound fit. The saturating methods would
    // cap latencies at its current size.
    let recorded = histogram.record_n(units.min(LATENCY_MAX_UNITS), count);
    debug_assert!(recorded.is_ok(), "{recorded:?}");
}

/// Counts of a key, as exchanged and published.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counts of queries.
    pub tally: Tally,
    /// Histogram of latencies: pairs of a value in units of 0.1 ms and its number of answers.
    pub latency: Vec<(u64, u64)>,
}

/// All counters of this instance.
#[derive(Default)]
pub struct Counters {
    counters: RwLock<BTreeMap<Key, Arc<Counter>>>,
}

impl Counters {
    /// Creates a set without counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the counter of a key, which is created on first use.
    pub fn counter(&self, key: &Key) -> Arc<Counter> {
        let counters = self.counters.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(counter) = counters.get(key) {
            return counter.clone();
        }
        drop(counters);
        let mut counters = self.counters.write().unwrap_or_else(PoisonError::into_inner);
        counters.entry(key.clone()).or_insert_with(|| Arc::new(Counter::new())).clone()
    }

    /// Returns the demand by rank and member for each service, for heartbeats.
    pub fn demand(&self, now: Instant) -> BTreeMap<SmolStr, Demand> {
        let counters = self.counters.read().unwrap_or_else(PoisonError::into_inner);
        let mut demand: BTreeMap<SmolStr, Demand> = BTreeMap::new();
        for (key, counter) in counters.iter() {
            let members = &mut demand.entry(key.service.clone()).or_default()[key.rank.index()];
            members.insert(key.member.clone(), counter.demand(now));
        }
        demand
    }

    /// Returns the counts of this instance, for heartbeats and publication.
    pub fn report(&self, instance: impl Into<SmolStr>, incarnation: u64) -> Report {
        let counters = self.counters.read().unwrap_or_else(PoisonError::into_inner);
        let records = counters.iter().map(|(key, counter)| (key.clone(), counter.record()));
        Report { instance: instance.into(), incarnation, records: records.collect() }
    }
}

/// Counts of one incarnation of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the instance.
    pub instance: SmolStr,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Counts by key.
    pub records: Vec<(Key, Record)>,
}

/// Counts of all known instances and incarnations.
///
/// Merging is idempotent and commutative, so reports may arrive late, repeatedly and through
/// several peers. The counts of an incarnation are kept when the instance restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Aggregate {
    /// Counts of each key by instance and incarnation.
    keys: BTreeMap<Key, BTreeMap<(SmolStr, u64), Record>>,
}

impl Aggregate {
    /// Creates an empty aggregate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a report; for each key, the newest counts of an incarnation are kept.
    pub fn merge(&mut self, report: Report) {
        let source = (report.instance, report.incarnation);
        for (key, record) in report.records {
            let known = self.keys.entry(key).or_default().entry(source.clone()).or_default();
            let order = |tally: &Tally| (tally.position(), tally.admitted, tally.offered);
            if order(&record.tally) > order(&known.tally) {
                *known = record;
            }
        }
    }

    /// Returns the merged counts as reports, one for each incarnation.
    pub fn reports(&self) -> Vec<Report> {
        let mut reports: BTreeMap<&(SmolStr, u64), Report> = BTreeMap::new();
        for (key, sources) in &self.keys {
            for (source, record) in sources {
                let report = reports.entry(source).or_insert_with(|| Report {
                    instance: source.0.clone(),
                    incarnation: source.1,
                    records: Vec::new(),
                });
                report.records.push((key.clone(), record.clone()));
            }
        }
        reports.into_values().collect()
    }

    /// Returns the keys that have counts.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.keys.keys()
    }

    /// Returns the counts of a key by instance and incarnation.
    pub fn instances(&self, key: &Key) -> impl Iterator<Item = (&SmolStr, u64, &Tally)> {
        let sources = self.keys.get(key).into_iter().flatten();
        sources.map(|((instance, incarnation), record)| (instance, *incarnation, &record.tally))
    }

    /// Returns the sum of the counts of a key over all instances and incarnations.
    pub fn total(&self, key: &Key) -> Tally {
        let mut total = Tally::default();
        self.instances(key).for_each(|(_, _, tally)| total.add(tally));
        total
    }

    /// Returns the latency that a fraction of the answers of a key did not exceed.
    pub fn quantile(&self, key: &Key, fraction: f64) -> Duration {
        let mut latency = histogram();
        for (value, count) in self.keys.get(key).into_iter().flatten().flat_map(|r| &r.1.latency) {
            let count = u32::try_from(*count).unwrap_or(u32::MAX);
            add_latency(&mut latency, *value, count);
        }
        let units = u32::try_from(latency.value_at_quantile(fraction)).unwrap_or(u32::MAX);
        LATENCY_UNIT * units
    }
}
