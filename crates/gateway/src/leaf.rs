//! One leaf: its catalog entry, its connections and its statistics.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::hold::Hold;
use jaycrank_policy::placement::LeafStats;
use jaycrank_policy::presence::Eligibility;
use jaycrank_policy::presence::Presence;
use jaycrank_policy::rate_limit::Permit;
use jaycrank_policy::rest::Ended;

use crate::catalog::Entry;
use crate::catalog::LeafId;
use crate::catalog::Revision;
use crate::catalog::State;
use crate::pool::Pool;
use crate::rate_limit::LeafLimit;
use crate::rest::LeafRest;
use crate::rest::Trial;

/// Longest warm-up time that is used.
const COLD_TIME_MAX: Duration = Duration::from_secs(3_600);

/// Incarnation of a leaf: its id and the Unix millisecond of its start.
pub(crate) type LeafKey = (LeafId, u64);

/// One incarnation of a leaf.
#[derive(Debug)]
pub struct Leaf {
    entry: Mutex<Entry>,
    presence: Mutex<Presence>,
    /// Time at which the leaf said in an answer that it leaves.
    leaving: OnceLock<Instant>,
    stats: Mutex<LeafStats>,
    /// Catalog revision of the last known change of the entry.
    revision: AtomicU64,
    pool: Pool,
    /// Number of isolated runs at the leaf.
    isolated_runs: AtomicUsize,
    /// Whether a success stated the id of its request.
    echoes_ids: AtomicBool,
    /// Whether the leaf is no longer used: it has left, or another incarnation has taken its place.
    dropped: AtomicBool,
    rate_limit: LeafLimit,
    rest: LeafRest,
}

/// Permission to send one request to a leaf.
#[derive(Debug)]
pub struct Pass {
    permit: Permit,
    rank: u8,
    /// Eligibility when the leaf was chosen.
    departure: Eligibility,
    /// Trial of a leaf that returns from its rest.
    trial: Option<Trial>,
}

impl Pass {
    /// Records how the leaf answered the request.
    pub(crate) fn record(&self, ended: Ended) {
        if let Some(trial) = &self.trial {
            trial.record(ended);
        }
    }
}

/// Mark of a leaf at which a suspect runs isolated, until it is dropped.
#[derive(Debug)]
pub(crate) struct IsolatedLeaf(Arc<Leaf>);

impl IsolatedLeaf {
    /// Marks a leaf.
    pub(crate) fn new(leaf: &Arc<Leaf>) -> Self {
        leaf.isolated_runs.fetch_add(1, Ordering::Relaxed);
        Self(leaf.clone())
    }
}

