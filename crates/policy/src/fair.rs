//! Fair admission: floors of ranks, weights of members, early refusal.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use jaycrank_settings::Rank;
use jaycrank_settings::Service;

use crate::admission::Admission;
use crate::admission::Backpressure;
use crate::admission::Cause;
use crate::admission::Load;
use crate::admission::Refused;
use crate::admission::Request;
use crate::admission::Weights;
use crate::fair_queue::FairQueue;
use crate::gate;
use crate::gate::Discipline;
use crate::gate::Dropped;
use crate::gate::Gate;
use crate::gate::Permit;
use crate::gate::Waiter;
use crate::rate::Median;
use crate::rate::Rate;

/// Admitted queries that a rank can be behind or ahead of its floor: bounds the burst after an idle
/// time.
const CREDIT_MAX: f64 = 4.0;

/// Queries within its floor that a rank may admit at once after an idle time. Arrivals vary; with a
/// smaller burst a rank below its floor would often count as above it.
const TOKENS_MAX: f64 = 16.0;

/// Fraction of the service's queue that one rank may use.
const RANK_PART: f64 = 1.0 / 3.0;

/// Fraction of a rank's part that one member may use.
const MEMBER_PART: f64 = 0.5;

/// Admission that keeps the floors of ranks and serves members by weight.
///
/// Each admitted query credits every rank with its floor. A rank with credit and waiting work goes
/// first; otherwise the most urgent rank that waits goes first. Inside a rank, members are served
/// by weighted fair queueing. A query that can't meet its deadline is refused at once.
///
/// When the settings of the service change, the node replaces the object; queries that wait in the
/// old one are still served by it.
pub struct Fair {
    gate: Gate,
}

impl Fair {
    /// Starts an empty queue with the floors and bounds of `service`; needs a tokio runtime.
    pub fn new(service: &Service, room: Arc<dyn Backpressure>) -> Self {
        let floors = Rank::ALL.map(|rank| service.floor(rank));
        let rank_max = ((f64::from(service.queue_max) * RANK_PART) as usize).max(1);
        let member_max = ((rank_max as f64 * MEMBER_PART) as usize).max(1);
        let ranks = Ranks {
            queues: Default::default(),
            floors,
            credits: [CREDIT_MAX; 3],
            tokens: [TOKENS_MAX; 3],
            refilled: None,
            medians: Default::default(),
            rate: Rate::default(),
            allocated: 0.0,
            rank_max,
            member_max,
        };
        Self { gate: Gate::new(Box::new(ranks), room) }
    }
}

#[async_trait]
impl Admission for Fair {
    async fn admit(&self, request: Request) -> Result<Permit, Refused> {
        self.gate.admit(request).await
    }

    fn drain(&self) {
        self.gate.drain();
    }

    fn set_allocation(&self, weights: Weights, capacity: f64) {
        self.gate.set_allocation(weights, capacity);
    }

    fn load(&self) -> Load {
        self.gate.load()
    }
}

struct Ranks {
    queues: [FairQueue; 3],
    floors: [f64; 3],
    /// Admissions due to each rank by its floor, in queries.
    credits: [f64; 3],
    /// Admissions within the floor of each rank by time and capacity, in queries.
    tokens: [f64; 3],
    refilled: Option<Instant>,
    medians: [Median; 3],
    rate: Rate,
    allocated: f64,
    rank_max: usize,
    member_max: usize,
}

impl Ranks {
    fn waiting(&self) -> bool {
        self.queues.iter().any(|queue| queue.len() > 0)
    }

    /// Queries per second of this instance at saturation: as measured, else as allocated.
    fn capacity(&self) -> f64 {
        let measured = self.rate.total();
        if measured > 0.0 { measured } else { self.allocated }
    }

    /// Queries per second that a rank gets while all more urgent ranks get what they got lately.
    fn rate_of(&self, rank: usize) -> f64 {
        let capacity = self.capacity();
        let urgent: f64 = (0..rank).map(|rank| self.rate.of(rank)).sum();
        (capacity - urgent).max(self.floors[rank] * capacity)
    }

    /// Time until a query of a member that arrives now is admitted.
    fn wait(&self, rank: usize, member: &str) -> Duration {
        let capacity = self.capacity();
        let contended = self.queues[..=rank].iter().any(|queue| queue.len() > 0);
        if capacity <= 0.0 || !contended {
            return Duration::ZERO;
        }
        let ahead = self.queues[rank].ahead(member) + 1.0;
        let wait = Duration::try_from_secs_f64(ahead / self.rate_of(rank));
        wait.unwrap_or(Duration::MAX).max(self.queues[rank].pace(member))
    }

    fn refused(&self, cause: Cause, rank: usize) -> Refused {
        let retry_after = gate::retry_after(self.queues[rank].len(), self.rate_of(rank));
        Refused { cause, retry_after }
    }

