//! Holds the configuration in force and the leafs of each service, as one instance knows them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::connections::Bounds;
use jaycrank_policy::connections::ConnectionLimit;
use jaycrank_policy::connections::FleetSize;
use jaycrank_policy::presence::Eligibility;
use jaycrank_policy::presence::Presence;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::Coverage;
use crate::catalog::Entry;
use crate::catalog::Item;
use crate::catalog::LeafId;
use crate::catalog::Listing;
use crate::catalog::Revision;
use crate::catalog::Source;
use crate::config::Active;
use crate::config::Config;
use crate::leaf::Leaf;
use crate::leaf::LeafKey;
use crate::pool::Pool;
use crate::sockets::Sockets;
use crate::topology::Distance;
use crate::topology::Topology;
use crate::traffic::Kind;
use crate::traffic::Traffic;

/// Connections to a leaf whose service is not in the configuration.
const CONNECTIONS_DEFAULT: u32 = 16;
/// Removed entries whose revision is kept, so that changes can be listed incrementally.
const REMOVALS_MAX: usize = 1_024;

/// Configuration and leafs, as last received from the catalog or from other instances.
#[derive(Debug)]
pub struct Directory {
    topology: Topology,
    traffic: Arc<Traffic>,
    sockets: Arc<Sockets>,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    active: Option<Arc<Active>>,
    leafs: BTreeMap<LeafId, Arc<Leaf>>,
    services: BTreeMap<SmolStr, Vec<Arc<Leaf>>>,
    /// Incarnation and report number of leafs that were dropped, so that a late report of one of
    /// them does not add it again.
    dropped: BTreeMap<LeafId, (u64, u64)>,
    /// Removals of entries.
    removed: BTreeMap<LeafId, Removal>,
    /// Removals up to this revision may be missing from `removed`: those before a list of all leafs,
    /// and those that were dropped.
    changes_since: Revision,
    fleet: Option<FleetSize>,
    /// Revision up to which the leafs are known.
    revision: Revision,
    /// When the leafs were last read, from the catalog or through another instance.
    read_at: Option<Instant>,
    /// Leafs that said that they leave and are no longer listed: start and time of the answer. Their
    /// entries may come back.
    leaving: BTreeMap<LeafId, (u64, Instant)>,
    /// Whether leafs were received from the catalog or from another instance.
    listed: bool,
    /// When the catalog last became available again.
    recovered_at: Option<Instant>,
}

/// Removal of an entry.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Revision at which the entry was known to be removed.
    revision: Revision,
    /// Earliest time at which it may have been removed.
    at: Instant,
}

impl Directory {
    /// Creates an empty directory. `fleet` is the assumed size of the fleet.
    pub fn new(topology: Topology, fleet: FleetSize, traffic: Arc<Traffic>) -> Self {
        let state = State { fleet: Some(fleet), ..State::default() };
        Self {
            topology,
            traffic,
            sockets: Arc::default(),
            state: Mutex::new(state),
            changed: watch::channel(()).0,
        }
    }

    /// Sets the permits of the connections to all leafs.
    pub fn with_sockets(mut self, sockets: Arc<Sockets>) -> Self {
        self.sockets = sockets;
        self
    }

    /// Returns the permits of the connections to all leafs.
    pub(crate) fn sockets(&self) -> &Arc<Sockets> {
        &self.sockets
    }

