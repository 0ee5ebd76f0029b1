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

/// Sub-requests that may wait for slots while more queries are admitted: mean of the groups, in
/// shares. The groups are loaded unevenly; with a lower bound some run out of work at saturation.
const BACKLOG: usize = 4;
/// Span of a group's latency window.
const WINDOW: Duration = Duration::from_secs(5);

/// One group: its slots and latencies. It is kept over changes of the partition map.
pub(crate) struct Shard {
    group: Group,
    slots: Mutex<Slots<Arc<Ticket>>>,
    window: Mutex<Window>,
    backpressure: Arc<Waiting>,
}

/// A group at one index version.
#[derive(Clone)]
pub(crate) struct Target {
    pub(crate) shard: Arc<Shard>,
    pub(crate) path: Uri,
    pub(crate) leafs: Vec<Arc<Leaf>>,
}

/// All groups at one index version.
pub(crate) struct Layout {
    pub(crate) version: Version,
    pub(crate) targets: Vec<Target>,
}

/// A service at one partition map.
pub(crate) struct Service {
    pub(crate) leafs: BTreeMap<SocketAddr, Arc<Leaf>>,
    pub(crate) shards: BTreeMap<Group, Arc<Shard>>,
    pub(crate) backpressure: Arc<Waiting>,
    pub(crate) extra: Arc<Mutex<ExtraBudget>>,
    pub(crate) slots: u32,
    pub(crate) fraction: f64,
    /// Whether the fraction was set, so that a new partition map keeps it.
    is_set: bool,
    /// Newest first.
    layouts: Vec<Arc<Layout>>,
}

/// A sub-request that waits for a slot.
#[derive(Debug)]
pub(crate) struct Ticket {
    granted: AtomicBool,
    wake: Arc<Notify>,
}

/// A slot, or the place in the queue for one; given back when it is dropped.
pub(crate) struct Slot {
    shard: Arc<Shard>,
    waiting: Option<(WaiterId, Arc<Ticket>)>,
}

/// Sub-requests of a service that wait for slots.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    waiting: AtomicUsize,
    groups: AtomicUsize,
    /// Mean share of slots of a group, in thousandths of a slot.
    share_milli: AtomicUsize,
    notify: Arc<Notify>,
}

impl Backpressure for Waiting {
    fn can_accept(&self) -> bool {
        self.is_below(BACKLOG)
    }

    fn subscribe(&self) -> Arc<Notify> {
        self.notify.clone()
    }
}

impl Waiting {
    /// Whether so few sub-requests wait that extra ones delay no other.
    pub(crate) fn is_calm(&self) -> bool {
        self.is_below(1)
    }

    /// Whether the mean number of waiting sub-requests of a group is below a multiple of the share.
    fn is_below(&self, factor: usize) -> bool {
        let groups = self.groups.load(Ordering::Relaxed);
        let bound = factor * groups * self.share_milli.load(Ordering::Relaxed);
        self.waiting.load(Ordering::Relaxed) * 1_000 < bound.max(1)
    }

    fn left(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.announce();
    }

    fn announce(&self) {
        if self.can_accept() {
            self.notify.notify_one();
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

impl Shard {
    fn new(group: Group, backpressure: Arc<Waiting>) -> Self {
        let now = now();
        let slots = Mutex::new(Slots::new(1.0, 1, now));
        Self { group, slots, window: Mutex::new(Window::new(WINDOW, now)), backpressure }
    }

    pub(crate) fn group(&self) -> &Group {
        &self.group
    }

    pub(crate) fn slots(&self) -> MutexGuard<'_, Slots<Arc<Ticket>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn summary(&self) -> Summary {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).summary()
    }

    pub(crate) fn record(&self, latency: Duration, now: Instant) {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).record(latency, now);
    }

    /// Takes a slot or a place in the queue.
    pub(crate) fn enter(
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
            let ticket = Ticket { granted: AtomicBool::new(false), wake: wake.clone() };
            let ticket = Arc::new(ticket);
            self.backpressure.waiting.fetch_add(1, Ordering::Relaxed);
            Some((slots.enqueue(rank, within_floor, ticket.clone()), ticket))
        };
        Slot { shard: self.clone(), waiting }
    }

    /// Gives free slots to those that wait.
    pub(crate) fn grant(&self, now: Instant) {
        let mut slots = self.slots();
        if self.grant_from(&mut slots, now) {
            nudge(&slots);
        }
    }

    /// Returns whether a slot was given.
    fn grant_from(&self, slots: &mut Slots<Arc<Ticket>>, now: Instant) -> bool {
        let mut granted = false;
        while let Some(ticket) = slots.grant_next(now) {
            granted = true;
            ticket.granted.store(true, Ordering::Release);
            ticket.wake.notify_one();
            self.backpressure.left();
        }
        granted
    }
}

/// Wakes the query of the first waiting sub-request if that waits for credit, so that it sets its
/// timer; a query that finds nothing granted does not wake itself again.
fn nudge(slots: &Slots<Arc<Ticket>>) {
    if slots.ready_at().is_some()
        && let Some(ticket) = slots.first_waiting()
    {
        ticket.wake.notify_one();
    }
}

impl Slot {
    /// Whether the slot may be used now.
    pub(crate) fn is_granted(&self) -> bool {
        let waiting = self.waiting.as_ref();
        waiting.is_none_or(|(_, ticket)| ticket.granted.load(Ordering::Acquire))
    }

