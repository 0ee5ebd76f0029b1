//! Administration API for operators: messages, server and client.
//!
//! [`wire`] holds the messages, [`server`] the listener that decodes requests and limits their size
//! and duration, and [`client`] a client for the command line. The instance implements [`Handler`].

pub mod client;
pub mod server;
pub mod wire;

pub use crate::client::Client;
pub use crate::server::Handler;
pub use crate::wire::Account;
pub use crate::wire::Refusal;
