//! Communication between instances: heartbeats, membership and replication of documents.
//!
//! [`wire`] holds the messages and [`auth`] their authentication. [`Exchange`] composes and
//! handles heartbeats for a [`Membership`] and a set of [`Documents`]. [`server`] answers the calls
//! of peers, and [`heartbeat::Tasks`] sends heartbeats to them. The program implements
//! [`Handler`]. [`bootstrap`] fetches all documents before the instance reports ready.

pub mod auth;
pub mod bootstrap;
pub mod client;
pub mod delta;
pub mod documents;
pub mod exchange;
pub mod heartbeat;
pub mod membership;
pub mod server;
pub mod wire;

pub use crate::auth::Key;
pub use crate::client::Client;
pub use crate::documents::Documents;
pub use crate::exchange::Exchange;
pub use crate::exchange::Handler;
pub use crate::heartbeat::Tasks;
pub use crate::membership::Membership;
pub use crate::wire::Heartbeat;
pub use crate::wire::Identity;
pub use crate::wire::Sections;
