//! Client of the backend servers (leafs): sends sub-requests and gathers the replies.
//!
//! [`scatter`] sends a query to all groups of a service and gathers the replies. [`leaf`] is one
//! leaf with its observed health and latency, [`pool`] its connection pool, [`connection`] one
//! HTTP connection, and [`control`] the connection for pings, cancellations and status. [`wire`]
//! defines the leaf protocol.

pub mod connection;
pub mod control;
pub mod error;
mod health_check;
pub mod leaf;
pub mod pool;
mod query;
pub mod scatter;
mod service;
pub mod wire;

pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::leaf::Leaf;
pub use crate::leaf::Observer;
pub use crate::scatter::Fleet;
pub use crate::scatter::Options;
pub use crate::scatter::Plan;
pub use crate::scatter::Replies;
