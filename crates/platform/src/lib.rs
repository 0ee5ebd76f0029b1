//! Interfaces to the platform that jaycrank runs on: an object store and an instance list.
//!
//! [`Store`] is the interface to the object store, which holds all durable state and offers
//! versioned objects, conditional writes and watches. [`List`] is the interface to the list of
//! live and leaving instances, which is eventually consistent. [`http::Client`] implements both
//! over HTTP, and [`count::Counted`] wraps either and counts its calls.

#![warn(missing_docs)]

pub mod count;
pub mod error;
pub mod http;
pub mod list;
pub mod store;
pub mod wire;

pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::list::Entry;
pub use crate::list::List;
pub use crate::store::Change;
pub use crate::store::Expected;
pub use crate::store::Object;
pub use crate::store::Store;
pub use crate::store::Version;
