//! Composes the heartbeats of this instance and handles those of its peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::delta;
use crate::documents::Documents;
use crate::membership::Liveness;
use crate::membership::Membership;
use crate::wire::Claim;
use crate::wire::Forward;
use crate::wire::Heartbeat;
use crate::wire::Identity;
use crate::wire::Outcome;
use crate::wire::Patch;
use crate::wire::Sections;

/// Interface to the instance whose data the heartbeats carry and which serves requests of peers.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Fills in the current sections of this instance; called for each heartbeat composed.
    fn fill_sections(&self, sections: &mut Sections);

    /// Handles the complete sections of a peer after each heartbeat that is newer than the last.
    fn handle_sections(&self, from: &Identity, sections: Sections);

    /// Runs a non-idempotent request as the owner of its claim partition.
    async fn claim(&self, claim: Claim) -> Outcome;

    /// Runs a query in the cell of this instance.
    async fn forward(&self, forward: Forward) -> Outcome;
}

/// Counters of the heartbeat bytes sent and received, without HTTP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Returns the number of bytes sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Adds the sizes of a heartbeat sent and of one received.
    pub fn add(&self, sent: usize, received: usize) {
        self.sent.fetch_add(sent as u64, Ordering::Relaxed);
        self.received.fetch_add(received as u64, Ordering::Relaxed);
    }
}

/// Digests in the last heartbeat of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Digests {
    peers: u64,
    documents: u64,
}

/// Number of heartbeats whose sections each side keeps as bases for deltas. After this many
/// heartbeats without an acknowledgement the sections are sent in full.
const SECTIONS_HISTORY_MAX: u64 = 8;

/// State of the delta encoding of the heartbeats exchanged with one peer.
#[derive(Debug, Default)]
struct Session {
    /// Incarnation of the peer; a new incarnation resets the session, because the restarted peer
    /// has lost the earlier heartbeats.
    incarnation: u64,
    digests: Option<Digests>,
    /// Number of the last heartbeat that the peer has acknowledged.
    acknowledged: u64,
    /// Sections of the heartbeats sent, from `acknowledged` on.
    sent: BTreeMap<u64, Sections>,
    /// Sections of the last [`SECTIONS_HISTORY_MAX`] heartbeats received.
    received: BTreeMap<u64, Sections>,
}

impl Session {
    /// Numbers a heartbeat and encodes its sections as a delta to the last acknowledged ones.
    fn encode_sections(&mut self, number: u64, sections: Sections, heartbeat: &mut Heartbeat) {
        // The peer keeps as many heartbeats, so it still has a base that is recent enough.
        let is_recent = (self.sent.len() as u64) < SECTIONS_HISTORY_MAX;
        let base = self.sent.get(&self.acknowledged).filter(|_| is_recent);
        heartbeat.base = if base.is_some() { self.acknowledged } else { 0 };
        heartbeat.patch = delta::diff(base.unwrap_or(&Sections::default()), &sections);
        heartbeat.number = number;
        heartbeat.seen = self.received.last_key_value().map_or(0, |(number, _)| *number);
        self.sent.insert(number, sections);
        while self.sent.len() as u64 > SECTIONS_HISTORY_MAX {
            self.sent.pop_first();
        }
    }

    /// Decodes the sections of a heartbeat. Returns `None` if their base is unknown, or if this
    /// heartbeat or a newer one was received before.
    fn decode_sections(
        &mut self,
        seen: u64,
        number: u64,
        base: u64,
        patch: Patch,
    ) -> Option<Sections> {
        if self.sent.contains_key(&seen) {
            self.acknowledged = seen;
            self.sent.retain(|number, _| *number >= seen);
        }
        let mut sections = match base {
            0 => Sections::default(),
            base => self.received.get(&base)?.clone(),
        };
        delta::apply(&mut sections, patch);
        if number == 0 {
            return Some(sections);
        }
        let is_newest = self.received.last_key_value().is_none_or(|(last, _)| *last < number);
        self.received.insert(number, sections.clone());
        while self.received.len() as u64 > SECTIONS_HISTORY_MAX {
            self.received.pop_first();
        }
        is_newest.then_some(sections)
    }
}

/// Heartbeat exchange of this instance with all its peers.
pub struct Exchange {
    membership: Membership,
    documents: Documents,
    handler: Arc<dyn Handler>,
    traffic: Arc<Traffic>,
    sessions: Mutex<BTreeMap<SmolStr, Session>>,
    /// Number of the last heartbeat, counted over all sessions, so that no number is reused when
    /// only one side drops its session.
    number: AtomicU64,
    /// Wakes the heartbeat task of an address.
    notifiers: Mutex<BTreeMap<SocketAddr, Arc<Notify>>>,
}

