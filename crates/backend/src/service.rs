//! The leafs of one service and this instance's share of their slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

use hyper::Uri;
use jaycrank_policy::ShardMap;
use jaycrank_policy::admission::Backpressure;
use jaycrank_policy::hedge::ExtraBudget;
use jaycrank_policy::quantile::Summary;
use jaycrank_policy::quantile::Window;
use jaycrank_policy::slots::Slots;
use jaycrank_policy::slots::WaiterId;
use jaycrank_policy::snapshot::Group;
use jaycrank_policy::snapshot::Replica;
use jaycrank_policy::snapshot::Version;
use jaycrank_settings::schema::Rank;
use tokio::sync::Notify;

use crate::leaf::Leaf;
use crate::leaf::now;

/// Mean number of waiting sub-requests of a group, as a multiple of its share of slots, below which
/// more queries are admitted. The groups are loaded unevenly; if this limit is smaller, some groups
/// run out of work at saturation.
const BACKLOG_SHARES_MAX: usize = 4;
/// Span of the latency window of a group.
const LATENCY_WINDOW: Duration = Duration::from_secs(5);

/// This instance's state for one group: slots and latencies, kept when the shard map changes.
pub(crate) struct GroupState {
    group: Group,
    slots: Mutex<Slots<Arc<Grant>>>,
    window: Mutex<Window>,
    backpressure: Arc<Backlog>,
}

/// A group at one index version.
#[derive(Clone)]
pub(crate) struct Target {
    pub(crate) group_state: Arc<GroupState>,
    pub(crate) path: Uri,
    pub(crate) leafs: Vec<Arc<Leaf>>,
}

/// All groups at one index version.
pub(crate) struct Layout {
    pub(crate) version: Version,
    pub(crate) targets: Vec<Target>,
}

/// A service as defined by one shard map.
pub(crate) struct Service {
    pub(crate) leafs: BTreeMap<SocketAddr, Arc<Leaf>>,
    pub(crate) group_states: BTreeMap<Group, Arc<GroupState>>,
    pub(crate) backpressure: Arc<Backlog>,
    pub(crate) extra_budget: Arc<Mutex<ExtraBudget>>,
    pub(crate) slots: u32,
    pub(crate) fraction: f64,
    /// Whether the fraction was set explicitly; a new shard map keeps it then.
    is_fraction_set: bool,
    /// Newest first.
    layouts: Vec<Arc<Layout>>,
}

/// Signal to a waiting sub-request that its slot has been granted.
#[derive(Debug)]
pub(crate) struct Grant {
    granted: AtomicBool,
    wake: Arc<Notify>,
}

/// A slot or a place in the queue for one, released on drop.
pub(crate) struct Slot {
    group_state: Arc<GroupState>,
    waiting: Option<(WaiterId, Arc<Grant>)>,
}

/// Number of sub-requests of a service that wait for slots, and its bound.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    waiting: AtomicUsize,
    groups: AtomicUsize,
    /// Mean share of slots of a group, in thousandths of a slot.
    share_milli: AtomicUsize,
    notify: Arc<Notify>,
}

impl Backpressure for Backlog {
    fn can_accept(&self) -> bool {
        self.is_below_shares(BACKLOG_SHARES_MAX)
    }

    fn subscribe(&self) -> Arc<Notify> {
        self.notify.clone()
    }
}

impl Backlog {
    /// Returns whether so few sub-requests wait that hedges delay no other sub-request.
    pub(crate) fn allows_hedges(&self) -> bool {
        self.is_below_shares(1)
    }

    /// Returns whether the mean number of waiting sub-requests of a group is below `factor` times
    /// the mean share.
    fn is_below_shares(&self, factor: usize) -> bool {
        let groups = self.groups.load(Ordering::Relaxed);
        let bound = factor * groups * self.share_milli.load(Ordering::Relaxed);
        self.waiting.load(Ordering::Relaxed) * 1_000 < bound.max(1)
    }

    fn record_departure(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.notify_if_accepting();
    }

