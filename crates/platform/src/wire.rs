//! HTTP interface of the platform: paths, header and JSON bodies.
//!
//! The paths are `GET /objects/KEY`, `PUT /objects/KEY`, `DELETE /objects/KEY`,
//! `GET /list?prefix=`, `GET /watch?prefix=&after=` and `GET /instances`. [`VERSION_HEADER`] holds
//! the version of an object in a response and the expected version in a write. A `PUT` without it
//! succeeds only if the object does not exist.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::list::Entry;
use crate::store::Version;

/// Header that holds the version of an object in decimal.
pub const VERSION_HEADER: &str = "x-version";

/// Body of the response to `GET /list`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Versions by key.
    pub keys: BTreeMap<SmolStr, Version>,
}

/// Body of the response to `GET /watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// Store revision up to which the changes are complete.
    pub revision: Version,
    /// Versions by changed key, or `None` for a deleted object.
    pub keys: BTreeMap<SmolStr, Option<Version>>,
}

/// Body of the response to `GET /instances`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Instances {
    /// All entries.
    pub entries: Vec<Entry>,
}