    /// Closes connections to leafs that have been idle for at least `time`.
    pub(crate) fn close_idle(&self, time: Duration) {
        self.lock().leafs.values().for_each(|leaf| leaf.pool().close_idle(time));
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Sets the number of instances that share the connections of leafs.
    pub fn set_fleet_size(&self, fleet: FleetSize) {
        let mut state = self.lock();
        if state.fleet.replace(fleet) != Some(fleet) {
            for leaf in state.leafs.values() {
                let bounds = leaf.with_entry(|entry| self.connection_bounds(&state, entry));
                leaf.pool().set_share(bounds, fleet);
            }
        }
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it was.
    pub fn apply_config(&self, config: Config, source: &str) -> bool {
        let mut state = self.lock();
        let known = state.active.as_ref().map(|active| active.version());
        if known.is_some_and(|known| known >= config.version) {
            return false;
        }
        event!(
            Event::RoutesApplied,
            version = config.version,
            before = known.unwrap_or_default(),
            routes = config.routes.len(),
            source = source
        );
        state.active = Some(Arc::new(Active::new(config)));
        drop(state);
        self.changed.send_replace(());
        true
    }

    /// Returns the configuration in force.
    pub fn active(&self) -> Option<Arc<Active>> {
        self.lock().active.clone()
    }

    /// Returns whether both the configuration and the leafs are known.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        state.active.is_some() && state.listed
    }

    /// Applies a listing of leafs: all of them, or those that have changed. One that is older than what
    /// is known changes nothing.
    pub fn apply_leafs(&self, listing: Listing<Item>, now: Instant) {
        let Listing { items, revision, coverage, age, source } = listing;
        let mut state = self.lock();
        let changed_at = now.checked_sub(age).unwrap_or(now);
        let since = match coverage {
            Coverage::Since(_) => changed_at,
            // What is not listed, or removed without a time, may have been removed at any time since the
            // leafs were last read.
            Coverage::All | Coverage::Unknown => {
                state.read_at.unwrap_or(changed_at).min(changed_at)
            }
        };
        let fact = Fact { revision, source, now, since };
        let is_own = !matches!(source, Source::Peer(_));
        if is_own {
            state.read_at = state.read_at.max(Some(changed_at));
        }
        let is_newer = revision > state.revision;
        let unchanged = items.is_empty() && coverage != Coverage::All;
        match coverage {
            // A list of another instance at the revision that is known already says nothing new.
            Coverage::All if is_newer || is_own && revision == state.revision => {
                self.replace(&mut state, items, fact);
            }
            Coverage::Since(since) if since <= state.revision && is_newer => {
                for item in items {
                    self.apply_item(&mut state, item, fact);
                }
                state.revision = revision;
            }
            // Changes that leave a gap to what is known say nothing about the time in between.
            Coverage::Since(_) | Coverage::Unknown if is_newer => {
                self.apply_partial(&mut state, items, fact);
            }
            _ => {
                fact.log_outdated(&items, state.revision);
                return;
            }
        }
        drop(state);
        if !unchanged {
            self.changed.send_replace(());
        }
    }

    /// Replaces the list of leafs; entries that are not listed lapse.
    fn replace(&self, state: &mut State, items: Vec<Item>, fact: Fact) {
        let listed: BTreeSet<LeafId> = items.iter().filter_map(listed_id).cloned().collect();
        let missing: Vec<LeafId> =
            state.leafs.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        event!(
            Event::LeafsListed,
            source = fact.source,
            known = state.revision,
            revision = fact.revision,
            leafs = listed.len(),
            lapsed = missing.len()
        );
        for item in items {
            self.apply_item(state, item, fact);
        }
        for id in missing {
            self.apply_item(state, Item::Removed(id), fact);
        }
        if fact.revision > state.revision {
            // Leafs that came and went since the revision known before are not in the list.
            state.changes_since = fact.revision;
            state.revision = fact.revision;
        }
        state.listed = true;
    }

    /// Applies changes of an instance that may lack others. They don't make the leafs known up to
    /// their revision.
    fn apply_partial(&self, state: &mut State, items: Vec<Item>, fact: Fact) {
        for item in items {
            if let Item::Leaf(entry) = &item {
                let known = state.leafs.get(&entry.id).map(|leaf| leaf.entry());
                let report = (entry.started_ms, entry.sequence);
                if known.is_some_and(|known| report <= (known.started_ms, known.sequence)) {
                    continue;
                }
            }
            self.apply_item(state, item, fact);
        }
        state.listed |= !state.leafs.is_empty();
    }

    /// Records that the catalog is available again.
    pub fn record_catalog_recovery(&self, now: Instant) {
        self.lock().recovered_at = Some(now);
    }

    /// Returns the usable leafs of a service: the regular ones, or those of last resort if there is
    /// no regular one.
    pub fn usable(&self, service: &str, now: Instant) -> Vec<Arc<Leaf>> {
        let state = self.lock();
        let Some(leafs) = state.services.get(service) else { return Vec::new() };
        let with_eligibility = |eligibility: Eligibility| -> Vec<Arc<Leaf>> {
            leafs
                .iter()
                .filter(|leaf| leaf.eligibility(state.recovered_at, now) == eligibility)
                .cloned()
                .collect()
        };
        let regular = with_eligibility(Eligibility::Regular);
        if regular.is_empty() { with_eligibility(Eligibility::LastResort) } else { regular }
    }

    /// Returns the listed entries.
    pub fn entries(&self) -> Vec<Entry> {
        let state = self.lock();
        let is_lapsed = |leaf: &Leaf| matches!(leaf.presence(), Presence::Lapsed(_));
        let listed = state.leafs.values().filter(|leaf| !is_lapsed(leaf));
        listed.map(|leaf| leaf.entry()).collect()
    }

    /// Returns a leaf, also a lapsed one.
    pub fn leaf(&self, id: &LeafId) -> Option<Arc<Leaf>> {
        self.lock().leafs.get(id).cloned()
    }

    /// Records that another instance received an answer by which this incarnation of a leaf leaves.
    pub(crate) fn mark_leaving(&self, key: &LeafKey, now: Instant) {
        let leaf = self.leaf(&key.0).filter(|leaf| leaf.key() == *key);
        if leaf.as_ref().is_some_and(|leaf| leaf.mark_leaving(now)) {
            let service = leaf.map(|leaf| leaf.with_entry(|entry| entry.service.clone()));
            let service = service.unwrap_or_default();
            event!(Event::LeafLeaving, leaf = key.0, service = service, source = "peer");
        }
    }

    /// Returns all leafs, also lapsed ones.
    pub fn leafs(&self) -> Vec<Arc<Leaf>> {
        self.lock().leafs.values().cloned().collect()
    }

    /// Returns what another instance lacks that knows the leafs up to the revision `after`: the
    /// changes since then, or all entries if removals may be missing among the changes.
    pub fn leafs_after(&self, after: Revision, now: Instant) -> Listing<Item> {
        let state = self.lock();
        let is_complete = after >= state.changes_since;
        let is_lapsed = |leaf: &Leaf| matches!(leaf.presence(), Presence::Lapsed(_));
        let is_new = |leaf: &Leaf| !is_complete || leaf.revision() > after;
        let leafs = state.leafs.values().filter(|leaf| is_new(leaf) && !is_lapsed(leaf));
        let leafs = leafs.map(|leaf| Item::Leaf(leaf.entry()));
        let is_sent = |removal: &Removal| is_complete && removal.revision > after;
        let removed = || state.removed.iter().filter(|(_, removal)| is_sent(removal));
        let oldest = removed().map(|(_, removal)| removal.at).min();
        let age = oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let removed = removed().map(|(id, _)| Item::Removed(id.clone()));
        let coverage = match state.revision {
            0 => Coverage::Unknown,
            _ if is_complete => Coverage::Since(state.changes_since),
            _ => Coverage::All,
        };
        Listing::new(leafs.chain(removed).collect(), state.revision)
            .with_coverage(coverage)
            .with_added_age(age)
    }

    /// Returns whether an instance that knows the leafs up to the revision `after` lacks any change.
    pub fn has_changes_after(&self, after: Revision) -> bool {
        let state = self.lock();
        after < state.changes_since
            || state.leafs.values().any(|leaf| leaf.revision() > after)
            || state.removed.values().any(|removal| removal.revision > after)
    }

    /// Returns the revision up to which the leafs are known.
    pub fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Drops lapsed leafs that are no longer usable and closes connections that are idle too long.
    pub fn sweep(&self, now: Instant) {
        let mut state = self.lock();
        let recovered_at = state.recovered_at;
        let is_expired = |leaf: &Leaf| {
            matches!(leaf.presence(), Presence::Lapsed(_))
                && leaf.eligibility(recovered_at, now) == Eligibility::Never
        };
        let expired: Vec<LeafId> = state
            .leafs
            .iter()
            .filter(|(_, leaf)| is_expired(leaf))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            state.drop_leaf(&id);
        }
        state.leafs.values().for_each(|leaf| leaf.pool().close_expired());
    }

