//! Initial fetch of all documents, before an instance reports ready.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::auth::Key;
use crate::client::Client;
use crate::documents::CONFIG_KEY;
use crate::exchange::Exchange;
use crate::heartbeat::pull_documents;
use crate::wire::Document;
use crate::wire::State;

/// Timeout of the first heartbeat to a peer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers to fetch documents from. A single peer might not have received the most
/// recent edit yet, and the instance would start with outdated settings.
const SOURCE_PEERS_MAX: usize = 4;

/// Pause between two attempts over all peers and the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Interface to the store, which is read if no peer has the documents.
#[async_trait]
pub trait Fallback: Send + Sync {
    /// Reads all documents from the store.
    ///
    /// # Errors
    ///
    /// Returns the cause as text.
    async fn documents(&self) -> Result<Vec<Document>, SmolStr>;
}

/// Source of the documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The peers; the name is that of the first one that replied.
    Peer(SmolStr),
    /// The store.
    Store,
}

/// Failure to fetch the documents from any peer or from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    peers: usize,
    store: SmolStr,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "none of {} peers provided the settings; reading the store failed: {}",
            self.peers, self.store
        )
    }
}

impl std::error::Error for Error {}

/// Fetches all documents from up to four peers, or from the store if no peer has them.
///
/// Peers that are themselves starting are skipped. The highest revision of each document is kept.
/// Failed attempts are repeated until `time_limit` has passed.
///
/// # Errors
///
/// [`Error`] if neither a peer nor the store had the documents in time.
pub async fn fetch_documents(
    exchange: &Exchange,
    key: &Key,
    fallback: &dyn Fallback,
    time_limit: Duration,
) -> Result<Source, Error> {
    let deadline = Instant::now() + time_limit;
    loop {
        let targets = exchange.membership().targets(Instant::now().into_std());
        let peers = targets.len();
        let mut first = None;
        let mut answered = 0;
        for address in targets {
            let client = Client::new(address, key.clone()).with_traffic(exchange.traffic().clone());
            if let Some(name) = fetch_from_peer(&client, exchange).await {
                first.get_or_insert(name);
                answered += 1;
            }
            if answered == SOURCE_PEERS_MAX {
                break;
            }
        }
        if let Some(name) = first {
            return Ok(Source::Peer(name));
        }
        let store = match fallback.documents().await {
            Ok(documents) => {
                for document in documents {
                    exchange.documents().apply(document.key, document.revision, document.value.0);
                }
                return Ok(Source::Store);
            }
            Err(cause) => format_smolstr!("{cause}"),
        };
        if Instant::now() + RETRY_INTERVAL >= deadline {
            return Err(Error { peers, store });
        }
        sleep(RETRY_INTERVAL).await;
    }
}

async fn fetch_from_peer(client: &Client, exchange: &Exchange) -> Option<SmolStr> {
    let reply =
        client.heartbeat(&exchange.compose_heartbeat(None), HEARTBEAT_TIMEOUT).await.ok()?;
    let (name, state) = (reply.from.name.clone(), reply.from.state);
    exchange.handle_heartbeat(reply);
    if state == State::Starting {
        return None;
    }
    pull_documents(client, exchange).await.ok()?;
    exchange.documents().get(CONFIG_KEY).map(|_| name)
}
