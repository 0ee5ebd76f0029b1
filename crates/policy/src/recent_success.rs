//! Requests that were answered within the last second.
//!
//! A request that crashes servers never succeeds, so one that has just succeeded is not the cause of
//! a crash that it was in flight at. Without this, a popular request would be a suspect at each
//! crash of a server.

use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Number of requests remembered. A later request replaces one with the same slot.
const SLOTS: usize = 4_096;
/// Time for which a success counts. A request that starts to crash servers, for example after a
/// new version of them, is a suspect again after this time.
const SUCCESS_WINDOW: Duration = Duration::from_secs(1);

/// Hash of a request. The keys of the hash are random, so a caller can't choose a request that has
/// the hash of another one.
pub type Key = u64;

#[derive(Debug, Default)]
struct Slot {
    key: AtomicU64,
    /// Milliseconds from the creation of the table to the success, plus one.
    at_ms: AtomicU64,
}

/// Table of the latest successes, of fixed size and without locks.
///
/// ```
/// use std::time::Instant;
///
/// use jaycrank_policy::recent_success::RecentSuccesses;
///
/// let successes = RecentSuccesses::new();
/// let (key, now) = (successes.key(&"GET /a"), Instant::now());
/// assert!(!successes.contains(key, now));
/// successes.record(key, now);
/// assert!(successes.contains(key, now));
/// ```
#[derive(Debug)]
pub struct RecentSuccesses {
    hasher: RandomState,
    created_at: Instant,
    slots: Vec<Slot>,
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        Self::new()
    }
}

impl RecentSuccesses {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            hasher: RandomState::new(),
            created_at: Instant::now(),
            slots: (0..SLOTS).map(|_| Slot::default()).collect(),
        }
    }

    /// Returns the key of a request.
    pub fn key(&self, request: &impl Hash) -> Key {
        self.hasher.hash_one(request)
    }

    /// Records that a request succeeded.
    pub fn record(&self, key: Key, now: Instant) {
        let slot = self.slot(key);
        slot.key.store(key, Ordering::Relaxed);
        slot.at_ms.store(self.milliseconds(now) + 1, Ordering::Relaxed);
    }

    /// Returns whether a request succeeded within the last second.
    pub fn contains(&self, key: Key, now: Instant) -> bool {
        let slot = self.slot(key);
        let at = slot.at_ms.load(Ordering::Relaxed);
        let age = (self.milliseconds(now) + 1).saturating_sub(at);
        at > 0 && slot.key.load(Ordering::Relaxed) == key && age < SUCCESS_WINDOW.as_millis() as u64
    }

    fn slot(&self, key: Key) -> &Slot {
        &self.slots[(key % SLOTS as u64) as usize]
    }

    fn milliseconds(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created_at).as_millis() as u64
    }
}
