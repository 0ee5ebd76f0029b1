//! Adaptive concurrency limit of one leaf.

use std::time::Duration;

/// Multiple of the low quantile above which the smoothed latency counts as queueing. Service times
/// vary without queueing too: the mean of a log-normal distribution with deviation 0.5 is twice its
/// 10th percentile.
const QUEUEING_LATENCY_RATIO: f64 = 4.0;
/// Weight of a new latency in the exponential moving average.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Factor on the limit for each answer while requests queue at the leaf.
const DECREASE_FACTOR: f64 = 0.95;
/// Factor on the limit when the leaf sheds a request.
const SHED_FACTOR: f64 = 0.5;

/// Concurrency limit between 1 and the slots of a leaf: additive increase, multiplicative decrease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    slots: f64,
    limit: f64,
    latency_s: f64,
}

impl Limit {
    /// Creates a limit that starts at the number of slots of the leaf.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self { slots, limit: slots, latency_s: 0.0 }
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.limit = self.limit.clamp(1.0, self.slots);
    }

    /// Records a latency; `low` is the leaf's recent low quantile.
    pub fn observe(&mut self, latency: Duration, low: Duration) {
        let latency_s = latency.as_secs_f64();
        self.latency_s += LATENCY_SMOOTHING * (latency_s - self.latency_s);
        let queueing =
            !low.is_zero() && self.latency_s > QUEUEING_LATENCY_RATIO * low.as_secs_f64();
        let next =
            if queueing { self.limit * DECREASE_FACTOR } else { self.limit + 1.0 / self.limit };
        self.limit = next.clamp(1.0, self.slots);
    }

    /// Records a request that the leaf shed.
    pub fn observe_shed(&mut self) {
        self.limit = (self.limit * SHED_FACTOR).max(1.0);
    }

    /// Returns the number of sub-requests that may be in flight at the leaf.
    pub fn in_flight_max(&self) -> u32 {
        self.limit as u32
    }
}
