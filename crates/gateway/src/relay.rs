//! Reads the catalog through one instance of the own failure domain.
//!
//! Calls to the catalog are counted for all instances together, and each change wakes every watch.
//! So the instances of a failure domain rank each other by rendezvous hashing, and each follows one
//! before itself that answers and follows the catalog: the first one has a few followers, each of
//! which has as many. The first one, and one that finds none, reads the catalog itself. Nobody is
//! elected, and there are no cycles.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_http::Client;
use jaycrank_policy::rendezvous;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::catalog::Catalog;
use crate::catalog::Error;
use crate::catalog::Item;
use crate::catalog::Listing;
use crate::catalog::ParsedConfig;
use crate::catalog::Result;
use crate::catalog::Revision;
use crate::gateway::Gateway;
use crate::peer;
use crate::peer::Peers;
use crate::peer::Poll;
use crate::peer::Update;
use crate::peer::Wanted;

/// Time that an exchange waits for news. An instance that freezes is noticed after it, so it is
/// well below the time within which a configuration must be in force.
const WAIT: Duration = Duration::from_millis(1_000);
/// Instances that follow one directly. Beyond it followers have followers of their own, so that what
/// an instance sends stays bounded: with all 100 of a failure domain at one, that one sent 475 kB/s.
const FOLLOWERS_MAX: usize = 16;
/// Time for which an instance that failed is not followed.
const FAILED_TIME: Duration = Duration::from_secs(4);
/// Time at the start in which an instance waits to hear of others before it reads the catalog.
const START_TIME: Duration = Duration::from_millis(700);
/// Interval at which it looks for others.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// Catalog as seen through other instances.
pub struct Relay {
    store: Arc<dyn Catalog>,
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    wait_until: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    clients: BTreeMap<SocketAddr, Arc<Client>>,
    failed: BTreeMap<SocketAddr, Instant>,
}

impl Relay {
    /// Reads `store` itself only if no other instance does.
    pub fn new(store: Arc<dyn Catalog>, gateway: Arc<Gateway>, peers: Arc<Peers>) -> Self {
        Self { store, gateway, peers, wait_until: Instant::now(), state: Mutex::default() }
    }

    /// Gives other instances a moment to be heard of before the first read. At the first start of a
    /// fleet no caller waits yet; later an instance is wanted at once.
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        if first_start {
            self.wait_until = Instant::now() + START_TIME;
        }
        self
    }

    /// The instance to follow, or `None` if this one reads the store.
    fn upstream(&self) -> Option<(SocketAddr, Arc<Client>)> {
        let now = Instant::now();
        let mut state = self.lock();
        state.failed.retain(|_, failed| now.duration_since(*failed) < FAILED_TIME);
        let key = format_smolstr!("reader/{}", self.peers.failure_domain());
        let own = format_smolstr!("{}", self.peers.own_address());
        let usable =
            self.peers.same_domain().into_iter().filter(|peer| !state.failed.contains_key(peer));
        let peers: BTreeMap<SmolStr, SocketAddr> =
            usable.map(|peer| (format_smolstr!("{peer}"), peer)).collect();
        let peer = *peers.get(rendezvous::upstream(&key, &own, peers.keys(), FOLLOWERS_MAX)?)?;
        let client =
            state.clients.entry(peer).or_insert_with(|| Arc::new(peer::client(peer))).clone();
        Some((peer, client))
    }

    fn fail(&self, peer: SocketAddr) {
        let mut state = self.lock();
        state.failed.insert(peer, Instant::now());
        state.clients.remove(&peer);
    }

    /// Asks the instance to follow; `None` if there is none that follows the catalog.
    async fn ask(
        &self,
        version: Wanted<u64>,
        revision: Wanted<Revision>,
        wait: Duration,
    ) -> Option<Update> {
        while let Some((peer, client)) = self.upstream() {
            let poll = Poll {
                from: self.peers.own_address(),
                failure_domain: self.peers.failure_domain().clone(),
                version,
                revision,
                wait_ms: wait.as_millis() as u64,
                peers: false,
            };
            match peer::poll(&client, &poll).await {
                Ok(update) if update.current && !behind(&update, revision) => {
                    let leafs = update.leafs.as_ref().map_or(0, |leafs| leafs.entries.len());
                    self.gateway.metrics().record_exchanged_leafs("reader", leafs);
                    return Some(update);
                }
                _ => self.fail(peer),
            }
        }
        None
    }

    async fn wait_for_peers(&self) {
        while self.peers.same_domain().is_empty() && Instant::now() < self.wait_until {
            sleep(START_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an instance knows less than the one that asks it.
fn behind(update: &Update, revision: Wanted<Revision>) -> bool {
    matches!(revision, Wanted::After(known) if update.revision < known)
}

fn parsed_config(update: Update) -> Listing<ParsedConfig> {
    let items = update.config.into_iter().map(Ok).collect();
    Listing { items, revision: update.revision }
}

fn items(update: Update) -> Listing<Item> {
    let revision = update.revision;
    let Some(leafs) = update.leafs else { return Listing { items: Vec::new(), revision } };
    let entries = leafs.entries.into_iter().map(Item::Leaf);
    let removed = leafs.removed.into_iter().map(Item::Removed);
    Listing { items: entries.chain(removed).collect(), revision }
}

#[async_trait]
impl Catalog for Relay {
    async fn config(&self, time: Duration) -> Result<Listing<ParsedConfig>> {
        self.wait_for_peers().await;
        match self
            .ask(Wanted::newer(self.gateway.directory()), Wanted::Nothing, Duration::ZERO)
            .await
        {
            Some(update) if update.config.is_some() => Ok(parsed_config(update)),
            _ => self.store.config(time).await,
        }
    }

    async fn watch_config(
        &self,
        revision: Revision,
        wait: Duration,
        time: Duration,
    ) -> Result<Listing<ParsedConfig>> {
        match self
            .ask(Wanted::newer(self.gateway.directory()), Wanted::Nothing, wait.min(WAIT))
            .await
        {
            // The store's own revision is kept for the case that this instance reads it again.
            Some(update) => Ok(Listing { revision, ..parsed_config(update) }),
            None => self.store.watch_config(revision, wait, time).await,
        }
    }

    async fn leafs(&self, time: Duration) -> Result<Listing<Item>> {
        self.wait_for_peers().await;
        match self.ask(Wanted::Nothing, Wanted::All, Duration::ZERO).await {
            Some(update) => Ok(items(update)),
            None => self.store.leafs(time).await,
        }
    }

    async fn watch_leafs(
        &self,
        revision: Revision,
        wait: Duration,
        time: Duration,
    ) -> Result<Listing<Item>> {
        match self.ask(Wanted::Nothing, Wanted::After(revision), wait.min(WAIT)).await {
            Some(Update { leafs: Some(leafs), .. }) if leafs.all => Err(Error::Expired),
            Some(update) => Ok(items(update)),
            None => self.store.watch_leafs(revision, wait, time).await,
        }
    }
}
