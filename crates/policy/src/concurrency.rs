//! Adaptive limit of the sub-requests in flight at one leaf.

use std::time::Duration;

/// Smoothed latency above this multiple of the low quantile counts as queueing. Service times
/// themselves vary: the mean of a log-normal with deviation 0.5 is twice its 10th percentile.
const QUEUEING: f64 = 4.0;
/// Weight of a new latency in the smoothed one.
const SMOOTHING: f64 = 0.1;
/// Factor on the limit while requests queue at the leaf.
const DECREASE: f64 = 0.95;
/// Factor on the limit when the leaf sheds a request.
const SHED: f64 = 0.5;

/// Limit between 1 and the slots of a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    slots: f64,
    limit: f64,
    latency_s: f64,
}

impl Limit {
    /// Starts at all slots of the leaf.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self { slots, limit: slots, latency_s: 0.0 }
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.limit = self.limit.clamp(1.0, self.slots);
    }

    /// Takes note of a latency; `low` is the leaf's recent low quantile.
    pub fn observe(&mut self, latency: Duration, low: Duration) {
        let latency_s = latency.as_secs_f64();
        self.latency_s += SMOOTHING * (latency_s - self.latency_s);
        let queueing = !low.is_zero() && self.latency_s > QUEUEING * low.as_secs_f64();
        let next = if queueing { self.limit * DECREASE } else { self.limit + 1.0 / self.limit };
        self.limit = next.clamp(1.0, self.slots);
    }

    /// Takes note of a request that the leaf shed.
    pub fn observe_shed(&mut self) {
        self.limit = (self.limit * SHED).max(1.0);
    }

    /// Sub-requests that may be in flight at the leaf.
    pub fn in_flight_max(&self) -> u32 {
        self.limit as u32
    }
}
