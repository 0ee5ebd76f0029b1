//! How many connections an instance may open to a leaf.
//!
//! A leaf bounds the connections of all instances together and resets those beyond. Each instance
//! begins with a share, the instances near a leaf with more than the others, and goes beyond it
//! while the leaf takes more: when a leaf is lost, its requests move to leafs whose connections
//! others leave unused. A reset halves the limit.

use std::time::Duration;
use std::time::Instant;

/// Part of the connections that is given out; the rest is for instances that start and that others
/// have not heard of.
const USED: f64 = 0.85;
/// Part of those for the instances in the region of the leaf.
const NEAR: f64 = 0.7;
/// Connections that one instance may open at most, in slots of the leaf: one request that runs and
/// one that waits for each slot. More only lengthen the queue of the leaf.
const PER_SLOT_MAX: usize = 2;
/// Time after a reset in which the limit does not grow.
const RESET_PAUSE: Duration = Duration::from_secs(2);

/// Time that the last used connection to a leaf is kept while idle.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that others are kept: a burst opens many, which are of use only in the same burst.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a connection that has been idle for a time is kept; `last` tells the last used one.
///
/// A leaf counts the connections of an instance that has lost power until its own timeout, and
/// resets the new ones of its successor beyond the bound, so few idle ones are kept.
pub fn is_kept(last: bool, idle: Duration) -> bool {
    idle < if last { IDLE_TIMEOUT } else { SPARE_IDLE_TIMEOUT }
}

/// Instances that share the connections of leafs, as seen by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Instances in the own region, with this one.
    pub own_region: usize,
    /// All instances, with this one.
    pub all: usize,
}

/// Share of one instance in the connections of a leaf that accepts `max`; at least one.
pub fn share(max: u32, near: bool, fleet: FleetSize) -> usize {
    let far = fleet.all.saturating_sub(fleet.own_region);
    let used = f64::from(max) * USED;
    let share = match (near, far) {
        (true, 0) => used / fleet.own_region.max(1) as f64,
        (true, _) => used * NEAR / fleet.own_region.max(1) as f64,
        // Seen from a leaf in another region, this instance is one of those far away.
        (false, _) => used * (1.0 - NEAR) / fleet.all.max(1) as f64,
    };
    (share as usize).max(1)
}

/// What bounds the connections to one leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections that the leaf accepts from all instances.
    pub max: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is in the region of this instance.
    pub near: bool,
}

/// Connections that an instance may have open to one leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimit {
    share: usize,
    max: usize,
    value: usize,
    reset: Option<Instant>,
}

impl ConnectionLimit {
    /// Begins with the share of this instance.
    pub fn new(bounds: Bounds, fleet: FleetSize) -> Self {
        let useful = (bounds.slots.max(1) as usize * PER_SLOT_MAX).min(bounds.max.max(1) as usize);
        let share = share(bounds.max, bounds.near, fleet).min(useful);
        Self { share, max: useful, value: share, reset: None }
    }

    /// Changes the share; a limit that has grown or shrunk keeps its distance.
    pub fn set_share(&mut self, bounds: Bounds, fleet: FleetSize) {
        let new = Self::new(bounds, fleet);
        let value = (self.value + new.share).saturating_sub(self.share);
        *self = Self { value: value.clamp(1, new.max), reset: self.reset, ..new };
    }

    /// Connections that may be open.
    pub fn value(&self) -> usize {
        self.value
    }

    /// Asks for one connection more; returns whether it is allowed.
    pub fn try_grow(&mut self, now: Instant) -> bool {
        let paused = self.reset.is_some_and(|at| now.saturating_duration_since(at) < RESET_PAUSE);
        if paused || self.value >= self.max {
            return false;
        }
        self.value += 1;
        true
    }

    /// Takes note that the leaf has reset a new connection.
    pub fn record_reset(&mut self, now: Instant) {
        self.value = (self.value / 2).max(1);
        self.reset = Some(now);
    }
}