    fn refill(&mut self, now: Instant) {
        let capacity = self.capacity();
        if let Some(before) = self.refilled {
            let past = now.saturating_duration_since(before).as_secs_f64();
            for (tokens, floor) in self.tokens.iter_mut().zip(self.floors) {
                *tokens = (*tokens + floor * capacity * past).min(TOKENS_MAX);
            }
        }
        self.refilled = Some(now);
    }

    /// Tells whether a rank is within its floor: by capacity and time, or, while the capacity is
    /// unknown, by its credit.
    fn within_floor(&self, rank: usize) -> bool {
        let left = if self.capacity() > 0.0 { self.tokens[rank] } else { self.credits[rank] };
        self.floors[rank] > 0.0 && left >= 1.0
    }

    fn take(&mut self, rank: usize, now: Instant) -> Option<(Waiter, bool)> {
        let due = self.floors[rank] > 0.0 && self.credits[rank] >= 1.0;
        let waiter = self.queues[rank].pop(now)?;
        let within_floor = self.within_floor(rank) || due;
        self.tokens[rank] = (self.tokens[rank] - 1.0).max(0.0);
        // Without a debt, urgent queries admitted without room would not count against the floor,
        // and the room that is left would go to urgent and middle work alone.
        self.credits[rank] = (self.credits[rank] - 1.0).max(-CREDIT_MAX);
        for (credit, floor) in self.credits.iter_mut().zip(self.floors) {
            *credit = (*credit + floor).min(CREDIT_MAX);
        }
        Some((waiter, within_floor))
    }
}

impl Discipline for Ranks {
    fn check(&mut self, request: &Request, now: Instant) -> Result<(), Refused> {
        let rank = request.rank.index();
        let queue = &self.queues[rank];
        let own = queue.len_of(&request.member);
        if own >= self.member_max {
            return Err(self.refused(Cause::QueueFull, rank));
        }
        if queue.len() >= self.rank_max {
            let relation = (own + 1) as f64 / queue.weight(&request.member);
            if queue.longest().is_none_or(|(_, longest)| longest <= relation) {
                return Err(self.refused(Cause::QueueFull, rank));
            }
        }
        let left = request.deadline.saturating_duration_since(now);
        let needed = self.wait(rank, &request.member).saturating_add(self.medians[rank].value());
        if left.is_zero() || needed > left {
            return Err(self.refused(Cause::Deadline, rank));
        }
        Ok(())
    }

    fn push(&mut self, waiter: Waiter, now: Instant) -> Option<Dropped> {
        let rank = waiter.request.rank.index();
        self.rate.advance(now, self.waiting());
        let queue = &mut self.queues[rank];
        let displaced = if queue.len() >= self.rank_max {
            queue.longest().map(|(name, _)| name.clone()).and_then(|name| queue.pop_newest(&name))
        } else {
            None
        };
        queue.push(waiter);
        displaced.map(|waiter| (waiter, self.refused(Cause::QueueFull, rank)))
    }

    fn pop(&mut self, room: bool, now: Instant) -> Option<(Waiter, bool)> {
        self.refill(now);
        let urgent = Rank::Urgent.index();
        let waits = |rank: &usize| self.queues[*rank].len() > 0;
        let rank = if room {
            let due = (0..3).filter(waits).find(|rank| self.credits[*rank] >= 1.0);
            due.or_else(|| (0..3).find(waits))
        } else {
            Some(urgent).filter(waits).filter(|rank| self.within_floor(*rank))
        };
        let Some(rank) = rank else {
            self.rate.advance(now, self.waiting());
            return None;
        };
        let taken = self.take(rank, now)?;
        self.rate.count(rank);
        self.rate.advance(now, self.waiting());
        Some(taken)
    }

    fn expire(&mut self, now: Instant) -> Vec<Dropped> {
        let mut dropped = Vec::new();
        for rank in 0..3 {
            let time = self.medians[rank].value();
            while let Some(waiter) = self.queues[rank].expire(now, time) {
                dropped.push((waiter, self.refused(Cause::Deadline, rank)));
            }
        }
        dropped
    }

    fn next_expiry(&self) -> Option<Instant> {
        let times = self.queues.iter().zip(&self.medians).filter_map(|(queue, median)| {
            let deadline = queue.next_deadline()?;
            Some(deadline.checked_sub(median.value()).unwrap_or(deadline))
        });
        times.min()
    }

    fn remove(&mut self, rank: Rank, member: &str, id: u64) {
        // The query may have been taken out for another cause already.
        let _ = self.queues[rank.index()].remove(member, id);
    }

    fn observe(&mut self, rank: Rank, time: Duration) {
        self.medians[rank.index()].add(time);
    }

    fn set_allocation(&mut self, weights: Weights, capacity: f64) {
        for (queue, weights) in self.queues.iter_mut().zip(weights) {
            queue.set_weights(weights);
        }
        self.allocated = capacity;
    }

    fn load(&self) -> Load {
        let queued = [0, 1, 2].map(|rank: usize| self.queues[rank].len());
        Load { queued, running: 0, capacity: self.capacity() }
    }
}
