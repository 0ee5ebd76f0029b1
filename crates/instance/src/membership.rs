//! Cluster membership and the heartbeat failure detector.
//!
//! Addresses come from the instance list, from seed addresses and from the peers that heartbeats
//! gossip. Only a heartbeat of the instance itself counts as a sign of life.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use jaycrank_platform::Entry;
use jaycrank_platform::list;
use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use strum::Display;
use strum::IntoStaticStr;
use tokio::sync::watch;

use crate::wire::Identity;
use crate::wire::State;

/// Number of heartbeat intervals without a heartbeat after which a peer is suspected.
pub const MISSED_HEARTBEATS_MAX: u32 = 4;

/// Maximum number of peers in one heartbeat: one half are the most recently changed ones, the other
/// half rotates through the rest.
pub const GOSSIPED_PEERS_MAX: usize = 32;

/// How long a peer that left or went silent is kept, so that a delayed message does not add it
/// again.
const PEER_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Liveness of a peer as seen by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Liveness {
    /// Gossiped by other peers, but no heartbeat of its own has arrived.
    Unheard,
    /// Sent a heartbeat within the last four heartbeat intervals.
    Live,
    /// Sent no heartbeat for more than four intervals.
    Suspected,
    /// Announced that it is shutting down.
    Leaving,
    /// Announced that it is shutting down, then sent no heartbeat for more than four intervals.
    Left,
}

/// A peer as this instance sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Most recent identity that the peer has announced.
    pub identity: Identity,
    /// Liveness at the time of the query.
    pub liveness: Liveness,
    /// Time since its last heartbeat; `None` if none has arrived.
    pub time_since_heartbeat: Option<Duration>,
}

#[derive(Debug)]
struct PeerRecord {
    identity: Identity,
    first_seen: Instant,
    last_heartbeat: Option<Instant>,
    /// Sequence number of the last change of this identity, counted over all peers.
    change_number: u64,
}

#[derive(Debug)]
struct Inner {
    own: Identity,
    interval: Duration,
    seeds: BTreeSet<SocketAddr>,
    listed: BTreeSet<SocketAddr>,
    peers: BTreeMap<SmolStr, PeerRecord>,
    /// Sequence number of the last change of any identity.
    change_number: u64,
    /// Position at which the next rotation of gossiped peers starts.
    gossip_cursor: usize,
}

/// Set of the peers that this instance knows, with their liveness.
#[derive(Debug)]
pub struct Membership {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

impl Membership {
    /// Creates a membership without peers.
    pub fn new(own: Identity, interval: Duration) -> Self {
        let inner = Inner {
            own,
            interval,
            seeds: BTreeSet::new(),
            listed: BTreeSet::new(),
            peers: BTreeMap::new(),
            change_number: 0,
            gossip_cursor: 0,
        };
        Self { inner: Mutex::new(inner), changed: watch::Sender::new(0) }
    }

    /// Adds addresses that get heartbeats although their instances are not known by name.
    pub fn with_seeds(self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.lock().seeds.extend(seeds);
        self
    }

    /// Returns the identity of this instance.
    pub fn own(&self) -> Identity {
        self.lock().own.clone()
    }

    /// Sets the state that this instance announces.
    pub fn set_state(&self, state: State) {
        self.lock().own.state = state;
    }

    /// Sets the addresses of this instance, which are known once its listeners are bound.
    pub fn set_addresses(&self, instance: SocketAddr, caller: SocketAddr) {
        let mut inner = self.lock();
        inner.own.address = instance;
        inner.own.caller_address = caller;
    }

    /// Returns the most recent identity that a peer has announced.
    pub fn identity(&self, name: &str) -> Option<Identity> {
        self.lock().peers.get(name).map(|record| record.identity.clone())
    }

    /// Returns the heartbeat interval.
    pub fn interval(&self) -> Duration {
        self.lock().interval
    }

    /// Sets the heartbeat interval.
    pub fn set_interval(&self, interval: Duration) {
        self.lock().interval = interval;
    }

