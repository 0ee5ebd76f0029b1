//! Adaptive limit on the connections that an instance opens to a leaf.
//!
//! A leaf limits the connections of all instances together and resets those beyond the limit. Each
//! instance starts with a share; instances in the region of the leaf get larger shares. An
//! instance that needs more exceeds its share one connection at a time as long as the leaf accepts
//! them, for example when another leaf fails and its requests move to leafs at which other
//! instances leave connections unused. A reset halves the limit.

use std::time::Duration;
use std::time::Instant;

/// Fraction of a leaf's connections that the shares divide. The rest is for instances that have
/// just started and are not known to the others yet.
const SHARED_FRACTION: f64 = 0.85;
/// Fraction of the shared connections for the instances in the region of the leaf.
const SAME_REGION_FRACTION: f64 = 0.7;
/// Upper bound of one instance's connections for each slot of the leaf: one for a running and one
/// for a waiting request. More would only lengthen the queue of the leaf.
const CONNECTIONS_PER_SLOT_MAX: usize = 2;
/// Time after a reset during which the limit does not grow.
const RESET_PAUSE: Duration = Duration::from_secs(2);

/// Idle timeout of the most recently used connection to a leaf.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle timeout of other connections. A burst opens many that are only useful during that burst.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether a connection that has been idle for `idle` is kept; `last` is true for the most
/// recently used one.
///
/// Few idle connections are kept, because a leaf counts the half-open connections of an instance
/// that lost power until its own timeout, and may reset connections of the restarted instance.
pub fn is_kept(last: bool, idle: Duration) -> bool {
    idle < if last { IDLE_TIMEOUT } else { SPARE_IDLE_TIMEOUT }
}

/// Numbers of instances that share the connections of leafs, as known to one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Instances in the region of this instance, including this one.
    pub own_region: usize,
    /// All instances, including this one.
    pub all: usize,
}

/// Returns one instance's share of the connections of a leaf that accepts `max`; at least one.
pub fn share(max: u32, in_own_region: bool, fleet: FleetSize) -> usize {
    let in_other_regions = fleet.all.saturating_sub(fleet.own_region);
    let used = f64::from(max) * SHARED_FRACTION;
    let share = match (in_own_region, in_other_regions) {
        (true, 0) => used / fleet.own_region.max(1) as f64,
        (true, _) => used * SAME_REGION_FRACTION / fleet.own_region.max(1) as f64,
        // The number of instances in the leaf's region is not known, so all instances divide the
        // connections for those outside of it.
        (false, _) => used * (1.0 - SAME_REGION_FRACTION) / fleet.all.max(1) as f64,
    };
    (share as usize).max(1)
}

/// Properties of a leaf that bound the connections to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections that the leaf accepts from all instances together.
    pub max: u32,
    /// Requests that the leaf runs concurrently.
    pub slots: u32,
    /// Whether the leaf is in the region of this instance.
    pub in_own_region: bool,
}

/// Limit on the connections that an instance has open to one leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimit {
    share: usize,
    max: usize,
    value: usize,
    reset_at: Option<Instant>,
}

impl ConnectionLimit {
    /// Creates a limit that starts at the share of this instance.
    pub fn new(bounds: Bounds, fleet: FleetSize) -> Self {
        let useful = (bounds.slots.max(1) as usize * CONNECTIONS_PER_SLOT_MAX)
            .min(bounds.max.max(1) as usize);
        let share = share(bounds.max, bounds.in_own_region, fleet).min(useful);
        Self { share, max: useful, value: share, reset_at: None }
    }

    /// Changes the share; the difference between the limit and the share is kept.
    pub fn set_share(&mut self, bounds: Bounds, fleet: FleetSize) {
        let new = Self::new(bounds, fleet);
        let value = (self.value + new.share).saturating_sub(self.share);
        *self = Self { value: value.clamp(1, new.max), reset_at: self.reset_at, ..new };
    }

    /// Returns the number of connections that may be open.
    pub fn value(&self) -> usize {
        self.value
    }

    /// Raises the limit by one connection and returns true, unless it is at its maximum or was
    /// reset a short time ago.
    pub fn try_grow(&mut self, now: Instant) -> bool {
        let paused =
            self.reset_at.is_some_and(|at| now.saturating_duration_since(at) < RESET_PAUSE);
        if paused || self.value >= self.max {
            return false;
        }
        self.value += 1;
        true
    }

    /// Halves the limit because the leaf has reset a new connection.
    pub fn record_reset(&mut self, now: Instant) {
        self.value = (self.value / 2).max(1);
        self.reset_at = Some(now);
    }
}
