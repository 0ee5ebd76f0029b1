//! Admission queues of all services at this instance, and its share of the cell's capacity.

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

/// An admission queue with the settings that it was built from.
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
    /// Creates an empty set. Queues are built on first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the counters of the members' queries.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the queue of a service, rebuilt if its settings changed, or `None` if the settings
    /// do not name the service.
    pub fn queue(&self, shared: &Shared, name: &str) -> Option<Arc<dyn Admission>> {
        let active = shared.active();
        let settings = active.config().services().get(name)?;
        let discipline = active.config().policy().admission;
        let mut queues = lock(&self.queues);
        let is_current =
            |queue: &&Queue| queue.discipline == discipline && queue.settings == *settings;
        if let Some(queue) = queues.get(name).filter(is_current) {
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

    /// Returns the load of each queue, for the dump.
    pub fn loads(&self) -> BTreeMap<SmolStr, Load> {
        let queues = lock(&self.queues);
        queues.iter().map(|(name, queue)| (name.clone(), queue.admission.load())).collect()
    }

    /// Refuses new queries from now on. Queued ones are still served.
    pub fn drain(&self) {
        lock(&self.queues).values().for_each(|queue| queue.admission.drain());
    }

    /// Returns the shares that were due to members and that they received over the last minute.
    pub fn shares(&self) -> Shares {
        lock(&self.shares).clone()
    }

    /// Updates the shares with the counts of all instances up to now.
    pub fn update_shares(&self, aggregate: &Aggregate, now: Instant) {
        lock(&self.shares).update(aggregate, &lock(&self.allocations), now);
    }

    /// Allocates the capacity of each service to members and instances, by the demand that the
    /// ready instances report in heartbeats.
    fn allocate(&self, parts: &Parts, now: Instant) {
        let shared = &parts.shared;
        let active = shared.active();
        let own_demand = self.counters.demand(now);
        let ready = shared.exchange().membership().ready_instances(now);
        for (name, settings) in active.config().services() {
            let members = active.config().members().keys();
            let weights = members
                .map(|member| (member.clone(), active.config().weight(name, member)))
                .collect();
            let capacity = shared.fleet().capacity(name);
            let mut input = Input::new(settings, weights, capacity);
            let own_demand = own_demand.get(name).cloned().unwrap_or_default();
            input = input.with_instance(shared.name().clone(), own_demand);
            let peers = ready.iter().filter(|peer| *peer != shared.name());
            for peer in peers {
                input = input.with_instance(peer.clone(), parts.peers.demand(peer, name));
            }
            self.apply_allocation(shared, name, &input);
        }
    }

    /// Computes the allocation of a service and applies this instance's part to the client of the
    /// leafs and the queue.
    fn apply_allocation(&self, shared: &Shared, name: &SmolStr, input: &Input) {
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

/// Recomputes the allocations after each heartbeat interval, until the task is aborted.
pub async fn allocate(parts: Arc<Parts>) {
    loop {
        let interval = parts.shared.exchange().membership().interval();
        sleep(interval).await;
        let now = tokio::time::Instant::now().into_std();
        parts.admissions.allocate(&parts, now);
    }
}

/// Converts the demand for one service in a heartbeat to the form that the allocation takes.
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
