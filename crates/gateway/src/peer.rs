//! Passes configuration and leaf entries among instances.
//!
//! Instances of one failure domain let one of them read the catalog and hear from that one
//! ([`relay`](crate::relay)); and an instance that can't reach the catalog goes on with what any
//! other knows. Each exchange also tells which instances there are.

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
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_http::Client;
use jaycrank_policy::connections::Fleet;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::answer::Reply;
use crate::catalog::Entry;
use crate::catalog::Item;
use crate::catalog::LeafId;
use crate::catalog::Revision;
use crate::config::Active;
use crate::config::Config;
use crate::config::Version;
use crate::directory::Directory;
use crate::follow::Connectivity;
use crate::gateway::Gateway;
use crate::server::Handler;

/// Path of an exchange.
const PATH: &str = "/exchange";
/// Pause between exchanges with instances of other failure domains. All that read the catalog in
/// the own one may be cut off from it unnoticed, and a configuration must be in force within 3 s on
/// the tightest deployment. Such an exchange does not wait for news: the own reader brings the same
/// at the same moment, and each change would cross between failure domains once for each instance.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);
/// Exchanges of which one tells of the other instances. It goes to one of the own failure domain:
/// the lists of 300 instances were most of what crossed between regions.
const PEERS_EVERY: u32 = 6;
/// First exchanges of an instance, all of which tell of the others.
const PEERS_FIRST: u32 = 6;
/// Pause after an exchange while the catalog can't be followed, after one that told of the other
/// instances, and if the other instance did not answer.
const PAUSE: Duration = Duration::from_millis(300);
/// Factors of a pause, so that instances that started together do not ask in step.
const PAUSE_SPREAD: Range<f64> = 0.8..1.2;
/// Share of exchanges within the own region, where bytes cost less, if it has other failure domains.
const OWN_REGION_SHARE: f64 = 0.75;
/// Time that an exchange may take beyond its wait.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that an exchange waits for news.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// Largest message, in bytes.
const MESSAGE_BYTES_MAX: usize = 4 << 20;
/// Time after which an instance that nobody has heard of is forgotten.
const PEER_TIME: Duration = Duration::from_secs(45);
/// Instances that are passed on in one exchange, drawn at random if there are more.
const PEERS_MAX: usize = 256;

/// What the caller of an exchange knows and wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Where the caller listens for exchanges.
    pub from: SocketAddr,
    /// Its failure domain.
    pub failure_domain: SmolStr,
    /// Version in force at the caller, if it wants a newer one.
    pub version: Wanted<Version>,
    /// Revision up to which it knows the leafs, if it wants later changes.
    pub revision: Wanted<Revision>,
    /// Milliseconds that it waits for news.
    pub wait_ms: u64,
    /// Whether it wants to hear of other instances.
    pub peers: bool,
}

/// Part of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted<T> {
    /// Not wanted.
    Nothing,
    /// All of it.
    All,
    /// What is newer.
    After(T),
}

impl Wanted<Version> {
    /// What is newer than the configuration in force here.
    pub(crate) fn newer(directory: &Directory) -> Self {
        directory.active().map_or(Self::All, |active| Self::After(active.version()))
    }
}

/// Leafs in an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leafs {
    /// Whether leafs that are not named have gone.
    pub all: bool,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Entries that were removed.
    pub removed: Vec<LeafId>,
}

/// What the other instance knows beyond the poll.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether it follows the catalog.
    pub current: bool,
    /// Configuration, if newer.
    pub config: Option<Config>,
    /// Leafs, if there is news.
    pub leafs: Option<Leafs>,
    /// Revision up to which it knows the leafs.
    pub revision: Revision,
    /// Instances with their failure domains and the milliseconds since they were heard of.
    pub peers: Vec<(SocketAddr, SmolStr, u64)>,
}

/// Another instance.
#[derive(Clone, Debug)]
struct Peer {
    failure_domain: SmolStr,
    heard: Instant,
}

