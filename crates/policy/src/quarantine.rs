//! Quarantine of requests that crash servers.
//!
//! A request that is in flight on a connection that breaks becomes a suspect. One instance
//! of the cell, its examiner, runs it isolated: without hedges and with a bound on the suspects that
//! run at a time. If an isolated run crashes a leaf, all instances refuse the request; if it
//! succeeds, the request is cleared. A request that several instances had in flight at three
//! crashes is refused without an isolated run, unless another request may be the cause.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::gossip;
use crate::losses::Losses;

/// A hash of the service and body of a request.
pub type Fingerprint = u64;

/// Observations by fingerprint, as exchanged in heartbeats.
pub type Observations = BTreeMap<Fingerprint, Observation>;

/// Most fingerprints remembered; the oldest is evicted first, refused ones last.
const ENTRIES_MAX: usize = 1_024;

/// Most leafs, and most reporters, remembered for a fingerprint.
const LEAFS_MAX: usize = 8;

/// Number of crashes after which a request that several instances sent is refused without an
/// isolated run.
const CRASHES_MAX: usize = 3;

/// Time after which a suspect expires. A request that is not idempotent is not sent again after a
/// crash, so one that returns every few minutes must still be known.
const SUSPECT_TTL: Duration = Duration::from_secs(1_200);

/// Time after which a cleared fingerprint expires, unless it was a suspect before or its refusal was
/// lifted. Those expire with suspects, so that an instance that was cut off does not bring an
/// earlier refusal back.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// Time of the first refusal of a request, after which it is a suspect again. It doubles with each
/// further refusal.
const REFUSAL_TTL: Duration = Duration::from_secs(600);

/// Longest time for which a request is refused.
const REFUSAL_TTL_MAX: Duration = Duration::from_secs(86_400);

/// Time of a refusal without an isolated run. It is shorter, because leafs may have crashed together
/// for a reason of their own.
const UNCONFIRMED_REFUSAL_TTL: Duration = Duration::from_secs(60);

/// Time between a crash and the isolated run of a request that was in flight, within which the
/// reports of other instances arrive. Instances that get the request at the same moment would
/// otherwise each crash a second leaf.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// Delay before a suspect checks again whether it may run isolated.
const ISOLATION_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Shortest time for which a suspect waits for its examiner before this instance itself runs it
/// isolated. The examiner runs its own suspects first, and may never receive this request. A random
/// time of up to the same length is added, so that instances that wait together don't run the
/// suspect together.
const EXAMINER_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time between crashes that count as simultaneous.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_secs(1);

/// Time before and after a refusal within which crashes of the same leafs are attributed to the
/// refused request.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(10);

/// Number of other leafs crashing simultaneously that makes an isolated run inconclusive: a failure
/// domain may be unreachable, or servers may be restarting.
const MASS_FAILURE_LEAFS: usize = 2;

/// Retry delay for a suspect that another instance examines.
const EXAMINATION_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Returns the hash of the service and body of a request.
pub fn fingerprint(service: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update((service.len() as u64).to_be_bytes());
    hash.update(service);
    hash.update(body);
    leading_u64(&hash.finalize())
}

/// Returns the hash of a sequence of parts of a request.
pub fn fingerprint_of(parts: &[&[u8]]) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    leading_u64(&hash.finalize())
}

fn time_between(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b).max(b.saturating_duration_since(a))
}

fn leading_u64(hash: &[u8]) -> u64 {
    hash.iter().take(8).fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Decision on what to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it normally.
    Run,
    /// Run it isolated and without hedges; see [`Quarantine::start_isolated`].
    RunIsolated,
    /// Refuse it for now, as not run; another instance examines it.
    RetryLater {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// Refuse it, as not run, because it crashes servers.
    Refuse {
        /// Remaining time for which it is refused.
        retry_after: Duration,
    },
}

/// Run of a request that was lost; see [`Quarantine::record_loss`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// A run that may be repeated.
    Idempotent,
    /// The only run that is allowed.
    Once,
    /// The isolated run of a suspect.
    Isolated,
}

