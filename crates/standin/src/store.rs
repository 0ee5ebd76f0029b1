//! In-memory stand-in for the platform's object store, with injected failures.

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
    /// Whether every call fails as unavailable.
    pub outage: bool,
    /// Duration of each read.
    pub read_delay: Duration,
    /// Duration of each write; the write takes effect after half of it.
    pub write_delay: Duration,
    /// Fraction of writes that are applied but whose reply is lost.
    pub lost_reply_fraction: f64,
    /// Fraction of reads that return the object as it was before its last write.
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
    /// Returns the number of reads and listings.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of writes and deletions, including refused ones.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns the number of watches.
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }
}

/// An object before and after its last write; `None` where it does not exist.
#[derive(Debug)]
struct History {
    current: Option<Object>,
    previous: Option<Object>,
    changed_at: Version,
}

#[derive(Debug, Default)]
struct State {
    revision: Version,
    objects: BTreeMap<SmolStr, History>,
}

/// Object store in memory.
///
/// Random failures are drawn from a generator with the seed given to [`Store::new`].
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

    /// Returns an object for checks in tests, without delay, injected failure or counted call.
    pub fn peek(&self, key: &str) -> Option<Object> {
        lock(&self.state).objects.get(key).and_then(|history| history.current.clone())
    }

    fn fault(&self) -> Fault {
        lock(&self.fault).clone()
    }

    /// Returns true with a given probability.
    fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.random).random_bool(probability.min(1.0))
    }

    /// Waits for the delay of a call and fails if there is an outage then.
    async fn begin_call(&self, delay: Duration) -> Result<()> {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if self.fault().outage { Err(Error::Unavailable("injected outage".into())) } else { Ok(()) }
    }

    /// Applies a conditional write; no value deletes the object.
    fn apply(&self, key: &str, value: Option<Bytes>, expected: Expected) -> Result<Version> {
        let mut state = lock(&self.state);
        let current = state.objects.get(key).and_then(|history| history.current.clone());
        let is_met = match expected {
            Expected::Absent => current.is_none(),
            Expected::Version(version) => {
                current.as_ref().is_some_and(|object| object.version == version)
            }
        };
        if !is_met {
            return Err(Error::Conflict(key.into()));
        }
        state.revision += 1;
        let revision = state.revision;
        let previous = current;
        let current = value.map(|value| Object { version: revision, value });
        state.objects.insert(key.into(), History { current, previous, changed_at: revision });
        drop(state);
        self.changed.send_replace(revision);
        Ok(revision)
    }

    /// Counts, delays and applies a write; the reply may be lost.
    async fn write(&self, key: &str, value: Option<Bytes>, expected: Expected) -> Result<Version> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let delay = self.fault().write_delay / 2;
        self.begin_call(delay).await?;
        let applied = self.apply(key, value, expected);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if self.random_bool(self.fault().lost_reply_fraction) {
            return Err(Error::Unknown("injected loss of the reply".into()));
        }
        applied
    }

    /// Returns the keys below a prefix that changed after a revision.
    fn changes(&self, prefix: &str, after: Version) -> Change {
        let state = lock(&self.state);
        let keys = state
            .objects
            .iter()
            .filter(|(key, history)| key.starts_with(prefix) && history.changed_at > after)
            .map(|(key, history)| {
                (key.clone(), history.current.as_ref().map(|object| object.version))
            })
            .collect();
        Change { revision: state.revision, keys }
    }
}

#[async_trait]
impl jaycrank_platform::Store for Store {
    async fn get(&self, key: &str) -> Result<Option<Object>> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault();
        self.begin_call(fault.read_delay).await?;
        let stale = self.random_bool(fault.stale_read_fraction);
        let state = lock(&self.state);
        let Some(history) = state.objects.get(key) else { return Ok(None) };
        Ok(if stale { history.previous.clone() } else { history.current.clone() })
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
        self.begin_call(self.fault().read_delay).await?;
        let state = lock(&self.state);
        let versions = state.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(versions
            .filter_map(|(key, history)| Some((key.clone(), history.current.as_ref()?.version)))
            .collect())
    }

    async fn watch(&self, prefix: &str, after: Version) -> Result<Change> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        self.begin_call(self.fault().read_delay).await?;
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
        self.begin_call(Duration::ZERO).await?;
        Ok(change.unwrap_or_else(|_| self.changes(prefix, after)))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
