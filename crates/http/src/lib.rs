//! HTTP plumbing shared by the peers of jaycrank.
//!
//! [`server`] starts a server whose connections, headers and times are bounded and which stops
//! gracefully, [`request`] reads tokens and bodies, [`client`] is a small pooled client whose errors
//! tell whether the request may have reached the server, [`json`] one for interfaces in JSON, and
//! [`socket`] sets options of sockets.

pub mod client;
pub mod json;
pub mod request;
pub mod server;
pub mod socket;

pub use crate::client::Client;
pub use crate::client::Error;
pub use crate::server::Bounds;
pub use crate::server::Server;
