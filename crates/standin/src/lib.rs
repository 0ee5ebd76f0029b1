//! Stand-ins for the services that jaycrank depends on, with injected failures.
//!
//! There is a stand-in for a leaf ([`Leaf`]), the object store ([`Store`]) and the instance list
//! ([`List`]), and for the gateway an HTTP leaf ([`Server`]) and a catalog ([`Catalog`]).
//! `jaycrank local`, the tests and the benchmarks use them. They do not simulate a cluster.

pub mod catalog;
pub mod counts;
pub mod deployment;
pub mod http;
pub mod leaf;
pub mod link;
pub mod list;
pub mod raw;
pub mod server;
pub mod store;

mod misdelivery;

pub use crate::catalog::Catalog;
pub use crate::counts::Counts;
pub use crate::leaf::Behavior;
pub use crate::leaf::Leaf;
pub use crate::link::Link;
pub use crate::list::List;
pub use crate::server::Server;
pub use crate::store::Fault;
pub use crate::store::Store;
