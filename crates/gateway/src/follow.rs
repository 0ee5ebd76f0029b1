//! Keeps the [`directory`](crate::directory) up to date with the catalog.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_event::Event;
use jaycrank_event::event;
use rand::RngExt;
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

/// Time that a watch waits for a change. Each watch is a call that costs money, but a lost reply is
/// noticed only after the wait. From 4 s after a fault, the strictest deployment requires a new
/// configuration to be in force within 3 s; reading it through another instance takes 1.5 s of
/// that. This leaves 5.5 s (4 s + 3 s - 1.5 s), and this wait plus [`WATCH_TIMEOUT_MARGIN`] is
/// less.
const WATCH_WAIT: Duration = Duration::from_millis(3_500);
/// Time beyond its wait after which a watch times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Timeout of one call of a list. A store that is 60 times slower than usual still answers within
/// it, and one that stopped answering is called again soon after it recovers.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a change before the next watch, so that a series of changes costs few calls.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// First backoff after a failed call; it doubles with each further failure.
const RETRY_BACKOFF_MIN: Duration = Duration::from_millis(150);
/// Longest backoff after a failed call while the instance serves.
const RETRY_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Range of the random factor of a backoff, so that instances that lost the catalog together don't
/// retry in step.
const RETRY_JITTER: Range<f64> = 0.7..1.3;
/// Shortest outage in which entries of live leafs may lapse because they can't be renewed.
const ENTRY_LIFETIME_MIN: Duration = Duration::from_secs(2);
/// Longest backoff after a failed call while the instance can't serve yet.
const START_BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Connectivity to the catalog, shared among the tasks of an instance.
#[derive(Debug, Default)]
pub struct Connectivity {
    config_lost: AtomicBool,
    leafs_lost: AtomicBool,
    /// Whether the leafs were read since the start.
    leafs_read: AtomicBool,
}

impl Connectivity {
    /// Returns whether configuration or leafs can't be followed now.
    pub fn is_lost(&self) -> bool {
        self.config_lost.load(Ordering::Relaxed) || self.leafs_lost.load(Ordering::Relaxed)
    }

    /// Returns whether the catalog is followed by an instance that knows the leafs up to `revision`, so
    /// that others can read it through this one. One that knows leafs from others alone does not follow
    /// it; one that has just started knows none.
    pub fn is_current(&self, revision: Revision) -> bool {
        !self.is_lost() && (revision == 0 || self.leafs_read.load(Ordering::Relaxed))
    }
}

/// Feed of one kind of document in the catalog.
#[async_trait]
trait Feed: Send + Sync {
    type Item: Send;

    fn kind(&self) -> &'static str;

    fn lost(&self) -> &AtomicBool;

    async fn list(&self) -> Result<Listing<Self::Item>>;

    async fn watch(&self, revision: Revision) -> Result<Listing<Self::Item>>;

    fn apply(&self, listing: Listing<Self::Item>);
}

/// Feed of the configuration.
struct ConfigFeed {
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    connectivity: Arc<Connectivity>,
}

/// Feed of the leaf entries.
struct LeafFeed {
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    connectivity: Arc<Connectivity>,
}

#[async_trait]
impl Feed for ConfigFeed {
    type Item = ParsedConfig;

    fn kind(&self) -> &'static str {
        "config"
    }

    fn lost(&self) -> &AtomicBool {
        &self.connectivity.config_lost
    }

    async fn list(&self) -> Result<Listing<ParsedConfig>> {
        self.catalog.config(LIST_TIMEOUT).await
    }

    async fn watch(&self, revision: Revision) -> Result<Listing<ParsedConfig>> {
        self.catalog.watch_config(revision, WATCH_WAIT, WATCH_TIMEOUT_MARGIN).await
    }

    fn apply(&self, listing: Listing<ParsedConfig>) {
        for stored in listing.items {
            match stored {
                Ok(config) => {
                    self.gateway.directory().apply_config(config, "catalog");
                }
                Err(cause) => {
                    event!(Event::RoutesInvalid, revision = listing.revision, cause = cause);
                }
            }
        }
    }
}

