//! One leaf: its entry, its connections and what this instance observes of it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use jaycrank_policy::connections::ConnectionLimit;
use jaycrank_policy::placement::LeafStats;
use jaycrank_policy::presence::Eligibility;
use jaycrank_policy::presence::Presence;

use crate::catalog::Entry;
use crate::catalog::Revision;
use crate::catalog::State;
use crate::pool::Pool;

/// A leaf of one incarnation.
#[derive(Debug)]
pub struct Leaf {
    entry: Mutex<Entry>,
    presence: Mutex<Presence>,
    observed: Mutex<LeafStats>,
    /// Revision of the catalog at which the entry was last seen to change.
    revision: AtomicU64,
    pool: Pool,
}

impl Leaf {
    /// Creates a leaf without connections.
    pub fn new(entry: Entry, limit: ConnectionLimit, revision: Revision, now: Instant) -> Self {
        let observed = LeafStats::default().with_cold_until(now + entry.cold);
        Self {
            pool: Pool::new(entry.address, limit),
            presence: Mutex::new(presence(&entry)),
            observed: Mutex::new(observed),
            revision: AtomicU64::new(revision),
            entry: Mutex::new(entry),
        }
    }

    /// The entry as last listed.
    pub fn entry(&self) -> Entry {
        lock(&self.entry).clone()
    }

    /// Reads a field of the entry.
    pub fn with_entry<T>(&self, read: impl FnOnce(&Entry) -> T) -> T {
        read(&lock(&self.entry))
    }

    /// Replaces the entry by a later one of the same incarnation.
    pub fn update(&self, entry: Entry, revision: Revision) {
        self.revision.store(revision, Ordering::Relaxed);
        *lock(&self.presence) = presence(&entry);
        *lock(&self.entry) = entry;
    }

    /// Revision of the catalog at which the entry was last seen to change.
    pub fn revision(&self) -> Revision {
        self.revision.load(Ordering::Relaxed)
    }

    /// Takes note that the entry is gone.
    pub fn mark_lapsed(&self, now: Instant) {
        let mut presence = lock(&self.presence);
        if *presence == Presence::Listed {
            *presence = Presence::Lapsed(now);
        }
    }

    /// State of the entry.
    pub fn presence(&self) -> Presence {
        *lock(&self.presence)
    }

    /// Whether requests may go to the leaf.
    pub fn eligibility(&self, returned: Option<Instant>, now: Instant) -> Eligibility {
        self.presence().eligibility(returned, now)
    }

    /// What this instance observes of the leaf.
    pub fn observed(&self) -> MutexGuard<'_, LeafStats> {
        lock(&self.observed)
    }

    /// Connections to the leaf.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }
}

fn presence(entry: &Entry) -> Presence {
    match entry.state {
        State::Ready => Presence::Listed,
        State::Draining => Presence::Draining,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