/// Where observations come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A push of an instance of the own region.
    OwnRegion,
    /// A push of an instance of another region.
    OtherRegion,
    /// A regular exchange.
    Exchange,
}

/// Result of waiting for an isolated run; see [`Quarantine::isolate`].
pub enum Turn {
    /// The request may run isolated until the permit is dropped.
    Isolated(Isolation),
    /// The request was cleared and runs normally.
    Cleared,
    /// The request is refused.
    Refused {
        /// Remaining time for which it is refused.
        retry_after: Duration,
    },
    /// The deadline passed first.
    TimedOut,
}

/// State of a fingerprint. The variants are in order of precedence; a merge keeps the greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The request was in flight when a leaf crashed.
    Suspect,
    /// An isolated run succeeded.
    Cleared,
    /// An isolated run crashed a leaf, or the request was in flight at several crashes.
    Refused,
}

/// An instance's knowledge about a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Number of times that the request became a suspect; a merge keeps the higher round.
    pub round: u32,
    /// State in this round.
    pub state: State,
    /// Leafs that crashed while the request was in flight.
    pub leafs: BTreeSet<SmolStr>,
    /// Leaf that crashed in the isolated run of the request.
    pub crashed: Option<SmolStr>,
    /// Instances that reported the fingerprint.
    pub reporters: BTreeSet<SmolStr>,
    /// Number of isolated runs without a result, because other leafs crashed simultaneously.
    pub inconclusive: u32,
    /// Time since the state last changed, in milliseconds. It also restarts when a suspect is in
    /// flight during another crash, and when an isolated run crashes a leaf.
    pub age_ms: u64,
}

struct Entry {
    observation: Observation,
    changed_at: Instant,
}

impl Entry {
    fn new(now: Instant) -> Self {
        let observation = Observation {
            round: 1,
            state: State::Suspect,
            leafs: BTreeSet::new(),
            crashed: None,
            reporters: BTreeSet::new(),
            inconclusive: 0,
            age_ms: 0,
        };
        Self { observation, changed_at: now }
    }

    fn suspect_again(&mut self, now: Instant) {
        self.observation.round += 1;
        self.observation.state = State::Suspect;
        self.observation.crashed = None;
        self.changed_at = now;
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.changed_at)
    }

    /// Returns what other instances should know of the request: its state and the number of leafs.
    fn evidence(&self) -> (u32, State, usize) {
        (self.observation.round, self.observation.state, self.observation.leafs.len())
    }

    /// Returns the observation with its current age.
    fn current(&self, now: Instant) -> Observation {
        let age_ms = u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX);
        Observation { age_ms, ..self.observation.clone() }
    }

    fn ttl(&self) -> Duration {
        self.observation.ttl()
    }

    fn add_leaf(&mut self, leaf: &SmolStr) {
        insert_bounded(&mut self.observation.leafs, leaf.clone());
    }

    fn add_reporter(&mut self, name: &SmolStr) {
        insert_bounded(&mut self.observation.reporters, name.clone());
    }
}

impl Observation {
    /// Returns the time for which the state is kept.
    fn ttl(&self) -> Duration {
        match self.state {
            State::Suspect => SUSPECT_TTL,
            State::Cleared if self.round > 1 => SUSPECT_TTL,
            State::Cleared => CLEARED_TTL,
            State::Refused if self.crashed.is_none() => UNCONFIRMED_REFUSAL_TTL,
            State::Refused => {
                let doublings = self.round.saturating_sub(1).min(u32::BITS - 1);
                REFUSAL_TTL.saturating_mul(1 << doublings).min(REFUSAL_TTL_MAX)
            }
        }
    }
}

/// Inserts a name unless the set already holds [`LEAFS_MAX`] names.
fn insert_bounded(names: &mut BTreeSet<SmolStr>, name: SmolStr) {
    if names.len() < LEAFS_MAX {
        names.insert(name);
    }
}

