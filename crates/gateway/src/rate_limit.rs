//! Keeps to the limits that leafs state for the requests that all instances send them together.
//!
//! Each limited leaf has an owner among the instances, found by rendezvous hashing, which grants
//! tokens to the others ([`policy::rate_limit`](jaycrank_policy::rate_limit),
//! [`token_owner`](crate::token_owner)). Instances ask for tokens when they have requests for the
//! leaf; [`token_exchange`](crate::token_exchange) carries what they tell each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::rate_limit::Allowance;
use jaycrank_policy::rate_limit::Grant;
use jaycrank_policy::rate_limit::Permit;
use jaycrank_policy::rate_limit::Statement;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::gateway::Gateway;
use crate::leaf::Leaf;
use crate::leaf::LeafKey;
use crate::report::LimitStatus;
use crate::token_owner::Contact;
use crate::token_owner::TokenOwners;

/// Longest time for which a request waits for a token, unless a reply of the owner is due.
pub(crate) const TOKEN_WAIT_MAX: Duration = Duration::from_millis(250);
/// Interval at which a request that has waited for that time checks whether a reply of the owner is
/// still due.
pub(crate) const REPLY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the owner of a leaf must answer a request for tokens.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Most limits in a regular exchange, a random sample if there are more.
const STATEMENTS_MAX: usize = 32;
/// Time that a report may have been on its way. It is added to the age, so that a report does not
/// replace an answer that arrived after it was sent.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Limit that a leaf stated, as instances tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Report {
    leaf: LeafKey,
    rate: Option<f64>,
    age_ms: u64,
}

/// Request for tokens of one leaf.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Ask {
    leaf: LeafKey,
    wanted: u32,
}

/// Reply to an [`Ask`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Decision {
    /// Tokens, and the milliseconds until the owner has another one.
    Granted { tokens: u32, next_ms: u64 },
    /// Another instance owns the leaf.
    NotOwner(SocketAddr),
}

/// Tokens of one leaf. Cheap to ask while the leaf has no limit.
#[derive(Debug, Default)]
pub struct LeafLimit {
    limited: AtomicBool,
    allowance: Mutex<Allowance>,
}

impl LeafLimit {
    /// Returns whether the last answer of the leaf stated a limit.
    pub fn is_limited(&self) -> bool {
        self.limited.load(Ordering::Relaxed)
    }

    /// Takes permission to send a request of this rank. Returns `None` if the leaf is limited and
    /// there is no token.
    pub(crate) fn try_acquire(&self, rank: u8) -> Option<Permit> {
        if self.is_limited() {
            self.lock().try_acquire(rank, now())
        } else {
            Some(Permit::UNLIMITED)
        }
    }

    /// Returns whether a request with this permit may be sent now. The leaf may have stated a limit,
    /// or the token may have lapsed, while the request waited for a connection.
    pub(crate) fn confirm(&self, permit: Permit, rank: u8) -> bool {
        !self.is_limited() || permit.is_valid(now()) || self.try_acquire(rank).is_some()
    }

    /// Returns the time until a request may get a token; zero if the leaf is not limited.
    pub(crate) fn wait(&self) -> Duration {
        if self.is_limited() { self.lock().wait(now()) } else { Duration::ZERO }
    }

    /// Returns whether the owner was asked for tokens and its reply may still come.
    pub(crate) fn is_asked(&self) -> bool {
        self.lock().is_asked(now())
    }

    fn lock(&self) -> MutexGuard<'_, Allowance> {
        self.allowance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that counts a request as waiting for a token of a leaf.
pub(crate) struct Waiting<'a> {
    limit: &'a LeafLimit,
    rank: u8,
}

impl<'a> Waiting<'a> {
    /// Counts a request of this rank as waiting.
    pub(crate) fn new(limit: &'a LeafLimit, rank: u8) -> Self {
        limit.lock().start_waiting(rank);
        Self { limit, rank }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.limit.lock().stop_waiting(self.rank);
    }
}

