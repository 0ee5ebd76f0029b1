//! Throttling of the queries that are sent to an overloaded shard.
//!
//! When a shard loses leafs, the remaining ones can't answer every query. If every query were
//! sent to them, their queues would fill, most parts would be late, and all queries would wait
//! for a part that they do not get.
//! As far as the required coverage allows, a fraction of the queries leaves the shard out from the
//! start, so that the others get their part in time. If several shards are overloaded, each query
//! leaves out a random choice of them, limited by the required coverage.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new outcome in the moving average of the miss rate.
const MISS_RATE_WEIGHT: f64 = 0.04;
/// Miss rate above which fewer queries are sent to the shard. Occasional pauses of leafs stay
/// below it.
const MISS_RATE_MAX: f64 = 0.3;
/// Change of the query fraction per outcome.
const QUERY_FRACTION_STEP: f64 = 0.008;
/// Smallest fraction of queries that are sent to the shard, so that its recovery is detected.
const QUERY_FRACTION_MIN: f64 = 0.2;
/// Time without an outcome after which a shard counts as healthy again.
const OUTCOME_AGE_MAX: Duration = Duration::from_secs(3);

/// Adapts the fraction of queries that are sent to a shard to its miss rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throttle {
    miss_rate: f64,
    query_fraction: f64,
    recorded_at: Option<Instant>,
}

impl Default for Throttle {
    fn default() -> Self {
        Self { miss_rate: 0.0, query_fraction: 1.0, recorded_at: None }
    }
}

impl Throttle {
    /// Records whether the shard's part of an answer arrived in time.
    pub fn record(&mut self, in_time: bool, now: Instant) {
        if self
            .recorded_at
            .is_some_and(|recorded_at| now.saturating_duration_since(recorded_at) > OUTCOME_AGE_MAX)
        {
            *self = Self::default();
        }
        self.recorded_at = Some(now);
        let miss = if in_time { 0.0 } else { 1.0 };
        self.miss_rate += MISS_RATE_WEIGHT * (miss - self.miss_rate);
        let step =
            if self.miss_rate > MISS_RATE_MAX { -QUERY_FRACTION_STEP } else { QUERY_FRACTION_STEP };
        self.query_fraction = (self.query_fraction + step).clamp(QUERY_FRACTION_MIN, 1.0);
    }

    /// Returns the fraction of the queries that are sent to the shard.
    pub fn query_fraction(&self) -> f64 {
        self.query_fraction
    }
}

/// Returns the positions of the shards that a query leaves out, at most as many as `coverage_min`
/// allows.
///
/// `query_fractions` holds the fraction of queries that are sent to each shard; a shard is left
/// out with the complementary probability. `draw` returns uniform random numbers in [0, 1).
pub fn leave_out(
    query_fractions: &[f64],
    coverage_min: f64,
    mut draw: impl FnMut() -> f64,
) -> Vec<usize> {
    let shards = query_fractions.len();
    let spare = shards - crate::timing::shards_required(shards, coverage_min).min(shards);
    let mut left_out: Vec<(f64, usize)> = Vec::new();
    for (position, fraction) in query_fractions.iter().enumerate() {
        if *fraction < 1.0 {
            let excess = draw() - fraction;
            if excess > 0.0 {
                left_out.push((excess, position));
            }
        }
    }
    left_out.sort_by(|a, b| b.0.total_cmp(&a.0));
    left_out.truncate(spare);
    left_out.into_iter().map(|(_, position)| position).collect()
}
