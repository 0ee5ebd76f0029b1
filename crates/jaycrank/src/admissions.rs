//! Admission queues of all services at this instance, and their part of the cell's capacity.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use jaycrank_policy::admission::Admission;
use jaycrank_policy::admission::Fair;
use jaycrank_policy::admission::Fifo;
use jaycrank_policy::admission::Load;
use jaycrank_policy::share;
use jaycrank_policy::share::Allocation;
use jaycrank_policy::share::Demand;
use jaycrank_policy::share::Input;
use jaycrank_policy::share_average::Shares;
use jaycrank_policy::tally::Aggregate;
use jaycrank_policy::tally::Counters;
use jaycrank_settings::Rank;
use jaycrank_settings::Service;
use jaycrank_settings::schema;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::node::Parts;
use crate::shared::Shared;

/// A queue with the settings that it was built from.
struct Queue {
    settings: Service,
    discipline: schema::QueueDiscipline,
    admission: Arc<dyn Admission>,
}

/// Admission queues by service.
#[derive(Default)]
pub struct Admissions {
    counters: Counters,
    queues: Mutex<BTreeMap<SmolStr, Queue>>,
    allocations: Mutex<BTreeMap<SmolStr, Allocation>>,
    shares: Mutex<Shares>,
}

impl Admissions {
    /// Creates an empty set; queues are built on first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counters of members' queries.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The queue of a service, rebuilt when its settings change. `None` without a partition map.
    pub fn queue(&self, shared: &Shared, name: &str) -> Option<Arc<dyn Admission>> {
        let active = shared.active();
        let settings = active.config().services().get(name)?;
        let discipline = active.config().policy().admission;
        let mut queues = lock(&self.queues);
        let current =
            |queue: &&Queue| queue.discipline == discipline && queue.settings == *settings;
        if let Some(queue) = queues.get(name).filter(current) {
            return Some(queue.admission.clone());
        }
        let backpressure = shared.fleet().backpressure(name);
        let admission: Arc<dyn Admission> = match discipline {
            schema::QueueDiscipline::Fair => Arc::new(Fair::new(settings, backpressure)),
            schema::QueueDiscipline::Fifo => {
                Arc::new(Fifo::new(settings.queue_max as usize, backpressure))
            }
        };
        let queue = Queue { settings: settings.clone(), discipline, admission: admission.clone() };
        queues.insert(name.into(), queue);
        Some(admission)
    }

    /// State of the queues, for the dump.
    pub fn loads(&self) -> BTreeMap<SmolStr, Load> {
        let queues = lock(&self.queues);
        queues.iter().map(|(name, queue)| (name.clone(), queue.admission.load())).collect()
    }

    /// Refuses queries that arrive from now on; those that wait are still served.
    pub fn drain(&self) {
        lock(&self.queues).values().for_each(|queue| queue.admission.drain());
    }

    /// Shares due to members and received by them over the last minute.
    pub fn shares(&self) -> Shares {
        lock(&self.shares).clone()
    }

    /// Accounts for the counts of all instances up to now.
    pub fn update_shares(&self, aggregate: &Aggregate, now: Instant) {
        lock(&self.shares).update(aggregate, &lock(&self.allocations), now);
    }

    /// Divides the capacity of all services by the demand that the live instances exchanged.
    fn allocate(&self, parts: &Parts, now: Instant) {
        let shared = &parts.shared;
        let active = shared.active();
        let own = self.counters.demand(now);
        let live = shared.exchange().membership().ready_instances(now);
        for (name, settings) in active.config().services() {
            let members = active.config().members().keys();
            let weights = members
                .map(|member| (member.clone(), active.config().weight(name, member)))
                .collect();
            let capacity = shared.fleet().capacity(name);
            let mut input = Input::new(settings, weights, capacity);
            let own = own.get(name).cloned().unwrap_or_default();
            input = input.with_instance(shared.name().clone(), own);
            let peers = live.iter().filter(|peer| *peer != shared.name());
            for peer in peers {
                input = input.with_instance(peer.clone(), parts.peers.demand(peer, name));
            }
            self.apply(shared, name, &input);
        }
    }

    fn apply(&self, shared: &Shared, name: &SmolStr, input: &Input) {
        let allocation = share::allocate(input);
        let fraction = allocation.fractions.get(shared.name()).copied().unwrap_or(0.0);
        shared.fleet().set_share(name, fraction);
        if let Some(queue) = self.queue(shared, name) {
            let weights = allocation.weights(input, shared.name());
            queue.set_allocation(weights, input.capacity * fraction);
        }
        lock(&self.allocations).insert(name.clone(), allocation);
    }
}

/// Recomputes the allocation after each heartbeat, until the task is aborted.
pub async fn allocate(parts: Arc<Parts>) {
    loop {
        let interval = parts.shared.exchange().membership().interval();
        sleep(interval).await;
        let now = tokio::time::Instant::now().into_std();
        parts.admissions.allocate(&parts, now);
    }
}

/// Demand of one service in the form of the allocation.
pub fn to_demand(by_rank: &BTreeMap<Rank, BTreeMap<SmolStr, f32>>) -> Demand {
    let mut demand = Demand::default();
    for (rank, members) in by_rank {
        demand[rank.index()] =
            members.iter().map(|(member, rate)| (member.clone(), f64::from(*rate))).collect();
    }
    demand
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