/// Limits that leafs stated, and the tokens of the leafs that this instance owns.
#[derive(Debug, Default)]
pub struct RateLimits {
    state: Mutex<State>,
    /// Number of limits in force.
    in_force: AtomicUsize,
    /// Notified when a request needs a token.
    demand: Notify,
    /// Notified when tokens were granted or a limit has changed.
    granted: Notify,
}

#[derive(Debug, Default)]
struct State {
    limits: BTreeMap<LeafKey, Limit>,
    owners: TokenOwners,
}

/// Last known statement of a leaf, and the leaf if it is known here.
#[derive(Clone, Debug)]
struct Limit {
    statement: Statement,
    leaf: Option<Arc<Leaf>>,
}

impl RateLimits {
    /// Returns whether any limit is in force.
    pub fn is_empty(&self) -> bool {
        self.in_force.load(Ordering::Relaxed) == 0
    }

    /// Records the limit that an answer of a leaf states.
    pub(crate) fn record_limit(&self, leaf: &Arc<Leaf>, rate: f64) {
        let statement = Statement { rate: Some(rate), observed: now() };
        self.observe(&mut self.lock(), leaf.key(), Some(leaf), statement, "answer");
    }

    /// Records that an answer of a leaf to a request sent at `sent` states no limit. That ends the last
    /// one unless the request is older.
    pub(crate) fn record_end(&self, leaf: &Arc<Leaf>, sent: Instant) {
        let known = leaf.rate_limit().lock().statement();
        if known.is_some_and(|known| sent >= known.observed) {
            let statement = Statement { rate: None, observed: now() };
            self.observe(&mut self.lock(), leaf.key(), Some(leaf), statement, "answer");
        }
    }

    fn observe(
        &self,
        state: &mut State,
        key: LeafKey,
        leaf: Option<&Arc<Leaf>>,
        statement: Statement,
        source: &'static str,
    ) {
        let now = now();
        if statement.is_expired(now) {
            return;
        }
        let is_new = !state.limits.contains_key(&key);
        let limit =
            state.limits.entry(key).or_insert_with(|| Limit { statement, leaf: leaf.cloned() });
        limit.leaf = leaf.cloned().or_else(|| limit.leaf.take());
        let was_limited = limit.statement.rate.is_some();
        if limit.statement.observed < statement.observed {
            limit.statement = statement;
        }
        if let Some(leaf) = &limit.leaf {
            apply(leaf, limit.statement, source, now);
        }
        if is_new || was_limited != limit.statement.rate.is_some() {
            self.in_force.store(state.in_force(now), Ordering::Relaxed);
            self.granted.notify_waiters();
        }
    }

    /// Asks the owner for tokens if a request needs one.
    pub(crate) fn record_demand(&self, limit: &LeafLimit) {
        let now = now();
        let mut allowance = limit.lock();
        allowance.record_demand(now);
        if allowance.wanted(now) > 0 {
            self.demand.notify_one();
        }
    }

    /// Wakes the task that asks for tokens.
    pub(crate) fn request_tokens(&self) {
        self.demand.notify_one();
    }

