//! Border to where routes and leafs are listed.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use crate::config::Config;

/// Revision of the catalog, rising with each change.
pub type Revision = u64;

/// Id of one leaf.
pub type LeafId = SmolStr;

/// State that a leaf reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Takes requests.
    Ready,
    /// Takes no new requests.
    Draining,
}

/// Entry of a leaf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the leaf; kept over a restart.
    pub id: LeafId,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: SmolStr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// State that it reports.
    pub state: State,
    /// Time that it stays slow after its start.
    pub cold: Duration,
    /// Unix time of its start in milliseconds: tells incarnations of one id apart.
    pub started_ms: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

/// One item of a list of leafs or of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// An entry as it stands.
    Leaf(Entry),
    /// An entry that can't be used, with the reason.
    Invalid(LeafId, SmolStr),
    /// An entry that was removed.
    Removed(LeafId),
}

/// What a list or a watch returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// What is listed or has changed.
    pub items: Vec<T>,
    /// Revision up to which the items are complete.
    pub revision: Revision,
}

/// Failure of a call to the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The catalog no longer knows the changes since the revision; list anew.
    Expired,
    /// The catalog can't be reached or refused the call.
    Unavailable(SmolStr),
    /// The reply can't be decoded.
    Malformed(SmolStr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expired => f.write_str("the history since the revision is gone"),
            Self::Unavailable(cause) => write!(f, "catalog unavailable: {cause}"),
            Self::Malformed(cause) => write!(f, "malformed reply: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of a call to the catalog.
pub type Result<T> = std::result::Result<T, Error>;

/// A configuration as read; `Err` holds why it is not valid.
pub type ParsedConfig = std::result::Result<Config, SmolStr>;

/// Border to the catalog. Every method is one call or a series of pages, without retries.
#[async_trait]
pub trait Catalog: Send + Sync {
    /// Reads the configuration; no item if there is none. No call takes longer than `time`.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the catalog can't be reached.
    async fn config(&self, time: Duration) -> Result<Listing<ParsedConfig>>;

    /// Waits up to `wait` for a configuration after `revision`; no item if there was none.
    /// The call takes no longer than `time` beyond the wait.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] if changes were missed, else as for [`config`](Self::config).
    async fn watch_config(
        &self,
        revision: Revision,
        wait: Duration,
        time: Duration,
    ) -> Result<Listing<ParsedConfig>>;

    /// Reads the entries of all leafs.
    ///
    /// # Errors
    ///
    /// As for [`config`](Self::config).
    async fn leafs(&self, time: Duration) -> Result<Listing<Item>>;

    /// Waits up to `wait` for changes of entries after `revision`.
    ///
    /// # Errors
    ///
    /// As for [`watch_config`](Self::watch_config).
    async fn watch_leafs(
        &self,
        revision: Revision,
        wait: Duration,
        time: Duration,
    ) -> Result<Listing<Item>>;
}
