//! Keeps to the limits that leafs state for the requests that all instances send them together.
//!
//! Each limited leaf has an owner among the instances, found by rendezvous hashing, which grants
//! tokens to the others ([`policy::rate_limit`](jaycrank_policy::rate_limit)). Instances ask for
//! tokens when they have requests for the leaf. Regular exchanges with random peers spread the
//! limits and show which peers are in contact. Instances without limits send nothing.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_http::Client;
use jaycrank_policy::rate_limit;
use jaycrank_policy::rate_limit::Allowance;
use jaycrank_policy::rate_limit::Bucket;
use jaycrank_policy::rate_limit::Grant;
use jaycrank_policy::rate_limit::Permit;
use jaycrank_policy::rate_limit::Statement;
use jaycrank_policy::rendezvous;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::call;
use crate::call::Service;
use crate::catalog::LeafId;
use crate::gateway::Gateway;
use crate::leaf::Leaf;
use crate::peer::Peers;
use crate::report::LimitStatus;

/// HTTP path of the exchanges.
pub(crate) const LIMIT_PATH: &str = "/limit";
/// Longest time for which a request waits for a token, unless a reply of the owner is due.
pub(crate) const TOKEN_WAIT_MAX: Duration = Duration::from_millis(250);
/// Interval at which a request that has waited for that time checks whether a reply of the owner is
/// still due.
pub(crate) const REPLY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the regular exchanges while a limit is known.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the first exchanges after the start, which are made even if no limit is known, and
/// of the exchanges while a peer does not answer.
const SHORT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of exchanges after the start that are made even if no limit is known.
const INITIAL_EXCHANGES: u32 = 3;
/// Range of the random factor of the interval, so that instances don't exchange in step.
const INTERVAL_JITTER: Range<f64> = 0.8..1.2;
/// Number of peers of a regular exchange.
const EXCHANGE_PEERS: usize = 2;
/// Number of peers of an exchange while a peer does not answer, to find out whether this instance
/// is in contact with a majority.
const CONTACT_CHECK_PEERS: usize = 5;
/// Most limits in a regular exchange, a random sample if there are more.
const STATEMENTS_MAX: usize = 32;
/// Pause between rounds of asking, so that the requests of one moment share one message.
const ASK_PAUSE: Duration = Duration::from_millis(10);
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a report may have been on its way. It is added to the age, so that a report does not
/// replace an answer that arrived after it was sent.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Time for which the outcome of a call shows whether a peer is in contact.
const CONTACT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Stands for an instance that other instances can't reach.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Incarnation of a leaf: its id and the Unix millisecond of its start.
type LeafKey = (LeafId, u64);

/// Limit that a leaf stated, as instances tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Report {
    leaf: LeafKey,
    rate: Option<f64>,
    age_ms: u64,
}

/// Request for tokens of one leaf.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Ask {
    leaf: LeafKey,
    wanted: u32,
}

/// Message from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Message {
    from: SocketAddr,
    reports: Vec<Report>,
    asks: Vec<Ask>,
}

/// Reply to an [`Ask`].
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Decision {
    /// Tokens, and the milliseconds until the owner has another one.
    Granted { tokens: u32, next_ms: u64 },
    /// Another instance owns the leaf.
    NotOwner(SocketAddr),
}

/// Reply to a message; the decisions are in the order of the asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Answer {
    reports: Vec<Report>,
    decisions: Vec<Decision>,
}

