//! Exchanges configuration, leaf entries and membership among instances.
//!
//! In each failure domain one instance reads the catalog and the others poll it, directly or
//! through each other ([`relay`](crate::relay)). Polls of other failure domains keep an instance
//! that can't reach the catalog up to date. Some polls also return a list of instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_http::Client;
use jaycrank_policy::connections::FleetSize;
use jaycrank_policy::gossip::Regions;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeMap;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::call;
use crate::call::Service;
use crate::catalog::Coverage;
use crate::catalog::Entry;
use crate::catalog::Item;
use crate::catalog::LeafId;
use crate::catalog::Listing;
use crate::catalog::Revision;
use crate::catalog::Source;
use crate::config::Active;
use crate::config::Config;
use crate::config::Version;
use crate::directory::Directory;
use crate::follow::Connectivity;
use crate::gateway::Gateway;
use crate::topology::Distance;
use crate::topology::Topology;
use crate::traffic::Kind;
use crate::traffic::Traffic;

/// HTTP path of an exchange.
pub(crate) const EXCHANGE_PATH: &str = "/exchange";
/// Pause between exchanges with other failure domains. The readers of this failure domain may lose
/// the catalog unnoticed, and the strictest deployment requires a configuration to be in force
/// within 3 s. These exchanges don't wait for changes: this instance's reader delivers the same
/// changes at the same time, and each would be sent between failure domains once per instance.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// One in this many rounds asks for the list of instances. It goes to the same failure domain:
/// lists of 300 instances were most of the traffic between regions.
const ROUNDS_PER_PEER_LIST: u32 = 6;
/// Number of rounds after the start that all ask for the list of instances.
const INITIAL_PEER_LISTS: u32 = 6;
/// Pause after an exchange while the catalog can't be followed, after one that asked for the list
/// of instances, and after one without an answer.
const SHORT_INTERVAL: Duration = Duration::from_millis(300);
/// Range of the random factor of a pause, so that instances started together don't poll in step.
const INTERVAL_JITTER: Range<f64> = 0.8..1.2;
/// Probability that an exchange with another failure domain stays in this instance's region, where
/// bytes cost less.
const OWN_REGION_PROBABILITY: f64 = 0.75;
/// Timeout of an exchange beyond the time that it waits for changes.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that an exchange waits for changes.
const POLL_WAIT_MAX: Duration = Duration::from_secs(10);
/// Time after which an instance is forgotten if none has received an exchange from it.
const PEER_EXPIRY: Duration = Duration::from_secs(45);
/// Most instances in one list, a random sample if there are more.
const PEER_LIST_MAX: usize = 256;

/// Poll of one instance by another: what the polling instance knows and wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Address at which the polling instance listens for exchanges.
    pub from: SocketAddr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Version in force at the polling instance, if it wants a newer one.
    pub version: Wanted<Version>,
    /// Revision up to which it knows the leafs, if it wants changes.
    pub revision: Wanted<Revision>,
    /// Milliseconds to wait for changes.
    pub wait_ms: u64,
    /// Whether it wants the list of instances.
    pub peers: bool,
}

/// Which part of a kind of document a poll asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted<T> {
    /// None of it.
    Nothing,
    /// All of it.
    All,
    /// What is newer than this.
    After(T),
}

impl Wanted<Version> {
    /// Asks for a configuration newer than the one in force here.
    pub(crate) fn newer(directory: &Directory) -> Self {
        directory.active().map_or(Self::All, |active| Self::After(active.version()))
    }
}

/// Leafs in an update.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Leafs {
    /// Whether `entries` is the complete list of the other instance and not only its changes.
    pub all: bool,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Entries that were removed.
    pub removed: Vec<LeafId>,
    /// Revision since which the other instance knows all changes and removals. Instances of older
    /// versions don't state it.
    #[serde(default)]
    pub since: Option<Revision>,
    /// Milliseconds for which the first of the removals may have been in force.
    #[serde(default)]
    pub removed_ms: u64,
}

/// Encodes a map: instances of older versions skip a key that they don't know, but reject an array with
/// an element too many.
impl Serialize for Leafs {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(5))?;
        map.serialize_entry("all", &self.all)?;
        map.serialize_entry("entries", &self.entries)?;
        map.serialize_entry("removed", &self.removed)?;
        map.serialize_entry("since", &self.since)?;
        map.serialize_entry("removed_ms", &self.removed_ms)?;
        map.end()
    }
}

