//! Reads the catalog through another instance of the same failure domain.
//!
//! Each call to the catalog is charged, the limit on calls applies to all instances together, and
//! each change wakes every watch. So the instances of a failure domain form a tree: they rank each
//! other by rendezvous hashing, and each one reads from an instance of higher rank that responds
//! and is up to date with the catalog. The number of direct followers is bounded. The instance of
//! the highest rank, and one that finds no upstream, reads the catalog itself. This needs no leader
//! election, and following only higher ranks rules out cycles.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_policy::rendezvous;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::catalog::Catalog;
use crate::catalog::Coverage;
use crate::catalog::Item;
use crate::catalog::Listing;
use crate::catalog::ParsedConfig;
use crate::catalog::Result;
use crate::catalog::Revision;
use crate::catalog::Source;
use crate::gateway::Gateway;
use crate::peer;
use crate::peer::Peers;
use crate::peer::Poll;
use crate::peer::Transport;
use crate::peer::Update;
use crate::peer::Wanted;

/// Longest time that a poll waits for changes. A frozen upstream is noticed only after this
/// time, so it is well below the time within which a configuration must be in force.
const POLL_WAIT_MAX: Duration = Duration::from_millis(1_000);
/// Maximum number of direct followers of an instance; further instances follow those followers. It
/// bounds the traffic that one instance sends: with all 100 instances of a failure domain following
/// one, that one sent 475 kB/s.
const FOLLOWERS_MAX: usize = 16;
/// Time after the wait of a poll in which further upstream instances are tried before the catalog is
/// read.
const UPSTREAM_TIME_MAX: Duration = Duration::from_millis(250);
/// Time for which an instance is not used as upstream after it failed.
const FAILED_PEER_BACKOFF: Duration = Duration::from_secs(4);
/// Time for which reads wait until other instances are discovered, at the first start of a fleet. The
/// lists of instances are complete after a few rounds of [`peer`]. With 700 ms, and a wait that ended
/// with the first instance found, all of 295 instances read the catalog themselves.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for which a list waits at the start for an upstream instance that has just started
/// too. When all instances restart at once, only a few then read the catalog.
const START_WAIT: Duration = Duration::from_millis(300);

/// Outcome of polling upstream instances.
struct Polled {
    /// Answer of an instance that is up to date with the catalog.
    answer: Option<(Source, Update)>,
    /// Time in which changes may have been missed, because instances did not answer.
    lost: Duration,
}

/// Catalog that is read through another instance where possible.
pub struct Relay {
    catalog: Arc<dyn Catalog>,
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    transport: Arc<dyn Transport>,
    /// Time until which reads wait for other instances.
    discovery_deadline: Instant,
    /// Instances that failed, with the time of the failure.
    failed: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl Relay {
    /// Creates a relay that reads `catalog` itself only if there is no upstream instance.
    pub fn new(
        catalog: Arc<dyn Catalog>,
        gateway: Arc<Gateway>,
        peers: Arc<Peers>,
        transport: Arc<dyn Transport>,
    ) -> Self {
        let discovery_deadline = Instant::now();
        Self { catalog, gateway, peers, transport, discovery_deadline, failed: Mutex::default() }
    }

    /// Lets reads wait until other instances are discovered. This is for the first start of a fleet,
    /// when no callers wait yet; an instance that starts later must serve at once.
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        if first_start {
            self.discovery_deadline = Instant::now() + DISCOVERY_TIME;
        }
        self
    }

