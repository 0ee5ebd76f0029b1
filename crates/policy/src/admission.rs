//! Admission control for the queries to a service at one instance.
//!
//! An [`Admission`] queues an arriving query until it may run, or refuses it. [`Fair`] guarantees
//! each rank its floor and serves members by weighted fair queueing; [`Fifo`] is the baseline. Both
//! stop admitting while the leafs exert [`Backpressure`].

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use jaycrank_settings::Rank;
use smol_str::SmolStr;
use tokio::sync::Notify;

pub use crate::fair::Fair;
pub use crate::fifo::Fifo;
pub use crate::queue::Permit;

/// Back-pressure of the leafs of a service.
///
/// Both methods are called with the admission queue locked. An implementation that calls into the
/// admission while it holds a lock of its own can deadlock.
pub trait Backpressure: Send + Sync {
    /// Returns whether the leafs can take another query now.
    fn can_accept(&self) -> bool;

    /// Returns the signal that is notified when the leafs may accept queries again.
    fn subscribe(&self) -> Arc<Notify>;
}

/// A query that requests admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Member that sent the query.
    pub member: SmolStr,
    /// Rank of the query.
    pub rank: Rank,
    /// Time by which the answer must have been sent.
    pub deadline: Instant,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The queue of the rank or of the member is full.
    QueueFull,
    /// The answer can't be sent before the deadline.
    Deadline,
    /// The instance is shutting down.
    Draining,
}

impl Cause {
    /// Returns the code that refusals carry on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "overloaded",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
        }
    }
}

/// Refusal of a query, which was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Time to wait before a retry, estimated from the queue length and the service rate.
    pub retry_after: Duration,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.cause {
            Cause::QueueFull => "the admission queue for this rank or member is full",
            Cause::Deadline => "the query can't be answered before its deadline",
            Cause::Draining => "the instance is shutting down",
        })
    }
}

impl std::error::Error for Refused {}

/// State of an admission queue, for dumps and heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Queries in the queue, by rank.
    pub queued: [usize; 3],
    /// Permits held by admitted queries.
    pub running: usize,
    /// Queries per second that this instance completes at saturation, as measured, else as
    /// allocated; 0 if unknown.
    pub capacity: f64,
}

/// Weights of members, by rank.
pub type Weights = [BTreeMap<SmolStr, f64>; 3];

/// Admission control of one service at one instance.
#[async_trait]
pub trait Admission: Send + Sync {
    /// Waits until the query may run.
    ///
    /// Dropping the future removes the query from the queue.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`] if the queue is full, the deadline can't be met or the instance is
    /// shutting down.
    async fn admit(&self, request: Request) -> Result<Permit, Refused>;

    /// Refuses queries that arrive from now on; queued ones are still served.
    fn drain(&self);

    /// Replaces the members' weights and this instance's capacity in queries per second, as
    /// computed by [`crate::share`].
    ///
    /// The capacity is used until one has been measured; 0 means unknown.
    fn set_allocation(&self, weights: Weights, capacity: f64);

    /// Returns the state of the queue.
    fn load(&self) -> Load;
}
