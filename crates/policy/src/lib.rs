//! The decisions of jaycrank.
//!
//! Each module takes one decision of the query tier: which queries run ([`admission`]) and how
//! capacity is divided over instances and members ([`share`]), which index version a query pins
//! ([`snapshot`]), which replica gets a sub-request ([`replica`]), how many sub-requests are in
//! flight ([`slots`], [`concurrency`]), when one is sent twice ([`hedge`], [`budget`], [`quantile`]),
//! what the answer covers ([`gather`]), which requests crash servers ([`quarantine`]), what each
//! member received ([`tally`]) and which instance owns a key ([`rendezvous`]). Routed requests take a
//! [`route`], go to the leaf that answers first by [`placement`], of those that [`presence`] allows, over
//! a share of its [`connections`],
//! wait as [`patience`] says, are sent again within [`attempts`] and [`extra`], and are put together by [`merge`];
//! [`scarcity`] leaves out shards that have too little capacity, [`overload`] refuses what the
//! process has no time for. Time is passed in as [`std::time::Instant`], so that tests drive the
//! decisions with a paused clock.

pub mod admission;
pub mod attempts;
pub mod budget;
pub mod concurrency;
pub mod connections;
pub mod extra;
mod fair;
mod fair_queue;
mod fifo;
mod gate;
pub mod gather;
pub mod hedge;
pub mod merge;
pub mod overload;
pub mod patience;
pub mod placement;
pub mod presence;
pub mod quantile;
pub mod quarantine;
mod rate;
pub mod received;
pub mod rendezvous;
pub mod replica;
pub mod route;
pub mod scarcity;
pub mod share;
pub mod slots;
pub mod snapshot;
pub mod tally;

pub use crate::gather::Coverage;
pub use crate::gather::Missing;
pub use crate::gather::Reason;
pub use crate::snapshot::Map;
pub use crate::tally::Tally;
