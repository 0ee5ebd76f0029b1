//! Interface to the catalog, which stores routes and lists leafs.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use crate::config::Config;

/// Revision of the catalog, which rises with each change and never falls.
pub type Revision = u64;

/// Id of a leaf.
pub type LeafId = SmolStr;

/// State that a leaf reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// The leaf takes requests.
    Ready,
    /// The leaf takes no new requests.
    Draining,
}

/// Catalog entry of a leaf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the leaf, which a restart does not change.
    pub id: LeafId,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: SmolStr,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// State that it reports.
    pub state: State,
    /// Warm-up time after its start, during which it is slow.
    pub cold: Duration,
    /// Unix time of its start in milliseconds, which distinguishes incarnations of one id.
    pub started_ms: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

/// Item of a list of leafs or of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// Current entry of a leaf.
    Leaf(Entry),
    /// Id of an entry that is not valid, with the reason.
    Invalid(LeafId, SmolStr),
    /// Id of an entry that was removed.
    Removed(LeafId),
}

/// Where documents were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// The catalog.
    #[default]
    Catalog,
    /// The instance through which this one reads the catalog.
    Reader(SocketAddr),
    /// Another instance.
    Peer(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Catalog => f.write_str("catalog"),
            Self::Reader(address) => write!(f, "reader {address}"),
            Self::Peer(address) => write!(f, "peer {address}"),
        }
    }
}

/// Which documents a listing has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// All documents that exist at its revision.
    All,
    /// All changes and removals after this revision, up to its own.
    Since(Revision),
    /// Some changes and removals. Instances of older versions don't state which ones they have.
    Unknown,
}

/// Result of a list or a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// Items that are listed or have changed.
    pub items: Vec<T>,
    /// Revision up to which the items are complete.
    pub revision: Revision,
    /// Which documents the items are.
    pub coverage: Coverage,
    /// Time for which the oldest of its changes may have been in force when it was received.
    pub age: Duration,
    /// Where the items were read.
    pub source: Source,
}

impl<T> Listing<T> {
    /// Creates a list of all documents that was read from the catalog.
    pub fn new(items: Vec<T>, revision: Revision) -> Self {
        let (coverage, source) = (Coverage::All, Source::Catalog);
        Self { items, revision, coverage, age: Duration::ZERO, source }
    }

    /// Sets which documents the items are.
    pub fn with_coverage(mut self, coverage: Coverage) -> Self {
        self.coverage = coverage;
        self
    }

    /// Replaces the items, for example by decoded ones.
    pub fn map<U>(self, convert: impl FnOnce(Vec<T>) -> Vec<U>) -> Listing<U> {
        let Self { items, revision, coverage, age, source } = self;
        Listing { items: convert(items), revision, coverage, age, source }
    }

    /// Adds to the time for which the oldest of its changes may have been in force.
    pub fn with_added_age(mut self, time: Duration) -> Self {
        self.age += time;
        self
    }

    /// Sets where the items were read.
    pub fn with_source(mut self, source: Source) -> Self {
        self.source = source;
        self
    }
}

/// Failure of a call to the catalog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The catalog no longer has the changes since the revision; a new list is needed.
    Expired,
    /// The catalog can't be reached or refused the call.
    Unavailable(SmolStr),
    /// The reply can't be decoded.
    Malformed(SmolStr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Expired => f.write_str("changes since the revision are no longer available"),
            Self::Unavailable(cause) => write!(f, "catalog unavailable: {cause}"),
            Self::Malformed(cause) => write!(f, "malformed reply: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Result of a call to the catalog.
pub type Result<T> = std::result::Result<T, Error>;

/// Decoded configuration; `Err` holds the reason why it is not valid.
pub type ParsedConfig = std::result::Result<Config, SmolStr>;

/// Client of the catalog. Each method is one call or a series of pages, without retries.
#[async_trait]
pub trait Catalog: Send + Sync {
    /// Reads the configuration; the list is empty if there is none. Each call times out after
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if the catalog can't be reached.
    async fn config(&self, timeout: Duration) -> Result<Listing<ParsedConfig>>;

    /// Waits up to `wait` for a configuration newer than `revision`; the list is empty if there was
    /// none. The call times out `timeout` after the wait.
    ///
    /// # Errors
    ///
    /// [`Error::Expired`] if changes were missed, else as for [`config`](Self::config).
    async fn watch_config(
        &self,
        revision: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Listing<ParsedConfig>>;

    /// Reads the entries of all leafs. Each call times out after `timeout`. If the entries are read in
    /// several calls, the revision is that of the first one.
    ///
    /// # Errors
    ///
    /// As for [`config`](Self::config).
    async fn leafs(&self, timeout: Duration) -> Result<Listing<Item>>;

    /// Waits up to `wait` for changes of entries after `revision`; times out as
    /// [`watch_config`](Self::watch_config) does.
    ///
    /// # Errors
    ///
    /// As for [`watch_config`](Self::watch_config).
    async fn watch_leafs(
        &self,
        revision: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Listing<Item>>;
}
