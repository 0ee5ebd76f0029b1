//! The decisions of jaycrank, each in a module of its own.
//!
//! A cell is the instances of a region that together hold the connections to a set of leafs, and
//! among which capacity is allocated.
//!
//! A query is admitted or refused by [`admission`], within this instance's part of the capacity
//! that [`share`] allocates to instances and members. It pins an index version ([`snapshot`]).
//! [`slots`] and [`concurrency`] limit the sub-requests in flight, [`replica`] chooses the leaf of
//! each, and [`hedge`] sends some of them twice, based on the latencies of [`quantile`] and within
//! a [`budget`]. [`gather`] determines what the answer covers, [`quarantine`] which requests crash
//! servers, also where a connection broke without a sign of that ([`losses`]). [`tally`] counts what each member received, and [`share_average`] compares that with
//! its share. [`rendezvous`] decides which instance owns a key.
//!
//! A request to the gateway is admitted or refused by [`overload`] and matched with a [`route`].
//! What a process holds for its clients stays within [`memory`] and a number of connections ([`clients`]),
//! which are parts of its [`capacity`].
//! [`placement`] chooses the leaf with the lowest expected latency among those that [`presence`]
//! considers present, and [`connections`] limits this instance's connections to it. [`timing`] sets
//! the hedge delay and the time from which a partial answer is sent, [`attempts`] and
//! [`extra_requests`] limit the retries and hedges, [`rate_limit`] the requests to a leaf that states
//! a limit, [`rest`] keeps the rest that a leaf asks for, [`hold`] names why a leaf may not get a request now, [`reachability`] tells whether all leafs are out of reach, [`shard_throttle`] leaves out shards with too
//! little capacity, and [`merge`] combines the answers.
//!
//! Code that depends on the time takes a [`std::time::Instant`] as an argument or reads tokio's
//! clock, so that tests can use a paused clock.

pub mod admission;
pub mod attempts;
pub mod budget;
pub mod capacity;
pub mod clients;
pub mod concurrency;
pub mod connections;
pub mod deadline;
pub mod extra_requests;
mod fair;
mod fair_queue;
mod fifo;
pub mod gather;
pub mod gossip;
pub mod hedge;
pub mod hold;
pub mod load_report;
pub mod losses;
pub mod memory;
pub mod merge;
pub mod overload;
pub mod placement;
pub mod presence;
pub mod quantile;
pub mod quarantine;
mod queue;
mod rate;
pub mod rate_limit;
pub mod reachability;
pub mod recent_success;
pub mod rendezvous;
pub mod replica;
pub mod rest;
pub mod route;
pub mod shard_throttle;
pub mod share;
pub mod share_average;
pub mod slots;
pub mod snapshot;
pub mod tally;
pub mod timing;

pub use crate::gather::Coverage;
pub use crate::gather::Missing;
pub use crate::gather::Reason;
pub use crate::snapshot::ShardMap;
pub use crate::tally::Tally;
