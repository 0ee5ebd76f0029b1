//! What an instance knows: the configuration in force and the leafs of each service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::connections::Bounds;
use jaycrank_policy::connections::Fleet;
use jaycrank_policy::connections::Limit;
use jaycrank_policy::presence::Presence;
use jaycrank_policy::presence::Use;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::catalog::Entry;
use crate::catalog::Item;
use crate::catalog::LeafId;
use crate::catalog::Revision;
use crate::config::Active;
use crate::config::Config;
use crate::leaf::Leaf;

/// Connections to a leaf if its service is not in the configuration.
const CONNECTIONS_DEFAULT: u32 = 16;
/// Removed entries whose revision is remembered.
const REMOVED_MAX: usize = 1_024;

/// Configuration and leafs, as last heard of.
#[derive(Debug)]
pub struct Directory {
    /// Failure domains of the own region.
    near: BTreeSet<SmolStr>,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    active: Option<Arc<Active>>,
    leafs: BTreeMap<LeafId, Arc<Leaf>>,
    services: BTreeMap<SmolStr, Vec<Arc<Leaf>>>,
    /// Incarnation and report of the leafs that are gone, so that a late report of one of them
    /// does not bring it back.
    gone: BTreeMap<LeafId, (u64, u64)>,
    /// Revision at which entries were removed, and the one up to which that is forgotten.
    removed: BTreeMap<LeafId, Revision>,
    forgotten: Revision,
    fleet: Option<Fleet>,
    revision: Revision,
    /// Revision up to which the leafs are known from other instances.
    heard: Revision,
    listed: bool,
    returned: Option<Instant>,
}

impl Directory {
    /// Creates an empty directory of an instance whose region has the failure domains `near`, in a
    /// fleet of about `fleet` instances.
    pub fn new(near: BTreeSet<SmolStr>, fleet: Fleet) -> Self {
        let state = State { fleet: Some(fleet), ..State::default() };
        Self { near, state: Mutex::new(state), changed: watch::channel(()).0 }
    }

    /// Tells of each change.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Takes note of the instances that share the connections of leafs.
    pub fn set_fleet(&self, fleet: Fleet) {
        let mut state = self.lock();
        if state.fleet.replace(fleet) != Some(fleet) {
            for leaf in state.leafs.values() {
                let bounds = leaf.with_entry(|entry| self.connections(&state, entry));
                leaf.pool().set_share(bounds, fleet);
            }
        }
    }

    /// Puts a configuration in force if it is newer; returns whether it was.
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

    /// Configuration in force.
    pub fn active(&self) -> Option<Arc<Active>> {
        self.lock().active.clone()
    }

    /// Whether both configuration and leafs are known.
    pub fn is_complete(&self) -> bool {
        let state = self.lock();
        state.active.is_some() && state.listed
    }

    /// Replaces the list of leafs: entries that are not listed have lapsed.
    pub fn replace_leafs(&self, items: Vec<Item>, revision: Revision, now: Instant) {
        let mut state = self.lock();
        let listed: Vec<LeafId> = items.iter().filter_map(listed).cloned().collect();
        let missing: Vec<LeafId> =
            state.leafs.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for item in items {
            self.take(&mut state, item, revision, now);
        }
        for id in missing {
            self.take(&mut state, Item::Removed(id), revision, now);
        }
        state.revision = state.revision.max(revision);
        state.listed = true;
        drop(state);
        self.changed.send_replace(());
    }

    /// Applies changes of entries.
    pub fn apply_changes(&self, items: Vec<Item>, revision: Revision, now: Instant) {
        let mut state = self.lock();
        let quiet = items.is_empty();
        for item in items {
            self.take(&mut state, item, revision, now);
        }
        state.revision = state.revision.max(revision);
        drop(state);
        if !quiet {
            self.changed.send_replace(());
        }
    }

