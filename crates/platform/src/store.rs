//! Interface to the object store: versioned objects, conditional writes and watches.

use std::collections::BTreeMap;

use async_trait::async_trait;
use bytes::Bytes;
use smol_str::SmolStr;

use crate::error::Result;

/// Maximum size of a stored value, in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// Version of an object: the store-wide revision of the write that produced it.
pub type Version = u64;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Revision of the write that produced the value.
    pub version: Version,
    /// Stored bytes.
    pub value: Bytes,
}

/// Condition of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The object must not exist.
    Absent,
    /// The object must have exactly this version.
    Version(Version),
}

/// Changes below a key prefix, as returned by [`Store::watch`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Store revision up to which the changes are complete; the next watch starts after it.
    pub revision: Version,
    /// Keys written after the given revision, with their current version, or `None` for a
    /// deleted object.
    pub keys: BTreeMap<SmolStr, Option<Version>>,
}

/// Client of the platform's object store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](crate::Error::Unavailable) if the store can't be reached or refuses the
    /// call, [`Malformed`](crate::Error::Malformed) if the reply can't be decoded.
    async fn get(&self, key: &str) -> Result<Option<Object>>;

    /// Writes an object if the condition holds and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Conflict`](crate::Error::Conflict) if the condition does not hold,
    /// [`Unavailable`](crate::Error::Unavailable) if the store can't be reached or refuses the
    /// write, [`Unknown`](crate::Error::Unknown) or [`Malformed`](crate::Error::Malformed) if the
    /// reply is lost or invalid and the write may have been applied,
    /// [`TooLarge`](crate::Error::TooLarge) for a value above [`VALUE_BYTES_MAX`].
    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Version>;

    /// Deletes an object if it has the given version.
    ///
    /// # Errors
    ///
    /// As for [`put`](Self::put).
    async fn delete(&self, key: &str, version: Version) -> Result<()>;

    /// Lists the keys that start with a prefix, with their versions.
    ///
    /// # Errors
    ///
    /// As for [`get`](Self::get).
    async fn list(&self, prefix: &str) -> Result<BTreeMap<SmolStr, Version>>;

    /// Waits until a key that starts with `prefix` is written or deleted after revision `after`.
    ///
    /// The store replies with an empty change after about 10 s without a write (long polling), so
    /// that a watch whose connection is broken runs into its timeout.
    ///
    /// # Errors
    ///
    /// As for [`get`](Self::get).
    async fn watch(&self, prefix: &str, after: Version) -> Result<Change>;
}
