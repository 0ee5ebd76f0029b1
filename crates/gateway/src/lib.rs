//! The HTTP gateway of jaycrank, which routes requests to leafs that speak HTTP.
//!
//! A [`Gateway`] takes requests of callers, finds their [`route`](jaycrank_policy::route) and
//! forwards them unchanged: to one leaf of a service, or to one leaf of each shard, whose parts it
//! merges. [`server`] holds the connections of callers, [`request`] and [`answer`] decode and
//! encode messages, [`query`] runs one request, [`fetch`] obtains one answer from the leafs of one
//! service, [`attempt`] sends one request over one connection of a [`pool`]. [`quarantine`] keeps
//! requests that crash leafs from reaching more of them, and [`rate_limit`] leafs from getting more
//! requests than the limit that they state. [`reachability`] tells whether this instance is cut off
//! from all leafs, and [`delegation`] then passes requests to another one.
//!
//! The configuration ([`config`]: routes and services) and leaf entries come from a [`Catalog`].
//! [`follow`] keeps the [`directory`] of both up to date, and [`peer`] exchanges them among
//! instances, also while the catalog can't be reached. Settings are the [`Options`] of the process.
//! Header names are settings ([`header::Names`]), so that a gateway can follow the conventions of
//! its leafs. [`lifecycle`] starts and stops an instance, and [`report`] describes a running fleet.
//!
//! ```
//! use jaycrank_gateway::header::Names;
//!
//! assert_eq!(Names::default().deadline_ms.as_str(), "x-deadline-ms");
//! ```

pub mod admin;
pub mod answer;
pub mod attempt;
pub mod call;
pub mod catalog;
pub mod config;
pub mod delegation;
pub mod directory;
pub mod fetch;
pub mod follow;
pub mod gateway;
pub mod gather;
pub mod header;
pub mod leaf;
pub mod lifecycle;
pub mod metrics;
mod observed;
pub mod peer;
pub mod pool;
pub mod quarantine;
pub mod query;
pub mod rate_limit;
pub mod reachability;
pub mod relay;
pub mod report;
pub mod request;
pub mod rest;
pub mod round_trip;
pub mod run;
pub mod sent;
pub mod server;
pub mod sockets;
mod suspicion;
pub mod token_exchange;
pub mod token_owner;
pub mod topology;
pub mod traffic;
mod witness;

pub use crate::catalog::Catalog;
pub use crate::gateway::Gateway;
pub use crate::gateway::Options;
