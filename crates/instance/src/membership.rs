//! Which other instances there are, and which of them are live.
//!
//! Names and addresses come from the instance list, from seed addresses and from the peers that
//! heartbeats name. Liveness comes only from an instance's own heartbeats.

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

/// Heartbeats that a peer may miss before it is suspected.
pub const MISSED_HEARTBEATS_MAX: u32 = 4;

/// Peers that a heartbeat names: half of them the last that changed, half in turn.
pub const GOSSIPED_PEERS_MAX: usize = 32;

/// Time for which a peer that left is remembered, so that late messages do not bring it back.
const PEER_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// What this instance knows of a peer's liveness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Liveness {
    /// Named by others, not yet heard.
    Unheard,
    /// Heard within the last four heartbeats.
    Live,
    /// Missed four heartbeats.
    Suspected,
    /// Announced that it leaves.
    Leaving,
    /// Announced that it leaves and then missed four heartbeats.
    Left,
}

/// A peer as this instance sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Who it is, as it last stated.
    pub identity: Identity,
    /// Whether it is live.
    pub liveness: Liveness,
    /// Time since its last heartbeat, if there was one.
    pub time_since_heartbeat: Option<Duration>,
}

#[derive(Debug)]
struct Record {
    identity: Identity,
    first_seen: Instant,
    last_heartbeat: Option<Instant>,
    /// Number of the last change of the identity, over all peers.
    change_number: u64,
}

#[derive(Debug)]
struct Inner {
    own: Identity,
    interval: Duration,
    seeds: BTreeSet<SocketAddr>,
    listed: BTreeSet<SocketAddr>,
    peers: BTreeMap<SmolStr, Record>,
    /// Number of the last change.
    change_number: u64,
    /// Position of the next peer in turn.
    gossip_cursor: usize,
}

