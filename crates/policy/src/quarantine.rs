//! Quarantine of requests that crash servers.
//!
//! A request that was in flight on a connection that died is suspected. A suspect runs isolated:
//! one at a time, at one instance of the cell. It is refused everywhere once an isolated run
//! crashed a leaf, and cleared once one succeeded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use tokio::sync::Notify;

/// Hash of the service and body of a request.
pub type Fingerprint = u64;

/// Observations by fingerprint, as exchanged by heartbeats.
pub type Observations = BTreeMap<Fingerprint, Observation>;

/// Fingerprints remembered; the oldest is forgotten first.
const ENTRIES_MAX: usize = 1_024;

/// Leafs remembered for a fingerprint.
const LEAFS_MAX: usize = 8;

/// Time that a suspect or cleared fingerprint is remembered.
const SUSPECT_TIME: Duration = Duration::from_secs(60);

/// Time that a request is refused; after it, the request is suspected again.
const REFUSE_TIME: Duration = Duration::from_secs(600);

/// Time within which crashes count as simultaneous.
const MOMENT: Duration = Duration::from_secs(1);

/// Time before and after a refusal in which crashes of the same leafs count as caused by it.
const EXPLAIN_TIME: Duration = Duration::from_secs(10);

/// Other leafs that died at the same moment for which an isolated run proves nothing: a failure
/// domain is cut off, or servers are restarted.
const MASS_LEAFS: usize = 2;

/// When a suspect that is examined elsewhere should come back.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Hashes the service and body of a request.
pub fn fingerprint(service: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update((service.len() as u64).to_be_bytes());
    hash.update(service);
    hash.update(body);
    first(&hash.finalize())
}

fn apart(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b).max(b.saturating_duration_since(a))
}

fn first(hash: &[u8]) -> u64 {
    hash.iter().take(8).fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it.
    Run,
    /// Run it isolated, see [`Quarantine::start_isolated`]; never hedge it.
    RunIsolated,
    /// Refuse it as not run; another instance examines it.
    RetryLater {
        /// When to come back.
        retry_after: Duration,
    },
    /// Refuse it as not run; it crashes servers.
    Refuse {
        /// Time that it is still refused.
        retry_after: Duration,
    },
}

/// What is known about a fingerprint, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It was in flight when a leaf died.
    Suspect,
    /// An isolated run succeeded.
    Cleared,
    /// An isolated run crashed a leaf.
    Refused,
}

/// What an instance knows about a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Number of times it was suspected anew; the higher one is the later one.
    pub round: u32,
    /// What is known in this round.
    pub state: State,
    /// Leafs that died while it was in flight.
    pub leafs: BTreeSet<SmolStr>,
    /// Leaf that its isolated run crashed.
    pub crashed: Option<SmolStr>,
    /// Instances that reported it.
    pub reporters: BTreeSet<SmolStr>,
    /// Isolated runs that proved nothing because other leafs died at the same moment.
    pub inconclusive: u32,
    /// Time since the state last changed, in milliseconds.
    pub age_ms: u64,
}

struct Entry {
    seen: Observation,
    at: Instant,
}

impl Entry {
    fn new(now: Instant) -> Self {
        let seen = Observation {
            round: 1,
            state: State::Suspect,
            leafs: BTreeSet::new(),
            crashed: None,
            reporters: BTreeSet::new(),
            inconclusive: 0,
            age_ms: 0,
        };
        Self { seen, at: now }
    }