#[async_trait]
impl Feed for LeafFeed {
    type Item = Item;

    fn kind(&self) -> &'static str {
        "leafs"
    }

    fn lost(&self) -> &AtomicBool {
        &self.connectivity.leafs_lost
    }

    async fn list(&self) -> Result<Listing<Item>> {
        self.catalog.leafs(LIST_TIMEOUT).await
    }

    async fn watch(&self, revision: Revision) -> Result<Listing<Item>> {
        self.catalog.watch_leafs(revision, WATCH_WAIT, WATCH_TIMEOUT_MARGIN).await
    }

    fn apply(&self, listing: Listing<Item>) {
        self.gateway.directory().apply_leafs(listing, Instant::now().into_std());
        self.connectivity.leafs_read.store(true, Ordering::Relaxed);
    }
}

/// Follows configuration and leafs until it is aborted.
pub async fn follow(
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    connectivity: Arc<Connectivity>,
) {
    let config = ConfigFeed {
        gateway: gateway.clone(),
        catalog: catalog.clone(),
        connectivity: connectivity.clone(),
    };
    let leafs = LeafFeed { gateway: gateway.clone(), catalog, connectivity };
    tokio::join!(follow_feed(&gateway, config), follow_feed(&gateway, leafs));
}

async fn follow_feed(gateway: &Gateway, feed: impl Feed) {
    let mut revision = None;
    let mut backoff = RETRY_BACKOFF_MIN;
    // Whether the last successful call was a list.
    let mut listed = false;
    // Time from which on the catalog may have been unavailable to all.
    let mut silent_since = None;
    loop {
        // After an outage a list shows the current documents sooner than a watch does.
        let known = revision.filter(|_| !feed.lost().load(Ordering::Relaxed));
        let started = Instant::now();
        let result = match known {
            Some(revision) => feed.watch(revision).await,
            None => feed.list().await,
        };
        let answer_time = if known.is_some() { WATCH_WAIT } else { LIST_TIMEOUT };
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        gateway.metrics().record_catalog_call(feed.kind(), outcome);
        match result {
            Ok(listing) => {
                listed = known.is_none();
                if !listed {
                    backoff = RETRY_BACKOFF_MIN;
                }
                let outage = silent_since.take().map_or(Duration::ZERO, |at: Instant| at.elapsed());
                mark_restored(gateway, &feed, listing.revision, outage);
                let unchanged = listing.items.is_empty();
                revision = Some(listing.revision);
                feed.apply(listing);
                if !listed && !unchanged {
                    sleep(CHANGE_PAUSE).await;
                }
            }
            // The revision was compacted away; a list returns the current documents.
            Err(Error::Expired) if !listed => revision = None,
            // Lists are older than the compacted revision, or the call failed.
            Err(error) => {
                if error == Error::Expired {
                    revision = None;
                } else {
                    // A call that is cut off shows that the catalog was there until now.
                    let is_cut = started.elapsed() < answer_time;
                    let failed_at = if is_cut { Instant::now() } else { started };
                    silent_since.get_or_insert(failed_at);
                    mark_lost(&feed, &error);
                }
                let jitter = gateway.random().random_range(RETRY_JITTER);
                sleep(backoff.mul_f64(jitter)).await;
                let serving = gateway.directory().is_complete();
                backoff =
                    (backoff * 2).min(if serving { RETRY_BACKOFF_MAX } else { START_BACKOFF_MAX });
            }
        }
    }
}

fn mark_lost<F: Feed>(feed: &F, error: &Error) {
    if !feed.lost().swap(true, Ordering::Relaxed) {
        event!(Event::StoreUnavailable, prefix = feed.kind(), error = error);
    }
}

fn mark_restored<F: Feed>(gateway: &Gateway, feed: &F, revision: Revision, outage: Duration) {
    if feed.lost().swap(false, Ordering::Relaxed) {
        if outage >= ENTRY_LIFETIME_MIN {
            gateway.directory().record_catalog_recovery(Instant::now().into_std());
        }
        event!(
            Event::StoreAvailable,
            prefix = feed.kind(),
            revision = revision,
            ms = outage.as_millis()
        );
    }
}