    /// Returns the instance to read from, or `None` if this one has to read the catalog itself.
    fn upstream(&self) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut failed = self.failed();
        failed.retain(|_, failed_at| now.duration_since(*failed_at) < FAILED_PEER_BACKOFF);
        let key = format_smolstr!("reader/{}", self.peers.failure_domain());
        let own = format_smolstr!("{}", self.peers.own_address());
        let usable = self.peers.same_domain().into_iter().filter(|peer| !failed.contains_key(peer));
        let peers: BTreeMap<SmolStr, SocketAddr> =
            usable.map(|peer| (format_smolstr!("{peer}"), peer)).collect();
        peers.get(rendezvous::upstream(&key, &own, peers.keys(), FOLLOWERS_MAX)?).copied()
    }

    /// Polls upstream instances until one answers that is up to date with the catalog. There is no
    /// answer if there is no such instance, or if those that were tried took too long: each silent one
    /// takes as long as a timeout, and many may be silent at once.
    async fn poll_upstream(
        &self,
        version: Wanted<u64>,
        revision: Wanted<Revision>,
        wait: Duration,
    ) -> Polled {
        let started = Instant::now();
        let end = started + wait;
        let mut lost = Duration::ZERO;
        while Instant::now() < end + UPSTREAM_TIME_MAX
            && let Some(peer) = self.upstream()
        {
            let wait = end.saturating_duration_since(Instant::now());
            let poll = Poll {
                from: self.peers.own_address(),
                failure_domain: self.peers.failure_domain().clone(),
                version,
                revision,
                wait_ms: wait.as_millis() as u64,
                peers: false,
            };
            match self.transport.poll(peer, &poll).await {
                Ok(update) if is_usable(&update, revision) => {
                    let leafs = update.leafs.as_ref().map_or(0, |leafs| leafs.entries.len());
                    self.gateway.metrics().record_exchanged_leafs("reader", leafs);
                    peer::log_documents(peer, &poll, &update);
                    return Polled { answer: Some((Source::Reader(peer), update)), lost };
                }
                _ => {
                    lost = started.elapsed();
                    self.failed().insert(peer, Instant::now());
                }
            }
        }
        Polled { answer: None, lost }
    }

    fn failed(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Instant>> {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether the polled instance follows the catalog and is not behind the one that polls it. An
/// instance of an older version does not state which changes it has, and may miss some.
fn is_usable(update: &Update, revision: Wanted<Revision>) -> bool {
    let is_behind = matches!(revision, Wanted::After(known) if update.revision < known);
    let is_stated = update.leafs.as_ref().is_none_or(|leafs| leafs.since.is_some());
    update.current && !is_behind && (is_stated || update.revision == 0)
}

/// Returns the configuration in an update. Its revision is the one that this instance asked after: the
/// revision of an update is that of the leafs, and the upstream instance may not know a configuration
/// from before it. If this instance has to read the catalog later, it reads what it may have missed.
fn config_listing((source, update): (Source, Update), revision: Revision) -> Listing<ParsedConfig> {
    let items = update.config.into_iter().map(Ok).collect();
    Listing::new(items, revision).with_source(source)
}

#[async_trait]
impl Catalog for Relay {
    async fn config(&self, time: Duration) -> Result<Listing<ParsedConfig>> {
        sleep_until(self.discovery_deadline).await;
        let wanted = Wanted::newer(self.gateway.directory());
        let wait = if wanted == Wanted::All { START_WAIT } else { Duration::ZERO };
        match self.poll_upstream(wanted, Wanted::Nothing, wait).await.answer {
            Some(read) if read.1.config.is_some() => Ok(config_listing(read, 0)),
            // The upstream instance has read the catalog, and there is no configuration yet.
            Some(read) if wanted == Wanted::All && read.1.revision > 0 => {
                Ok(config_listing(read, 0))
            }
            _ => self.catalog.config(time).await,
        }
    }

    async fn watch_config(
        &self,
        revision: Revision,
        wait: Duration,
        time: Duration,
    ) -> Result<Listing<ParsedConfig>> {
        match self
            .poll_upstream(
                Wanted::newer(self.gateway.directory()),
                Wanted::Nothing,
                wait.min(POLL_WAIT_MAX),
            )
            .await
            .answer
        {
            Some(read) => Ok(config_listing(read, revision)),
            None => self.catalog.watch_config(revision, wait, time).await,
        }
    }

    async fn leafs(&self, time: Duration) -> Result<Listing<Item>> {
        sleep_until(self.discovery_deadline).await;
        match self.poll_upstream(Wanted::Nothing, Wanted::All, START_WAIT).await.answer {
            // An instance that has just started knows no leafs.
            Some((source, Update { leafs: Some(leafs), revision, .. })) if revision > 0 => {
                Ok(leafs.into_listing(revision, source))
            }
            _ => self.catalog.leafs(time).await,
        }
    }

    async fn watch_leafs(
        &self,
        revision: Revision,
        wait: Duration,
        time: Duration,
    ) -> Result<Listing<Item>> {
        let wanted = Wanted::After(revision);
        let Polled { answer, lost } =
            self.poll_upstream(Wanted::Nothing, wanted, wait.min(POLL_WAIT_MAX)).await;
        let listing = match answer {
            Some((source, Update { leafs: Some(leafs), revision: until, .. })) => {
                leafs.into_listing(until, source)
            }
            Some((source, _)) => Listing::new(Vec::new(), revision)
                .with_coverage(Coverage::Since(revision))
                .with_source(source),
            None => self.catalog.watch_leafs(revision, wait, time).await?,
        };
        Ok(listing.with_added_age(lost))
    }
}