    /// Takes what another instance knows up to `revision`. What this one knows of a later revision
    /// stays, and leafs that are not named are not removed: the other may know less.
    pub fn merge(
        &self,
        entries: Vec<Entry>,
        removed: Vec<LeafId>,
        revision: Revision,
        now: Instant,
    ) {
        let mut state = self.lock();
        for entry in entries {
            let known = state.leafs.get(&entry.id).map(|leaf| leaf.entry());
            let report = (entry.started_ms, entry.sequence);
            if known.is_some_and(|known| report <= (known.started_ms, known.sequence)) {
                continue;
            }
            self.take(&mut state, Item::Leaf(entry), revision, now);
        }
        for id in removed {
            self.take(&mut state, Item::Removed(id), revision, now);
        }
        state.heard = state.heard.max(revision);
        state.listed |= !state.leafs.is_empty();
        drop(state);
        self.changed.send_replace(());
    }

    /// Takes note that the catalog answers again after it was away.
    pub fn record_catalog_recovery(&self, now: Instant) {
        self.lock().returned = Some(now);
    }

    /// Leafs of a service that may be used: regular ones, or those of last resort.
    pub fn usable(&self, service: &str, now: Instant) -> Vec<Arc<Leaf>> {
        let state = self.lock();
        let Some(leafs) = state.services.get(service) else { return Vec::new() };
        let with = |usage: Use| -> Vec<Arc<Leaf>> {
            leafs.iter().filter(|leaf| leaf.usage(state.returned, now) == usage).cloned().collect()
        };
        let regular = with(Use::Regular);
        if regular.is_empty() { with(Use::LastResort) } else { regular }
    }

    /// Entries that are listed, for peers and dumps.
    pub fn entries(&self) -> Vec<Entry> {
        let state = self.lock();
        let lapsed = |leaf: &Leaf| matches!(leaf.presence(), Presence::Lapsed(_));
        let listed = state.leafs.values().filter(|leaf| !lapsed(leaf));
        listed.map(|leaf| leaf.entry()).collect()
    }

    /// All leafs.
    pub fn leafs(&self) -> Vec<Arc<Leaf>> {
        self.lock().leafs.values().cloned().collect()
    }

    /// Changes of entries after a revision, or `None` if some of them are forgotten.
    pub fn changes_after(&self, after: Revision) -> Option<Vec<Item>> {
        let state = self.lock();
        if after < state.forgotten {
            return None;
        }
        let lapsed = |leaf: &Leaf| matches!(leaf.presence(), Presence::Lapsed(_));
        let changed = state.leafs.values().filter(|leaf| leaf.revision() > after && !lapsed(leaf));
        let removed = state.removed.iter().filter(|(_, revision)| **revision > after);
        let removed = removed.map(|(id, _)| Item::Removed(id.clone()));
        Some(changed.map(|leaf| Item::Leaf(leaf.entry())).chain(removed).collect())
    }

    /// Revision of the last change of an entry.
    pub fn last_change(&self) -> Revision {
        let state = self.lock();
        let changed = state.leafs.values().map(|leaf| leaf.revision()).max();
        changed.max(state.removed.values().copied().max()).unwrap_or_default()
    }

    /// Revision of the catalog up to which the leafs are known.
    pub fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Revision up to which the leafs are known from the catalog or from other instances.
    pub fn known_revision(&self) -> Revision {
        let state = self.lock();
        state.heard.max(state.revision)
    }

