//! Interface to the platform's instance list.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumString;

use crate::error::Result;

/// Kind of process that an entry describes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Instance of jaycrank; its address is that of the listener for other instances.
    #[serde(rename = "entry")]
    #[strum(serialize = "entry")]
    Instance,
    /// Leaf of a backend service.
    Leaf,
}

/// State of a listed process as last observed by the platform.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Takes new work.
    Live,
    /// Asked to stop; must get no new work.
    Leaving,
}

/// Instance or leaf in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name, unique in the fleet and never reused.
    pub name: SmolStr,
    /// Whether the process is an instance or a leaf.
    pub kind: Kind,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: SmolStr,
    /// Region that the failure domain belongs to.
    pub region: SmolStr,
    /// State as last observed.
    pub state: State,
}

/// Client of the platform's instance list.
#[async_trait]
pub trait List: Send + Sync {
    /// Reads all entries. They may be many seconds out of date.
    ///
    /// # Errors
    ///
    /// [`Unavailable`](crate::Error::Unavailable) if the platform can't be reached or refuses the
    /// call, [`Malformed`](crate::Error::Malformed) if the reply can't be decoded.
    async fn entries(&self) -> Result<Vec<Entry>>;
}
