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
use crate::gate;
use crate::gate::Discipline;
use crate::gate::Dropped;
use crate::gate::Gate;
use crate::gate::Permit;
use crate::gate::Waiter;

/// Baseline: one queue, first in first out, without floors; only a full queue refuses.
pub struct Fifo {
    gate: Gate,
}

impl Fifo {
    /// Starts an empty queue of at most `queue_max` queries; needs a tokio runtime.
    pub fn new(queue_max: usize, room: Arc<dyn Backpressure>) -> Self {
        let line = Line { queue: VecDeque::new(), queue_max };
        Self { gate: Gate::new(Box::new(line), room) }
    }
}

#[async_trait]
impl Admission for Fifo {
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

struct Line {
    queue: VecDeque<Waiter>,
    queue_max: usize,
}

impl Discipline for Line {
    fn check(&mut self, _ticket: &Request, _now: Instant) -> Result<(), Refused> {
        if self.queue.len() < self.queue_max {
            return Ok(());
        }
        let retry_after = gate::retry_after(self.queue.len(), 0.0);
        Err(Refused { cause: Cause::QueueFull, retry_after })
    }

    fn push(&mut self, waiter: Waiter, _now: Instant) -> Option<Dropped> {
        self.queue.push_back(waiter);
        None
    }

    fn pop(&mut self, room: bool, _now: Instant) -> Option<(Waiter, bool)> {
        if !room {
            return None;
        }
        self.queue.pop_front().map(|waiter| (waiter, false))
    }

    fn expire(&mut self, _now: Instant) -> Vec<Dropped> {
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