impl Drop for IsolatedLeaf {
    fn drop(&mut self) {
        self.0.isolated_runs.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Leaf {
    /// Creates a leaf whose connections come from `pool`.
    pub fn new(entry: Entry, pool: Pool, revision: Revision, now: Instant) -> Self {
        // A time that can't be represented is not reached.
        let cold_until = now.checked_add(entry.cold).unwrap_or(now + COLD_TIME_MAX);
        let stats = LeafStats::default().with_cold_until(cold_until);
        Self {
            pool,
            presence: Mutex::new(presence(&entry)),
            leaving: OnceLock::new(),
            stats: Mutex::new(stats),
            revision: AtomicU64::new(revision),
            entry: Mutex::new(entry),
            isolated_runs: AtomicUsize::new(0),
            echoes_ids: AtomicBool::new(false),
            dropped: AtomicBool::new(false),
            rate_limit: LeafLimit::default(),
            rest: LeafRest::default(),
        }
    }

    /// Returns a copy of the current entry.
    pub fn entry(&self) -> Entry {
        lock(&self.entry).clone()
    }

    /// Calls `read` with the current entry, without copying it.
    pub fn with_entry<T>(&self, read: impl FnOnce(&Entry) -> T) -> T {
        read(&lock(&self.entry))
    }

    /// Replaces the entry with a later one of the same incarnation.
    pub fn update(&self, entry: Entry, revision: Revision) {
        self.revision.store(revision, Ordering::Relaxed);
        *lock(&self.presence) = presence(&entry);
        *lock(&self.entry) = entry;
    }

    /// Returns the catalog revision of the last known change of the entry.
    pub fn revision(&self) -> Revision {
        self.revision.load(Ordering::Relaxed)
    }

    /// Records that the entry was removed, at `at` or later. A draining leaf stays draining.
    pub fn mark_lapsed(&self, at: Instant) {
        let mut presence = lock(&self.presence);
        if *presence == Presence::Listed {
            *presence = Presence::Lapsed(at);
        }
    }

    /// Returns the state of the entry, or that the leaf leaves if it says so in an answer. The entry
    /// may be older than the answer or come from an outdated reader, so it does not end that.
    pub fn presence(&self) -> Presence {
        let presence = *lock(&self.presence);
        match self.leaving.get() {
            Some(at) if presence != Presence::Draining => Presence::Leaving(*at),
            _ => presence,
        }
    }

    /// Records that the leaf said in an answer at this time that it leaves. Only a new incarnation
    /// ends that. Returns whether it was new.
    pub(crate) fn mark_leaving(&self, at: Instant) -> bool {
        self.leaving.set(at).is_ok()
    }

    /// Returns the time at which the leaf first said that it leaves.
    pub(crate) fn leaving_since(&self) -> Option<Instant> {
        self.leaving.get().copied()
    }

    /// Records that the leaf is no longer used. Requests that wait for a connection are not sent to it.
    pub(crate) fn mark_dropped(&self) {
        self.dropped.store(true, Ordering::Relaxed);
    }

    /// Returns the eligibility of the leaf as far as it leaves. A lapsed entry counts as listed until
    /// the leaf is dropped.
    fn departure(&self) -> Eligibility {
        if self.dropped.load(Ordering::Relaxed) {
            return Eligibility::Never;
        }
        match self.presence() {
            Presence::Listed | Presence::Lapsed(_) => Eligibility::Regular,
            leaving => leaving.eligibility(None, now()),
        }
    }

    /// Returns the eligibility of the leaf; `recovered_at` is when the catalog last became
    /// available again.
    pub fn eligibility(&self, recovered_at: Option<Instant>, now: Instant) -> Eligibility {
        self.presence().eligibility(recovered_at, now)
    }

    /// Returns the load, service times and failures of the leaf as seen by this instance, locked.
    pub fn stats(&self) -> MutexGuard<'_, LeafStats> {
        lock(&self.stats)
    }

    /// Records that a success of the leaf stated the id of its request.
    pub(crate) fn record_echo(&self) {
        self.echoes_ids.store(true, Ordering::Relaxed);
    }

    /// Returns whether successes of the leaf state the ids of their requests.
    pub(crate) fn echoes_ids(&self) -> bool {
        self.echoes_ids.load(Ordering::Relaxed)
    }

    /// Returns whether a suspect runs isolated at the leaf.
    pub(crate) fn runs_isolated(&self) -> bool {
        self.isolated_runs.load(Ordering::Relaxed) > 0
    }

    /// Asks whether the leaf may get a request of this rank, when the leaf is chosen.
    ///
    /// # Errors
    ///
    /// Returns [`Hold`] if it may not get one now.
    pub(crate) fn admit(self: &Arc<Self>, rank: u8) -> Result<Pass, Hold> {
        let departure = self.departure();
        if departure == Eligibility::Never {
            return Err(Hold::Leaving);
        }
        let trial = self.rest.admit(now()).map_err(Hold::Resting)?;
        let trial = trial.map(|trial| Trial::new(self, trial));
        let permit = self.rate_limit.try_acquire(rank);
        let permit = permit.ok_or_else(|| Hold::Limited(self.rate_limit.wait()))?;
        Ok(Pass { permit, rank, departure, trial })
    }

    /// Asks again at the moment of sending: what the leaf states may have changed while the request
    /// waited for a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Hold`] if the request must not be sent.
    pub(crate) fn confirm(&self, pass: &Pass) -> Result<(), Hold> {
        if self.departure() != pass.departure {
            return Err(Hold::Leaving);
        }
        if !self.rest.allows(pass.trial.as_ref().map(Trial::id)) {
            return Err(Hold::Resting(self.rest.wait(now())));
        }
        match self.rate_limit.confirm(pass.permit, pass.rank) {
            true => Ok(()),
            false => Err(Hold::Limited(self.rate_limit.wait())),
        }
    }

    /// Returns the limit that the leaf states for its requests, and the tokens for it.
    pub fn rate_limit(&self) -> &LeafLimit {
        &self.rate_limit
    }

    /// Returns the rest that the leaf asks for.
    pub fn rest(&self) -> &LeafRest {
        &self.rest
    }

    /// Returns the incarnation of the leaf.
    pub(crate) fn key(&self) -> LeafKey {
        self.with_entry(|entry| (entry.id.clone(), entry.started_ms))
    }

    /// Returns the connection pool of the leaf.
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

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