    /// Ends the wait for the slot.
    pub(crate) fn begin(&mut self) {
        self.waiting = None;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = now();
        let mut slots = self.shard.slots();
        if let Some((id, _)) = &self.waiting
            && slots.cancel(*id)
        {
            self.shard.grant_from(&mut slots, now);
            nudge(&slots);
            drop(slots);
            return self.shard.backpressure.left();
        }
        slots.release(now);
        self.shard.grant_from(&mut slots, now);
        nudge(&slots);
        drop(slots);
        self.shard.backpressure.announce();
    }
}

impl Service {
    /// Builds the service of a new partition map. Groups and leafs of `known` that stay keep
    /// their state; `leaf` returns the leafs.
    pub(crate) fn new(
        map: &ShardMap,
        known: Option<&Self>,
        backpressure: Arc<Waiting>,
        extra: ExtraBudget,
        slots: u32,
        fraction: f64,
        mut leaf: impl FnMut(&Replica) -> Arc<Leaf>,
    ) -> Self {
        let set = known.filter(|known| known.is_set).map(|known| known.fraction);
        let (is_set, fraction) = (set.is_some(), set.unwrap_or(fraction));
        let known_extra = known.map(|known| known.extra.clone());
        let extra = known_extra.unwrap_or_else(|| Arc::new(Mutex::new(extra)));
        let mut leafs = BTreeMap::new();
        for (address, replica) in map.replicas() {
            leafs.insert(address, leaf(replica));
        }
        let mut shards: BTreeMap<Group, Arc<Shard>> = BTreeMap::new();
        let mut layouts = Vec::new();
        for (version, groups) in map.versions().iter().rev() {
            let mut targets = Vec::new();
            for (group, replicas) in groups {
                let shard = shards.entry(group.clone()).or_insert_with(|| {
                    let known = known.and_then(|known| known.shards.get(group)).cloned();
                    known.unwrap_or_else(|| {
                        Arc::new(Shard::new(group.clone(), backpressure.clone()))
                    })
                });
                // A group name that is no valid path is missing from every answer.
                let path = format!("/search/{group}").parse().unwrap_or_default();
                let of = |replica: &Replica| leafs.get(&replica.address).cloned();
                let leafs = replicas.iter().filter_map(of).collect();
                targets.push(Target { shard: shard.clone(), path, leafs });
            }
            layouts.push(Arc::new(Layout { version: *version, targets }));
        }
        let service = Self { leafs, shards, backpressure, extra, slots, fraction, is_set, layouts };
        service.apply_share();
        service
    }

    /// Changes this instance's fraction of the capacity.
    pub(crate) fn with_fraction(&self, fraction: f64) -> Self {
        let service = Self {
            leafs: self.leafs.clone(),
            shards: self.shards.clone(),
            backpressure: self.backpressure.clone(),
            extra: self.extra.clone(),
            slots: self.slots,
            fraction,
            is_set: true,
            layouts: self.layouts.clone(),
        };
        service.apply_share();
        service
    }

    fn apply_share(&self) {
        let now = now();
        let mut sum = 0.0;
        let mut set = BTreeSet::new();
        // The newest version that has a group determines its leafs.
        for target in self.layouts.iter().flat_map(|layout| &layout.targets) {
            if set.insert(target.shard.group()) {
                let leafs = target.leafs.len() as u32;
                let share = self.fraction * f64::from(self.slots * leafs);
                target.shard.slots().set_share(share, leafs, now);
                target.shard.grant(now);
                sum += share;
            }
        }
        let groups = set.len();
        let share_milli = sum * 1_000.0 / groups.max(1) as f64;
        self.backpressure.groups.store(groups, Ordering::Relaxed);
        self.backpressure.share_milli.store(share_milli as usize, Ordering::Relaxed);
        self.backpressure.announce();
    }

    /// Chooses the layout that a query pins: the newest whose groups all have a sound leaf that
    /// holds it, else the one with the most such groups. With `group`, only that group counts.
    pub(crate) fn pin(&self, group: Option<&Group>) -> Option<&Arc<Layout>> {
        let mut best = None;
        let mut best_held = 0;
        for layout in &self.layouts {
            let counts = |target: &&Target| group.is_none_or(|group| group == target.shard.group());
            let holds =
                |target: &&Target| target.leafs.iter().any(|leaf| leaf.is_sound(layout.version));
            let groups = layout.targets.iter().filter(counts).count();
            let held = layout.targets.iter().filter(counts).filter(holds).count();
            if groups > 0 && held == groups {
                return Some(layout);
            }
            if best.is_none() || held > best_held {
                (best, best_held) = (Some(layout), held);
            }
        }
        best
    }

    /// Queries per second that the slots of the tightest group of the newest version carry; 0
    /// until each group has been measured.
    pub(crate) fn capacity(&self) -> f64 {
        let Some(layout) = self.layouts.first() else { return 0.0 };
        let capacity = |target: &Target| {
            let slots = f64::from(self.slots) * target.leafs.len() as f64;
            let mean_s = target.shard.summary().mean.as_secs_f64();
            if mean_s > 0.0 { slots / mean_s } else { 0.0 }
        };
        layout.targets.iter().map(capacity).reduce(f64::min).unwrap_or(0.0)
    }

    pub(crate) fn extra(&self) -> MutexGuard<'_, ExtraBudget> {
        self.extra.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