impl Exchange {
    /// Creates an exchange for a membership and a set of documents.
    pub fn new(membership: Membership, documents: Documents, handler: Arc<dyn Handler>) -> Self {
        Self {
            membership,
            documents,
            handler,
            traffic: Arc::default(),
            sessions: Mutex::default(),
            number: AtomicU64::new(0),
            notifiers: Mutex::default(),
        }
    }

    /// Returns the membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the documents.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Returns the handler of this instance.
    pub fn handler(&self) -> &dyn Handler {
        self.handler.as_ref()
    }

    /// Returns the counters of the heartbeat bytes.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Composes a heartbeat to a peer. `to` is its name, which is unknown before its first reply;
    /// without a name, the heartbeat is not reduced to what has changed.
    pub fn compose_heartbeat(&self, to: Option<&str>) -> Heartbeat {
        let now = Instant::now().into_std();
        let own =
            Digests { peers: self.membership.digest(now), documents: self.documents.digest() };
        let mut sections = Sections::default();
        self.handler.fill_sections(&mut sections);
        let mut heartbeat = Heartbeat {
            from: self.membership.own(),
            peers_digest: own.peers,
            peers: Vec::new(),
            documents_digest: own.documents,
            documents: BTreeMap::new(),
            number: 0,
            seen: 0,
            base: 0,
            patch: Patch::default(),
        };
        let mut sessions = lock(&self.sessions);
        let session = to.and_then(|to| sessions.get_mut(to));
        let theirs = session.as_ref().and_then(|session| session.digests);
        match session {
            Some(session) => {
                let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
                session.encode_sections(number, sections, &mut heartbeat);
            }
            None => heartbeat.patch = delta::diff(&Sections::default(), &sections),
        }
        drop(sessions);
        if theirs.is_none_or(|theirs| theirs.peers != own.peers) {
            heartbeat.peers = self.membership.peers_to_gossip(now);
        }
        if theirs.is_none_or(|theirs| theirs.documents != own.documents) {
            heartbeat.documents = self.documents.revisions();
        }
        heartbeat
    }

    /// Handles a heartbeat and returns whether its sender has newer documents.
    pub fn handle_heartbeat(&self, heartbeat: Heartbeat) -> bool {
        let now = Instant::now().into_std();
        let from = heartbeat.from;
        if !self.membership.record_heartbeat(&from, now) {
            return false;
        }
        self.membership.merge_peers(&heartbeat.peers, now);
        let digests =
            Digests { peers: heartbeat.peers_digest, documents: heartbeat.documents_digest };
        let Heartbeat { seen, number, base, patch, .. } = heartbeat;
        let mut sessions = lock(&self.sessions);
        let session = sessions.entry(from.name.clone()).or_default();
        if session.incarnation != from.incarnation {
            *session = Session { incarnation: from.incarnation, ..Session::default() };
        }
        session.digests = Some(digests);
        let sections = session.decode_sections(seen, number, base, patch);
        drop(sessions);
        if let Some(sections) = sections {
            self.handler.handle_sections(&from, sections);
        }
        self.documents.is_behind(&heartbeat.documents)
    }

    /// Makes the tasks of all peers send a heartbeat now.
    pub fn notify_peers(&self) {
        lock(&self.notifiers).values().for_each(|notifier| notifier.notify_one());
    }

    /// Makes the task of one peer send a heartbeat now.
    pub fn notify_peer(&self, address: SocketAddr) {
        if let Some(notifier) = lock(&self.notifiers).get(&address) {
            notifier.notify_one();
        }
    }

    /// Removes expired peers, and the sessions of all peers that are not live or leaving. A session
    /// holds up to 16 copies of the sections; without one, a peer that returns gets them in full.
    pub fn remove_stale_peers(&self) {
        let now = Instant::now().into_std();
        self.membership.remove_expired(now);
        let peers = self.membership.peers(now).into_iter();
        let live_or_leaving =
            peers.filter(|p| matches!(p.liveness, Liveness::Live | Liveness::Leaving));
        let names: BTreeSet<SmolStr> = live_or_leaving.map(|peer| peer.identity.name).collect();
        lock(&self.sessions).retain(|name, _| names.contains(name));
    }

    /// Returns the number of peers with a session.
    pub fn session_count(&self) -> usize {
        lock(&self.sessions).len()
    }

    /// Registers the task of a peer and returns the notifier that wakes it.
    pub(crate) fn register(&self, address: SocketAddr) -> Arc<Notify> {
        lock(&self.notifiers).entry(address).or_default().clone()
    }

    /// Removes the notifier of the task of a peer.
    pub(crate) fn unregister(&self, address: SocketAddr) {
        lock(&self.notifiers).remove(&address);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
