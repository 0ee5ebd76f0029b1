//! Query protocol between callers and jaycrank: messages, server and client.
//!
//! [`wire`] holds the messages, [`server`] the listener that decodes requests and limits their size
//! and duration, and [`client`] a client for programs and benchmarks. [`audit`] compares published
//! counts with the running tallies of the answers. The instance implements [`Handler`].

pub mod audit;
pub mod client;
pub mod server;
pub mod wire;

pub use crate::audit::Audit;
pub use crate::client::Client;
pub use crate::server::Handler;
pub use crate::wire::Answer;
pub use crate::wire::Category;
pub use crate::wire::Query;
pub use crate::wire::Refusal;