    fn apply_item(&self, state: &mut State, item: Item, fact: Fact) {
        match item {
            Item::Leaf(entry) => self.apply_entry(state, entry, fact),
            Item::Invalid(id, cause) => {
                event!(Event::LeafInvalid, leaf = id, cause = cause, revision = fact.revision);
                state.lapse(&id, fact);
            }
            Item::Removed(id) => state.lapse(&id, fact),
        }
    }

    fn apply_entry(&self, state: &mut State, entry: Entry, fact: Fact) {
        let report = (entry.started_ms, entry.sequence);
        if state.dropped.get(&entry.id).is_some_and(|dropped| report <= *dropped) {
            return;
        }
        if let Some(leaf) = state.leafs.get(&entry.id) {
            let known = leaf.entry();
            if report < (known.started_ms, known.sequence) {
                return;
            }
            let same_incarnation = known.started_ms == entry.started_ms
                && known.service == entry.service
                && known.address == entry.address;
            if same_incarnation {
                if known.state != entry.state || leaf.presence() != Presence::Listed {
                    fact.log_change(&entry);
                }
                state.removed.remove(&entry.id);
                let leaf = leaf.clone();
                leaf.update(entry, fact.revision);
                return;
            }
            let id = entry.id.clone();
            state.drop_leaf(&id);
        }
        fact.log_change(&entry);
        let bounds = self.connection_bounds(state, &entry);
        let fleet = state.fleet.unwrap_or(FleetSize { own_region: 1, all: 1 });
        let distance = self.topology.distance(&entry.failure_domain);
        let pool = Pool::new(entry.address, ConnectionLimit::new(bounds, fleet))
            .with_counter(self.traffic.counter(Kind::Leafs, distance).clone())
            .with_sockets(self.sockets.clone());
        let leaf = Arc::new(Leaf::new(entry.clone(), pool, fact.revision, fact.now));
        if let Some((started_ms, at)) = state.leaving.get(&entry.id)
            && *started_ms == entry.started_ms
        {
            leaf.mark_leaving(*at);
        }
        state.dropped.remove(&entry.id);
        state.removed.remove(&entry.id);
        state.services.entry(entry.service).or_default().push(leaf.clone());
        state.leafs.insert(entry.id, leaf);
    }

