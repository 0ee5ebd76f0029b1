//! Selection of the replica that gets a sub-request.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time over which a replica that failed or started cold regains its full weight.
const SLOW_START_DURATION: Duration = Duration::from_secs(3);
/// Lowest weight factor of a slow start. It is above 0 so that some requests probe the replica.
const WEIGHT_MIN: f64 = 0.05;
/// Multiple of the group's latency above which the observed latency confirms a reported load.
const CONFIRMING_LATENCY_RATIO: f64 = 1.5;
/// Weight of a new report in the moving average of a server's reported load.
const LOAD_SMOOTHING: f64 = 0.05;
/// Cap on the rise of the reported load above its average, as a fraction of the slots.
const LOAD_RISE_MAX: f64 = 1.2;
/// Weight of a rise of the reported load in the replica's weight.
const LOAD_RISE_WEIGHT: f64 = 1.0;
/// Ratio up to which two costs count as equal. Otherwise noise in the latencies could leave a
/// replica without requests, and so without new latency samples.
const SIMILAR_COST_RATIO: f64 = 1.25;
/// Lower bound of a replica's latency, in seconds. It is also the latency of a replica without
/// samples, low enough for the replica to be tried.
const LATENCY_MIN_S: f64 = 0.000_1;

/// A replica that can be selected, with its load, latency and weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Position of the replica in its group.
    pub index: usize,
    /// Sub-requests of this instance in flight at the replica.
    pub in_flight: u32,
    /// Latency measured by this instance, in seconds; 0 if unknown.
    pub latency_s: f64,
    /// Last load reported by the server, as a fraction of its slots.
    pub reported_load: f64,
    /// Weight in (0, 1]: lowered by failures, slow start and the server's own state.
    pub weight: f64,
}

/// A strategy that selects one of the usable replicas of a group.
pub trait Selector: Send + Sync {
    /// Returns the position of the selected replica in `candidates`, or `None` if there are none.
    fn select(&self, candidates: &[Candidate]) -> Option<usize>;
}

/// Baseline that takes the replicas in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl RoundRobin {
    /// Creates a strategy that starts with the first replica.
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

/// Baseline that selects the replica with the lowest reported load.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Selector for LeastLoaded {
    fn select(&self, candidates: &[Candidate]) -> Option<usize> {
        let by_load = |a: &Candidate, b: &Candidate| a.reported_load.total_cmp(&b.reported_load);
        let lowest = candidates.iter().enumerate().min_by(|(_, a), (_, b)| by_load(a, b));
        lowest.map(|(position, _)| position)
    }
}

/// Power of two random choices by [`Candidate::cost`], which uses this instance's own measurements.
#[derive(Debug)]
pub struct PowerOfTwo {
    state: AtomicU64,
}

impl PowerOfTwo {
    /// Creates a strategy that draws pseudo-random numbers from `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self { state: AtomicU64::new(seed) }
    }

    /// Returns the next number of a splitmix64 sequence, which needs no lock.
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
        let better = candidates[first].cost() <= SIMILAR_COST_RATIO * candidates[second].cost();
        Some(if better { first } else { second })
    }
}

impl Candidate {
    /// Returns the expected wait at the replica in seconds: (in flight + 1) x latency / weight.
    pub fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.latency_s.max(LATENCY_MIN_S) / self.weight.max(1e-6)
    }
}

/// Failures, cold start and reported load of a replica, which lower its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failures: u32,
    failed_at: Option<Instant>,
    cold_at: Option<Instant>,
    average_load: Option<f64>,
}

impl Health {
    /// Records a failed sub-request or a broken connection.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.failed_at = Some(now);
    }

    /// Records a reply; `cold` if the server reports that it has just started.
    pub fn record_success(&mut self, cold: bool, now: Instant) {
        self.failures = 0;
        if cold {
            self.cold_at = Some(now);
        }
    }

    /// Adds a load reported by the server to its moving average.
    pub fn record_load(&mut self, load: f64) {
        let average = self.average_load.unwrap_or(load);
        self.average_load = Some(average + LOAD_SMOOTHING * (load - average));
    }

    /// Returns the number of failures since the last reply.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the weight in (0, 1].
    ///
    /// `reported_load`, the load reported by the server, only lowers the weight. Its level counts
    /// only if the measured `latency` is well above the `group_latency`, so that a server that
    /// always reports full load but answers quickly keeps its weight. A rise above the server's
    /// average report always lowers the weight, because it shows the requests of other instances
    /// before latencies do.
    pub fn weight(
        &self,
        reported_load: f64,
        latency: Duration,
        group_latency: Duration,
        now: Instant,
    ) -> f64 {
        let slow_start = |since: Option<Instant>| {
            let elapsed = since.map(|since| now.saturating_duration_since(since).as_secs_f64());
            let elapsed = elapsed.unwrap_or(f64::INFINITY) / SLOW_START_DURATION.as_secs_f64();
            elapsed.clamp(WEIGHT_MIN, 1.0)
        };
        let failures = 0.5_f64.powi(self.failures.min(8) as i32);
        let confirmed =
            latency.as_secs_f64() > CONFIRMING_LATENCY_RATIO * group_latency.as_secs_f64();
        let load =
            if confirmed { 1.0 / (1.0 + (reported_load - 1.0).clamp(0.0, 4.0)) } else { 1.0 };
        let rise =
            (reported_load - self.average_load.unwrap_or(reported_load)).clamp(0.0, LOAD_RISE_MAX);
        failures * slow_start(self.failed_at) * slow_start(self.cold_at) * load
            / (1.0 + LOAD_RISE_WEIGHT * rise)
    }
}