impl Leafs {
    /// Returns the leafs as a listing that another instance sent.
    pub(crate) fn into_listing(self, revision: Revision, source: Source) -> Listing<Item> {
        let coverage = match self.since {
            // Also a list of all leafs may have some that are gone.
            None => Coverage::Unknown,
            Some(_) if self.all => Coverage::All,
            Some(since) => Coverage::Since(since),
        };
        let entries = self.entries.into_iter().map(Item::Leaf);
        let items = entries.chain(self.removed.into_iter().map(Item::Removed)).collect();
        Listing::new(items, revision)
            .with_coverage(coverage)
            .with_added_age(Duration::from_millis(self.removed_ms))
            .with_source(source)
    }
}

impl From<Listing<Item>> for Leafs {
    fn from(listing: Listing<Item>) -> Self {
        let (all, since) = match listing.coverage {
            Coverage::All => (true, Some(listing.revision)),
            Coverage::Since(since) => (false, Some(since)),
            Coverage::Unknown => (false, None),
        };
        let removed_ms = u64::try_from(listing.age.as_millis()).unwrap_or(u64::MAX);
        let mut leafs = Self { all, entries: Vec::new(), removed: Vec::new(), since, removed_ms };
        for item in listing.items {
            match item {
                Item::Leaf(entry) => leafs.entries.push(entry),
                Item::Removed(id) | Item::Invalid(id, _) => leafs.removed.push(id),
            }
        }
        leafs
    }
}

/// Reply to a poll: what the other instance knows beyond it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether the other instance follows the catalog.
    pub current: bool,
    /// Configuration, if newer.
    pub config: Option<Config>,
    /// Leafs, if it knows them up to a later revision.
    pub leafs: Option<Leafs>,
    /// Revision up to which it knows the leafs.
    pub revision: Revision,
    /// Instances with their failure domains and the milliseconds since the last exchange of each.
    pub peers: Vec<(SocketAddr, SmolStr, u64)>,
}

/// Way to send polls to other instances.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a poll to the instance at `peer`. A failed poll is not repeated.
    ///
    /// # Errors
    ///
    /// [`call::Error`] if there is no valid reply in time.
    async fn poll(&self, peer: SocketAddr, poll: &Poll) -> Result<Update, call::Error>;
}

/// Transport over HTTP, with one client for each instance.
pub(crate) struct HttpTransport {
    peers: Arc<Peers>,
    traffic: Arc<Traffic>,
    clients: Mutex<BTreeMap<SocketAddr, Arc<Client>>>,
}

impl HttpTransport {
    /// Creates a transport that counts the bytes of all messages.
    pub(crate) fn new(peers: Arc<Peers>, traffic: Arc<Traffic>) -> Self {
        Self { peers, traffic, clients: Mutex::default() }
    }

    fn clients(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<Client>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Transport for HttpTransport {
    async fn poll(&self, peer: SocketAddr, poll: &Poll) -> Result<Update, call::Error> {
        let client =
            self.clients().entry(peer).or_insert_with(|| Arc::new(call::client(peer))).clone();
        let result = self::poll(&client, poll, &self.traffic, self.peers.distance(peer)).await;
        if result.is_err() {
            self.clients().remove(&peer);
        }
        result
    }
}

/// Known other instance.
#[derive(Clone, Debug)]
struct Peer {
    failure_domain: SmolStr,
    last_heard: Instant,
}

/// Known other instances, and the address of this one.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddr,
    topology: Topology,
    seeds: Vec<SocketAddr>,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
}

impl Peers {
    /// Creates a list that holds only the seeds.
    pub fn new(own_address: SocketAddr, topology: Topology, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != own_address).collect();
        Self { own_address, topology, seeds, peers: Mutex::default() }
    }

    /// Returns the address at which this instance listens for exchanges.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Returns the failure domain of this instance.
    pub fn failure_domain(&self) -> &SmolStr {
        self.topology.own_domain()
    }

    /// Returns the distance of an instance; one that is not known counts as remote.
    pub(crate) fn distance(&self, address: SocketAddr) -> Distance {
        let peers = self.lock();
        let domain = peers.get(&address).map(|peer| &peer.failure_domain);
        domain.map_or(Distance::Remote, |domain| self.topology.distance(domain))
    }

    fn record(&self, address: SocketAddr, failure_domain: SmolStr, age: Duration) {
        let now = Instant::now();
        let Some(last_heard) = now.checked_sub(age) else { return };
        if address == self.own_address || age > PEER_EXPIRY {
            return;
        }
        let mut peers = self.lock();
        let peer = peers
            .entry(address)
            .or_insert(Peer { failure_domain: failure_domain.clone(), last_heard });
        peer.last_heard = peer.last_heard.max(last_heard);
        peer.failure_domain = failure_domain;
        peers.retain(|_, peer| now.duration_since(peer.last_heard) < PEER_EXPIRY);
    }

