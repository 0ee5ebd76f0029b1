//! Fair admission: a guaranteed floor for each rank, weighted fair queueing of members, and early
//! refusal.

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
use crate::queue;
use crate::queue::Discipline;
use crate::queue::Permit;
use crate::queue::Queue;
use crate::queue::Rejected;
use crate::queue::Waiter;
use crate::rate::Median;
use crate::rate::Rate;

/// Admissions that a rank can be behind or ahead of its floor. Bounds the burst of a rank that was
/// idle.
const CREDIT_MAX: f64 = 4.0;

/// Burst of the token bucket of a rank's floor. Arrivals vary: with a smaller burst, a rank below
/// its floor would often count as above it.
const TOKENS_MAX: f64 = 16.0;

/// Fraction of the service's queue that one rank may fill.
const RANK_QUEUE_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of a rank's queue that one member may fill.
const MEMBER_QUEUE_FRACTION: f64 = 0.5;

/// Admission that guarantees each rank its floor and serves members by weight.
///
/// Each admitted query credits every rank with its floor. Queued queries of a rank with credit are
/// admitted first, then those of the most urgent rank. Inside a rank, members are served by
/// weighted fair queueing. A query that can't meet its deadline is refused at once.
///
/// Floors and bounds are fixed: when the settings of the service change, the instance creates a new
/// object. The old one still serves the queries in its queue.
pub struct Fair {
    queue: Queue,
}

impl Fair {
    /// Creates an empty queue with the floors and bounds of `service`; must be called within a
    /// tokio runtime.
    pub fn new(service: &Service, backpressure: Arc<dyn Backpressure>) -> Self {
        let floors = Rank::ALL.map(|rank| service.floor(rank));
        let rank_queue_max = ((f64::from(service.queue_max) * RANK_QUEUE_FRACTION) as usize).max(1);
        let member_queue_max = ((rank_queue_max as f64 * MEMBER_QUEUE_FRACTION) as usize).max(1);
        let discipline = FairDiscipline {
            queues: Default::default(),
            floors,
            credits: [CREDIT_MAX; 3],
            tokens: [TOKENS_MAX; 3],
            refilled_at: None,
            median_times: Default::default(),
            rate: Rate::default(),
            allocated_capacity: 0.0,
            rank_queue_max,
            member_queue_max,
        };
        Self { queue: Queue::new(Box::new(discipline), backpressure) }
    }
}

#[async_trait]
impl Admission for Fair {
    async fn admit(&self, request: Request) -> Result<Permit, Refused> {
        self.queue.admit(request).await
    }

    fn drain(&self) {
        self.queue.drain();
    }

    fn set_allocation(&self, weights: Weights, capacity: f64) {
        self.queue.set_allocation(weights, capacity);
    }

    fn load(&self) -> Load {
        self.queue.load()
    }
}

struct FairDiscipline {
    queues: [FairQueue; 3],
    floors: [f64; 3],
    /// Admissions owed to each rank by its floor; decides the order.
    credits: [f64; 3],
    /// Token bucket of each rank, refilled at its floor's fraction of the capacity; decides whether
    /// the rank is within its floor.
    tokens: [f64; 3],
    refilled_at: Option<Instant>,
    /// Median time that admitted queries of each rank take.
    median_times: [Median; 3],
    rate: Rate,
    /// Queries per second allocated to this instance; 0 if unknown.
    allocated_capacity: f64,
    rank_queue_max: usize,
    member_queue_max: usize,
}

impl FairDiscipline {
    fn has_waiting(&self) -> bool {
        self.queues.iter().any(|queue| queue.len() > 0)
    }

    /// Queries per second of this instance at saturation: as measured, else as allocated.
    fn capacity(&self) -> f64 {
        let measured = self.rate.total();
        if measured > 0.0 { measured } else { self.allocated_capacity }
    }

    /// Queries per second that a rank gets if the more urgent ranks keep their recent rates.
    fn service_rate(&self, rank: usize) -> f64 {
        let capacity = self.capacity();
        let urgent: f64 = (0..rank).map(|rank| self.rate.of_rank(rank)).sum();
        (capacity - urgent).max(self.floors[rank] * capacity)
    }

    /// Expected time until a query of a member that arrives now is admitted.
    fn expected_wait(&self, rank: usize, member: &str) -> Duration {
        let capacity = self.capacity();
        let contended = self.queues[..=rank].iter().any(|queue| queue.len() > 0);
        if capacity <= 0.0 || !contended {
            return Duration::ZERO;
        }
        let position = self.queues[rank].queued_ahead(member) + 1.0;
        let wait = Duration::try_from_secs_f64(position / self.service_rate(rank));
        wait.unwrap_or(Duration::MAX).max(self.queues[rank].recent_wait(member))
    }

    fn refusal(&self, cause: Cause, rank: usize) -> Refused {
        let retry_after = queue::retry_after(self.queues[rank].len(), self.service_rate(rank));
        Refused { cause, retry_after }
    }

    fn refill(&mut self, now: Instant) {
        let capacity = self.capacity();
        if let Some(before) = self.refilled_at {
            let elapsed_s = now.saturating_duration_since(before).as_secs_f64();
            for (tokens, floor) in self.tokens.iter_mut().zip(self.floors) {
                *tokens = (*tokens + floor * capacity * elapsed_s).min(TOKENS_MAX);
            }
        }
        self.refilled_at = Some(now);
    }

