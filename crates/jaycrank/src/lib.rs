//! The jaycrank query tier.
//!
//! The tier is the service that all instances of jaycrank together provide to callers; the fleet is
//! the set of these instances. Cells are defined in [`jaycrank_policy`].
//!
//! A [`Node`] is one entry instance: it answers callers, scatters their queries over leafs, and
//! applies the settings from the platform's store. The program `jaycrankd` runs [`daemon`], the
//! program `jaycrank` the subcommands of [`command`]; [`flags`] parses the flags of both. [`local`]
//! runs a whole tier on loopback.

pub mod administer;
pub mod admissions;
pub mod claims;
pub mod command;
pub mod daemon;
pub mod dispatch;
pub mod dump;
pub mod flags;
pub mod fleet;
pub mod follow;
pub mod head;
pub mod ledger;
pub mod local;
pub mod metrics;
pub mod node;
pub mod operator_api;
pub mod peers;
pub mod publish;
pub mod query;
pub mod retire;
pub mod shared;
pub mod standins;
pub mod token;
pub mod traffic;

pub use crate::node::Node;
pub use crate::node::Options;
pub use crate::node::Platform;