#[derive(Default)]
struct Inner {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Leafs that crashed within the last [`SIMULTANEOUS_WINDOW`].
    crashes: VecDeque<(SmolStr, Instant)>,
    /// Names of the ready instances of the cell. While it is empty, all reporters count as ready.
    ready: BTreeSet<SmolStr>,
    /// Fingerprints of the isolated runs at this instance.
    isolated: BTreeSet<Fingerprint>,
    /// Requests that were lost without a sign whether the leaf ended.
    losses: Losses,
    /// Observations to pass on within the own region.
    news: BTreeSet<Fingerprint>,
    /// Observations of the own region to pass on to other regions.
    crossing: BTreeSet<Fingerprint>,
}

/// One instance's view of the requests that are suspected of crashing servers.
pub struct Quarantine {
    name: SmolStr,
    /// Most isolated runs at a time.
    isolated_max: usize,
    /// Whether observations of peers are passed on.
    forwards: bool,
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    random: Mutex<StdRng>,
}

/// Permit to run one suspect isolated; dropping it releases it.
pub struct Isolation {
    inner: Arc<Mutex<Inner>>,
    fingerprint: Fingerprint,
}

impl Isolation {
    /// Returns the fingerprint of the suspect.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }
}

impl fmt::Debug for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quarantine").field("name", &self.name).finish_non_exhaustive()
    }
}

impl fmt::Debug for Isolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Isolation").field(&self.fingerprint).finish()
    }
}

