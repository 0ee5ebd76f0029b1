//! This instance's share of the slots of a group of leafs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use jaycrank_settings::schema::Rank;

/// Most credit, or debt, that may accumulate. Short, so that instances that were idle do not all
/// exceed their shares at the same time.
const CREDIT_TIME_MAX: Duration = Duration::from_millis(50);
/// Factor on the share; without it, slots stay free at saturation. A sub-request is in flight but
/// occupies no slot while it crosses the network, and instances do not see each other's
/// sub-requests, so some leafs idle while others queue. `examples/saturation.rs` of the backend
/// package measures the effect.
const OVERCOMMIT_FACTOR: f64 = 1.58;

/// Identity and order of a waiting sub-request: by rank, then first come, first served.
pub type WaiterId = (Rank, u64);

/// Semaphore for this instance's share of the slots of one group, with a queue of sub-requests.
///
/// The integer part of `share x 1.58` may always be in flight. One more sub-request needs credit,
/// measured in seconds: it accumulates at the rate of the fractional part and is spent while
/// sub-requests above the integer part are in flight, so a fractional share is kept over time. `W`
/// is the caller's data for a waiting sub-request.
#[derive(Debug)]
pub struct Slots<W> {
    share: f64,
    leafs: u32,
    /// Credit in seconds; negative if in debt.
    credit_s: f64,
    updated_at: Instant,
    in_flight: u32,
    next_id: u64,
    /// Waiting sub-requests, each with whether it is within its rank's floor.
    waiting: BTreeMap<WaiterId, (bool, W)>,
}

impl<W> Slots<W> {
    /// Creates the slots of a group of `leafs` with a share, in slots.
    pub fn new(share: f64, leafs: u32, now: Instant) -> Self {
        Self {
            share,
            leafs,
            credit_s: 0.0,
            updated_at: now,
            in_flight: 0,
            next_id: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Changes the share and the number of leafs.
    pub fn set_share(&mut self, share: f64, leafs: u32, now: Instant) {
        self.accrue(now);
        self.share = share;
        self.leafs = leafs;
    }

    /// Returns the share, in slots.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the number of sub-requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting sub-requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a slot if one is free and no sub-request of the same or a more urgent rank waits.
    ///
    /// A sub-request within its rank's floor does not have to wait behind others.
    pub fn try_acquire(&mut self, rank: Rank, within_floor: bool, now: Instant) -> bool {
        self.accrue(now);
        let is_first = self.waiting.first_key_value().is_none_or(|(id, _)| id.0 > rank);
        let acquired = (is_first || within_floor) && self.is_free(within_floor);
        self.in_flight += u32::from(acquired);
        acquired
    }

    /// Adds a sub-request to the queue.
    pub fn enqueue(&mut self, rank: Rank, within_floor: bool, waiter: W) -> WaiterId {
        let id = (rank, self.next_id);
        self.next_id += 1;
        self.waiting.insert(id, (within_floor, waiter));
        id
    }

    /// Removes a waiting sub-request; returns false if it was granted a slot already.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        self.waiting.remove(&id).is_some()
    }

    /// Releases a slot.
    pub fn release(&mut self, now: Instant) {
        self.accrue(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Grants a free slot to the next waiting sub-request that may use one.
    ///
    /// Must be called after [`Self::release`] and at [`Self::ready_at`], until it returns `None`.
    pub fn grant_next(&mut self, now: Instant) -> Option<W> {
        self.accrue(now);
        let next = self.waiting.iter().find(|(_, (within_floor, _))| self.is_free(*within_floor));
        let id = *next?.0;
        let (_, waiter) = self.waiting.remove(&id)?;
        self.in_flight += 1;
        Some(waiter)
    }

    /// Returns when there is credit for one more sub-request, if the queue waits for that.
    pub fn ready_at(&self) -> Option<Instant> {
        let needs_credit = self.in_flight == self.whole_share() && self.in_flight < self.capacity();
        if self.waiting.is_empty() || self.credit_s >= 0.0 || !needs_credit {
            return None;
        }
        let wait_s = -self.credit_s / self.fractional_share().max(0.01);
        Some(self.updated_at + Duration::from_secs_f64(wait_s.min(1.0)) + Duration::from_micros(1))
    }

    /// Returns the first waiting sub-request.
    pub fn first_waiting(&self) -> Option<&W> {
        self.waiting.first_key_value().map(|(_, (_, waiter))| waiter)
    }

    /// Returns the number of sub-requests that may be in flight with credit.
    pub fn capacity(&self) -> u32 {
        self.share_in_flight().ceil() as u32
    }

    /// Returns the share with overcommit. A share of zero would block its waiting sub-requests
    /// forever, so there is a minimum.
    fn share_in_flight(&self) -> f64 {
        (self.share * OVERCOMMIT_FACTOR).max(0.01)
    }

    /// Returns the number of sub-requests that may be in flight without credit.
    fn whole_share(&self) -> u32 {
        self.share_in_flight() as u32
    }

    fn fractional_share(&self) -> f64 {
        self.share_in_flight().fract()
    }

    /// Returns whether one more sub-request may be in flight. Those within their rank's floor may
    /// exceed the capacity by one for each leaf.
    fn is_free(&self, within_floor: bool) -> bool {
        let capacity = self.capacity();
        let floor_allows = within_floor && self.in_flight < capacity + self.leafs;
        let credit_allows = self.in_flight < self.whole_share() || self.credit_s >= 0.0;
        floor_allows || (self.in_flight < capacity && credit_allows)
    }

    fn accrue(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        // Sub-requests within a floor may exceed the capacity; the excess is not charged.
        let above = self.in_flight.min(self.capacity()).saturating_sub(self.whole_share());
        let earned = elapsed_s * (self.fractional_share() - f64::from(above));
        // Debt is bounded like credit, so that one long sub-request does not block the group.
        let bound = CREDIT_TIME_MAX.as_secs_f64();
        self.credit_s = (self.credit_s + earned).clamp(-bound, bound);
        self.updated_at = self.updated_at.max(now);
    }
}
