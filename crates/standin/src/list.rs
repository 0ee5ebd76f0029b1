//! Stand-in for the platform's instance list, which shows changes after a lag.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_platform::Entry;
use jaycrank_platform::Error;
use jaycrank_platform::Result;
use smol_str::SmolStr;
use tokio::time::Instant;

/// A change that readers do not see yet; without an entry it is a removal.
#[derive(Debug)]
struct Pending {
    visible_at: Instant,
    name: SmolStr,
    entry: Option<Entry>,
}

#[derive(Debug, Default)]
struct State {
    visible: BTreeMap<SmolStr, Entry>,
    pending: VecDeque<Pending>,
    lag: Duration,
    outage: bool,
}

impl State {
    /// Applies the pending changes whose lag has passed.
    fn apply_due(&mut self) {
        let now = Instant::now();
        while self.pending.front().is_some_and(|change| change.visible_at <= now) {
            let Some(change) = self.pending.pop_front() else { return };
            match change.entry {
                Some(entry) => self.visible.insert(change.name, entry),
                None => self.visible.remove(&change.name),
            };
        }
    }
}

/// Instance list in memory.
#[derive(Debug, Default)]
pub struct List {
    state: Mutex<State>,
}

impl List {
    /// Creates an empty list without lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the lag of later changes; changes made before keep theirs.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Starts or ends an outage, during which every read fails as unavailable.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Adds or replaces an entry. Readers see the change after the lag.
    pub fn set(&self, entry: Entry) {
        self.change(entry.name.clone(), Some(entry));
    }

    /// Removes an entry. Readers see the change after the lag.
    pub fn remove(&self, name: &str) {
        self.change(name.into(), None);
    }

    fn change(&self, name: SmolStr, entry: Option<Entry>) {
        let mut state = self.lock();
        let visible_at = Instant::now() + state.lag;
        state.pending.push_back(Pending { visible_at, name, entry });
        state.apply_due();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl jaycrank_platform::List for List {
    async fn entries(&self) -> Result<Vec<Entry>> {
        let mut state = self.lock();
        if state.outage {
            return Err(Error::Unavailable("injected outage".into()));
        }
        state.apply_due();
        Ok(state.visible.values().cloned().collect())
    }
}
