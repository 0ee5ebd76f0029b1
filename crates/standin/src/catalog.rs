//! In-memory stand-in for the catalog of routes and leafs, with injected failures.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_gateway::catalog::Coverage;
use jaycrank_gateway::catalog::Entry;
use jaycrank_gateway::catalog::Error;
use jaycrank_gateway::catalog::Item;
use jaycrank_gateway::catalog::LeafId;
use jaycrank_gateway::catalog::Listing;
use jaycrank_gateway::catalog::ParsedConfig;
use jaycrank_gateway::catalog::Result;
use jaycrank_gateway::catalog::Revision;
use jaycrank_gateway::config::Config;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

/// Catalog in memory.
#[derive(Debug)]
pub struct Catalog {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    config: Option<(Config, Revision)>,
    leafs: BTreeMap<LeafId, (Item, Revision)>,
    /// Changes up to this revision are no longer in the history, so watches after an earlier one
    /// fail as expired.
    compacted_revision: Revision,
    outage: bool,
    /// Number of revisions by which the revision of a list lags.
    lag: Revision,
    /// Watches that began at this time or earlier get no reply.
    silenced_at: Option<Instant>,
    calls: u64,
}

impl State {
    /// Returns the revision that a list reports.
    fn listed_revision(&self) -> Revision {
        self.revision.saturating_sub(self.lag)
    }
}

impl Default for Catalog {
    fn default() -> Self {
        Self { state: Mutex::default(), changed: watch::channel(()).0 }
    }
}

impl Catalog {
    /// Creates an empty catalog.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a configuration.
    pub fn put_config(&self, config: Config) {
        let mut state = self.lock();
        state.revision += 1;
        state.config = Some((config, state.revision));
        drop(state);
        self.changed.send_replace(());
    }

    /// Stores an item for a leaf.
    pub fn put(&self, id: &str, item: Item) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.leafs.insert(id.into(), (item, revision));
        drop(state);
        self.changed.send_replace(());
    }

    /// Stores the entry of a leaf under its id.
    pub fn put_leaf(&self, entry: Entry) {
        let id = entry.id.clone();
        self.put(&id, Item::Leaf(entry));
    }

    /// Removes the entry of a leaf; watches report the removal.
    pub fn remove_leaf(&self, id: &str) {
        self.put(id, Item::Removed(id.into()));
    }

    /// Starts or ends an outage, during which every call fails as unavailable.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
        self.changed.send_replace(());
    }

    /// Drops the replies to all pending watches; they time out.
    pub fn silence_watches(&self) {
        self.lock().silenced_at = Some(Instant::now());
    }

    /// Drops the history of changes, so that watches after an earlier revision fail as expired.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
    }

    /// Makes lists report a revision that is `lag` lower than the current one.
    pub fn set_lag(&self, lag: Revision) {
        self.lock().lag = lag;
    }

    /// Returns the number of calls so far, including failed ones.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Counts a call and returns the state, or an error during an outage.
    fn call(&self) -> Result<MutexGuard<'_, State>> {
        let mut state = self.lock();
        state.calls += 1;
        if state.outage { Err(Error::Unavailable("down".into())) } else { Ok(state) }
    }

    /// Waits until `find_changes` returns items or `wait` has passed.
    ///
    /// A silenced watch fails `timeout` after that, as a client without a reply does.
    async fn wait<T>(
        &self,
        revision: Revision,
        wait: Duration,
        timeout: Duration,
        find_changes: impl Fn(&State) -> Vec<T>,
    ) -> Result<Listing<T>> {
        drop(self.call()?);
        let started_at = Instant::now();
        let end = started_at + wait;
        let mut changed = self.changed.subscribe();
        loop {
            if self.lock().silenced_at.is_some_and(|silenced_at| started_at <= silenced_at) {
                sleep_until(end + timeout).await;
                return Err(Error::Unavailable("injected loss of the reply".into()));
            }
            {
                let state = self.lock();
                if state.outage {
                    return Err(Error::Unavailable("down".into()));
                }
                if revision < state.compacted_revision {
                    return Err(Error::Expired);
                }
                let items = find_changes(&state);
                if !items.is_empty() || Instant::now() >= end {
                    let listing = Listing::new(items, state.revision);
                    return Ok(listing.with_coverage(Coverage::Since(revision)));
                }
            }
            // The next pass handles both a change and the end of the wait.
            let _ = timeout_at(end, changed.changed()).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl jaycrank_gateway::Catalog for Catalog {
    async fn config(&self, _timeout: Duration) -> Result<Listing<ParsedConfig>> {
        yield_now().await;
        let state = self.call()?;
        let items = state.config.iter().map(|(config, _)| Ok(config.clone())).collect();
        Ok(Listing::new(items, state.listed_revision()))
    }

    async fn watch_config(
        &self,
        revision: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Listing<ParsedConfig>> {
        let newer = |state: &State| -> Vec<ParsedConfig> {
            let newer = state.config.iter().filter(|(_, changed_at)| *changed_at > revision);
            newer.map(|(config, _)| Ok(config.clone())).collect()
        };
        self.wait(revision, wait, timeout, newer).await
    }

    async fn leafs(&self, _timeout: Duration) -> Result<Listing<Item>> {
        yield_now().await;
        let state = self.call()?;
        let listed = state.leafs.values().map(|(item, _)| item.clone());
        let items = listed.filter(|item| !matches!(item, Item::Removed(_))).collect();
        Ok(Listing::new(items, state.listed_revision()))
    }

    async fn watch_leafs(
        &self,
        revision: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Listing<Item>> {
        let newer = |state: &State| -> Vec<Item> {
            let newer = state.leafs.values().filter(|(_, changed_at)| *changed_at > revision);
            newer.map(|(item, _)| item.clone()).collect()
        };
        self.wait(revision, wait, timeout, newer).await
    }
}
