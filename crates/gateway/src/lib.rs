//! The HTTP gateway of jaycrank: a request as bytes, routed to leafs that speak HTTP.
//!
//! A [`Gateway`] takes requests of callers, finds their [`route`](jaycrank_policy::route) and
//! forwards them unchanged: to one leaf of a service, or to one leaf of each shard, whose parts it
//! merges. [`server`] holds the connections of callers, [`request`] and [`answer`] decode and
//! encode what they say, [`query`] runs one request, [`fetch`] obtains one answer from the leafs
//! of one service, [`attempt`] sends one request over one connection of a [`pool`].
//!
//! What the gateway knows comes from a [`Catalog`]: the routes and the entries of leafs.
//! [`follow`] keeps the [`directory`] of both up to date, and [`peer`] passes them among instances
//! that can't reach the catalog. Header names are settings ([`header::Names`]), so that a gateway
//! fits the conventions of the leafs around it. [`report`] describes a running fleet.
//!
//! ```
//! use jaycrank_gateway::header::Names;
//!
//! assert_eq!(Names::default().deadline_ms.as_str(), "x-deadline-ms");
//! ```

pub mod admin;
pub mod answer;
pub mod attempt;
pub mod catalog;
pub mod config;
pub mod directory;
pub mod fetch;
pub mod follow;
pub mod gateway;
pub mod header;
pub mod leaf;
pub mod lifecycle;
pub mod metrics;
pub mod peer;
pub mod pool;
pub mod query;
pub mod relay;
pub mod report;
pub mod request;
pub mod round_trip;
pub mod run;
pub mod server;

pub use crate::catalog::Catalog;
pub use crate::gateway::Gateway;
pub use crate::gateway::Options;
