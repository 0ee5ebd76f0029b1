//! The platform's instance list: names, addresses and states, which lag.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumString;

use crate::error::Result;

/// What runs on an instance.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// An instance of jaycrank itself; the address is that of its instance listener.
    #[serde(rename = "entry")]
    #[strum(serialize = "entry")]
    Instance,
    /// A leaf of a backend service.
    Leaf,
}

/// State of an instance as the platform last saw it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// In service.
    Live,
    /// Asked to stop; it gets no new work.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name, unique in the fleet and not reused.
    pub name: SmolStr,
    /// What runs on the instance.
    pub kind: Kind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Region that the failure domain belongs to.
    pub region: SmolStr,
    /// State as last seen.
    pub state: State,
}

/// Border to the platform's instance list.
#[async_trait]
pub trait List: Send + Sync {
    /// Reads all entries. The list may lag by many seconds.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](crate::Error::Unavailable) if the platform can't be reached.
    async fn entries(&self) -> Result<Vec<Entry>>;
}
