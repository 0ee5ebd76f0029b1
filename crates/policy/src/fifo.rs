//! Baseline admission: first in, first out.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use jaycrank_settings::Rank;

use crate::admission::Admission;
use crate::admission::Backpressure;
use crate::admission::Cause;
use crate::admission::Load;
use crate::admission::Refused;
use crate::admission::Request;
use crate::admission::Weights;
use crate::queue;
use crate::queue::Discipline;
use crate::queue::Permit;
use crate::queue::Queue;
use crate::queue::Rejected;
use crate::queue::Waiter;

/// Baseline admission: one first-in-first-out queue without floors, which refuses only when full.
pub struct Fifo {
    queue: Queue,
}

impl Fifo {
    /// Creates an empty queue of at most `queue_max` queries; must be called within a tokio
    /// runtime.
    pub fn new(queue_max: usize, backpressure: Arc<dyn Backpressure>) -> Self {
        let discipline = FifoDiscipline { queue: VecDeque::new(), queue_max };
        Self { queue: Queue::new(Box::new(discipline), backpressure) }
    }
}

#[async_trait]
impl Admission for Fifo {
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

struct FifoDiscipline {
    queue: VecDeque<Waiter>,
    queue_max: usize,
}

impl Discipline for FifoDiscipline {
    fn check_arrival(&mut self, _request: &Request, _now: Instant) -> Result<(), Refused> {
        if self.queue.len() < self.queue_max {
            return Ok(());
        }
        let retry_after = queue::retry_after(self.queue.len(), 0.0);
        Err(Refused { cause: Cause::QueueFull, retry_after })
    }

    fn push(&mut self, waiter: Waiter, _now: Instant) -> Option<Rejected> {
        self.queue.push_back(waiter);
        None
    }

    fn pop(&mut self, can_accept: bool, _now: Instant) -> Option<(Waiter, bool)> {
        if !can_accept {
            return None;
        }
        self.queue.pop_front().map(|waiter| (waiter, false))
    }

    fn expire(&mut self, _now: Instant) -> Vec<Rejected> {
        Vec::new()
    }

    fn next_expiry(&self) -> Option<Instant> {
        None
    }

    fn remove(&mut self, _rank: Rank, _member: &str, id: u64) {
        self.queue.retain(|waiter| waiter.id != id);
    }

    fn observe(&mut self, _rank: Rank, _time: Duration) {}

    fn set_allocation(&mut self, _weights: Weights, _capacity: f64) {}

    fn load(&self) -> Load {
        let mut load = Load::default();
        for waiter in &self.queue {
            load.queued[waiter.request.rank.index()] += 1;
        }
        load
    }
}