/// Other instances, and where this one listens.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    failure_domain: SmolStr,
    regions: BTreeMap<SmolStr, SmolStr>,
    seeds: Vec<SocketAddr>,
    known: Mutex<BTreeMap<SocketAddr, Peer>>,
}

impl Peers {
    /// Knows the seeds only.
    pub fn new(
        own: SocketAddr,
        failure_domain: SmolStr,
        regions: BTreeMap<SmolStr, SmolStr>,
        seeds: &[SocketAddr],
    ) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != own).collect();
        Self { own, failure_domain, regions, seeds, known: Mutex::default() }
    }

    /// Where this instance listens for exchanges.
    pub fn own_address(&self) -> SocketAddr {
        self.own
    }

    /// Failure domain of this instance.
    pub fn failure_domain(&self) -> &SmolStr {
        &self.failure_domain
    }

    fn hear(&self, address: SocketAddr, failure_domain: SmolStr, age: Duration) {
        let now = Instant::now();
        let Some(heard) = now.checked_sub(age) else { return };
        if address == self.own || age > PEER_TIME {
            return;
        }
        let mut known = self.lock();
        let peer =
            known.entry(address).or_insert(Peer { failure_domain: failure_domain.clone(), heard });
        peer.heard = peer.heard.max(heard);
        peer.failure_domain = failure_domain;
        known.retain(|_, peer| now.duration_since(peer.heard) < PEER_TIME);
    }

    /// Other instances of the own failure domain.
    pub fn same_domain(&self) -> Vec<SocketAddr> {
        let known = self.lock();
        let near = known.iter().filter(|(_, peer)| peer.failure_domain == self.failure_domain);
        near.map(|(address, _)| *address).collect()
    }

    /// Number of instances, with this one.
    pub fn fleet(&self) -> Fleet {
        let known = self.lock();
        let own = self.regions.get(&self.failure_domain);
        let near = known.values().filter(|peer| self.regions.get(&peer.failure_domain) == own);
        Fleet { own_region: near.count() + 1, all: known.len() + 1 }
    }

    /// An instance to ask: a known one or a seed, of another failure domain if there is one.
    fn pick(&self) -> Option<SocketAddr> {
        let known = self.lock();
        let own_region = self.regions.get(&self.failure_domain);
        let other = known.iter().filter(|(_, peer)| peer.failure_domain != self.failure_domain);
        let (near, far): (Vec<_>, Vec<_>) =
            other.partition(|(_, peer)| self.regions.get(&peer.failure_domain) == own_region);
        let mut candidates: Vec<SocketAddr> = match (near.is_empty(), far.is_empty()) {
            (false, true) => addresses(near),
            (true, false) => addresses(far),
            (false, false) if rand::random_bool(OWN_REGION_SHARE) => addresses(near),
            (false, false) => addresses(far),
            (true, true) => known.keys().copied().collect(),
        };
        if candidates.is_empty() {
            candidates.clone_from(&self.seeds);
        }
        candidates.into_iter().choose(&mut rand::rng())
    }

    /// An instance to ask for all that it knows: one of the own failure domain, or any known one or
    /// seed.
    fn pick_any(&self, near_first: bool) -> Option<SocketAddr> {
        let mut candidates = if near_first { self.same_domain() } else { Vec::new() };
        if candidates.is_empty() {
            candidates = self.lock().keys().chain(&self.seeds).copied().collect();
        }
        candidates.into_iter().choose(&mut rand::rng())
    }

    fn list(&self) -> Vec<(SocketAddr, SmolStr, u64)> {
        let now = Instant::now();
        let known = self.lock();
        let listed = known.iter().sample(&mut rand::rng(), PEERS_MAX).into_iter();
        let listed = listed.map(|(address, peer)| {
            let age = now.duration_since(peer.heard).as_millis() as u64;
            (*address, peer.failure_domain.clone(), age)
        });
        listed.collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers exchanges.
pub struct Responder {
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    connectivity: Arc<Connectivity>,
}

impl Responder {
    /// Answers from what `gateway` knows.
    pub fn new(gateway: Arc<Gateway>, peers: Arc<Peers>, connectivity: Arc<Connectivity>) -> Self {
        Self { gateway, peers, connectivity }
    }

    async fn respond(&self, poll: &Poll) -> Update {
        self.peers.hear(poll.from, poll.failure_domain.clone(), Duration::ZERO);
        let wait = Duration::from_millis(poll.wait_ms).min(WAIT_MAX);
        let end = Instant::now() + wait;
        let mut changed = self.gateway.directory().subscribe();
        while !self.has_update(poll) && Instant::now() < end {
            // Either there is news, or the time is over.
            let _ = timeout_at(end, changed.changed()).await;
        }
        self.update(poll)
    }

    /// The configuration in force, if the poll asks for it.
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
            Wanted::All => true,
            Wanted::After(known) => directory.last_change() > known,
        };
        config || leafs
    }

    fn update(&self, poll: &Poll) -> Update {
        let directory = self.gateway.directory();
        let config = self.wanted_config(poll.version).map(|active| active.config().clone());
        let revision = directory.revision();
        let leafs = match poll.revision {
            Wanted::Nothing => None,
            Wanted::All => Some(all(directory.entries())),
            Wanted::After(known) => match directory.changes_after(known) {
                Some(items) if items.is_empty() => None,
                Some(items) => Some(some(items)),
                None => Some(all(directory.entries())),
            },
        };
        let peers = if poll.peers { self.peers.list() } else { Vec::new() };
        Update { current: !self.connectivity.is_lost(), config, leafs, revision, peers }
    }
}