    fn suspect_again(&mut self, now: Instant) {
        self.seen.round += 1;
        self.seen.state = State::Suspect;
        self.seen.crashed = None;
        self.at = now;
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

#[derive(Default)]
struct Inner {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Leafs that died lately.
    deaths: VecDeque<(SmolStr, Instant)>,
    live: BTreeSet<SmolStr>,
    isolated: Option<Fingerprint>,
}

/// Requests that are suspected of crashing servers, as seen by one instance.
pub struct Quarantine {
    name: SmolStr,
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

/// Right to run one suspect isolated; released on drop.
pub struct Isolation {
    inner: Arc<Mutex<Inner>>,
    fingerprint: Fingerprint,
}

impl Isolation {
    /// Fingerprint of the suspect.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }
}

impl Drop for Isolation {
    fn drop(&mut self) {
        lock(&self.inner).isolated = None;
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Quarantine {
    /// Creates an empty quarantine of the instance `name`.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self { name: name.into(), inner: Arc::default(), changed: Arc::default() }
    }

    /// Replaces the names of the live instances of the cell, among which examiners are chosen.
    pub fn set_live(&self, names: &[SmolStr]) {
        lock(&self.inner).live = names.iter().cloned().collect();
    }

    /// The signal that is notified when observations should be sent at once.
    pub fn subscribe(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// Decides what to do with a request.
    pub fn decide(&self, fingerprint: Fingerprint, now: Instant) -> Decision {
        let mut inner = lock(&self.inner);
        inner.expire(fingerprint, now);
        let Some(entry) = inner.entries.get(&fingerprint) else { return Decision::Run };
        match entry.seen.state {
            State::Cleared => Decision::Run,
            State::Refused => {
                Decision::Refuse { retry_after: REFUSE_TIME.saturating_sub(entry.age(now)) }
            }
            State::Suspect if inner.examiner(entry).is_none_or(|name| *name == self.name) => {
                Decision::RunIsolated
            }
            State::Suspect => Decision::RetryLater { retry_after: RETRY_AFTER },
        }
    }

    /// Starts an isolated run, unless another one is going on at this instance.
    pub fn start_isolated(&self, fingerprint: Fingerprint, now: Instant) -> Option<Isolation> {
        match self.decide(fingerprint, now) {
            Decision::RunIsolated => self.isolate(fingerprint),
            _ => None,
        }
    }

    /// As [`start_isolated`](Self::start_isolated), also for a suspect that another instance examines. For a request
    /// that only this instance has: the examiner never sees it and can't clear it.
    pub fn start_isolated_here(&self, fingerprint: Fingerprint, now: Instant) -> Option<Isolation> {
        match self.decide(fingerprint, now) {
            Decision::RunIsolated | Decision::RetryLater { .. } => self.isolate(fingerprint),
            _ => None,
        }
    }

    fn isolate(&self, fingerprint: Fingerprint) -> Option<Isolation> {
        let mut inner = lock(&self.inner);
        if inner.isolated.is_some() {
            return None;
        }
        inner.isolated = Some(fingerprint);
        Some(Isolation { inner: self.inner.clone(), fingerprint })
    }

    /// Fingerprint of the isolated run that goes on at this instance.
    pub fn isolated(&self) -> Option<Fingerprint> {
        lock(&self.inner).isolated
    }

    /// Records that the connection to a leaf died with requests in flight.
    ///
    /// `isolated` is the fingerprint of the isolated run if it was in flight on the connection.
    pub fn record_incident(
        &self,
        leaf: &SmolStr,
        in_flight: &[Fingerprint],
        isolated: Option<Fingerprint>,
        now: Instant,
    ) {
        let mut inner = lock(&self.inner);
        inner
            .deaths
            .retain(|(name, at)| name != leaf && now.saturating_duration_since(*at) <= MOMENT);
        inner.deaths.push_back((leaf.clone(), now));
        if let Some(fingerprint) = isolated {
            inner.crash(fingerprint, leaf, &self.name, now);
        } else if !inner.explained(leaf, now) {
            for fingerprint in in_flight {
                inner.suspect(*fingerprint, leaf, &self.name, now);
            }
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Records that the isolated run of a suspect succeeded.
    pub fn record_success(&self, fingerprint: Fingerprint, now: Instant) {
        let mut inner = lock(&self.inner);
        if let Some(entry) = inner.entries.get_mut(&fingerprint)
            && entry.seen.state == State::Suspect
        {
            entry.seen.state = State::Cleared;
            entry.seen.leafs.clear();
            entry.at = now;
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// All that this instance knows, for heartbeats.
    pub fn observations(&self, now: Instant) -> Observations {
        let inner = lock(&self.inner);
        let observation = |entry: &Entry| {
            let age_ms = u64::try_from(entry.age(now).as_millis()).unwrap_or(u64::MAX);
            Observation { age_ms, ..entry.seen.clone() }
        };
        inner.entries.iter().map(|(key, entry)| (*key, observation(entry))).collect()
    }

    /// Merges the observations of a peer.
    pub fn merge(&self, observations: Observations, now: Instant) {
        let mut inner = lock(&self.inner);
        for (fingerprint, observation) in observations {
            inner.merge(fingerprint, observation, now);
        }
    }
}

impl Inner {
    /// Forgets a fingerprint after its time; one that was refused is suspected again.
    fn expire(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        match entry.seen.state {
            State::Refused if entry.age(now) >= REFUSE_TIME => entry.suspect_again(now),
            State::Suspect | State::Cleared if entry.age(now) >= SUSPECT_TIME => {
                self.entries.remove(&fingerprint);
            }
            _ => {}
        }
    }

    /// The instance that examines a suspect: of those that reported a request in flight at the same
    /// leaf, the live one with the lowest rendezvous rank.
    ///
    /// The rank depends on the leaf and not on the fingerprint, so that one instance examines all
    /// suspects of an incident, one after the other. With two at a time, the run of an innocent one
    /// could meet the crash caused by the other.
    fn examiner(&self, entry: &Entry) -> Option<&SmolStr> {
        let leaf = entry.seen.leafs.first()?;
        let entries = self.entries.values().filter(|entry| entry.seen.leafs.contains(leaf));
        let reporters = entries.flat_map(|entry| &entry.seen.reporters);
        let live = reporters.filter(|name| self.live.is_empty() || self.live.contains(*name));
        let rank = |name: &&SmolStr| (fingerprint(leaf, name.as_bytes()), (*name).clone());
        live.min_by_key(rank).or_else(|| self.live.iter().min_by_key(rank))
    }

    fn entry(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Entry {
        self.expire(fingerprint, now);
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= ENTRIES_MAX {
            // A refused request is forgotten only when there are no others.
            let age = |entry: &Entry| (entry.seen.state == State::Refused, entry.at);
            let oldest = self.entries.iter().min_by_key(|(_, entry)| age(entry));
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&oldest);
            }
        }
        self.entries.entry(fingerprint).or_insert_with(|| Entry::new(now))
    }

    fn suspect(&mut self, fingerprint: Fingerprint, leaf: &SmolStr, name: &SmolStr, now: Instant) {
        let entry = self.entry(fingerprint, now);
        entry.seen.reporters.insert(name.clone());
        if entry.seen.leafs.len() < LEAFS_MAX {
            entry.seen.leafs.insert(leaf.clone());
        }
        match entry.seen.state {
            State::Suspect => entry.at = now,
            // A cleared request may be in flight once when an unrelated leaf dies.
            State::Cleared if entry.seen.leafs.len() >= 2 => entry.suspect_again(now),
            State::Cleared | State::Refused => {}
        }
    }

    /// Records that an isolated run crashed a leaf.
    fn crash(&mut self, fingerprint: Fingerprint, leaf: &SmolStr, name: &SmolStr, now: Instant) {
        let deaths: Vec<_> = self.deaths.iter().map(|(leaf, _)| leaf.clone()).collect();
        let entry = self.entry(fingerprint, now);
        let others = deaths.iter().filter(|death| *death != leaf);
        let others = others.filter(|death| !entry.seen.leafs.contains(*death)).count();
        entry.seen.leafs.insert(leaf.clone());
        entry.seen.reporters.insert(name.clone());
        entry.at = now;
        // One inconclusive run at most, so that a request that does crash servers is refused after
        // three crashes even if other leafs die all the time.
        if others >= MASS_LEAFS && entry.seen.inconclusive == 0 {
            entry.seen.inconclusive += 1;
            return;
        }
        entry.seen.state = State::Refused;
        entry.seen.crashed = Some(leaf.clone());
        self.settle(fingerprint, now);
    }

    /// Tells whether a refused request has just crashed the leaf.
    fn explained(&self, leaf: &SmolStr, now: Instant) -> bool {
        self.entries.values().any(|entry| {
            entry.seen.state == State::Refused
                && entry.age(now) <= MOMENT
                && entry.seen.crashed.as_ref() == Some(leaf)
        })
    }

    /// Draws the conclusions from a new refusal.
    fn settle(&mut self, refused: Fingerprint, now: Instant) {
        let Some(entry) = self.entries.get(&refused) else { return };
        let (leafs, crashed, at) = (entry.seen.leafs.clone(), entry.seen.crashed.clone(), entry.at);
        // Two isolated runs on one leaf at the same moment: one of them may be innocent.
        let twins = self.entries.iter().filter(|(key, other)| {
            **key != refused
                && other.seen.state == State::Refused
                && other.seen.crashed == crashed
                && apart(other.at, at) <= MOMENT
        });
        let twins: Vec<_> = twins.map(|(key, _)| *key).collect();
        if !twins.is_empty() {
            for fingerprint in twins.into_iter().chain([refused]) {
                if let Some(entry) = self.entries.get_mut(&fingerprint) {
                    entry.suspect_again(now);
                }
            }
            return;
        }
        // Suspects of crashes that the refused request explains are innocent.
        self.entries.retain(|_, entry| {
            entry.seen.state != State::Suspect
                || !entry.seen.leafs.is_subset(&leafs)
                || apart(entry.at, at) > EXPLAIN_TIME
        });
    }

    fn merge(&mut self, fingerprint: Fingerprint, seen: Observation, now: Instant) {
        let age = Duration::from_millis(seen.age_ms);
        let kept = if seen.state == State::Refused { REFUSE_TIME } else { SUSPECT_TIME };
        if age >= kept {
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let explained = self.entries.values().any(|entry| {
            entry.seen.state == State::Refused
                && seen.leafs.is_subset(&entry.seen.leafs)
                && apart(entry.at, at) <= EXPLAIN_TIME
        });
        if explained && seen.state == State::Suspect && !self.entries.contains_key(&fingerprint) {
            return;
        }
        let entry = self.entry(fingerprint, at);
        let known = (entry.seen.round, entry.seen.state);
        if (seen.round, seen.state) > known {
            let refused = seen.state == State::Refused;
            let reporters = std::mem::take(&mut entry.seen.reporters);
            let leafs = std::mem::take(&mut entry.seen.leafs);
            entry.seen = seen;
            entry.at = at;
            entry.seen.reporters.extend(reporters);
            if entry.seen.state != State::Cleared {
                entry.seen.leafs.extend(leafs);
            }
            if refused {
                self.settle(fingerprint, now);
            }
        } else if (seen.round, seen.state) == known {
            entry.seen.inconclusive = entry.seen.inconclusive.max(seen.inconclusive);
            entry.seen.reporters.extend(seen.reporters);
            entry.seen.leafs.extend(seen.leafs);
        }
    }
}