    /// Returns whether a rank is within its floor: by its token bucket or, while the capacity is
    /// unknown, by its credit.
    fn within_floor(&self, rank: usize) -> bool {
        let available = if self.capacity() > 0.0 { self.tokens[rank] } else { self.credits[rank] };
        self.floors[rank] > 0.0 && available >= 1.0
    }

    /// Removes the next query of a rank, settles the rank's tokens and credits, and returns whether
    /// the query is within the rank's floor.
    fn take_from(&mut self, rank: usize, now: Instant) -> Option<(Waiter, bool)> {
        let owed = self.floors[rank] > 0.0 && self.credits[rank] >= 1.0;
        let waiter = self.queues[rank].pop(now)?;
        let within_floor = self.within_floor(rank) || owed;
        self.tokens[rank] = (self.tokens[rank] - 1.0).max(0.0);
        // Credit can be negative, so that urgent queries that are admitted despite back-pressure
        // count against the floor. Otherwise the slots that get free would go to urgent and middle
        // queries alone.
        self.credits[rank] = (self.credits[rank] - 1.0).max(-CREDIT_MAX);
        for (credit, floor) in self.credits.iter_mut().zip(self.floors) {
            *credit = (*credit + floor).min(CREDIT_MAX);
        }
        Some((waiter, within_floor))
    }
}

impl Discipline for FairDiscipline {
    fn check_arrival(&mut self, request: &Request, now: Instant) -> Result<(), Refused> {
        let rank = request.rank.index();
        let queue = &self.queues[rank];
        let member_len = queue.len_of(&request.member);
        if member_len >= self.member_queue_max {
            return Err(self.refusal(Cause::QueueFull, rank));
        }
        if queue.len() >= self.rank_queue_max {
            let normalized_len = (member_len + 1) as f64 / queue.weight(&request.member);
            if queue.longest_queue().is_none_or(|(_, longest)| longest <= normalized_len) {
                return Err(self.refusal(Cause::QueueFull, rank));
            }
        }
        let time_left = request.deadline.saturating_duration_since(now);
        let time_needed = self
            .expected_wait(rank, &request.member)
            .saturating_add(self.median_times[rank].value());
        if time_left.is_zero() || time_needed > time_left {
            return Err(self.refusal(Cause::Deadline, rank));
        }
        Ok(())
    }

    fn push(&mut self, waiter: Waiter, now: Instant) -> Option<Rejected> {
        let rank = waiter.request.rank.index();
        self.rate.advance(now, self.has_waiting());
        let queue = &mut self.queues[rank];
        let displaced = if queue.len() >= self.rank_queue_max {
            queue
                .longest_queue()
                .map(|(name, _)| name.clone())
                .and_then(|name| queue.pop_newest(&name))
        } else {
            None
        };
        queue.push(waiter);
        displaced.map(|waiter| (waiter, self.refusal(Cause::QueueFull, rank)))
    }

    fn pop(&mut self, can_accept: bool, now: Instant) -> Option<(Waiter, bool)> {
        self.refill(now);
        let urgent = Rank::Urgent.index();
        let has_queued = |rank: &usize| self.queues[*rank].len() > 0;
        let rank = if can_accept {
            let owed = (0..3).filter(has_queued).find(|rank| self.credits[*rank] >= 1.0);
            owed.or_else(|| (0..3).find(has_queued))
        } else {
            Some(urgent).filter(has_queued).filter(|rank| self.within_floor(*rank))
        };
        let Some(rank) = rank else {
            self.rate.advance(now, self.has_waiting());
            return None;
        };
        let admitted = self.take_from(rank, now)?;
        self.rate.count_admission(rank);
        self.rate.advance(now, self.has_waiting());
        Some(admitted)
    }

    fn expire(&mut self, now: Instant) -> Vec<Rejected> {
        let mut rejected = Vec::new();
        for rank in 0..3 {
            let median_time = self.median_times[rank].value();
            while let Some(waiter) = self.queues[rank].expire(now, median_time) {
                rejected.push((waiter, self.refusal(Cause::Deadline, rank)));
            }
        }
        rejected
    }

    fn next_expiry(&self) -> Option<Instant> {
        let expiries = self.queues.iter().zip(&self.median_times).filter_map(|(queue, median)| {
            let deadline = queue.next_deadline()?;
            Some(deadline.checked_sub(median.value()).unwrap_or(deadline))
        });
        expiries.min()
    }

    fn remove(&mut self, rank: Rank, member: &str, id: u64) {
        // The query may have been removed already, for example because it expired.
        let _ = self.queues[rank.index()].remove(member, id);
    }

    fn observe(&mut self, rank: Rank, time: Duration) {
        self.median_times[rank.index()].add(time);
    }

    fn set_allocation(&mut self, weights: Weights, capacity: f64) {
        for (queue, weights) in self.queues.iter_mut().zip(weights) {
            queue.set_weights(weights);
        }
        self.allocated_capacity = capacity;
    }

    fn load(&self) -> Load {
        let queued = [0, 1, 2].map(|rank: usize| self.queues[rank].len());
        Load { queued, running: 0, capacity: self.capacity() }
    }
}