fn all(entries: Vec<Entry>) -> Leafs {
    Leafs { all: true, entries, removed: Vec::new() }
}

fn some(items: Vec<Item>) -> Leafs {
    let mut leafs = Leafs { all: false, entries: Vec::new(), removed: Vec::new() };
    for item in items {
        match item {
            Item::Leaf(entry) => leafs.entries.push(entry),
            Item::Removed(id) | Item::Invalid(id, _) => leafs.removed.push(id),
        }
    }
    leafs
}

#[async_trait]
impl Handler for Responder {
    async fn handle(&self, request: Request<Incoming>, _first: bool) -> Reply {
        let body = match Limited::new(request.into_body(), MESSAGE_BYTES_MAX).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return reply(StatusCode::BAD_REQUEST, Vec::new()),
        };
        let Ok(poll) = rmp_serde::from_slice(&body) else {
            return reply(StatusCode::BAD_REQUEST, Vec::new());
        };
        match rmp_serde::to_vec(&self.respond(&poll).await) {
            Ok(body) => reply(StatusCode::OK, body),
            Err(_) => reply(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        }
    }
}

fn reply(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply
}

/// Asks another instance.
///
/// # Errors
///
/// Tells why there is no answer.
pub async fn poll(client: &Client, poll: &Poll) -> Result<Update, SmolStr> {
    let body = rmp_serde::to_vec(poll).map_err(|error| format_smolstr!("{error}"))?;
    let request = Request::post(PATH)
        .header("host", "peer")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| format_smolstr!("{error}"))?;
    let time = Duration::from_millis(poll.wait_ms) + TIMEOUT;
    let response = client.call(request, time).await.map_err(|error| format_smolstr!("{error}"))?;
    rmp_serde::from_slice(response.body()).map_err(|error| format_smolstr!("{error}"))
}

/// Creates a client for exchanges with one instance.
pub fn client(peer: SocketAddr) -> Client {
    Client::new(peer).with_reply_bytes_max(MESSAGE_BYTES_MAX)
}

fn addresses(peers: Vec<(&SocketAddr, &Peer)>) -> Vec<SocketAddr> {
    peers.into_iter().map(|(address, _)| *address).collect()
}