/// What the last call to a peer showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// It answered or sent a message.
    Reached,
    /// Its host refused the connection, so that its process has ended.
    Ended,
    /// It did not answer.
    Missed,
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
    buckets: BTreeMap<LeafKey, Bucket>,
    contacts: BTreeMap<SocketAddr, (Contact, Instant)>,
    /// Address of this instance.
    own: Option<SocketAddr>,
    /// Known instances, this one included.
    instances: Vec<SocketAddr>,
    /// Instances by descending weight for a leaf.
    rankings: BTreeMap<LeafKey, Vec<SocketAddr>>,
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
                owner: state.owner(&key, now).map(|owner| format_smolstr!("{owner}")),
            };
            Some((key.0, status))
        });
        in_force.collect()
    }

    fn set_instances(&self, mut instances: Vec<SocketAddr>, own: SocketAddr) {
        instances.push(own);
        let mut state = self.lock();
        state.own = Some(own);
        if state.instances != instances {
            state.rankings.clear();
            state.instances = instances;
        }
    }

    /// Forgets what has lapsed.
    fn sweep(&self) {
        let now = now();
        let mut state = self.lock();
        let State { limits, buckets, rankings, contacts, .. } = &mut *state;
        for limit in limits.values().filter(|limit| limit.statement.is_expired(now)) {
            if let Some(leaf) = &limit.leaf {
                leaf.rate_limit().limited.store(false, Ordering::Relaxed);
            }
        }
        limits.retain(|_, limit| !limit.statement.is_expired(now));
        buckets.retain(|key, _| limits.contains_key(key));
        rankings.retain(|key, _| limits.contains_key(key));
        contacts.retain(|_, (_, at)| now.saturating_duration_since(*at) < CONTACT_LIFETIME);
        self.in_force.store(state.in_force(now), Ordering::Relaxed);
    }

    fn record_contact(&self, peer: SocketAddr, contact: Contact) {
        self.lock().contacts.insert(peer, (contact, now()));
    }

    /// Merges the limits that another instance knows.
    fn merge(&self, gateway: &Gateway, reports: Vec<Report>) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms) + REPORT_DELAY;
            let Some(observed) = now().checked_sub(age) else { continue };
            let statement = Statement { rate: report.rate, observed };
            let leaf = gateway.directory().leaf(&report.leaf.0);
            let leaf = leaf.filter(|leaf| leaf.key() == report.leaf);
            self.observe(&mut self.lock(), report.leaf, leaf.as_ref(), statement, "peer");
        }
    }

    /// Answers a message of another instance.
    fn answer(&self, gateway: &Gateway, message: Message) -> Answer {
        self.record_contact(message.from, Contact::Reached);
        self.merge(gateway, message.reports);
        let now = now();
        let mut state = self.lock();
        let asked = message.asks.iter().map(|ask| &ask.leaf);
        let reports = if message.asks.is_empty() {
            state.sample(now)
        } else {
            asked.filter_map(|key| state.report(key, now)).collect()
        };
        let decisions = message.asks.iter().map(|ask| state.decide(ask, now)).collect();
        Answer { reports, decisions }
    }

    /// Returns the asks that are due by their owner, and marks them as sent.
    fn asks(&self) -> BTreeMap<SocketAddr, Vec<Ask>> {
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
                    allowance.mark_asked(now + EXCHANGE_TIMEOUT);
                }
                wanted
            };
            if wanted > 0
                && let Some(owner) = state.owner(&leaf, now)
            {
                asks.entry(owner).or_default().push(Ask { leaf, wanted });
            }
        }
        asks
    }

    /// Returns when a request that waits may ask again.
    fn next_ask(&self) -> Option<Instant> {
        if self.is_empty() {
            return None;
        }
        let state = self.lock();
        let leafs = state.limits.values().filter_map(|limit| limit.leaf.as_ref());
        leafs.filter_map(|leaf| leaf.rate_limit().lock().next_ask()).min()
    }

    /// Adds the granted tokens. Where the asked instance names another owner that this one does not
    /// reach, this one grants itself its equal share.
    fn apply_decisions(&self, asks: &[Ask], decisions: &[Decision]) {
        let now = now();
        let mut state = self.lock();
        for (ask, decision) in asks.iter().zip(decisions) {
            let grant = match decision {
                Decision::Granted { tokens, next_ms } => {
                    Grant { tokens: *tokens, next: Duration::from_millis(*next_ms) }
                }
                Decision::NotOwner(owner) if state.has_failed(*owner, now) => {
                    let fraction = 1.0 / state.instances.len().max(1) as f64;
                    state.grant(ask, fraction, now)
                }
                Decision::NotOwner(owner) => {
                    // The other instance knows more instances; it is asked next.
                    state.prefer(&ask.leaf, *owner);
                    Grant { tokens: 0, next: Duration::ZERO }
                }
            };
            if let Some(leaf) = state.limits.get(&ask.leaf).and_then(|limit| limit.leaf.as_ref()) {
                leaf.rate_limit().lock().add(grant, ask.wanted, now);
            }
        }
        drop(state);
        self.granted.notify_waiters();
    }

    /// Lets the asks that got no reply be sent again.
    fn clear_asks(&self, asks: &[Ask]) {
        let now = now();
        let state = self.lock();
        for ask in asks {
            if let Some(leaf) = state.limits.get(&ask.leaf).and_then(|limit| limit.leaf.as_ref()) {
                leaf.rate_limit().lock().mark_asked(now);
            }
        }
        self.demand.notify_one();
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

    fn sample(&self, now: Instant) -> Vec<Report> {
        let keys = self.limits.keys().sample(&mut rand::rng(), STATEMENTS_MAX);
        keys.into_iter().filter_map(|key| self.report(key, now)).collect()
    }

    fn has_failed(&self, peer: SocketAddr, now: Instant) -> bool {
        self.contacts.get(&peer).is_some_and(|(contact, at)| {
            *contact != Contact::Reached && now.saturating_duration_since(*at) < CONTACT_LIFETIME
        })
    }

    /// Returns the instances by descending weight for a leaf.
    fn ranking(&mut self, key: &LeafKey) -> &[SocketAddr] {
        let Self { rankings, instances, .. } = self;
        rankings.entry(key.clone()).or_insert_with(|| {
            let names: BTreeMap<SmolStr, SocketAddr> =
                instances.iter().map(|address| (format_smolstr!("{address}"), *address)).collect();
            let ranked =
                rendezvous::preference_list(&format_smolstr!("limit/{}", key.0), names.keys());
            ranked.iter().filter_map(|name| names.get(name).copied()).collect()
        })
    }

    /// Returns the instance that grants the tokens of a leaf: the first one that has not failed.
    fn owner(&mut self, key: &LeafKey, now: Instant) -> Option<SocketAddr> {
        let ranking = self.ranking(key).to_vec();
        ranking.into_iter().find(|instance| !self.has_failed(*instance, now))
    }

    /// Puts an instance first in the order of ownership of a leaf.
    fn prefer(&mut self, key: &LeafKey, owner: SocketAddr) {
        self.ranking(key);
        if let Some(ranking) = self.rankings.get_mut(key) {
            ranking.retain(|instance| *instance != owner);
            ranking.insert(0, owner);
        }
    }

    /// Grants tokens if this instance is the owner as far as it knows.
    fn decide(&mut self, ask: &Ask, now: Instant) -> Decision {
        match self.owner(&ask.leaf, now) {
            Some(owner) if Some(owner) != self.own => Decision::NotOwner(owner),
            _ => {
                let Grant { tokens, next } = self.grant(ask, self.granted_fraction(now), now);
                Decision::Granted { tokens, next_ms: millis(next) }
            }
        }
    }

    fn grant(&mut self, ask: &Ask, fraction: f64, now: Instant) -> Grant {
        let rate = self.limits.get(&ask.leaf).and_then(|limit| limit.statement.rate_at(now));
        match rate {
            Some(rate) => {
                let bucket = self.buckets.entry(ask.leaf.clone());
                bucket.or_insert_with(|| Bucket::new(now)).grant(ask.wanted, rate, fraction, now)
            }
            None => Grant { tokens: 0, next: Duration::ZERO },
        }
    }

    fn granted_fraction(&self, now: Instant) -> f64 {
        let fresh = self
            .contacts
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < CONTACT_LIFETIME);
        let (mut reached, mut missed) = (0, 0);
        for (contact, _) in fresh {
            reached += usize::from(*contact == Contact::Reached);
            missed += usize::from(*contact == Contact::Missed);
        }
        rate_limit::granted_fraction(reached, missed)
    }

    fn misses_peers(&self, now: Instant) -> bool {
        self.contacts.keys().any(|peer| self.has_failed(*peer, now))
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

/// Answers the messages of other instances about limits.
pub(crate) struct Responder(Arc<Gateway>);

impl Responder {
    /// Creates a responder that grants the tokens of `gateway`.
    pub(crate) fn new(gateway: Arc<Gateway>) -> Self {
        Self(gateway)
    }
}

#[async_trait]
impl Service for Responder {
    async fn respond(&self, message: &[u8]) -> Result<Vec<u8>, call::Error> {
        call::encode(&self.0.rate_limits().answer(&self.0, call::decode(message)?))
    }
}

/// Asks for tokens and makes regular exchanges until it is aborted. An instance without `peers` grants
/// itself the tokens of all leafs.
pub(crate) async fn share(gateway: Arc<Gateway>, peers: Option<Arc<Peers>>) {
    let own = peers.as_ref().map_or(NO_ADDRESS, |peers| peers.own_address());
    let limits = gateway.rate_limits();
    let mut clients: BTreeMap<SocketAddr, Arc<Client>> = BTreeMap::new();
    let mut rounds: u32 = 0;
    let mut next_exchange = now();
    loop {
        let due = limits.next_ask().map_or(next_exchange, |ask| ask.min(next_exchange));
        tokio::select! {
            () = limits.demand.notified() => {}
            () = sleep_until(due.into()) => {}
        }
        let known = peers.as_ref().map(|peers| peers.addresses()).unwrap_or_default();
        limits.set_instances(known.clone(), own);
        clients.retain(|address, _| known.contains(address));
        let mut send = |peer: SocketAddr, asks: Vec<Ask>| {
            let client = clients.entry(peer).or_insert_with(|| Arc::new(call::client(peer)));
            tokio::spawn(exchange(gateway.clone(), client.clone(), own, asks));
        };
        if now() >= next_exchange {
            limits.sweep();
            let (count, interval) = exchange_plan(limits, rounds);
            for peer in known.iter().copied().sample(&mut rand::rng(), count) {
                send(peer, Vec::new());
            }
            next_exchange = now() + interval.mul_f64(rand::random_range(INTERVAL_JITTER));
            rounds = rounds.saturating_add(1);
        }
        for (owner, asks) in limits.asks() {
            if owner == own {
                let decisions: Vec<_> = {
                    let mut state = limits.lock();
                    asks.iter().map(|ask| state.decide(ask, now())).collect()
                };
                limits.apply_decisions(&asks, &decisions);
            } else {
                send(owner, asks);
            }
        }
        sleep(ASK_PAUSE).await;
    }
}

/// Returns the number of peers of a regular exchange, and the interval until the next one.
fn exchange_plan(limits: &RateLimits, rounds: u32) -> (usize, Duration) {
    let state = limits.lock();
    match (rounds < INITIAL_EXCHANGES, state.limits.is_empty()) {
        (true, _) => (EXCHANGE_PEERS, SHORT_INTERVAL),
        (false, true) => (0, EXCHANGE_INTERVAL),
        (false, false) if state.misses_peers(now()) => (CONTACT_CHECK_PEERS, SHORT_INTERVAL),
        (false, false) => (EXCHANGE_PEERS, EXCHANGE_INTERVAL),
    }
}

/// Sends one message to a peer and applies its answer.
async fn exchange(gateway: Arc<Gateway>, client: Arc<Client>, from: SocketAddr, asks: Vec<Ask>) {
    let limits = gateway.rate_limits();
    let reports = {
        let state = limits.lock();
        let asked = asks.iter().filter_map(|ask| state.report(&ask.leaf, now()));
        if asks.is_empty() { state.sample(now()) } else { asked.collect() }
    };
    let message = Message { from, reports, asks };
    let answer: Result<Answer, call::Error> =
        call::call(&client, LIMIT_PATH, &message, EXCHANGE_TIMEOUT).await;
    let contact = match &answer {
        Ok(_) => Contact::Reached,
        // An instance of a version without limits grants nothing either.
        Err(call::Error::NotSent(_) | call::Error::Rejected(_) | call::Error::Invalid(_)) => {
            Contact::Ended
        }
        Err(call::Error::Lost(_)) => Contact::Missed,
    };
    limits.record_contact(client.address(), contact);
    match answer {
        Ok(answer) => {
            limits.merge(&gateway, answer.reports);
            limits.apply_decisions(&message.asks, &answer.decisions);
        }
        Err(_) => limits.clear_asks(&message.asks),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
