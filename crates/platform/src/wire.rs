//! JSON messages of the HTTP form of the platform.
//!
//! `GET /objects/KEY`, `PUT /objects/KEY`, `DELETE /objects/KEY`, `GET /list?prefix=`,
//! `GET /watch?prefix=&after=` and `GET /instances`. The version of an object and the expected
//! version of an update travel in [`VERSION_HEADER`]; an update without it expects absence.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::list::Entry;
use crate::store::Version;

/// Header that carries the version of an object, decimal.
pub const VERSION_HEADER: &str = "x-version";

/// Reply to `GET /list`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Keys and versions.
    pub keys: BTreeMap<SmolStr, Version>,
}

/// Reply to `GET /watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    /// Store revision up to which the reply is complete.
    pub revision: Version,
    /// Changed keys with their version, or `None` for a deleted object.
    pub keys: BTreeMap<SmolStr, Option<Version>>,
}

/// Reply to `GET /instances`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Instances {
    /// All entries.
    pub entries: Vec<Entry>,
}