/// Which instance the next exchange goes to, and what for.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// Exchanges before this one.
    count: u32,
    /// Whether the catalog can't be followed, or nothing is known yet.
    lost: bool,
}

impl Turn {
    /// Whether the answer should tell of other instances.
    fn wants_peers(self) -> bool {
        self.count < PEERS_FIRST || self.count.is_multiple_of(PEERS_EVERY)
    }

    /// Whether the answer should hold configuration and leafs. The first one tells of instances
    /// nearby, from which these cost less.
    fn wants_documents(self) -> bool {
        self.count > 0
    }

    /// An instance to ask. Without the catalog, one nearby and any one are asked by turns.
    fn pick(self, peers: &Peers) -> Option<SocketAddr> {
        match (self.lost, self.wants_peers()) {
            (true, _) => peers.pick_any(self.count % 2 == 1),
            (false, true) => peers.pick_any(true),
            (false, false) => peers.pick(),
        }
    }

    /// Pause after the exchange.
    fn pause(self, answered: bool) -> Duration {
        if answered && !self.wants_documents() {
            return Duration::ZERO;
        }
        let soon = self.lost || !answered || self.wants_peers();
        let pause = if soon { PAUSE } else { NEWS_INTERVAL };
        pause.mul_f64(rand::random_range(PAUSE_SPREAD))
    }
}

/// Asks other instances in turn until it is aborted.
pub async fn poll_peers(gateway: Arc<Gateway>, peers: Arc<Peers>, connectivity: Arc<Connectivity>) {
    let mut clients: BTreeMap<SocketAddr, Client> = BTreeMap::new();
    let mut count = 0;
    loop {
        let turn =
            Turn { count, lost: connectivity.is_lost() || !gateway.directory().is_complete() };
        let Some(peer) = turn.pick(&peers) else {
            sleep(PAUSE).await;
            continue;
        };
        let client = clients.entry(peer).or_insert_with(|| client(peer));
        let answered =
            poll_peer(&gateway, &peers, client, &next_poll(&gateway, &peers, turn)).await;
        if !answered {
            clients.remove(&peer);
        }
        let fleet = peers.fleet();
        gateway.directory().set_fleet(fleet);
        gateway.budgets().set_instances(fleet.all);
        count += 1;
        sleep(turn.pause(answered)).await;
    }
}

/// What this instance asks another one.
fn next_poll(gateway: &Gateway, peers: &Peers, turn: Turn) -> Poll {
    let documents = turn.wants_documents();
    let directory = gateway.directory();
    Poll {
        from: peers.own,
        failure_domain: peers.failure_domain.clone(),
        version: if documents { Wanted::newer(directory) } else { Wanted::Nothing },
        revision: if documents {
            Wanted::After(directory.known_revision())
        } else {
            Wanted::Nothing
        },
        wait_ms: 0,
        peers: turn.wants_peers(),
    }
}

/// Exchanges update with one instance; returns whether it answered.
async fn poll_peer(gateway: &Gateway, peers: &Peers, client: &Client, wanted: &Poll) -> bool {
    let directory = gateway.directory();
    // One that does not answer is asked again in its turn; others may know as much.
    let Ok(update) = poll(client, wanted).await else { return false };
    for (address, failure_domain, age_ms) in update.peers {
        peers.hear(address, failure_domain, Duration::from_millis(age_ms));
    }
    let version = update.config.as_ref().map(|config| config.version);
    let newer = update.config.is_some_and(|config| directory.apply_config(config, "peer"));
    let leafs = update.leafs.as_ref().map_or(0, |leafs| leafs.entries.len());
    gateway.metrics().record_exchanged_leafs("other", leafs);
    if newer || leafs > 0 {
        event!(
            Event::PeerDocuments,
            peer = client.address(),
            version = version.unwrap_or_default(),
            leafs = leafs,
            revision = update.revision
        );
    }
    if let Some(leafs) = update.leafs {
        directory.merge(leafs.entries, leafs.removed, update.revision, Instant::now().into_std());
    }
    true
}