    fn notify_if_accepting(&self) {
        if self.can_accept() {
            self.notify.notify_one();
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

impl GroupState {
    fn new(group: Group, backpressure: Arc<Backlog>) -> Self {
        let now = now();
        let slots = Mutex::new(Slots::new(1.0, 1, now));
        Self { group, slots, window: Mutex::new(Window::new(LATENCY_WINDOW, now)), backpressure }
    }

    pub(crate) fn group(&self) -> &Group {
        &self.group
    }

    pub(crate) fn slots(&self) -> MutexGuard<'_, Slots<Arc<Grant>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn summary(&self) -> Summary {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).summary()
    }

    pub(crate) fn record(&self, latency: Duration, now: Instant) {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).record(latency, now);
    }

    /// Acquires a slot, or joins the queue if none is free.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        rank: Rank,
        within_floor: bool,
        wake: &Arc<Notify>,
        now: Instant,
    ) -> Slot {
        let mut slots = self.slots();
        let waiting = if slots.try_acquire(rank, within_floor, now) {
            None
        } else {
            let grant = Grant { granted: AtomicBool::new(false), wake: wake.clone() };
            let grant = Arc::new(grant);
            self.backpressure.waiting.fetch_add(1, Ordering::Relaxed);
            Some((slots.enqueue(rank, within_floor, grant.clone()), grant))
        };
        Slot { group_state: self.clone(), waiting }
    }

    /// Grants free slots to waiting sub-requests.
    pub(crate) fn grant_waiting(&self, now: Instant) {
        let mut slots = self.slots();
        if self.grant_free_slots(&mut slots, now) {
            wake_first_waiter(&slots);
        }
    }

    /// Grants free slots to waiting sub-requests and returns whether one was granted.
    fn grant_free_slots(&self, slots: &mut Slots<Arc<Grant>>, now: Instant) -> bool {
        let mut granted = false;
        while let Some(grant) = slots.grant_next(now) {
            granted = true;
            grant.granted.store(true, Ordering::Release);
            grant.wake.notify_one();
            self.backpressure.record_departure();
        }
        granted
    }
}

/// Wakes the query of the first waiting sub-request if that one waits for credit, so that the query
/// sets its timer. `grant_waiting` calls it only after a grant, so that a query does not wake
/// itself repeatedly.
fn wake_first_waiter(slots: &Slots<Arc<Grant>>) {
    if slots.ready_at().is_some()
        && let Some(grant) = slots.first_waiting()
    {
        grant.wake.notify_one();
    }
}

impl Slot {
    /// Returns whether the slot may be used now.
    pub(crate) fn is_granted(&self) -> bool {
        let waiting = self.waiting.as_ref();
        waiting.is_none_or(|(_, grant)| grant.granted.load(Ordering::Acquire))
    }

    /// Marks a granted slot as in use.
    pub(crate) fn end_wait(&mut self) {
        self.waiting = None;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = now();
        let mut slots = self.group_state.slots();
        if let Some((id, _)) = &self.waiting
            && slots.cancel(*id)
        {
            self.group_state.grant_free_slots(&mut slots, now);
            wake_first_waiter(&slots);
            drop(slots);
            return self.group_state.backpressure.record_departure();
        }
        slots.release(now);
        self.group_state.grant_free_slots(&mut slots, now);
        wake_first_waiter(&slots);
        drop(slots);
        self.group_state.backpressure.notify_if_accepting();
    }
}

impl Service {
    /// Creates the service of a new shard map.
    ///
    /// Groups that exist in `previous` keep their state. `leaf` returns the leaf of a replica.
    pub(crate) fn new(
        map: &ShardMap,
        previous: Option<&Self>,
        backpressure: Arc<Backlog>,
        extra_budget: ExtraBudget,
        slots: u32,
        fraction: f64,
        mut leaf: impl FnMut(&Replica) -> Arc<Leaf>,
    ) -> Self {
        let set_fraction =
            previous.filter(|previous| previous.is_fraction_set).map(|previous| previous.fraction);
        let (is_fraction_set, fraction) =
            (set_fraction.is_some(), set_fraction.unwrap_or(fraction));
        let previous_extra_budget = previous.map(|previous| previous.extra_budget.clone());
        let extra_budget =
            previous_extra_budget.unwrap_or_else(|| Arc::new(Mutex::new(extra_budget)));
        let mut leafs = BTreeMap::new();
        for (address, replica) in map.replicas() {
            leafs.insert(address, leaf(replica));
        }
        let mut group_states: BTreeMap<Group, Arc<GroupState>> = BTreeMap::new();
        let mut layouts = Vec::new();
        for (version, groups) in map.versions().iter().rev() {
            let mut targets = Vec::new();
            for (group, replicas) in groups {
                let group_state = group_states.entry(group.clone()).or_insert_with(|| {
                    let previous =
                        previous.and_then(|previous| previous.group_states.get(group)).cloned();
                    previous.unwrap_or_else(|| {
                        Arc::new(GroupState::new(group.clone(), backpressure.clone()))
                    })
                });
                // A group whose name is not valid in a path is missing from every answer.
                let path = format!("/search/{group}").parse().unwrap_or_default();
                let find_leaf = |replica: &Replica| leafs.get(&replica.address).cloned();
                let leafs = replicas.iter().filter_map(find_leaf).collect();
                targets.push(Target { group_state: group_state.clone(), path, leafs });
            }
            layouts.push(Arc::new(Layout { version: *version, targets }));
        }
        let service = Self {
            leafs,
            group_states,
            backpressure,
            extra_budget,
            slots,
            fraction,
            is_fraction_set,
            layouts,
        };
        service.apply_share();
        service
    }