    /// Forgets leafs that may not be used any more, and closes idle connections in time.
    pub fn sweep(&self, now: Instant) {
        let mut state = self.lock();
        let returned = state.returned;
        let expired = |leaf: &Leaf| {
            matches!(leaf.presence(), Presence::Lapsed(_))
                && leaf.usage(returned, now) == Use::Never
        };
        let gone: Vec<LeafId> = state
            .leafs
            .iter()
            .filter(|(_, leaf)| expired(leaf))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            state.remove(&id);
        }
        state.leafs.values().for_each(|leaf| leaf.pool().close_expired());
    }

    fn take(&self, state: &mut State, item: Item, revision: Revision, now: Instant) {
        match item {
            Item::Leaf(entry) => self.take_entry(state, entry, revision, now),
            Item::Invalid(id, cause) => {
                event!(Event::LeafInvalid, leaf = id, cause = cause, revision = revision);
                state.lapse(&id, revision, now);
            }
            Item::Removed(id) => state.lapse(&id, revision, now),
        }
    }

    fn take_entry(&self, state: &mut State, entry: Entry, revision: Revision, now: Instant) {
        let report = (entry.started_ms, entry.sequence);
        if state.gone.get(&entry.id).is_some_and(|gone| report <= *gone) {
            return;
        }
        if let Some(leaf) = state.leafs.get(&entry.id) {
            let known = leaf.entry();
            if report < (known.started_ms, known.sequence) {
                return;
            }
            let same = known.started_ms == entry.started_ms
                && known.service == entry.service
                && known.address == entry.address;
            if same {
                if known.state != entry.state || leaf.presence() != Presence::Listed {
                    log(&entry, revision);
                }
                state.removed.remove(&entry.id);
                let leaf = leaf.clone();
                leaf.update(entry, revision);
                return;
            }
            let id = entry.id.clone();
            state.remove(&id);
        }
        log(&entry, revision);
        let bounds = self.connections(state, &entry);
        let fleet = state.fleet.unwrap_or(Fleet { own_region: 1, all: 1 });
        let leaf = Arc::new(Leaf::new(entry.clone(), Limit::new(bounds, fleet), revision, now));
        state.gone.remove(&entry.id);
        state.removed.remove(&entry.id);
        state.services.entry(entry.service).or_default().push(leaf.clone());
        state.leafs.insert(entry.id, leaf);
    }

    /// What bounds the connections to a leaf.
    fn connections(&self, state: &State, entry: &Entry) -> Bounds {
        let services = state.active.as_ref().map(|active| &active.config().services);
        let service = services.and_then(|services| services.get(&entry.service));
        let max = service.map_or(CONNECTIONS_DEFAULT, |service| service.connections_max);
        Bounds { max, slots: entry.slots, near: self.near.contains(&entry.failure_domain) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn lapse(&mut self, id: &LeafId, revision: Revision, now: Instant) {
        let Some(leaf) = self.leafs.get(id).cloned() else { return };
        if leaf.revision() > revision {
            return;
        }
        self.removed.insert(id.clone(), revision);
        if self.removed.len() > REMOVED_MAX {
            let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
            if let Some((id, revision)) = oldest.map(|(id, revision)| (id.clone(), *revision)) {
                self.removed.remove(&id);
                self.forgotten = self.forgotten.max(revision);
            }
        }
        if leaf.presence() == Presence::Draining {
            self.remove(id);
        } else if leaf.presence() == Presence::Listed {
            event!(Event::LeafLapsed, leaf = id, revision = revision);
            leaf.mark_lapsed(now);
        }
    }

    fn remove(&mut self, id: &LeafId) {
        let Some(leaf) = self.leafs.remove(id) else { return };
        let entry = leaf.entry();
        self.gone.insert(id.clone(), (entry.started_ms, entry.sequence));
        if self.gone.len() > GONE_MAX {
            self.gone.pop_first();
        }
        if let Some(leafs) = self.services.get_mut(&entry.service) {
            leafs.retain(|other| !Arc::ptr_eq(other, &leaf));
        }
    }
}

/// Leafs that are remembered after they have gone.
const GONE_MAX: usize = 4_096;

fn listed(item: &Item) -> Option<&LeafId> {
    match item {
        Item::Leaf(entry) => Some(&entry.id),
        Item::Invalid(id, _) => Some(id),
        Item::Removed(_) => None,
    }
}

fn log(entry: &Entry, revision: Revision) {
    event!(
        Event::LeafChanged,
        leaf = entry.id,
        service = entry.service,
        address = entry.address,
        failure_domain = entry.failure_domain,
        state = <&'static str>::from(entry.state),
        started_ms = entry.started_ms,
        sequence = entry.sequence,
        revision = revision
    );
}