impl Drop for Isolation {
    fn drop(&mut self) {
        lock(&self.inner).isolated.remove(&self.fingerprint);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Quarantine {
    /// Creates an empty quarantine of the instance `name`.
    pub fn new(name: impl Into<SmolStr>) -> Self {
        Self {
            name: name.into(),
            isolated_max: 1,
            forwards: false,
            inner: Arc::default(),
            changed: Arc::default(),
            random: Mutex::new(StdRng::seed_from_u64(rand::random())),
        }
    }

    /// Sets the seed of the random choices, so that a test can repeat them.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.random = Mutex::new(StdRng::seed_from_u64(seed));
        self
    }

    /// Sets the number of suspects that may run isolated at a time. A caller that allows more than
    /// one must run them at different leafs.
    pub fn with_isolated_max(mut self, runs: usize) -> Self {
        self.isolated_max = runs.max(1);
        self
    }

    /// Signals also observations of peers that should be passed on, for instances that don't send to
    /// all others.
    pub fn with_forwarding(mut self) -> Self {
        self.forwards = true;
        self
    }

    /// Records that a leaf answered a request, which tells a failure of many leafs from a request that
    /// crashes them.
    pub fn record_answer(&self, now: Instant) {
        lock(&self.inner).losses.record_answer(now);
    }

    /// Removes and returns at most `max` observations that other instances of the region may not know,
    /// the most serious ones first.
    pub fn take_news(&self, max: usize, now: Instant) -> Observations {
        let mut inner = lock(&self.inner);
        let chosen = inner.most_serious(&inner.news, max);
        chosen.iter().for_each(|key| _ = inner.news.remove(key));
        inner.current(&chosen, now)
    }

    /// Removes and returns observations that other regions may not know: refusals, and a few of the
    /// others.
    pub fn take_crossing(&self, now: Instant) -> Observations {
        let mut inner = lock(&self.inner);
        let chosen = inner.for_crossing(&inner.crossing);
        chosen.iter().for_each(|key| _ = inner.crossing.remove(key));
        inner.current(&chosen, now)
    }

    /// Returns whether there are observations that other instances of the region may not know.
    pub fn has_news(&self) -> bool {
        !lock(&self.inner).news.is_empty()
    }

    /// Returns whether there are refusals that other regions may not know; `None` if they may not know
    /// anything else either.
    pub fn has_crossing(&self) -> Option<bool> {
        let inner = lock(&self.inner);
        let is_refused = |key| inner.is_refused(key);
        (!inner.crossing.is_empty()).then(|| inner.crossing.iter().any(is_refused))
    }

    /// Returns a random sample of at most `max` observations that includes the refusals, as far as
    /// there is room.
    pub fn sample(&self, max: usize, now: Instant) -> Observations {
        let mut random = lock(&self.random);
        let mut observations: Vec<_> = self.observations(now).into_iter().collect();
        observations.sort_by_cached_key(|(_, observation)| {
            (observation.state != State::Refused, random.random::<u64>())
        });
        observations.truncate(max);
        observations.into_iter().collect()
    }

    /// Returns a sample for an instance of another region: refusals, and a few of the others.
    pub fn crossing_sample(&self, now: Instant) -> Observations {
        let inner = lock(&self.inner);
        let all = inner.entries.keys().copied().collect();
        inner.current(&inner.for_crossing(&all), now)
    }

    /// Replaces the names of the ready instances of the cell, from which examiners are chosen.
    pub fn set_ready_instances(&self, names: &[SmolStr]) {
        let mut inner = lock(&self.inner);
        inner.ready = names.iter().cloned().collect();
        let instances = inner.ready.len();
        inner.losses.set_instances(instances);
    }

    /// Returns a signal that is notified when the observations should be sent without delay.
    pub fn subscribe(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// Decides what to do with a request.
    pub fn decide(&self, fingerprint: Fingerprint, now: Instant) -> Decision {
        let mut inner = lock(&self.inner);
        inner.expire(fingerprint, now);
        let Some(entry) = inner.entries.get(&fingerprint) else { return Decision::Run };
        match entry.observation.state {
            State::Cleared => Decision::Run,
            State::Refused => {
                Decision::Refuse { retry_after: entry.ttl().saturating_sub(entry.age(now)) }
            }
            State::Suspect if inner.examiner(entry).is_none_or(|name| *name == self.name) => {
                Decision::RunIsolated
            }
            State::Suspect => Decision::RetryLater { retry_after: EXAMINATION_RETRY_DELAY },
        }
    }

    /// Starts an isolated run if this instance examines the suspect and has no other isolated run.
    pub fn start_isolated(&self, fingerprint: Fingerprint, now: Instant) -> Option<Isolation> {
        match self.decide(fingerprint, now) {
            Decision::RunIsolated => self.permit(fingerprint),
            _ => None,
        }
    }

    /// Starts an isolated run as [`start_isolated`](Self::start_isolated) does, but also if another
    /// instance examines the suspect.
    ///
    /// For a request that only this instance receives: the examiner never gets it and can't clear
    /// it.
    pub fn start_isolated_here(&self, fingerprint: Fingerprint, now: Instant) -> Option<Isolation> {
        match self.decide(fingerprint, now) {
            Decision::RunIsolated | Decision::RetryLater { .. } => self.permit(fingerprint),
            _ => None,
        }
    }

    fn permit(&self, fingerprint: Fingerprint) -> Option<Isolation> {
        let mut inner = lock(&self.inner);
        let is_free = inner.isolated.len() < self.isolated_max;
        let granted = is_free && inner.isolated.insert(fingerprint);
        granted.then(|| Isolation { inner: self.inner.clone(), fingerprint })
    }

    /// Waits until a suspect may run isolated at this instance.
    ///
    /// `crashed` states that the request was in flight at a crash that this instance has just seen;
    /// then the reports of other instances are awaited first.
    ///
    /// # Cancel safety
    ///
    /// Dropping the future leaves no trace.
    pub async fn isolate(
        &self,
        fingerprint: Fingerprint,
        crashed: bool,
        deadline: tokio::time::Instant,
    ) -> Turn {
        if crashed {
            sleep_until((tokio::time::Instant::now() + REPORT_TIME).min(deadline)).await;
        }
        let started = tokio::time::Instant::now();
        let examiner_timeout = EXAMINER_TIMEOUT.mul_f64(lock(&self.random).random_range(1.0..2.0));
        loop {
            let now = tokio::time::Instant::now();
            match self.decide(fingerprint, now.into_std()) {
                Decision::Run => return Turn::Cleared,
                Decision::Refuse { retry_after } => return Turn::Refused { retry_after },
                Decision::RunIsolated | Decision::RetryLater { .. } => {}
            }
            let isolation = if started.elapsed() < examiner_timeout {
                self.start_isolated(fingerprint, now.into_std())
            } else {
                self.start_isolated_here(fingerprint, now.into_std())
            };
            if let Some(isolation) = isolation {
                return Turn::Isolated(isolation);
            }
            if now + ISOLATION_RETRY_DELAY >= deadline {
                return Turn::TimedOut;
            }
            sleep(ISOLATION_RETRY_DELAY).await;
        }
    }

    /// Returns whether no fingerprint is known, so that requests need no check.
    pub fn is_empty(&self) -> bool {
        lock(&self.inner).entries.is_empty()
    }

    /// Returns a fingerprint of an isolated run in progress at this instance.
    pub fn isolated(&self) -> Option<Fingerprint> {
        lock(&self.inner).isolated.first().copied()
    }

    /// Ends the refusal of a request on all instances; returns whether it was refused or suspected.
    pub fn lift(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        inner.expire(fingerprint, now);
        let Some(entry) = inner.entries.get_mut(&fingerprint) else { return false };
        if entry.observation.state == State::Cleared {
            return false;
        }
        entry.suspect_again(now);
        entry.observation.state = State::Cleared;
        entry.observation.leafs.clear();
        inner.add_news(fingerprint);
        drop(inner);
        self.changed.notify_one();
        true
    }

    /// Records that the connection to a leaf broke with requests in flight.
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
        inner.crashes.retain(|(name, at)| {
            name != leaf && now.saturating_duration_since(*at) <= SIMULTANEOUS_WINDOW
        });
        inner.crashes.push_back((leaf.clone(), now));
        if let Some(fingerprint) = isolated {
            inner.record_crash(fingerprint, leaf, &self.name, now);
        } else if !inner.is_explained(leaf, now) {
            for fingerprint in in_flight {
                inner.record_suspect(*fingerprint, leaf, &self.name, now);
            }
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Records that the connection to a leaf of `service` broke with a request in flight, and that
    /// nothing shows whether the leaf ended. Returns whether the request is a suspect.
    ///
    /// If it was the isolated run of a suspect, the request is refused for a short time, unless other
    /// requests were lost elsewhere at the same moment.
    pub fn record_loss(
        &self,
        fingerprint: Fingerprint,
        service: &SmolStr,
        leaf: &SmolStr,
        run: Run,
        now: Instant,
    ) -> bool {
        let mut inner = lock(&self.inner);
        let idempotent = run == Run::Idempotent;
        let mut leafs = inner.losses.record(fingerprint, service, leaf, idempotent, now);
        if run == Run::Isolated {
            leafs = vec![leaf.clone()];
        }
        for leaf in &leafs {
            inner.record_suspect(fingerprint, leaf, &self.name, now);
        }
        let known = inner.entries.get(&fingerprint).map(|entry| &entry.observation.leafs);
        let is_alone = known.is_some_and(|leafs| !inner.losses.has_others(fingerprint, leafs, now));
        if run == Run::Isolated && is_alone {
            inner.refuse_unconfirmed(fingerprint, now);
        }
        drop(inner);
        if !leafs.is_empty() {
            self.changed.notify_one();
        }
        !leafs.is_empty()
    }

    /// Records that a run of a suspect succeeded. It also ends a refusal without an isolated run.
    pub fn record_success(&self, fingerprint: Fingerprint, now: Instant) {
        let mut inner = lock(&self.inner);
        let Some(entry) = inner.entries.get_mut(&fingerprint) else { return };
        match (entry.observation.state, &entry.observation.crashed) {
            (State::Suspect, _) => {}
            (State::Refused, None) => entry.suspect_again(now),
            (State::Cleared, _) | (State::Refused, Some(_)) => return,
        }
        entry.observation.state = State::Cleared;
        entry.observation.leafs.clear();
        entry.changed_at = now;
        // Nobody has to learn of a suspect that was cleared before it was passed on.
        inner.crossing.remove(&fingerprint);
        if !inner.news.remove(&fingerprint) {
            inner.add_news(fingerprint);
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Returns all observations of this instance that have not expired, for heartbeats.
    pub fn observations(&self, now: Instant) -> Observations {
        let mut inner = lock(&self.inner);
        inner.entries.retain(|_, entry| {
            entry.observation.state == State::Refused || entry.age(now) < entry.ttl()
        });
        inner.entries.iter().map(|(key, entry)| (*key, entry.current(now))).collect()
    }

    /// Returns the observations that changed within the last `age`.
    pub fn recent_observations(&self, age: Duration, now: Instant) -> Observations {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let mut observations = self.observations(now);
        observations.retain(|_, observation| observation.age_ms <= age_ms);
        observations
    }

    /// Returns a hash of all observations without their ages. Instances with the same hash have
    /// nothing to tell each other.
    pub fn digest(&self, now: Instant) -> u64 {
        let mut hash = Sha256::new();
        for (fingerprint, Observation { round, state, leafs, .. }) in self.observations(now) {
            hash.update(fingerprint.to_be_bytes());
            hash.update(round.to_be_bytes());
            hash.update([state as u8, leafs.len() as u8]);
            leafs.iter().for_each(|leaf| hash.update(leaf));
        }
        leading_u64(&hash.finalize())
    }

    /// Merges the observations of a regular exchange with a peer.
    pub fn merge(&self, observations: Observations, now: Instant) {
        self.receive(observations, Source::Exchange, now);
    }

    /// Merges the observations of a peer. What was not known is to be passed on.
    pub fn receive(&self, observations: Observations, source: Source, now: Instant) {
        let mut inner = lock(&self.inner);
        for (fingerprint, observation) in observations {
            inner.merge(fingerprint, observation, source, now);
        }
        if self.forwards && !inner.news.is_empty() {
            self.changed.notify_one();
        }
    }
}

impl Inner {
    /// Remembers that other instances should know of a request.
    fn add_news(&mut self, fingerprint: Fingerprint) {
        self.news.insert(fingerprint);
        self.crossing.insert(fingerprint);
    }

    fn forget_news(&mut self, fingerprint: Fingerprint) {
        self.news.remove(&fingerprint);
        self.crossing.remove(&fingerprint);
    }

    fn is_refused(&self, fingerprint: &Fingerprint) -> bool {
        let entry = self.entries.get(fingerprint);
        entry.is_some_and(|entry| entry.observation.state == State::Refused)
    }

    /// Returns at most `max` of these requests: refused ones first, then those that were in flight at
    /// the most crashes.
    fn most_serious(&self, keys: &BTreeSet<Fingerprint>, max: usize) -> Vec<Fingerprint> {
        let mut keys: Vec<_> = keys.iter().copied().collect();
        keys.sort_by_cached_key(|key| {
            let leafs = self.entries.get(key).map_or(0, |entry| entry.observation.leafs.len());
            Reverse((self.is_refused(key), leafs))
        });
        keys.truncate(max);
        keys
    }

    /// Returns those of these requests that another region is told of in one message.
    fn for_crossing(&self, keys: &BTreeSet<Fingerprint>) -> Vec<Fingerprint> {
        let (refused, others): (BTreeSet<_>, BTreeSet<_>) =
            keys.iter().copied().partition(|key| self.is_refused(key));
        let mut chosen = self.most_serious(&refused, gossip::CROSSING_REFUSALS_MAX);
        chosen.extend(self.most_serious(&others, gossip::CROSSING_SUSPECTS_MAX));
        chosen
    }

    /// Returns the observations of these requests with their current ages.
    fn current(&self, keys: &[Fingerprint], now: Instant) -> Observations {
        let known = keys.iter().filter_map(|key| Some((*key, self.entries.get(key)?.current(now))));
        known.collect()
    }

    /// Removes an expired fingerprint; a refused one becomes a suspect again.
    fn expire(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        if entry.age(now) < entry.ttl() {
            return;
        }
        match entry.observation.state {
            State::Refused => entry.suspect_again(now),
            State::Suspect | State::Cleared => {
                self.entries.remove(&fingerprint);
                self.forget_news(fingerprint);
            }
        }
    }

    /// Returns the instance that examines a suspect, by rendezvous hashing among the ready instances
    /// that reported a suspect at the same leaf.
    ///
    /// The rank depends on the leaf and not on the fingerprint, so that one instance examines all
    /// suspects of an incident one at a time. If two ran concurrently, a harmless request could be
    /// blamed for a crash that the other one causes.
    fn examiner(&self, entry: &Entry) -> Option<&SmolStr> {
        let leaf = entry.observation.leafs.first()?;
        let entries = self.entries.values().filter(|entry| entry.observation.leafs.contains(leaf));
        let reporters = entries.flat_map(|entry| &entry.observation.reporters);
        let ready = reporters.filter(|name| self.ready.is_empty() || self.ready.contains(*name));
        let rank = |name: &&SmolStr| (fingerprint(leaf, name.as_bytes()), (*name).clone());
        ready.min_by_key(rank).or_else(|| self.ready.iter().min_by_key(rank))
    }

    fn entry(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Entry {
        self.expire(fingerprint, now);
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= ENTRIES_MAX {
            // Refused requests are evicted only if there are no others.
            let age = |entry: &Entry| (entry.observation.state == State::Refused, entry.changed_at);
            let oldest = self.entries.iter().min_by_key(|(_, entry)| age(entry));
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&oldest);
                self.forget_news(oldest);
            }
        }
        self.entries.entry(fingerprint).or_insert_with(|| Entry::new(now))
    }

    fn record_suspect(
        &mut self,
        fingerprint: Fingerprint,
        leaf: &SmolStr,
        name: &SmolStr,
        now: Instant,
    ) {
        let entry = self.entry(fingerprint, now);
        entry.add_reporter(name);
        entry.add_leaf(leaf);
        match entry.observation.state {
            State::Suspect => entry.changed_at = now,
            // A cleared request may be in flight by chance when one leaf crashes; a second
            // crash makes it a suspect again.
            State::Cleared if entry.observation.leafs.len() >= 2 => entry.suspect_again(now),
            State::Cleared | State::Refused => {}
        }
        self.add_news(fingerprint);
        self.refuse_if_sole_cause(fingerprint, now);
    }

    /// Returns the number of leafs that have just crashed, apart from `leaf` and from those at which
    /// the request was in flight.
    fn other_crashes(&self, fingerprint: Fingerprint, leaf: &SmolStr) -> usize {
        let own = self.entries.get(&fingerprint).map(|entry| &entry.observation.leafs);
        let others = self.crashes.iter().filter(|(crashed, _)| {
            crashed != leaf && !own.is_some_and(|leafs| leafs.contains(crashed))
        });
        others.count()
    }

    /// Refuses a suspect that several instances had in flight at [`CRASHES_MAX`] crashes. It stays a
    /// suspect if another fingerprint was in flight at two of them too, or if other leafs crashed
    /// at the same time: then the leafs may have crashed together for a reason of their own.
    fn refuse_if_sole_cause(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(entry) = self.entries.get(&fingerprint) else { return };
        let Observation { state, leafs, reporters, .. } = &entry.observation;
        if *state != State::Suspect || leafs.len() < CRASHES_MAX || reporters.len() < 2 {
            return;
        }
        let is_shared = self.entries.iter().any(|(key, other)| {
            *key != fingerprint && other.observation.leafs.intersection(leafs).count() >= 2
        });
        let others = self.crashes.iter().filter(|(crashed, _)| !leafs.contains(crashed)).count();
        if is_shared || others >= MASS_FAILURE_LEAFS {
            return;
        }
        self.refuse_unconfirmed(fingerprint, now);
    }

    /// Refuses a suspect although no isolated run has crashed a leaf.
    fn refuse_unconfirmed(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return };
        entry.observation.state = State::Refused;
        entry.changed_at = now;
        self.add_news(fingerprint);
        self.apply_refusal(fingerprint, now);
    }

    /// Records that an isolated run crashed a leaf.
    fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        leaf: &SmolStr,
        name: &SmolStr,
        now: Instant,
    ) {
        let others = self.other_crashes(fingerprint, leaf);
        self.add_news(fingerprint);
        let entry = self.entry(fingerprint, now);
        entry.add_leaf(leaf);
        entry.add_reporter(name);
        entry.changed_at = now;
        // At most one run is inconclusive, so that a request that crashes servers is refused after
        // three crashes even if other leafs keep crashing.
        if others >= MASS_FAILURE_LEAFS && entry.observation.inconclusive == 0 {
            entry.observation.inconclusive += 1;
            return;
        }
        entry.observation.state = State::Refused;
        entry.observation.crashed = Some(leaf.clone());
        self.apply_refusal(fingerprint, now);
    }

    /// Returns whether a refused request has just crashed the leaf.
    fn is_explained(&self, leaf: &SmolStr, now: Instant) -> bool {
        self.entries.values().any(|entry| {
            entry.observation.state == State::Refused
                && entry.age(now) <= SIMULTANEOUS_WINDOW
                && entry.observation.crashed.as_ref() == Some(leaf)
        })
    }

    /// Updates the fingerprints that a new refusal affects: suspects that it explains are removed.
    /// If another request was refused for the same crash, both become suspects again.
    fn apply_refusal(&mut self, refused: Fingerprint, now: Instant) {
        let Some(entry) = self.entries.get(&refused) else { return };
        let (leafs, crashed, at) =
            (entry.observation.leafs.clone(), entry.observation.crashed.clone(), entry.changed_at);
        // Two isolated runs on one leaf ended in the same crash, so one request may be harmless.
        let simultaneous = self.entries.iter().filter(|(key, other)| {
            **key != refused
                && other.observation.state == State::Refused
                && crashed.is_some()
                && other.observation.crashed == crashed
                && time_between(other.changed_at, at) <= SIMULTANEOUS_WINDOW
        });
        let simultaneous: Vec<_> = simultaneous.map(|(key, _)| *key).collect();
        if !simultaneous.is_empty() {
            for fingerprint in simultaneous.into_iter().chain([refused]) {
                if let Some(entry) = self.entries.get_mut(&fingerprint) {
                    entry.suspect_again(now);
                    self.add_news(fingerprint);
                }
            }
            return;
        }
        // Suspects whose crashes are all explained by the refused request are harmless.
        self.entries.retain(|_, entry| {
            entry.observation.state != State::Suspect
                || !entry.observation.leafs.is_subset(&leafs)
                || time_between(entry.changed_at, at) > ATTRIBUTION_WINDOW
        });
        let entries = &self.entries;
        self.news.retain(|key| entries.contains_key(key));
        self.crossing.retain(|key| entries.contains_key(key));
    }

    fn merge(
        &mut self,
        fingerprint: Fingerprint,
        mut observation: Observation,
        source: Source,
        now: Instant,
    ) {
        for names in [&mut observation.leafs, &mut observation.reporters] {
            *names = std::mem::take(names).into_iter().take(LEAFS_MAX).collect();
        }
        let age = Duration::from_millis(observation.age_ms);
        if age >= observation.ttl() {
            return;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let explained = self.entries.values().any(|entry| {
            entry.observation.state == State::Refused
                && observation.leafs.is_subset(&entry.observation.leafs)
                && time_between(entry.changed_at, at) <= ATTRIBUTION_WINDOW
        });
        if explained
            && observation.state == State::Suspect
            && !self.entries.contains_key(&fingerprint)
        {
            return;
        }
        let before = self.entries.get(&fingerprint).map(Entry::evidence);
        let entry = self.entry(fingerprint, at);
        let known = (entry.observation.round, entry.observation.state);
        if (observation.round, observation.state) > known {
            let refused = observation.state == State::Refused;
            let known = std::mem::replace(&mut entry.observation, observation);
            entry.changed_at = at;
            known.reporters.iter().for_each(|name| entry.add_reporter(name));
            if entry.observation.state != State::Cleared {
                known.leafs.iter().for_each(|leaf| entry.add_leaf(leaf));
            }
            if refused {
                self.apply_refusal(fingerprint, now);
            }
        } else if (observation.round, observation.state) == known {
            entry.observation.inconclusive =
                entry.observation.inconclusive.max(observation.inconclusive);
            observation.reporters.iter().for_each(|name| entry.add_reporter(name));
            observation.leafs.iter().for_each(|leaf| entry.add_leaf(leaf));
        }
        let after = self.entries.get(&fingerprint).map(Entry::evidence);
        if after.is_some() && after != before {
            self.news.insert(fingerprint);
            if source == Source::OwnRegion {
                self.crossing.insert(fingerprint);
            }
        }
        self.refuse_if_sole_cause(fingerprint, now);
    }
}