    /// Returns the bounds of the connections to a leaf.
    fn connection_bounds(&self, state: &State, entry: &Entry) -> Bounds {
        let services = state.active.as_ref().map(|active| &active.config().services);
        let service = services.and_then(|services| services.get(&entry.service));
        let max = service.map_or(CONNECTIONS_DEFAULT, |service| service.connections_max);
        Bounds {
            max,
            slots: entry.slots,
            in_own_region: self.topology.distance(&entry.failure_domain) < Distance::Remote,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn lapse(&mut self, id: &LeafId, fact: Fact) {
        let leaf = self.leafs.get(id).cloned();
        if let Some(leaf) = &leaf
            && leaf.revision() > fact.revision
        {
            fact.log_outdated(&[Item::Removed(id.clone())], leaf.revision());
            return;
        }
        // Instances that poll this one may still know a leaf that it has dropped.
        self.record_removal(id, fact);
        let Some(leaf) = leaf else { return };
        if matches!(leaf.presence(), Presence::Draining | Presence::Leaving(_)) {
            self.drop_leaf(id);
        } else if leaf.presence() == Presence::Listed {
            event!(Event::LeafLapsed, leaf = id, revision = fact.revision, source = fact.source);
            leaf.mark_lapsed(fact.since);
        }
    }

    fn record_removal(&mut self, id: &LeafId, fact: Fact) {
        let removal = Removal { revision: fact.revision, at: fact.since };
        let known = self.removed.entry(id.clone()).or_insert(removal);
        known.revision = known.revision.max(removal.revision);
        known.at = known.at.min(removal.at);
        if self.removed.len() > REMOVALS_MAX {
            let oldest = self.removed.iter().min_by_key(|(_, removal)| removal.revision);
            let oldest = oldest.map(|(id, removal)| (id.clone(), removal.revision));
            if let Some((id, revision)) = oldest {
                self.removed.remove(&id);
                self.changes_since = self.changes_since.max(revision);
            }
        }
    }

    fn drop_leaf(&mut self, id: &LeafId) {
        let Some(leaf) = self.leafs.remove(id) else { return };
        leaf.mark_dropped();
        let entry = leaf.entry();
        self.dropped.insert(id.clone(), (entry.started_ms, entry.sequence));
        if self.dropped.len() > DROPPED_LEAFS_MAX {
            self.dropped.pop_first();
        }
        if let Some(at) = leaf.leaving_since() {
            self.leaving.insert(id.clone(), (entry.started_ms, at));
            if self.leaving.len() > DROPPED_LEAFS_MAX {
                self.leaving.pop_first();
            }
        }
        if let Some(leafs) = self.services.get_mut(&entry.service) {
            leafs.retain(|other| !Arc::ptr_eq(other, &leaf));
        }
    }
}

/// Dropped leafs that are remembered.
const DROPPED_LEAFS_MAX: usize = 4_096;

fn listed_id(item: &Item) -> Option<&LeafId> {
    match item {
        Item::Leaf(entry) => Some(&entry.id),
        Item::Invalid(id, _) => Some(id),
        Item::Removed(_) => None,
    }
}

/// What holds for each item of a listing: the revision at which it is true, where it was read, the time
/// of receipt, and the earliest time at which it may have come into force.
#[derive(Clone, Copy, Debug)]
struct Fact {
    revision: Revision,
    source: Source,
    now: Instant,
    since: Instant,
}

impl Fact {
    fn log_change(self, entry: &Entry) {
        event!(
            Event::LeafChanged,
            leaf = entry.id,
            service = entry.service,
            address = entry.address,
            failure_domain = entry.failure_domain,
            state = <&'static str>::from(entry.state),
            started_ms = entry.started_ms,
            sequence = entry.sequence,
            revision = self.revision,
            source = self.source
        );
    }

    /// Logs the removals that are not applied because facts of the revision `known` are kept.
    fn log_outdated(self, items: &[Item], known: Revision) {
        for item in items {
            if let Item::Removed(id) = item {
                event!(
                    Event::RemovalOutdated,
                    leaf = id,
                    revision = self.revision,
                    known = known,
                    source = self.source
                );
            }
        }
    }
}
