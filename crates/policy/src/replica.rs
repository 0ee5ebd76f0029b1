//! Selection of the replica that gets a sub-request.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time in which a replica that failed or started cold comes back to its full weight.
const SLOW_START: Duration = Duration::from_secs(3);
/// Lowest factor of a slow start; above 0, so that some requests show whether it has recovered.
const WEIGHT_MIN: f64 = 0.05;
/// A reported load is believed if the observed latency is above this multiple of the usual one.
const CONTRADICTED: f64 = 1.5;
/// Weight of a new report in the load that a server usually reports.
const LOAD_SMOOTHING: f64 = 0.05;
/// Largest rise of the reported load that counts, in loads of all slots.
const RISE_MAX: f64 = 1.2;
/// Weight of a rise of the reported load.
const RISE_WEIGHT: f64 = 1.0;
/// Costs up to this ratio count as equal, so that noise in the latencies does not keep a replica
/// without work, and with that without new latencies.
const SIMILAR: f64 = 1.25;
/// Latency of a replica of which none is known, in seconds. Low, so that it is tried.
const LATENCY_MIN_S: f64 = 0.000_1;

/// What is known about a replica when one is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Position of the replica in its group.
    pub index: usize,
    /// Sub-requests of this instance in flight at the replica.
    pub in_flight: u32,
    /// Latency observed by this instance, in seconds; 0 if unknown.
    pub latency_s: f64,
    /// Load that the server reported last, as a fraction of its slots.
    pub reported_load: f64,
    /// Weight in (0, 1]: lowered by failures, slow start and the server's own state.
    pub weight: f64,
}

/// Border of the choice among the usable replicas of a group.
pub trait Selector: Send + Sync {
    /// Returns the position in `candidates` of the chosen replica, or `None` if there is none.
    fn select(&self, candidates: &[Candidate]) -> Option<usize>;
}

/// Baseline: one replica after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl RoundRobin {
    /// Starts with the first replica.
    pub fn new() -> Self {
        Self::default()
    }
}

impl Selector for RoundRobin {
    fn select(&self, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(self.next.fetch_add(1, Ordering::Relaxed) % candidates.len())
    }
}

/// Baseline: the replica that reports the lowest load.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Selector for LeastLoaded {
    fn select(&self, candidates: &[Candidate]) -> Option<usize> {
        let by_load = |a: &Candidate, b: &Candidate| a.reported_load.total_cmp(&b.reported_load);
        let lowest = candidates.iter().enumerate().min_by(|(_, a), (_, b)| by_load(a, b));
        lowest.map(|(position, _)| position)
    }
}

/// Power of two choices on what this instance observes itself.
#[derive(Debug)]
pub struct PowerOfTwo {
    state: AtomicU64,
}

impl PowerOfTwo {
    /// Draws from the given seed.
    pub fn with_seed(seed: u64) -> Self {
        Self { state: AtomicU64::new(seed) }
    }

    /// Next number of a splitmix64 sequence; it needs no lock.
    fn draw(&self) -> u64 {
        let step = 0x9e37_79b9_7f4a_7c15_u64;
        let mut mixed = self.state.fetch_add(step, Ordering::Relaxed).wrapping_add(step);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

impl Selector for PowerOfTwo {
    fn select(&self, candidates: &[Candidate]) -> Option<usize> {
        let count = candidates.len();
        if count < 2 {
            return (count == 1).then_some(0);
        }
        let draw = self.draw();
        let first = (draw >> 32) as usize % count;
        let second = (first + 1 + (draw as u32) as usize % (count - 1)) % count;
        let better = candidates[first].cost() <= SIMILAR * candidates[second].cost();
        Some(if better { first } else { second })
    }
}

impl Candidate {
    /// Expected wait at the replica: (in flight + 1) x latency, divided by the weight.
    pub fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency_s.max(LATENCY_MIN_S) / self.weight.max(1e-6)
    }
}

/// What lowers the weight of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failures: u32,
    failed: Option<Instant>,
    cold: Option<Instant>,
    usual_load: Option<f64>,
}

impl Health {
    /// Takes note of a failed sub-request or a broken connection.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failed = Some(now);
    }

    /// Takes note of a reply; `cold` if the server says that it started a short time ago.
    pub fn record_success(&mut self, cold: bool, now: Instant) {
        self.failures = 0;
        if cold {
            self.cold = Some(now);
        }
    }

    /// Takes note of a load that the server reports.
    pub fn record_load(&mut self, load: f64) {
        let usual = self.usual_load.unwrap_or(load);
        self.usual_load = Some(usual + LOAD_SMOOTHING * (load - usual));
    }

    /// Sub-requests that failed since the last reply.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Weight in (0, 1].
    ///
    /// `reported_load` is the load that the server reports; it only lowers the weight. A level is
    /// believed if the `latency` that this instance observes is above that of the group
    /// (`usual`), so a server that always reports full load but answers quickly is used as
    /// observed. A load above what the server usually reports lowers the weight in any case,
    /// because it tells of other instances' requests before latencies do.
    pub fn weight(
        &self,
        reported_load: f64,
        latency: Duration,
        usual: Duration,
        now: Instant,
    ) -> f64 {
        let ramp = |since: Option<Instant>| {
            let passed = since.map(|since| now.saturating_duration_since(since).as_secs_f64());
            let passed = passed.unwrap_or(f64::INFINITY) / SLOW_START.as_secs_f64();
            passed.clamp(WEIGHT_MIN, 1.0)
        };
        let failures = 0.5_f64.powi(self.failures.min(8) as i32);
        let confirmed = latency.as_secs_f64() > CONTRADICTED * usual.as_secs_f64();
        let load =
            if confirmed { 1.0 / (1.0 + (reported_load - 1.0).clamp(0.0, 4.0)) } else { 1.0 };
        let rise = (reported_load - self.usual_load.unwrap_or(reported_load)).clamp(0.0, RISE_MAX);
        failures * ramp(self.failed) * ramp(self.cold) * load / (1.0 + RISE_WEIGHT * rise)
    }
}