    /// Returns the service with another fraction of the capacity for this instance.
    pub(crate) fn with_fraction(&self, fraction: f64) -> Self {
        let service = Self {
            leafs: self.leafs.clone(),
            group_states: self.group_states.clone(),
            backpressure: self.backpressure.clone(),
            extra_budget: self.extra_budget.clone(),
            slots: self.slots,
            fraction,
            is_fraction_set: true,
            layouts: self.layouts.clone(),
        };
        service.apply_share();
        service
    }

    fn apply_share(&self) {
        let now = now();
        let mut sum = 0.0;
        let mut seen = BTreeSet::new();
        // The leafs of a group are those of the newest version that contains the group.
        for target in self.layouts.iter().flat_map(|layout| &layout.targets) {
            if seen.insert(target.group_state.group()) {
                let leafs = target.leafs.len() as u32;
                let share = self.fraction * f64::from(self.slots * leafs);
                target.group_state.slots().set_share(share, leafs, now);
                target.group_state.grant_waiting(now);
                sum += share;
            }
        }
        let groups = seen.len();
        let share_milli = sum * 1_000.0 / groups.max(1) as f64;
        self.backpressure.groups.store(groups, Ordering::Relaxed);
        self.backpressure.share_milli.store(share_milli as usize, Ordering::Relaxed);
        self.backpressure.notify_if_accepting();
    }

    /// Chooses the layout that a query pins.
    ///
    /// This is the newest one in which every group has a healthy leaf that holds the version, else
    /// the one with the most such groups. With `group`, only that group counts.
    pub(crate) fn pin(&self, group: Option<&Group>) -> Option<&Arc<Layout>> {
        let mut best = None;
        let mut best_healthy_count = 0;
        for layout in &self.layouts {
            let is_counted =
                |target: &&Target| group.is_none_or(|group| group == target.group_state.group());
            let has_healthy_leaf =
                |target: &&Target| target.leafs.iter().any(|leaf| leaf.is_healthy(layout.version));
            let groups = layout.targets.iter().filter(is_counted).count();
            let healthy_count =
                layout.targets.iter().filter(is_counted).filter(has_healthy_leaf).count();
            if groups > 0 && healthy_count == groups {
                return Some(layout);
            }
            if best.is_none() || healthy_count > best_healthy_count {
                (best, best_healthy_count) = (Some(layout), healthy_count);
            }
        }
        best
    }

    /// Returns the queries per second that the group with the lowest capacity of the newest version
    /// can run in its slots, or 0 until each group has latency samples.
    pub(crate) fn capacity(&self) -> f64 {
        let Some(layout) = self.layouts.first() else { return 0.0 };
        let capacity = |target: &Target| {
            let slots = f64::from(self.slots) * target.leafs.len() as f64;
            let mean_latency_s = target.group_state.summary().mean.as_secs_f64();
            if mean_latency_s > 0.0 { slots / mean_latency_s } else { 0.0 }
        };
        layout.targets.iter().map(capacity).reduce(f64::min).unwrap_or(0.0)
    }

    pub(crate) fn extra_budget(&self) -> MutexGuard<'_, ExtraBudget> {
        self.extra_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