    /// Returns the other instances of the same failure domain.
    pub fn same_domain(&self) -> Vec<SocketAddr> {
        let peers = self.lock();
        let same = peers.iter().filter(|(_, peer)| peer.failure_domain == *self.failure_domain());
        same.map(|(address, _)| *address).collect()
    }

    /// Returns the addresses of all other instances, or the seeds if none is known yet.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let peers = self.lock();
        if peers.is_empty() { self.seeds.clone() } else { peers.keys().copied().collect() }
    }

    /// Returns the addresses of all other instances that are known, and the seeds. The list of a fleet
    /// that has just started is complete only after several exchanges.
    pub(crate) fn addresses_and_seeds(&self) -> Vec<SocketAddr> {
        let peers = self.lock();
        let unknown = self.seeds.iter().filter(|seed| !peers.contains_key(seed));
        peers.keys().chain(unknown).copied().collect()
    }

    /// Returns whether no other instance is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the other instances by region. Seeds that are not known yet count as instances of the
    /// own region.
    pub(crate) fn by_region(&self) -> Regions<SocketAddr> {
        let peers = self.lock();
        let unknown = self.seeds.iter().filter(|seed| !peers.contains_key(seed));
        let mut regions = Regions { own: unknown.copied().collect(), others: BTreeMap::new() };
        for (address, Peer { failure_domain, .. }) in peers.iter() {
            if self.topology.distance(failure_domain) < Distance::Remote {
                regions.own.push(*address);
            } else {
                let region = self.topology.region(failure_domain).clone();
                regions.others.entry(region).or_default().push(*address);
            }
        }
        regions
    }

    /// Returns the other instances of this failure domain, then those of other failure domains of the
    /// region, then all others.
    pub(crate) fn by_distance(&self) -> [Vec<SocketAddr>; 3] {
        let peers = self.lock();
        let mut groups = [Vec::new(), Vec::new(), Vec::new()];
        for (address, peer) in peers.iter() {
            groups[self.topology.distance(&peer.failure_domain) as usize].push(*address);
        }
        groups
    }

    /// Returns the number of instances, including this one.
    pub fn fleet_size(&self) -> FleetSize {
        let peers = self.lock();
        let same_region = peers
            .values()
            .filter(|peer| self.topology.distance(&peer.failure_domain) < Distance::Remote);
        FleetSize { own_region: same_region.count() + 1, all: peers.len() + 1 }
    }

    /// Chooses an instance to poll: one of another failure domain, else any known one or a seed.
    fn choose_remote(&self, random: &mut StdRng) -> Option<SocketAddr> {
        let peers = self.lock();
        let distance = |peer: &Peer| self.topology.distance(&peer.failure_domain);
        let other = peers.iter().filter(|(_, peer)| distance(peer) > Distance::Domain);
        let (same, others): (Vec<_>, Vec<_>) =
            other.partition(|(_, peer)| distance(peer) == Distance::Region);
        let mut candidates: Vec<SocketAddr> = match (same.is_empty(), others.is_empty()) {
            (false, true) => addresses(same),
            (true, false) => addresses(others),
            (false, false) if random.random_bool(OWN_REGION_PROBABILITY) => addresses(same),
            (false, false) => addresses(others),
            (true, true) => peers.keys().copied().collect(),
        };
        if candidates.is_empty() {
            candidates.clone_from(&self.seeds);
        }
        candidates.into_iter().choose(random)
    }

    /// Chooses an instance to poll: one of the same failure domain if `own_domain_first`, else
    /// any known one or a seed.
    fn choose_any(&self, own_domain_first: bool, random: &mut StdRng) -> Option<SocketAddr> {
        let mut candidates = if own_domain_first { self.same_domain() } else { Vec::new() };
        if candidates.is_empty() {
            candidates = self.lock().keys().chain(&self.seeds).copied().collect();
        }
        candidates.into_iter().choose(random)
    }

    fn sample(&self, random: &mut StdRng) -> Vec<(SocketAddr, SmolStr, u64)> {
        let now = Instant::now();
        let peers = self.lock();
        let sampled = peers.iter().sample(random, PEER_LIST_MAX).into_iter();
        let sampled = sampled.map(|(address, peer)| {
            let age = now.duration_since(peer.last_heard).as_millis() as u64;
            (*address, peer.failure_domain.clone(), age)
        });
        sampled.collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handler of polls by other instances.
pub struct Responder {
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    connectivity: Arc<Connectivity>,
}

impl Responder {
    /// Creates a responder that answers with what `gateway` knows.
    pub fn new(gateway: Arc<Gateway>, peers: Arc<Peers>, connectivity: Arc<Connectivity>) -> Self {
        Self { gateway, peers, connectivity }
    }

    /// Answers a poll, after waiting for changes if it asks for that.
    pub async fn answer(&self, poll: &Poll) -> Update {
        self.peers.record(poll.from, poll.failure_domain.clone(), Duration::ZERO);
        let wait = Duration::from_millis(poll.wait_ms).min(POLL_WAIT_MAX);
        let end = Instant::now() + wait;
        let mut changed = self.gateway.directory().subscribe();
        while !self.has_update(poll) && Instant::now() < end {
            // Both a change and a timeout are handled by the loop condition.
            let _ = timeout_at(end, changed.changed()).await;
        }
        self.update(poll)
    }

    /// Returns the configuration in force if the poll asks for it.
    fn wanted_config(&self, wanted: Wanted<Version>) -> Option<Arc<Active>> {
        let active = self.gateway.directory().active()?;
        let is_wanted = match wanted {
            Wanted::Nothing => false,
            Wanted::All => true,
            Wanted::After(known) => active.version() > known,
        };
        is_wanted.then_some(active)
    }

    fn has_update(&self, poll: &Poll) -> bool {
        let directory = self.gateway.directory();
        let config = self.wanted_config(poll.version).is_some();
        let leafs = match poll.revision {
            Wanted::Nothing => false,
            Wanted::All => directory.revision() > 0,
            Wanted::After(known) => directory.has_changes_after(known),
        };
        config || leafs
    }

    fn update(&self, poll: &Poll) -> Update {
        let directory = self.gateway.directory();
        let config = self.wanted_config(poll.version).map(|active| active.config().clone());
        let now = Instant::now().into_std();
        let leafs = match poll.revision {
            Wanted::Nothing => None,
            Wanted::All => Some(directory.leafs_after(0, now)),
            Wanted::After(known) => {
                let listing = directory.leafs_after(known, now);
                let is_new = listing.revision > known || !listing.items.is_empty();
                is_new.then_some(listing)
            }
        };
        let revision = leafs.as_ref().map_or_else(|| directory.revision(), |leafs| leafs.revision);
        let leafs = leafs.map(Leafs::from);
        let peers =
            if poll.peers { self.peers.sample(&mut self.gateway.random()) } else { Vec::new() };
        let current = self.connectivity.is_current(revision);
        Update { current, config, leafs, revision, peers }
    }
}

#[async_trait]
impl Service for Responder {
    async fn respond(&self, message: Bytes) -> Result<Bytes, call::Error> {
        Ok(call::encode(&self.answer(&call::decode(&message)?).await)?.into())
    }
}

/// Polls another instance and counts what its reply contains.
///
/// # Errors
///
/// [`call::Error`] if there is no valid reply in time.
pub async fn poll(
    client: &Client,
    poll: &Poll,
    traffic: &Traffic,
    distance: Distance,
) -> Result<Update, call::Error> {
    let time = Duration::from_millis(poll.wait_ms) + EXCHANGE_TIMEOUT;
    let counter = traffic.counter(Kind::Polls, distance);
    let update: Update = call::call(client, EXCHANGE_PATH, poll, time, counter).await?;
    if let Some(config) = &update.config {
        counter.move_received(traffic.counter(Kind::Configurations, distance), size(config));
    }
    if let Some(leafs) = &update.leafs {
        counter.move_received(traffic.counter(Kind::Entries, distance), size(leafs));
    }
    if !update.peers.is_empty() {
        counter.move_received(traffic.counter(Kind::Instances, distance), size(&update.peers));
    }
    Ok(update)
}

/// Logs which documents another instance sent, if any, and the revisions between which they changed.
pub(crate) fn log_documents(peer: SocketAddr, poll: &Poll, update: &Update) {
    let after = match poll.revision {
        Wanted::After(known) => known,
        Wanted::Nothing | Wanted::All => 0,
    };
    let leafs = update.leafs.as_ref();
    let is_empty = |leafs: &Leafs| leafs.entries.is_empty() && leafs.removed.is_empty();
    if update.config.is_none() && leafs.is_none_or(is_empty) {
        return;
    }
    event!(
        Event::PeerDocuments,
        peer = peer,
        version = update.config.as_ref().map_or(0, |config| config.version),
        after = after,
        revision = update.revision,
        all = leafs.is_some_and(|leafs| leafs.all),
        leafs = leafs.map_or(0, |leafs| leafs.entries.len()),
        removed = leafs.map_or(0, |leafs| leafs.removed.len()),
        since = leafs.and_then(|leafs| leafs.since).unwrap_or_default()
    );
}

/// Returns the encoded size of a part of a message, in bytes.
fn size(part: &impl Serialize) -> usize {
    call::encode(part).map_or(0, |bytes| bytes.len())
}

fn addresses(peers: Vec<(&SocketAddr, &Peer)>) -> Vec<SocketAddr> {
    peers.into_iter().map(|(address, _)| *address).collect()
}

/// Round of the anti-entropy loop, in which it polls one instance; decides which one, and for what.
#[derive(Clone, Copy, Debug)]
struct Round {
    /// Number of rounds before this one.
    count: u32,
    /// Whether the catalog can't be followed, or nothing is known yet.
    catalog_lost: bool,
}

impl Round {
    /// Returns whether to ask for the list of instances.
    fn wants_peers(self) -> bool {
        self.count < INITIAL_PEER_LISTS || self.count.is_multiple_of(ROUNDS_PER_PEER_LIST)
    }

    /// Returns whether to ask for configuration and leafs. The first round only finds instances
    /// of the same failure domain, from which documents cost less.
    fn wants_documents(self) -> bool {
        self.count > 0
    }

    /// Chooses the instance to poll. Without the catalog, instances of the same failure domain and
    /// any known ones alternate.
    fn choose_peer(self, peers: &Peers, random: &mut StdRng) -> Option<SocketAddr> {
        match (self.catalog_lost, self.wants_peers()) {
            (true, _) => peers.choose_any(self.count % 2 == 1, random),
            (false, true) => peers.choose_any(true, random),
            (false, false) => peers.choose_remote(random),
        }
    }

    /// Returns the mean pause after the round.
    fn pause(self, answered: bool) -> Duration {
        if answered && !self.wants_documents() {
            return Duration::ZERO;
        }
        let is_short = self.catalog_lost || !answered || self.wants_peers();
        if is_short { SHORT_INTERVAL } else { EXCHANGE_INTERVAL }
    }
}

/// Polls other instances, one after the other, until it is aborted.
pub async fn poll_peers(
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    connectivity: Arc<Connectivity>,
    transport: Arc<dyn Transport>,
) {
    let mut count = 0;
    loop {
        let round = Round {
            count,
            catalog_lost: connectivity.is_lost() || !gateway.directory().is_complete(),
        };
        let chosen = round.choose_peer(&peers, &mut gateway.random());
        let Some(peer) = chosen else {
            sleep(SHORT_INTERVAL).await;
            continue;
        };
        let poll = next_poll(&gateway, &peers, round);
        // A failed poll is not repeated at once: the next round may poll another instance.
        let update = transport.poll(peer, &poll).await.ok();
        let answered = update.is_some();
        if let Some(update) = update {
            apply_update(&gateway, &peers, peer, &poll, update);
        }
        let fleet = peers.fleet_size();
        gateway.directory().set_fleet_size(fleet);
        gateway.quotas().set_instances(fleet.all);
        count += 1;
        let jitter = gateway.random().random_range(INTERVAL_JITTER);
        sleep(round.pause(answered).mul_f64(jitter)).await;
    }
}

/// Builds the poll of a round.
fn next_poll(gateway: &Gateway, peers: &Peers, round: Round) -> Poll {
    let documents = round.wants_documents();
    let directory = gateway.directory();
    Poll {
        from: peers.own_address,
        failure_domain: peers.failure_domain().clone(),
        version: if documents { Wanted::newer(directory) } else { Wanted::Nothing },
        revision: if documents { Wanted::After(directory.revision()) } else { Wanted::Nothing },
        wait_ms: 0,
        peers: round.wants_peers(),
    }
}

/// Applies what the instance at `peer` sent in answer to a poll.
fn apply_update(gateway: &Gateway, peers: &Peers, peer: SocketAddr, poll: &Poll, update: Update) {
    let directory = gateway.directory();
    log_documents(peer, poll, &update);
    for (address, failure_domain, age_ms) in update.peers {
        peers.record(address, failure_domain, Duration::from_millis(age_ms));
    }
    let leafs = update.leafs.as_ref().map_or(0, |leafs| leafs.entries.len());
    gateway.metrics().record_exchanged_leafs("other", leafs);
    if let Some(config) = update.config {
        directory.apply_config(config, "peer");
    }
    if let Some(leafs) = update.leafs {
        let listing = leafs.into_listing(update.revision, Source::Peer(peer));
        directory.apply_leafs(listing, Instant::now().into_std());
    }
}