/// The peers of this instance.
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

    /// Adds addresses that are tried although no name is known for them.
    pub fn with_seeds(self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.lock().seeds.extend(seeds);
        self
    }

    /// Who this instance is.
    pub fn own(&self) -> Identity {
        self.lock().own.clone()
    }

    /// Sets the state that this instance announces.
    pub fn set_state(&self, state: State) {
        self.lock().own.state = state;
    }

    /// Sets where this instance listens, once its listeners are bound.
    pub fn set_addresses(&self, instance: SocketAddr, caller: SocketAddr) {
        let mut inner = self.lock();
        inner.own.address = instance;
        inner.own.caller_address = caller;
    }

    /// Who a peer is, as it last stated.
    pub fn identity(&self, name: &str) -> Option<Identity> {
        self.lock().peers.get(name).map(|known| known.identity.clone())
    }

    /// Time between heartbeats.
    pub fn interval(&self) -> Duration {
        self.lock().interval
    }

    /// Sets the time between heartbeats.
    pub fn set_interval(&self, interval: Duration) {
        self.lock().interval = interval;
    }

    /// Takes the instance list. It only adds addresses to try; it says nothing about liveness.
    pub fn set_instance_list(&self, entries: &[Entry]) {
        let entries = entries
            .iter()
            .filter(|entry| entry.kind == list::Kind::Entry && entry.state == list::State::Live);
        let listed: BTreeSet<SocketAddr> = entries.map(|entry| entry.address).collect();
        let mut inner = self.lock();
        if inner.listed != listed {
            inner.listed = listed;
            drop(inner);
            self.changed.send_modify(|changes| *changes += 1);
        }
    }

    /// Takes the sender of a heartbeat and returns whether it is accepted.
    ///
    /// It is refused if a higher incarnation is known, or if the same one announced that it
    /// leaves and the message says otherwise.
    pub fn record_heartbeat(&self, identity: &Identity, now: Instant) -> bool {
        let (accepted, changed) = self.lock().merge(identity, Some(now), now);
        self.notify(changed);
        accepted
    }

    /// Takes the peers that a heartbeat names.
    pub fn merge_peers(&self, identities: &[Identity], now: Instant) {
        let mut changed = false;
        let mut inner = self.lock();
        for identity in identities {
            changed |= inner.merge(identity, None, now).1;
        }
        drop(inner);
        self.notify(changed);
    }

    /// All peers that are remembered, those that left included.
    pub fn peers(&self, now: Instant) -> Vec<Peer> {
        let inner = self.lock();
        let peers = inner.peers.values().map(|known| Peer {
            identity: known.identity.clone(),
            liveness: known.liveness(now, inner.interval),
            time_since_heartbeat: known
                .last_heartbeat
                .map(|heard| now.saturating_duration_since(heard)),
        });
        peers.collect()
    }

    /// Names of the live instances that are ready, this one included if it is.
    pub fn ready_instances(&self, now: Instant) -> BTreeSet<SmolStr> {
        self.ready_instances_where(now, |_| true)
    }

    /// Names of the live instances of a region that are ready, this one included if it is.
    pub fn ready_instances_in(&self, region: &str, now: Instant) -> BTreeSet<SmolStr> {
        self.ready_instances_where(now, |identity| identity.region == region)
    }

    /// Names of the peers that are live or leaving, whatever their state.
    pub fn live_or_leaving(&self, now: Instant) -> BTreeSet<SmolStr> {
        let inner = self.lock();
        let heard = |known: &&Record| {
            matches!(known.liveness(now, inner.interval), Liveness::Live | Liveness::Leaving)
        };
        inner.peers.values().filter(heard).map(|known| known.identity.name.clone()).collect()
    }

    fn ready_instances_where(
        &self,
        now: Instant,
        chosen: impl Fn(&Identity) -> bool,
    ) -> BTreeSet<SmolStr> {
        let inner = self.lock();
        let ready = |known: &&Record| {
            known.identity.state == State::Ready
                && known.liveness(now, inner.interval) == Liveness::Live
        };
        let peers = inner.peers.values().filter(ready).map(|known| &known.identity);
        let own = Some(&inner.own).filter(|own| own.state == State::Ready);
        let live = peers.chain(own).filter(|identity| chosen(identity));
        live.map(|identity| identity.name.clone()).collect()
    }

    /// Time since the last heartbeat of a peer, if there was one.
    pub fn time_since_heartbeat(&self, name: &str, now: Instant) -> Option<Duration> {
        let last_heartbeat = self.lock().peers.get(name)?.last_heartbeat?;
        Some(now.saturating_duration_since(last_heartbeat))
    }

    /// Addresses to send heartbeats to.
    pub fn targets(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let inner = self.lock();
        let peers = inner
            .peers
            .values()
            .filter(|known| known.liveness(now, inner.interval) != Liveness::Left)
            .map(|known| known.identity.address);
        let mut targets: BTreeSet<SocketAddr> = peers.collect();
        targets.extend(&inner.seeds);
        targets.extend(&inner.listed);
        targets.remove(&inner.own.address);
        targets
    }

    /// Forgets peers that left or fell silent a day ago.
    pub fn remove_expired(&self, now: Instant) {
        let expired = |known: &Record| {
            now.saturating_duration_since(known.last_heartbeat.unwrap_or(known.first_seen))
                > PEER_RETENTION
        };
        self.lock().peers.retain(|_, known| !expired(known));
    }

    /// Digest of the peers that have not left, equal for two instances that know the same ones.
    pub fn digest(&self, now: Instant) -> u64 {
        let inner = self.lock();
        let own = (&inner.own.name, &inner.own);
        let peers = inner
            .peers
            .iter()
            .filter(|(_, known)| known.liveness(now, inner.interval) != Liveness::Left)
            .map(|(name, known)| (name, &known.identity));
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

    /// At most [`GOSSIPED_PEERS_MAX`] peers for a heartbeat; all get their turn.
    pub fn peers_to_gossip(&self, now: Instant) -> Vec<Identity> {
        let mut inner = self.lock();
        let interval = inner.interval;
        let mut known: Vec<(u64, Identity)> = inner
            .peers
            .values()
            .filter(|known| known.liveness(now, interval) != Liveness::Left)
            .map(|known| (known.change_number, known.identity.clone()))
            .collect();
        if known.len() > GOSSIPED_PEERS_MAX {
            known.sort_by_key(|(changed, _)| std::cmp::Reverse(*changed));
            let half = GOSSIPED_PEERS_MAX / 2;
            let rest = known.split_off(half);
            let start = inner.gossip_cursor % rest.len();
            inner.gossip_cursor = start + half;
            known.extend(rest.into_iter().cycle().skip(start).take(half));
        }
        known.into_iter().map(|(_, identity)| identity).collect()
    }

    /// Counts the changes of addresses and identities.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

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
    /// Takes an identity; returns whether it is accepted and whether it changed something.
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
        let known = self.peers.entry(identity.name.clone()).or_insert_with(|| Record {
            identity: identity.clone(),
            first_seen: now,
            last_heartbeat: None,
            change_number: 0,
        });
        let current = &known.identity;
        if identity.incarnation < current.incarnation
            || (identity.incarnation == current.incarnation && identity.state < current.state)
        {
            // An older incarnation, or a message sent before one that is known already.
            return (false, false);
        }
        if identity.incarnation > current.incarnation {
            known.last_heartbeat = None;
        }
        let changed = known.change_number == 0 || known.identity != *identity;
        if changed {
            known.identity = identity.clone();
            known.change_number = change_number;
            self.change_number = change_number;
        }
        known.last_heartbeat = known.last_heartbeat.max(heartbeat);
        (true, changed)
    }
}

impl Record {
    fn liveness(&self, now: Instant, interval: Duration) -> Liveness {
        let silent = now.saturating_duration_since(self.last_heartbeat.unwrap_or(self.first_seen));
        let missed = silent > interval * MISSED_HEARTBEATS_MAX;
        match self.identity.state {
            State::Leaving if missed => Liveness::Left,
            State::Leaving => Liveness::Leaving,
            _ if self.last_heartbeat.is_none() => Liveness::Unheard,
            _ if missed => Liveness::Suspected,
            _ => Liveness::Live,
        }
    }
}
