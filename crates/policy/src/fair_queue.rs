//! Weighted fair queue of the members of one rank.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;

use crate::queue::Waiter;

/// Virtual time that a query of a member of weight 1 takes.
const QUERY_COST: f64 = (1_u64 << 32) as f64;

/// Smallest weight used, so that the virtual time of a query stays finite.
const WEIGHT_MIN: f64 = 1e-6;

/// Weight of the newest gap in the exponential moving average of a member's gaps.
const GAP_SMOOTHING: f64 = 0.1;

/// Virtual time of fair queueing; 128 bits do not overflow even with the smallest weight.
type VirtualTime = u128;

#[derive(Debug, Default)]
struct Member {
    /// Weight as of the last allocation, cached because it is read for each arriving query.
    weight: f64,
    queue: VecDeque<Waiter>,
    /// Virtual start time of the first query in the queue, or of the next one if it is empty.
    start: VirtualTime,
    /// When the last query was taken, if others of the member have waited since.
    taken_at: Option<Instant>,
    /// Mean time between two queries of the member that were taken while others waited.
    mean_gap_s: f64,
}

/// Start-time fair queue: serves the member whose first query has the lowest virtual start time.
///
/// Idle members stay in the map. The settings bound their number, because only members with a
/// configured token are admitted.
#[derive(Debug)]
pub(crate) struct FairQueue {
    members: BTreeMap<SmolStr, Member>,
    /// Members with queued queries, by virtual start time.
    by_start: BTreeSet<(VirtualTime, SmolStr)>,
    /// Queued queries, by deadline.
    by_deadline: BTreeSet<(Instant, u64, SmolStr)>,
    /// Virtual start time of the query that was taken last.
    virtual_time: VirtualTime,
    weights: BTreeMap<SmolStr, f64>,
    /// Weight of a member without a weight of its own: the mean of the others.
    default_weight: f64,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            by_start: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            virtual_time: 0,
            weights: BTreeMap::new(),
            default_weight: 1.0,
        }
    }
}

impl FairQueue {
    /// Returns the number of queued queries.
    pub(crate) fn len(&self) -> usize {
        self.by_deadline.len()
    }

    /// Returns the number of a member's queued queries.
    pub(crate) fn len_of(&self, member: &str) -> usize {
        self.members.get(member).map_or(0, |member| member.queue.len())
    }

    /// Replaces the weights.
    pub(crate) fn set_weights(&mut self, weights: BTreeMap<SmolStr, f64>) {
        self.default_weight = match weights.len() {
            0 => 1.0,
            count => weights.values().sum::<f64>() / count as f64,
        };
        self.weights = weights;
        let mut members = std::mem::take(&mut self.members);
        members.iter_mut().for_each(|(name, member)| member.weight = self.allocated_weight(name));
        self.members = members;
    }

    /// Returns the weight of a member; the mean of the allocated weights if it has none.
    pub(crate) fn weight(&self, member: &str) -> f64 {
        self.members
            .get(member)
            .map_or_else(|| self.allocated_weight(member), |member| member.weight)
    }

    fn allocated_weight(&self, member: &str) -> f64 {
        self.weights.get(member).copied().unwrap_or(self.default_weight).max(WEIGHT_MIN)
    }

    /// Returns the number of queued queries that are served before a new one of `member`.
    pub(crate) fn queued_ahead(&self, member: &str) -> f64 {
        let own = self.len_of(member) as f64;
        let turns_per_weight = (own + 1.0) / self.weight(member);
        let others = self.members.iter().filter(|(name, _)| *name != member);
        let ahead = others
            .map(|(_, other)| (turns_per_weight * other.weight).min(other.queue.len() as f64));
        own + ahead.sum::<f64>()
    }

    /// Estimates the time until a new query of `member` is taken, from the rate at which its
    /// queries were taken recently.
    ///
    /// Unlike [`Self::queued_ahead`], this accounts for other members' queries that are yet to
    /// arrive, which matter if their queues are short but their rates are high.
    pub(crate) fn recent_wait(&self, member: &str) -> Duration {
        let own = self.members.get(member);
        let wait_s = own.map_or(0.0, |member| member.mean_gap_s * member.queue.len() as f64);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Returns the member with the longest queue relative to its weight, and the ratio of the two.
    pub(crate) fn longest_queue(&self) -> Option<(&SmolStr, f64)> {
        let normalized_len = |member: &Member| member.queue.len() as f64 / member.weight;
        let members = self.members.iter().map(|(name, member)| (name, normalized_len(member)));
        members.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Adds a query at the end of its member's queue.
    pub(crate) fn push(&mut self, waiter: Waiter) {
        let name = waiter.request.member.clone();
        self.by_deadline.insert((waiter.request.deadline, waiter.id, name.clone()));
        let weight = self.weight(&name);
        let member = self.members.entry(name.clone()).or_default();
        member.weight = weight;
        if member.queue.is_empty() {
            // An idle member starts at the current virtual time, so it accumulates no credit.
            member.start = member.start.max(self.virtual_time);
            self.by_start.insert((member.start, name));
        }
        member.queue.push_back(waiter);
    }

    /// Removes the next query in fair order.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Waiter> {
        let (start, name) = self.by_start.pop_first()?;
        let cost = (QUERY_COST / self.weight(&name)) as VirtualTime;
        self.virtual_time = start;
        let member = self.members.get_mut(&name)?;
        let waiter = member.queue.pop_front()?;
        member.start = start + cost;
        if let Some(taken_at) = member.taken_at {
            let gap_s = now.saturating_duration_since(taken_at).as_secs_f64();
            member.mean_gap_s += GAP_SMOOTHING * (gap_s - member.mean_gap_s);
        }
        member.taken_at = None;
        if !member.queue.is_empty() {
            member.taken_at = Some(now);
            self.by_start.insert((member.start, name.clone()));
        }
        self.by_deadline.remove(&(waiter.request.deadline, waiter.id, name));
        Some(waiter)
    }

    /// Removes the newest query of a member.
    pub(crate) fn pop_newest(&mut self, member: &str) -> Option<Waiter> {
        let id = self.members.get(member)?.queue.back()?.id;
        self.remove(member, id)
    }

    /// Removes a query by its id.
    pub(crate) fn remove(&mut self, name: &str, id: u64) -> Option<Waiter> {
        let member = self.members.get_mut(name)?;
        let position = member.queue.iter().position(|waiter| waiter.id == id)?;
        let waiter = member.queue.remove(position)?;
        if member.queue.is_empty() {
            member.taken_at = None;
            self.by_start.remove(&(member.start, waiter.request.member.clone()));
        }
        self.by_deadline.remove(&(waiter.request.deadline, id, waiter.request.member.clone()));
        Some(waiter)
    }

    /// Removes a query whose deadline is at most `time_needed` away.
    pub(crate) fn expire(&mut self, now: Instant, time_needed: Duration) -> Option<Waiter> {
        let (deadline, id, member) = self.by_deadline.first()?.clone();
        if deadline > now + time_needed {
            return None;
        }
        self.remove(&member, id)
    }

    /// Returns the earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|(deadline, _, _)| *deadline)
    }
}
