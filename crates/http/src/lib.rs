//! HTTP servers and clients shared by the crates of jaycrank.
//!
//! [`server`] runs a server with limits on connections, headers, bodies and times, and with
//! graceful shutdown. [`body`] receives bodies into bounded memory, [`request`] reads bearer tokens and
//! bodies. [`client`] is a client with a connection pool, whose errors tell whether the server may have
//! received the request; [`connection`] is one connection of a client, and [`meter`] bounds what is
//! read from it. [`json`] builds on the client for JSON APIs. [`socket`] sets TCP options.

pub mod body;
pub mod client;
pub mod connection;
pub mod json;
pub mod meter;
pub mod request;
pub mod server;
pub mod socket;

pub use crate::client::Client;
pub use crate::client::Error;
pub use crate::server::Bounds;
pub use crate::server::Server;
