//! Admission of queries to a service at one instance.
//!
//! An [`Admission`] decides when an arriving query may run, or refuses it. [`Fair`] keeps the
//! floors of the ranks and serves members by weight; [`Fifo`] is the baseline. Both admit while
//! the leafs have [`Backpressure`].

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
pub use crate::gate::Permit;

/// Border to the scatter part of a service.
///
/// Both methods are called while the admission queue is locked, so an implementation must not
/// call back into the admission while it holds a lock of its own.
pub trait Backpressure: Send + Sync {
    /// Tells whether the leafs of the service can take another query now.
    fn can_accept(&self) -> bool;

    /// Returns the signal that is notified when room may have appeared.
    fn subscribe(&self) -> Arc<Notify>;
}

/// A query that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Member that sent the query.
    pub member: SmolStr,
    /// Rank of the query.
    pub rank: Rank,
    /// When the answer must have been sent.
    pub deadline: Instant,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The part of the queue that the query may use is full.
    QueueFull,
    /// The answer could not be sent before the deadline.
    Deadline,
    /// The instance is leaving.
    Draining,
}

impl Cause {
    /// Name of the cause, for refusals.
    pub fn name(self) -> &'static str {
        match self {
            Self::QueueFull => "overloaded",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
        }
    }
}

/// A query was refused; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Cause of the refusal.
    pub cause: Cause,
    /// When to come back, from the queue length and the service rate.
    pub retry_after: Duration,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.cause {
            Cause::QueueFull => "the queue for this rank and member is full",
            Cause::Deadline => "the answer can't be ready before the deadline",
            Cause::Draining => "the instance is leaving",
        })
    }
}

impl std::error::Error for Refused {}

/// State of an admission queue, for the dump and for heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Queries waiting, by rank.
    pub queued: [usize; 3],
    /// Permits held.
    pub running: usize,
    /// Queries admitted per second while others waited; 0 if none ever waited.
    pub capacity: f64,
}

/// Weights of the members by rank.
pub type Weights = [BTreeMap<SmolStr, f64>; 3];

/// Border of the admission to one service at one instance.
#[async_trait]
pub trait Admission: Send + Sync {
    /// Waits until the query may run.
    ///
    /// Dropping the future takes the query out of the queue.
    ///
    /// # Errors
    ///
    /// Refuses a query that can't run in time; it was not run.
    async fn admit(&self, request: Request) -> Result<Permit, Refused>;

    /// Refuses queries that arrive from now on; those that wait are still served.
    fn drain(&self);

    /// Replaces the members' weights and the capacity of this instance in queries per second, as
    /// computed by [`crate::share`]; 0 leaves the capacity to be measured.
    fn set_allocation(&self, weights: Weights, capacity: f64);

    /// Returns the state of the queue.
    fn load(&self) -> Load;
}