    /// Replaces the addresses that come from the instance list. They get heartbeats; the list has
    /// no influence on liveness.
    pub fn set_instance_list(&self, entries: &[Entry]) {
        let entries = entries
            .iter()
            .filter(|entry| entry.kind == list::Kind::Instance && entry.state == list::State::Live);
        let listed: BTreeSet<SocketAddr> = entries.map(|entry| entry.address).collect();
        let mut inner = self.lock();
        if inner.listed != listed {
            inner.listed = listed;
            drop(inner);
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    /// Records a heartbeat from a peer and returns whether it is accepted.
    ///
    /// It is rejected if a higher incarnation is known, or if the same incarnation has announced a
    /// later state, such as leaving after ready.
    pub fn record_heartbeat(&self, identity: &Identity, now: Instant) -> bool {
        let (accepted, changed) = self.lock().merge(identity, Some(now), now);
        self.notify(changed);
        accepted
    }

    /// Merges the identities that a heartbeat gossips, without counting them as signs of life.
    pub fn merge_peers(&self, identities: &[Identity], now: Instant) {
        let mut changed = false;
        let mut inner = self.lock();
        for identity in identities {
            changed |= inner.merge(identity, None, now).1;
        }
        drop(inner);
        self.notify(changed);
    }

    /// Returns all known peers, including those that have left.
    pub fn peers(&self, now: Instant) -> Vec<Peer> {
        let inner = self.lock();
        let peers = inner.peers.values().map(|record| Peer {
            identity: record.identity.clone(),
            liveness: record.liveness(now, inner.interval),
            time_since_heartbeat: record.last_heartbeat.map(|at| now.saturating_duration_since(at)),
        });
        peers.collect()
    }

    /// Returns the names of the live instances in state ready, including this one if it is ready.
    pub fn ready_instances(&self, now: Instant) -> BTreeSet<SmolStr> {
        self.ready_instances_where(now, |_| true)
    }

    /// Like [`ready_instances`](Self::ready_instances), restricted to one region.
    pub fn ready_instances_in(&self, region: &str, now: Instant) -> BTreeSet<SmolStr> {
        self.ready_instances_where(now, |identity| identity.region == region)
    }

    /// Returns the names of the peers that are live or leaving, in any state.
    pub fn live_or_leaving(&self, now: Instant) -> BTreeSet<SmolStr> {
        let inner = self.lock();
        let live_or_leaving = |record: &&PeerRecord| {
            matches!(record.liveness(now, inner.interval), Liveness::Live | Liveness::Leaving)
        };
        inner
            .peers
            .values()
            .filter(live_or_leaving)
            .map(|record| record.identity.name.clone())
            .collect()
    }

    fn ready_instances_where(
        &self,
        now: Instant,
        predicate: impl Fn(&Identity) -> bool,
    ) -> BTreeSet<SmolStr> {
        let inner = self.lock();
        let ready = |record: &&PeerRecord| {
            record.identity.state == State::Ready
                && record.liveness(now, inner.interval) == Liveness::Live
        };
        let peers = inner.peers.values().filter(ready).map(|record| &record.identity);
        let own = Some(&inner.own).filter(|own| own.state == State::Ready);
        let live = peers.chain(own).filter(|identity| predicate(identity));
        live.map(|identity| identity.name.clone()).collect()
    }

    /// Returns the time since the last heartbeat of a peer; `None` if none has arrived.
    pub fn time_since_heartbeat(&self, name: &str, now: Instant) -> Option<Duration> {
        let last_heartbeat = self.lock().peers.get(name)?.last_heartbeat?;
        Some(now.saturating_duration_since(last_heartbeat))
    }

    /// Returns the addresses that heartbeats are sent to.
    pub fn targets(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let inner = self.lock();
        let peers = inner
            .peers
            .values()
            .filter(|record| record.liveness(now, inner.interval) != Liveness::Left)
            .map(|record| record.identity.address);
        let mut targets: BTreeSet<SocketAddr> = peers.collect();
        targets.extend(&inner.seeds);
        targets.extend(&inner.listed);
        targets.remove(&inner.own.address);
        targets
    }

    /// Removes the peers whose last heartbeat is more than a day old.
    pub fn remove_expired(&self, now: Instant) {
        let expired = |record: &PeerRecord| {
            now.saturating_duration_since(record.last_heartbeat.unwrap_or(record.first_seen))
                > PEER_RETENTION
        };
        self.lock().peers.retain(|_, record| !expired(record));
    }

    /// Returns a digest of this instance and the peers that have not left. Two instances with the
    /// same view have the same digest.
    pub fn digest(&self, now: Instant) -> u64 {
        let inner = self.lock();
        let own = (&inner.own.name, &inner.own);
        let peers = inner
            .peers
            .iter()
            .filter(|(_, record)| record.liveness(now, inner.interval) != Liveness::Left)
            .map(|(name, record)| (name, &record.identity));
        let all: BTreeMap<&SmolStr, &Identity> = peers.chain([own]).collect();
        let mut hash = Sha256::new();
        for (name, identity) in all {
            hash.update((name.len() as u64).to_be_bytes());
            hash.update(name);
            hash.update(identity.incarnation.to_be_bytes());
            hash.update([identity.state as u8]);
        }
        let digest: [u8; 32] = hash.finalize().into();
        digest.iter().take(8).fold(0, |digest, byte| digest << 8 | u64::from(*byte))
    }

    /// Returns up to [`GOSSIPED_PEERS_MAX`] peers to include in a heartbeat. Successive calls
    /// rotate through all peers.
    pub fn peers_to_gossip(&self, now: Instant) -> Vec<Identity> {
        let mut inner = self.lock();
        let interval = inner.interval;
        let mut peers: Vec<(u64, Identity)> = inner
            .peers
            .values()
            .filter(|record| record.liveness(now, interval) != Liveness::Left)
            .map(|record| (record.change_number, record.identity.clone()))
            .collect();
        if peers.len() > GOSSIPED_PEERS_MAX {
            peers.sort_by_key(|(change_number, _)| std::cmp::Reverse(*change_number));
            let half = GOSSIPED_PEERS_MAX / 2;
            let rest = peers.split_off(half);
            let start = inner.gossip_cursor % rest.len();
            inner.gossip_cursor = start + half;
            peers.extend(rest.into_iter().cycle().skip(start).take(half));
        }
        peers.into_iter().map(|(_, identity)| identity).collect()
    }

    /// Returns a counter of the changes of addresses and identities.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Notifies the subscribers if an address or identity has changed.
    fn notify(&self, changed: bool) {
        if changed {
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Merges an identity and returns whether it is accepted and whether it changed the record.
    /// `heartbeat` is the arrival time if it comes from a heartbeat of the peer itself.
    fn merge(
        &mut self,
        identity: &Identity,
        heartbeat: Option<Instant>,
        now: Instant,
    ) -> (bool, bool) {
        if identity.name == self.own.name {
            return (false, false);
        }
        let change_number = self.change_number + 1;
        let record = self.peers.entry(identity.name.clone()).or_insert_with(|| PeerRecord {
            identity: identity.clone(),
            first_seen: now,
            last_heartbeat: None,
            change_number: 0,
        });
        let current = &record.identity;
        if identity.incarnation < current.incarnation
            || (identity.incarnation == current.incarnation && identity.state < current.state)
        {
            // An earlier incarnation, or a message that was overtaken by a later one.
            return (false, false);
        }
        if identity.incarnation > current.incarnation {
            record.last_heartbeat = None;
        }
        let changed = record.change_number == 0 || record.identity != *identity;
        if changed {
            record.identity = identity.clone();
            record.change_number = change_number;
            self.change_number = change_number;
        }
        record.last_heartbeat = record.last_heartbeat.max(heartbeat);
        (true, changed)
    }
}

impl PeerRecord {
    fn liveness(&self, now: Instant, interval: Duration) -> Liveness {
        let silence = now.saturating_duration_since(self.last_heartbeat.unwrap_or(self.first_seen));
        let is_silent = silence > interval * MISSED_HEARTBEATS_MAX;
        match self.identity.state {
            State::Leaving if is_silent => Liveness::Left,
            State::Leaving => Liveness::Leaving,
            _ if self.last_heartbeat.is_none() => Liveness::Unheard,
            _ if is_silent => Liveness::Suspected,
            _ => Liveness::Live,
        }
    }
}
