//! Weighted fair queue of the members of one rank.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use smol_str::SmolStr;

use crate::gate::Waiter;

/// Virtual time that a query of a member of weight 1 takes.
const SCALE: f64 = (1_u64 << 32) as f64;

/// Smallest weight used, so that the virtual time of a query stays finite.
const WEIGHT_MIN: f64 = 1e-6;

/// Weight of the newest gap in the mean gap between two queries of a member.
const GAP_GAIN: f64 = 0.1;

/// Virtual time; 128 bits do not overflow even with the smallest weight.
type Virtual = u128;

#[derive(Debug, Default)]
struct Member {
    /// Weight as of the last allocation, kept here because it is read for each query that arrives.
    weight: f64,
    queue: VecDeque<Waiter>,
    /// Virtual start of the first query in the queue, and of the next one if it is empty.
    start: Virtual,
    /// When the last query was taken, if others of the member have waited since.
    taken: Option<Instant>,
    /// Mean time between two queries of the member that were taken while others waited.
    gap_s: f64,
}

/// Start-time fair queue: the member whose first query has the lowest virtual start goes first.
///
/// Idle members are kept in the map; their number is bounded by the settings, because members are
/// known by their tokens.
#[derive(Debug)]
pub(crate) struct FairQueue {
    members: BTreeMap<SmolStr, Member>,
    order: BTreeSet<(Virtual, SmolStr)>,
    deadlines: BTreeSet<(Instant, u64, SmolStr)>,
    virtual_time: Virtual,
    weights: BTreeMap<SmolStr, f64>,
    /// Weight of a member that has none.
    mean: f64,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            order: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            virtual_time: 0,
            weights: BTreeMap::new(),
            mean: 1.0,
        }
    }
}

impl FairQueue {
    /// Queries waiting.
    pub(crate) fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Queries of a member waiting.
    pub(crate) fn len_of(&self, member: &str) -> usize {
        self.members.get(member).map_or(0, |member| member.queue.len())
    }

    /// Replaces the weights.
    pub(crate) fn set_weights(&mut self, weights: BTreeMap<SmolStr, f64>) {
        self.mean = match weights.len() {
            0 => 1.0,
            count => weights.values().sum::<f64>() / count as f64,
        };
        self.weights = weights;
        let mut members = std::mem::take(&mut self.members);
        members.iter_mut().for_each(|(name, member)| member.weight = self.allocated(name));
        self.members = members;
    }

    /// Weight of a member; the mean of the known ones for a member that has none.
    pub(crate) fn weight(&self, member: &str) -> f64 {
        self.members.get(member).map_or_else(|| self.allocated(member), |member| member.weight)
    }

    fn allocated(&self, member: &str) -> f64 {
        self.weights.get(member).copied().unwrap_or(self.mean).max(WEIGHT_MIN)
    }

    /// Queries that are served before a new one of `member`.
    pub(crate) fn ahead(&self, member: &str) -> f64 {
        let own = self.len_of(member) as f64;
        let turns = (own + 1.0) / self.weight(member);
        let others = self.members.iter().filter(|(name, _)| *name != member);
        let ahead = others.map(|(_, other)| (turns * other.weight).min(other.queue.len() as f64));
        own + ahead.sum::<f64>()
    }

    /// Time until a new query of `member` is taken, from the pace at which its queries were taken.
    ///
    /// This accounts for members whose queues are short but whose queries keep arriving, which the
    /// queries that are ahead now do not show.
    pub(crate) fn pace(&self, member: &str) -> Duration {
        let own = self.members.get(member);
        let time_s = own.map_or(0.0, |member| member.gap_s * member.queue.len() as f64);
        Duration::try_from_secs_f64(time_s).unwrap_or(Duration::MAX)
    }

    /// The member with the longest queue in relation to its weight, and that relation.
    pub(crate) fn longest(&self) -> Option<(&SmolStr, f64)> {
        let relation = |member: &Member| member.queue.len() as f64 / member.weight;
        let members = self.members.iter().map(|(name, member)| (name, relation(member)));
        members.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Adds a query at the end of its member's queue.
    pub(crate) fn push(&mut self, waiter: Waiter) {
        let name = waiter.request.member.clone();
        self.deadlines.insert((waiter.request.deadline, waiter.id, name.clone()));
        let weight = self.weight(&name);
        let member = self.members.entry(name.clone()).or_default();
        member.weight = weight;
        if member.queue.is_empty() {
            // A member that was idle starts now: it doesn't save up credit.
            member.start = member.start.max(self.virtual_time);
            self.order.insert((member.start, name));
        }
        member.queue.push_back(waiter);
    }

    /// Takes the next query.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Waiter> {
        let (start, name) = self.order.pop_first()?;
        let step = (SCALE / self.weight(&name)) as Virtual;
        self.virtual_time = start;
        let member = self.members.get_mut(&name)?;
        let waiter = member.queue.pop_front()?;
        member.start = start + step;
        if let Some(taken) = member.taken {
            let gap_s = now.saturating_duration_since(taken).as_secs_f64();
            member.gap_s += GAP_GAIN * (gap_s - member.gap_s);
        }
        member.taken = None;
        if !member.queue.is_empty() {
            member.taken = Some(now);
            self.order.insert((member.start, name.clone()));
        }
        self.deadlines.remove(&(waiter.request.deadline, waiter.id, name));
        Some(waiter)
    }

    /// Takes the newest query of a member.
    pub(crate) fn pop_newest(&mut self, member: &str) -> Option<Waiter> {
        let id = self.members.get(member)?.queue.back()?.id;
        self.remove(member, id)
    }

    /// Takes a query out of the queue.
    pub(crate) fn remove(&mut self, name: &str, id: u64) -> Option<Waiter> {
        let member = self.members.get_mut(name)?;
        let position = member.queue.iter().position(|waiter| waiter.id == id)?;
        let waiter = member.queue.remove(position)?;
        if member.queue.is_empty() {
            member.taken = None;
            self.order.remove(&(member.start, waiter.request.member.clone()));
        }
        self.deadlines.remove(&(waiter.request.deadline, id, waiter.request.member.clone()));
        Some(waiter)
    }

    /// Takes a query whose deadline is less than `time` away.
    pub(crate) fn expire(&mut self, now: Instant, time: Duration) -> Option<Waiter> {
        let (deadline, id, member) = self.deadlines.first()?.clone();
        if deadline > now + time {
            return None;
        }
        self.remove(&member, id)
    }

    /// The earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _, _)| *deadline)
    }
}