    /// Returns a future that ends when tokens were granted.
    pub(crate) fn granted(&self) -> Notified<'_> {
        self.granted.notified()
    }

    /// Returns the status of each known limit, for the state dump.
    pub fn statuses(&self) -> BTreeMap<SmolStr, LimitStatus> {
        let now = now();
        let mut state = self.lock();
        let limits = state.limits.clone();
        let in_force = limits.into_iter().filter_map(|(key, limit)| {
            let rate = limit.statement.rate_at(now)?;
            let allowance = limit.leaf.as_ref().map(|leaf| leaf.rate_limit().lock());
            let status = LimitStatus {
                rate,
                age_ms: millis(now.saturating_duration_since(limit.statement.observed)),
                tokens: allowance.as_ref().map_or(0, |allowance| allowance.tokens()),
                wait_ms: allowance.map_or(0, |allowance| millis(allowance.wait(now))),
                owner: state.owners.owner(&key, now).map(|owner| format_smolstr!("{owner}")),
            };
            Some((key.0, status))
        });
        in_force.collect()
    }

    /// Sets the other known instances and the address of this one.
    pub(crate) fn set_instances(&self, instances: Vec<SocketAddr>, own: SocketAddr) {
        self.lock().owners.set_instances(instances, own);
    }

    /// Forgets what has lapsed.
    pub(crate) fn sweep(&self) {
        let now = now();
        let mut state = self.lock();
        let State { limits, owners } = &mut *state;
        for limit in limits.values().filter(|limit| limit.statement.is_expired(now)) {
            if let Some(leaf) = &limit.leaf {
                leaf.rate_limit().limited.store(false, Ordering::Relaxed);
            }
        }
        limits.retain(|_, limit| !limit.statement.is_expired(now));
        owners.sweep(|key| limits.contains_key(key), now);
        self.in_force.store(state.in_force(now), Ordering::Relaxed);
    }

    /// Records what a call to a peer showed.
    pub(crate) fn record_contact(&self, peer: SocketAddr, contact: Contact) {
        self.lock().owners.record_contact(peer, contact, now());
    }

    /// Returns whether nothing is known of any limit, also not that one has ended lately.
    pub(crate) fn is_unused(&self) -> bool {
        self.lock().limits.is_empty()
    }

    /// Returns whether any peer did not answer lately.
    pub(crate) fn misses_peers(&self) -> bool {
        self.lock().owners.misses_peers(now())
    }

    /// Merges the limits that another instance knows.
    pub(crate) fn merge(&self, gateway: &Gateway, reports: Vec<Report>) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms) + REPORT_DELAY;
            let Some(observed) = now().checked_sub(age) else { continue };
            let statement = Statement { rate: report.rate, observed };
            let leaf = gateway.directory().leaf(&report.leaf.0);
            let leaf = leaf.filter(|leaf| leaf.key() == report.leaf);
            self.observe(&mut self.lock(), report.leaf, leaf.as_ref(), statement, "peer");
        }
    }

    /// Returns what is known of the leafs that `asks` name, or of a sample of all if there are none.
    pub(crate) fn reports(&self, asks: &[Ask]) -> Vec<Report> {
        let now = now();
        let state = self.lock();
        if asks.is_empty() {
            let keys = state.limits.keys().sample(&mut rand::rng(), STATEMENTS_MAX);
            return keys.into_iter().filter_map(|key| state.report(key, now)).collect();
        }
        asks.iter().filter_map(|ask| state.report(&ask.leaf, now)).collect()
    }

    /// Decides on requests for tokens: those of other instances, or of this one.
    pub(crate) fn decide(&self, asks: &[Ask]) -> Vec<Decision> {
        let now = now();
        let mut state = self.lock();
        asks.iter().map(|ask| state.decide(ask, now)).collect()
    }

    /// Returns the asks that are due by their owner, and marks them as sent.
    pub(crate) fn asks(&self) -> BTreeMap<SocketAddr, Vec<Ask>> {
        let now = now();
        let mut state = self.lock();
        let leafs: Vec<_> = state
            .limits
            .iter()
            .filter_map(|(key, limit)| Some((key.clone(), limit.leaf.clone()?)))
            .collect();
        let mut asks: BTreeMap<SocketAddr, Vec<Ask>> = BTreeMap::new();
        for (leaf, known) in leafs {
            let wanted = {
                let mut allowance = known.rate_limit().lock();
                let wanted = allowance.wanted(now);
                if wanted > 0 {
                    allowance.mark_asked(now + ASK_TIMEOUT);
                }
                wanted
            };
            if wanted > 0
                && let Some(owner) = state.owners.owner(&leaf, now)
            {
                asks.entry(owner).or_default().push(Ask { leaf, wanted });
            }
        }
        asks
    }

    /// Returns when a request that waits may ask again.
    pub(crate) fn next_ask(&self) -> Option<Instant> {
        if self.is_empty() {
            return None;
        }
        let state = self.lock();
        let leafs = state.limits.values().filter_map(|limit| limit.leaf.as_ref());
        leafs.filter_map(|leaf| leaf.rate_limit().lock().next_ask()).min()
    }

    /// Adds the granted tokens. Where the asked instance names another owner that this one does not
    /// reach, this one grants itself its equal share.
    pub(crate) fn apply_decisions(&self, asks: &[Ask], decisions: &[Decision]) {
        let now = now();
        let mut state = self.lock();
        for (ask, decision) in asks.iter().zip(decisions) {
            let grant = state.apply_decision(ask, decision, now);
            state.with_allowance(&ask.leaf, |allowance| allowance.add(grant, ask.wanted, now));
        }
        drop(state);
        self.granted.notify_waiters();
    }

    /// Lets the asks that got no reply be sent again.
    pub(crate) fn clear_asks(&self, asks: &[Ask]) {
        let now = now();
        let state = self.lock();
        for ask in asks {
            state.with_allowance(&ask.leaf, |allowance| allowance.mark_asked(now));
        }
        self.demand.notify_one();
    }

    /// Waits until a request needs a token.
    pub(crate) async fn demanded(&self) {
        self.demand.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn in_force(&self, now: Instant) -> usize {
        self.limits.values().filter(|limit| limit.statement.rate_at(now).is_some()).count()
    }

    fn report(&self, key: &LeafKey, now: Instant) -> Option<Report> {
        let Statement { rate, observed } = self.limits.get(key)?.statement;
        let age_ms = millis(now.saturating_duration_since(observed));
        Some(Report { leaf: key.clone(), rate, age_ms })
    }

    fn with_allowance(&self, key: &LeafKey, change: impl FnOnce(&mut Allowance)) {
        if let Some(leaf) = self.limits.get(key).and_then(|limit| limit.leaf.as_ref()) {
            change(&mut leaf.rate_limit().lock());
        }
    }

    fn rate(&self, key: &LeafKey, now: Instant) -> Option<f64> {
        self.limits.get(key)?.statement.rate_at(now)
    }

    /// Grants tokens if this instance is the owner as far as it knows.
    fn decide(&mut self, ask: &Ask, now: Instant) -> Decision {
        if let Some(owner) = self.owners.other_owner(&ask.leaf, now) {
            return Decision::NotOwner(owner);
        }
        let rate = self.rate(&ask.leaf, now);
        let grant = rate.map(|rate| self.owners.grant(&ask.leaf, ask.wanted, rate, now));
        let Grant { tokens, next } = grant.unwrap_or(Grant::NONE);
        Decision::Granted { tokens, next_ms: millis(next) }
    }

    /// Returns what a decision grants.
    fn apply_decision(&mut self, ask: &Ask, decision: &Decision, now: Instant) -> Grant {
        match decision {
            Decision::Granted { tokens, next_ms } => {
                Grant { tokens: *tokens, next: Duration::from_millis(*next_ms) }
            }
            Decision::NotOwner(owner) if self.owners.has_failed(*owner, now) => {
                let rate = self.rate(&ask.leaf, now);
                let share =
                    rate.map(|rate| self.owners.grant_share(&ask.leaf, ask.wanted, rate, now));
                share.unwrap_or(Grant::NONE)
            }
            Decision::NotOwner(owner) => {
                // The other instance knows more instances; it is asked next.
                self.owners.prefer(&ask.leaf, *owner);
                Grant::NONE
            }
        }
    }
}

/// Applies a statement to a leaf and logs a changed limit.
fn apply(leaf: &Leaf, statement: Statement, source: &'static str, now: Instant) {
    let limit = leaf.rate_limit();
    let before = limit.lock().observe(statement, now);
    limit.limited.store(statement.rate_at(now).is_some(), Ordering::Relaxed);
    if let Some(before) = before {
        event!(
            Event::LeafLimited,
            leaf = leaf.with_entry(|entry| entry.id.clone()),
            service = leaf.with_entry(|entry| entry.service.clone()),
            before = format_rate(before),
            rate = format_rate(statement.rate_at(now)),
            source = source,
            age_ms = now.saturating_duration_since(statement.observed).as_millis()
        );
    }
}

fn format_rate(rate: Option<f64>) -> SmolStr {
    rate.map_or("none".into(), |rate| format_smolstr!("{rate}"))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
