//! Backend servers as a peer of jaycrank.
//!
//! [`wire`] names the headers of the leaf protocol, [`connection`] is one HTTP connection,
//! [`pool`] keeps the connections to one leaf within its cap, [`control`] is the connection for
//! pings and cancellations, [`leaf`] is one leaf with what is known about it, and [`scatter`]
//! sends a query to all groups and gathers the replies.

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
