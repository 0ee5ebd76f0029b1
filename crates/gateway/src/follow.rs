//! Keeps the table up to date with the catalog.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_event::Event;
use jaycrank_event::event;
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

/// Time that a watch waits for a change. Each watch is a priced call; but one whose answer is lost
/// shows only after its wait, and a configuration must be in force everywhere within 3 s of a calm
/// of 4 s on the tightest deployment, of which hearing from another instance takes 1.5 s.
const WATCH_WAIT: Duration = Duration::from_millis(3_500);
/// Time beyond its wait after which a watch has no answer any more.
const WATCH_SLACK: Duration = Duration::from_millis(1_000);
/// Time that one call of a list may take: a store that is 60 times slower than usual still answers
/// within it, and one that was silent is asked anew soon after its return.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a change, so that a series of changes costs few calls.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// Shortest pause after a failed call, which doubles with each further one.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(150);
/// Longest pause after a failed call.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Factors of a pause, so that instances that lost the catalog together do not ask in step.
const RETRY_SPREAD: Range<f64> = 0.7..1.3;
/// Longest pause while the instance can't serve.
const START_PAUSE_MAX: Duration = Duration::from_millis(200);

/// Whether the catalog answers; shared with the tasks that stand in for it.
#[derive(Debug, Default)]
pub struct Connectivity {
    config_lost: AtomicBool,
    leafs_lost: AtomicBool,
}

impl Connectivity {
    /// Whether some of the catalog can't be followed now.
    pub fn is_lost(&self) -> bool {
        self.config_lost.load(Ordering::Relaxed) || self.leafs_lost.load(Ordering::Relaxed)
    }
}

/// One kind of documents that is followed.
#[async_trait]
trait Feed: Send + Sync {
    type Item: Send;

    fn kind(&self) -> &'static str;

    fn lost(&self) -> &AtomicBool;

    async fn list(&self) -> Result<Listing<Self::Item>>;

    async fn watch(&self, revision: Revision) -> Result<Listing<Self::Item>>;

    fn replace(&self, listing: Listing<Self::Item>);

    fn change(&self, listing: Listing<Self::Item>);
}

/// The configuration.
struct ConfigFeed {
    gateway: Arc<Gateway>,
    catalog: Arc<dyn Catalog>,
    connectivity: Arc<Connectivity>,
}

/// The entries of leafs.
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
        self.catalog.config(CALL_TIMEOUT).await
    }

    async fn watch(&self, revision: Revision) -> Result<Listing<ParsedConfig>> {
        self.catalog.watch_config(revision, WATCH_WAIT, WATCH_SLACK).await
    }

    fn replace(&self, listing: Listing<ParsedConfig>) {
        self.change(listing);
    }

    fn change(&self, listing: Listing<ParsedConfig>) {
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
        self.catalog.leafs(CALL_TIMEOUT).await
    }

    async fn watch(&self, revision: Revision) -> Result<Listing<Item>> {
        self.catalog.watch_leafs(revision, WATCH_WAIT, WATCH_SLACK).await
    }

    fn replace(&self, listing: Listing<Item>) {
        let now = Instant::now().into_std();
        self.gateway.directory().replace_leafs(listing.items, listing.revision, now);
    }

    fn change(&self, listing: Listing<Item>) {
        let now = Instant::now().into_std();
        self.gateway.directory().apply_changes(listing.items, listing.revision, now);
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
    tokio::join!(run(&gateway, config), run(&gateway, leafs));
}

async fn run(gateway: &Gateway, feed: impl Feed) {
    let mut revision = None;
    let mut pause = RETRY_PAUSE_MIN;
    // Whether the last answer was a list.
    let mut listed = false;
    loop {
        // After an outage a list is quicker than a watch to tell what still stands.
        let known = revision.filter(|_| !feed.lost().load(Ordering::Relaxed));
        let called = match known {
            Some(revision) => feed.watch(revision).await,
            None => feed.list().await,
        };
        let outcome = if called.is_ok() { "ok" } else { "failed" };
        gateway.metrics().record_catalog_call(feed.kind(), outcome);
        match called {
            Ok(listing) => {
                listed = known.is_none();
                if !listed {
                    pause = RETRY_PAUSE_MIN;
                }
                regain(gateway, &feed, listing.revision);
                let quiet = listing.items.is_empty();
                revision = Some(listing.revision);
                if known.is_none() {
                    feed.replace(listing);
                } else {
                    feed.change(listing);
                    if !quiet {
                        sleep(CHANGE_PAUSE).await;
                    }
                }
            }
            // The history was dropped, and a list tells what stands now.
            Err(Error::Expired) if !listed => revision = None,
            // Lists lag behind the dropped history, or the call failed.
            Err(error) => {
                if error == Error::Expired {
                    revision = None;
                } else {
                    lose(&feed, &error);
                }
                sleep(pause.mul_f64(rand::random_range(RETRY_SPREAD))).await;
                let serving = gateway.directory().is_complete();
                pause = (pause * 2).min(if serving { RETRY_PAUSE_MAX } else { START_PAUSE_MAX });
            }
        }
    }
}

fn lose<F: Feed>(feed: &F, error: &Error) {
    if !feed.lost().swap(true, Ordering::Relaxed) {
        event!(Event::StoreUnavailable, prefix = feed.kind(), error = error);
    }
}

fn regain<F: Feed>(gateway: &Gateway, feed: &F, revision: Revision) {
    if feed.lost().swap(false, Ordering::Relaxed) {
        gateway.directory().record_catalog_recovery(Instant::now().into_std());
        event!(Event::StoreAvailable, prefix = feed.kind(), revision = revision);
    }
}
