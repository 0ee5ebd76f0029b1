//! Stand-in for the platform's object store, in memory, with injected failures.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_platform::Change;
use jaycrank_platform::Error;
use jaycrank_platform::Expected;
use jaycrank_platform::Object;
use jaycrank_platform::Result;
use jaycrank_platform::Version;
use jaycrank_platform::store::VALUE_BYTES_MAX;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::sleep;

/// Longest time that a watch waits before it returns an empty change.
pub const WATCH_WAIT_MAX: Duration = Duration::from_secs(10);

/// Failures that the store injects into calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Refuses every call.
    pub outage: bool,
    /// Time that each read takes.
    pub read_delay: Duration,
    /// Time that each write takes, half of it before and half after the write is applied.
    pub write_delay: Duration,
    /// Fraction of writes that are applied but whose reply is lost.
    pub lost_reply_fraction: f64,
    /// Fraction of reads that return the value before the last write of the object.
    pub stale_read_fraction: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            outage: false,
            read_delay: Duration::ZERO,
            write_delay: Duration::ZERO,
            lost_reply_fraction: 0.0,
            stale_read_fraction: 0.0,
        }
    }
}

/// Numbers of calls that reached the store.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl Calls {
    /// Number of reads and listings.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Number of writes and deletions, refused ones included.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Number of watches.
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }
}

/// An object with the value it had before the last write.
#[derive(Debug)]
struct Slot {
    current: Option<Object>,
    previous: Option<Object>,
    changed: Version,
}

#[derive(Debug, Default)]
struct State {
    revision: Version,
    slots: BTreeMap<SmolStr, Slot>,
}

/// Object store in memory. Random failures follow the seed given to [`Store::new`].
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    fault: Mutex<Fault>,
    random: Mutex<StdRng>,
    changed: watch::Sender<Version>,
    calls: Calls,
}

impl Store {
    /// Creates an empty store.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::default(),
            fault: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            changed: watch::Sender::new(0),
            calls: Calls::default(),
        }
    }

    /// Replaces the injected failures.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Changes the injected failures in place.
    pub fn update_fault(&self, update: impl FnOnce(&mut Fault)) {
        update(&mut lock(&self.fault));
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Reads an object without delay, failure or count, for checks.
    pub fn peek(&self, key: &str) -> Option<Object> {
        lock(&self.state).slots.get(key).and_then(|slot| slot.current.clone())
    }

    fn fault(&self) -> Fault {
        lock(&self.fault).clone()
    }

    fn chance(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.random).random_bool(probability.min(1.0))
    }

    async fn enter(&self, delay: Duration) -> Result<()> {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if self.fault().outage { Err(Error::Unavailable("injected outage".into())) } else { Ok(()) }
    }

    fn apply(&self, key: &str, value: Option<Bytes>, expected: Expected) -> Result<Version> {
        let mut state = lock(&self.state);
        let current = state.slots.get(key).and_then(|slot| slot.current.clone());
        let met = match expected {
            Expected::Absent => current.is_none(),
            Expected::Version(version) => {
                current.as_ref().is_some_and(|object| object.version == version)
            }
        };
        if !met {
            return Err(Error::Conflict(key.into()));
        }
        state.revision += 1;
        let revision = state.revision;
        let previous = current;
        let current = value.map(|value| Object { version: revision, value });
        state.slots.insert(key.into(), Slot { current, previous, changed: revision });
        drop(state);
        self.changed.send_replace(revision);
        Ok(revision)
    }

    async fn write(&self, key: &str, value: Option<Bytes>, expected: Expected) -> Result<Version> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let delay = self.fault().write_delay / 2;
        self.enter(delay).await?;
        let applied = self.apply(key, value, expected);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if self.chance(self.fault().lost_reply_fraction) {
            return Err(Error::Unknown("injected loss of the reply".into()));
        }
        applied
    }

    fn changes(&self, prefix: &str, after: Version) -> Change {
        let state = lock(&self.state);
        let keys = state
            .slots
            .iter()
            .filter(|(key, slot)| key.starts_with(prefix) && slot.changed > after)
            .map(|(key, slot)| (key.clone(), slot.current.as_ref().map(|object| object.version)))
            .collect();
        Change { revision: state.revision, keys }
    }
}

#[async_trait]
impl jaycrank_platform::Store for Store {
    async fn get(&self, key: &str) -> Result<Option<Object>> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault();
        self.enter(fault.read_delay).await?;
        let stale = self.chance(fault.stale_read_fraction);
        let state = lock(&self.state);
        let Some(slot) = state.slots.get(key) else { return Ok(None) };
        Ok(if stale { slot.previous.clone() } else { slot.current.clone() })
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Version> {
        if value.len() > VALUE_BYTES_MAX {
            return Err(Error::TooLarge(value.len()));
        }
        self.write(key, Some(value), expected).await
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        self.write(key, None, Expected::Version(version)).await.map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<BTreeMap<SmolStr, Version>> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        self.enter(self.fault().read_delay).await?;
        let state = lock(&self.state);
        let versions = state.slots.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(versions
            .filter_map(|(key, slot)| Some((key.clone(), slot.current.as_ref()?.version)))
            .collect())
    }

    async fn watch(&self, prefix: &str, after: Version) -> Result<Change> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        self.enter(self.fault().read_delay).await?;
        let mut changed = self.changed.subscribe();
        let wait = async {
            loop {
                changed.borrow_and_update();
                let change = self.changes(prefix, after);
                if !change.keys.is_empty() || changed.changed().await.is_err() {
                    return change;
                }
            }
        };
        let change = tokio::time::timeout(WATCH_WAIT_MAX, wait).await;
        self.enter(Duration::ZERO).await?;
        Ok(change.unwrap_or_else(|_| self.changes(prefix, after)))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
