//! Which shards a query leaves out when a shard has too little capacity for all queries.
//!
//! When a shard loses leafs, the remaining ones can't answer every query. If every query asks
//! them, their queues fill, most parts come late, and all queries wait for them in vain. Where the
//! coverage of an answer allows it, a fraction of the queries leaves the shard out from the start,
//! so that the others get their part in time. Of several such shards a query leaves out different
//! ones by chance, so that its coverage stays above the floor.

use std::time::Duration;
use std::time::Instant;

/// Weight of a new outcome in the share of misses.
const MISS_WEIGHT: f64 = 0.04;
/// Share of misses above which fewer queries ask the shard. Leafs that pause now and then miss
/// less than that.
const MISSES_MAX: f64 = 0.3;
/// Change of the asked share by an outcome.
const STEP: f64 = 0.008;
/// Smallest share of queries that ask the shard, so that its recovery is noticed.
const ASKED_MIN: f64 = 0.2;
/// Time without an outcome after which a shard counts as healthy again.
const FORGET: Duration = Duration::from_secs(3);

/// How well a shard keeps up with the queries that ask it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throttle {
    misses: f64,
    asked: f64,
    noted: Option<Instant>,
}

impl Default for Throttle {
    fn default() -> Self {
        Self { misses: 0.0, asked: 1.0, noted: None }
    }
}

impl Throttle {
    /// Takes note of a part that came in time, or did not.
    pub fn record(&mut self, in_time: bool, now: Instant) {
        if self.noted.is_some_and(|noted| now.saturating_duration_since(noted) > FORGET) {
            *self = Self::default();
        }
        self.noted = Some(now);
        let miss = if in_time { 0.0 } else { 1.0 };
        self.misses += MISS_WEIGHT * (miss - self.misses);
        let step = if self.misses > MISSES_MAX { -STEP } else { STEP };
        self.asked = (self.asked + step).clamp(ASKED_MIN, 1.0);
    }

    /// Share of the queries that ask the shard.
    pub fn query_fraction(&self) -> f64 {
        self.asked
    }
}

/// Chooses the shards that a query leaves out, by position: at most as many as `coverage_min`
/// allows, each with the probability that its share says. `draw` gives uniform numbers from 0 to 1.
pub fn leave_out(asked: &[f64], coverage_min: f64, mut draw: impl FnMut() -> f64) -> Vec<usize> {
    let of = asked.len();
    let spare = of - crate::timing::shards_required(of, coverage_min).min(of);
    let mut out: Vec<(f64, usize)> = Vec::new();
    for (position, share) in asked.iter().enumerate() {
        if *share < 1.0 {
            let excess = draw() - share;
            if excess > 0.0 {
                out.push((excess, position));
            }
        }
    }
    out.sort_by(|a, b| b.0.total_cmp(&a.0));
    out.truncate(spare);
    out.into_iter().map(|(_, position)| position).collect()
}
