//! This instance's share of the slots of a group.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use jaycrank_settings::schema::Rank;

/// Credit that may accumulate while the share is unused. Short, so that instances that were idle
/// do not all exceed their shares together.
const BURST: Duration = Duration::from_millis(50);
/// Factor on the share. A sub-request is in flight on its way there and back too, during which it
/// occupies no slot, and the instances do not see each other's sub-requests, so some leafs idle
/// while others queue. Without the factor slots stay free at saturation; `examples/saturation.rs`
/// of the backend package measures it.
const OVERCOMMIT: f64 = 1.58;

/// WaiterId of a waiting sub-request: by rank, then first come first served.
pub type WaiterId = (Rank, u64);

/// Slots of one group at this instance and the sub-requests that wait for them.
///
/// The whole part of `share x 1.58` may always be in flight. One more needs credit, in seconds,
/// which accumulates at the rate of the fractional part and is spent while sub-requests above the
/// whole part are in flight, so a fractional share is kept over time. `W` is what the caller keeps
/// for a waiting sub-request.
#[derive(Debug)]
pub struct Slots<W> {
    share: f64,
    leafs: u32,
    credit_s: f64,
    updated: Instant,
    in_flight: u32,
    next: u64,
    waiting: BTreeMap<WaiterId, (bool, W)>,
}

impl<W> Slots<W> {
    /// Creates the slots of a group of `leafs` with a share of them; both can be changed.
    pub fn new(share: f64, leafs: u32, now: Instant) -> Self {
        Self {
            share,
            leafs,
            credit_s: 0.0,
            updated: now,
            in_flight: 0,
            next: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Changes the share and the number of leafs.
    pub fn set_share(&mut self, share: f64, leafs: u32, now: Instant) {
        self.accrue(now);
        self.share = share;
        self.leafs = leafs;
    }

    /// Share in slots.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Sub-requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Sub-requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a slot if one is free and no earlier sub-request waits for it.
    pub fn try_acquire(&mut self, rank: Rank, within_floor: bool, now: Instant) -> bool {
        self.accrue(now);
        let first = self.waiting.first_key_value().is_none_or(|(id, _)| id.0 > rank);
        let taken = (first || within_floor) && self.is_free(within_floor);
        self.in_flight += u32::from(taken);
        taken
    }

    /// Adds a sub-request to those that wait.
    pub fn enqueue(&mut self, rank: Rank, within_floor: bool, waiter: W) -> WaiterId {
        let id = (rank, self.next);
        self.next += 1;
        self.waiting.insert(id, (within_floor, waiter));
        id
    }

    /// Removes a waiting sub-request; returns false if it has got its slot before.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        self.waiting.remove(&id).is_some()
    }

    /// Gives a slot back.
    pub fn release(&mut self, now: Instant) {
        self.accrue(now);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Gives free slots to those that wait; call it after [`Self::release`] and at
    /// [`Self::ready_at`].
    pub fn grant_next(&mut self, now: Instant) -> Option<W> {
        self.accrue(now);
        let next = self.waiting.iter().find(|(_, (floor, _))| self.is_free(*floor));
        let id = *next?.0;
        let (_, waiter) = self.waiting.remove(&id)?;
        self.in_flight += 1;
        Some(waiter)
    }

    /// When credit allows the next sub-request, if that is what the first one waits for.
    pub fn ready_at(&self) -> Option<Instant> {
        let next = self.in_flight == self.whole() && self.in_flight < self.capacity();
        if self.waiting.is_empty() || self.credit_s >= 0.0 || !next {
            return None;
        }
        let wait_s = -self.credit_s / self.fraction().max(0.01);
        Some(self.updated + Duration::from_secs_f64(wait_s.min(1.0)) + Duration::from_micros(1))
    }

    /// First of those that wait.
    pub fn first_waiting(&self) -> Option<&W> {
        self.waiting.first_key_value().map(|(_, (_, waiter))| waiter)
    }

    /// Sub-requests that may be in flight, with credit.
    pub fn capacity(&self) -> u32 {
        self.entitled().ceil() as u32
    }

    /// A share of zero would never let its waiting sub-requests go.
    fn entitled(&self) -> f64 {
        (self.share * OVERCOMMIT).max(0.01)
    }

    /// Sub-requests that may be in flight without credit.
    fn whole(&self) -> u32 {
        self.entitled() as u32
    }

    fn fraction(&self) -> f64 {
        self.entitled().fract()
    }

    fn is_free(&self, within_floor: bool) -> bool {
        let capacity = self.capacity();
        let urgent = within_floor && self.in_flight < capacity + self.leafs;
        let credit = self.in_flight < self.whole() || self.credit_s >= 0.0;
        urgent || (self.in_flight < capacity && credit)
    }

    fn accrue(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        // Sub-requests within a floor may exceed the capacity and are not charged beyond it.
        let above = self.in_flight.min(self.capacity()).saturating_sub(self.whole());
        let earned = passed * (self.fraction() - f64::from(above));
        // Debt is bounded as credit is: one long sub-request must not block the group.
        let bound = BURST.as_secs_f64();
        self.credit_s = (self.credit_s + earned).clamp(-bound, bound);
        self.updated = self.updated.max(now);
    }
}
