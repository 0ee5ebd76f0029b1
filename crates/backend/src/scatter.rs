//! Sends a query to all groups of a service and gathers the replies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use jaycrank_policy::Coverage;
use jaycrank_policy::ShardMap;
use jaycrank_policy::admission::Backpressure;
use jaycrank_policy::hedge::ExtraBudget;
use jaycrank_policy::replica::LeastLoaded;
use jaycrank_policy::replica::PowerOfTwo;
use jaycrank_policy::replica::RoundRobin;
use jaycrank_policy::replica::Selector;
use jaycrank_policy::snapshot::Group;
use jaycrank_policy::snapshot::Version;
use jaycrank_settings::schema;
use jaycrank_settings::schema::Policy;
use jaycrank_settings::schema::Rank;
use jaycrank_settings::schema::ReplicaSelection;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::Semaphore;

use crate::error::Error;
use crate::error::Result;
use crate::health_check;
use crate::leaf;
use crate::leaf::Leaf;
use crate::leaf::Observer;
use crate::leaf::now;
use crate::query;
use crate::service::Backlog;
use crate::service::Service;
use crate::service::Slot;
use crate::service::Target;
use crate::wire::Frame;
use crate::wire::Id;
use crate::wire::Reply;

/// Fraction of a leaf's connections that all instances together use. The rest is reserved for
/// instances that restart.
const CONNECTIONS_FRACTION: f64 = 0.8;
/// Maximum number of connections that an instance opens at the same time, to all leafs together.
const CONCURRENT_CONNECTS_MAX: usize = 16;
/// Seed of the replica choice.
const DEFAULT_SEED: u64 = 0x6a61_7963;

/// A query or non-idempotent request and the rules for sending it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Service to query.
    pub service: SmolStr,
    /// Group to send to; only used by [`Fleet::send_once`].
    pub group: Option<Group>,
    /// Body, passed through to the leafs unchanged.
    pub body: Bytes,
    /// Time at which the answer is due.
    pub deadline: Instant,
    /// Rank, which orders the queues for slots.
    pub rank: Rank,
    /// Whether the query is within the floor of its rank. Such a query may exceed this instance's
    /// share of slots by one for each leaf.
    pub within_floor: bool,
    /// Hash of service and body, reported to the observer if the connection to a leaf breaks.
    pub fingerprint: u64,
    /// Whether sub-requests may be hedged; false for requests that are suspected to crash leafs.
    pub hedge: bool,
    /// Whether a sub-request whose connection broke is sent to another replica immediately. If
    /// not, its group is given up, because the request may have crashed the leaf.
    pub retry_broken: bool,
}

/// Replies of one query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replies {
    /// Index version that all replies come from.
    pub snapshot: Version,
    /// Groups that are covered and those that are missing.
    pub coverage: Coverage,
    /// Reply body of each covered group.
    pub bodies: BTreeMap<Group, Bytes>,
    /// Whether a group was given up because the connection to its leaf broke, see
    /// [`Plan::retry_broken`].
    pub connection_broke: bool,
}

/// Options of a fleet.
#[derive(Clone)]
pub struct Options {
    /// Receiver of connection failures.
    pub observer: Option<Arc<dyn Observer>>,
    /// Initial policy.
    pub policy: Policy,
    /// Seed of the replica choice.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { observer: None, policy: Policy::default(), seed: DEFAULT_SEED }
    }
}

/// Serializable state of a fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Number of hedges sent since the start.
    pub hedges: u64,
    /// Number of attempts cancelled since the start.
    pub cancels: u64,
    /// Number of connections closed because they went silent, since the start.
    pub silent: u64,
    /// Services by name.
    pub services: BTreeMap<SmolStr, ServiceDump>,
}

/// Serializable state of a service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceDump {
    /// This instance's fraction of the capacity.
    pub fraction: f64,
    /// Number of sub-requests that wait for slots.
    pub waiting: usize,
    /// Groups by name.
    pub groups: BTreeMap<Group, GroupDump>,
    /// Leafs of all groups.
    pub leafs: Vec<leaf::Dump>,
}

/// Serializable state of a group.
#[derive(Clone, Debug, Serialize)]
pub struct GroupDump {
    /// This instance's share of the slots.
    pub share: f64,
    /// Number of sub-requests in flight.
    pub in_flight: u32,
    /// Number of sub-requests that wait for slots.
    pub waiting: usize,
    /// 95th percentile of the latency, in milliseconds.
    pub p95_ms: f64,
}

/// State that the queries share with the health checks.
pub(crate) struct Shared {
    pub(crate) next_id: AtomicU64,
    pub(crate) limit_enabled: AtomicBool,
    pub(crate) hedges: AtomicU64,
    pub(crate) cancels: AtomicU64,
    pub(crate) silent: AtomicU64,
    selector: Mutex<Arc<dyn Selector>>,
    services: Mutex<BTreeMap<SmolStr, Arc<Service>>>,
    leaving: Mutex<BTreeSet<SmolStr>>,
    backlogs: Mutex<BTreeMap<SmolStr, Arc<Backlog>>>,
}

impl Shared {
    pub(crate) fn selector(&self) -> Arc<dyn Selector> {
        lock(&self.selector).clone()
    }

    pub(crate) fn service(&self, name: &str) -> Option<Arc<Service>> {
        lock(&self.services).get(name).cloned()
    }

    fn backpressure(&self, name: &str) -> Arc<Backlog> {
        lock(&self.backlogs).entry(name.into()).or_default().clone()
    }

    pub(crate) fn leafs(&self) -> Vec<Arc<Leaf>> {
        lock(&self.services).values().flat_map(|service| service.leafs.values()).cloned().collect()
    }
}

/// Client of all leafs of all services of this instance.
pub struct Fleet {
    shared: Arc<Shared>,
    connect_permits: Arc<Semaphore>,
    observer: Option<Arc<dyn Observer>>,
    policy: Mutex<Policy>,
    seed: u64,
    monitor_task: tokio::task::AbortHandle,
}

impl Fleet {
    /// Creates a fleet without services and starts the health checks of its connections.
    ///
    /// # Panics
    ///
    /// Panics if called outside of a tokio runtime.
    pub fn new(options: Options) -> Self {
        let shared = Arc::new(Shared {
            // Leafs receive the ids of all instances. Each fleet starts at a random id, so that a
            // cancellation or a mismatched reply does not match a request of another instance.
            next_id: AtomicU64::new(u64::from(rand::random::<u32>()) << 32),
            limit_enabled: AtomicBool::new(options.policy.limit),
            hedges: AtomicU64::new(0),
            cancels: AtomicU64::new(0),
            silent: AtomicU64::new(0),
            selector: Mutex::new(selector(options.policy.replicas, options.seed)),
            services: Mutex::default(),
            leaving: Mutex::default(),
            backlogs: Mutex::default(),
        });
        let monitor_task = tokio::spawn(health_check::monitor(shared.clone())).abort_handle();
        Self {
            shared,
            connect_permits: Arc::new(Semaphore::new(CONCURRENT_CONNECTS_MAX)),
            observer: options.observer,
            policy: Mutex::new(options.policy),
            seed: options.seed,
            monitor_task,
        }
    }

    /// Adds a service or replaces its shard map and settings.
    ///
    /// Unchanged leafs keep their connections, and removed leafs finish their sub-requests.
    /// `instances` is the number of instances that share the leafs' connections and, until
    /// [`Self::set_share`] is called, their slots.
    pub fn set_service(
        &self,
        name: &str,
        map: ShardMap,
        settings: &schema::Service,
        instances: usize,
    ) {
        let instances = instances.max(1);
        let usable_connections = f64::from(settings.connections) * CONNECTIONS_FRACTION;
        let connections = ((usable_connections / instances as f64) as usize).max(1);
        let mut services = lock(&self.shared.services);
        let previous = services.get(name).cloned();
        let leaving = lock(&self.shared.leaving);
        let leaf = |replica: &jaycrank_policy::snapshot::Replica| {
            let previous =
                previous.as_ref().and_then(|previous| previous.leafs.get(&replica.address));
            if let Some(previous) = previous.filter(|previous| previous.replica() == replica) {
                previous.resize(connections, settings.slots);
                return previous.clone();
            }
            let (connect_permits, observer) = (self.connect_permits.clone(), self.observer.clone());
            let leaf =
                Leaf::new(replica.clone(), connections, settings.slots, connect_permits, observer);
            leaf.set_leaving(leaving.contains(&replica.name));
            leaf.pool().warm_up();
            leaf
        };
        let policy = lock(&self.policy).clone();
        let extra_budget = ExtraBudget::new(policy.hedge_budget, policy.retry_budget);
        let backpressure = self.shared.backpressure(name);
        let fraction = 1.0 / instances as f64;
        let service = Service::new(
            &map,
            previous.as_deref(),
            backpressure,
            extra_budget,
            settings.slots,
            fraction,
            leaf,
        );
        let removed =
            previous.iter().flat_map(|previous| &previous.leafs).filter(|(address, leaf)| {
                let kept = |address: &SocketAddr| service.leafs.get(address);
                kept(address).is_none_or(|kept| !Arc::ptr_eq(kept, leaf))
            });
        removed.for_each(|(_, leaf)| leaf.close());
        services.insert(name.into(), Arc::new(service));
    }

    /// Applies a policy.
    pub fn set_policy(&self, policy: &Policy) {
        let old_policy = std::mem::replace(&mut *lock(&self.policy), policy.clone());
        if old_policy.replicas != policy.replicas {
            *lock(&self.shared.selector) = selector(policy.replicas, self.seed);
        }
        self.shared.limit_enabled.store(policy.limit, Ordering::Relaxed);
        for service in lock(&self.shared.services).values() {
            service.extra_budget().set_fractions(policy.hedge_budget, policy.retry_budget);
        }
    }

    /// Sets this instance's fraction of the capacity of a service, 0 to 1. A new shard map
    /// keeps the fraction.
    pub fn set_share(&self, name: &str, fraction: f64) {
        let mut services = lock(&self.shared.services);
        if let Some(service) = services.get_mut(name) {
            *service = Arc::new(service.with_fraction(fraction.clamp(0.0, 1.0)));
        }
    }

    /// Returns the queries per second that all instances together can send to a service, or 0 if
    /// unknown.
    ///
    /// It is computed from the slots of the group with the lowest capacity and the mean latency
    /// of this instance's sub-requests.
    pub fn capacity(&self, name: &str) -> f64 {
        self.shared.service(name).map_or(0.0, |service| service.capacity())
    }

    /// Sets the leafs that are leaving according to the instance list. They get no new work.
    pub fn set_leaving(&self, names: BTreeSet<SmolStr>) {
        for leaf in self.shared.leafs() {
            leaf.set_leaving(names.contains(&leaf.replica().name));
        }
        *lock(&self.shared.leaving) = names;
    }

    /// Returns the back-pressure of a service. The service may be added later.
    pub fn backpressure(&self, name: &str) -> Arc<dyn Backpressure> {
        self.shared.backpressure(name)
    }

    /// Sends a query to all groups and gathers the replies that arrive before the deadline.
    ///
    /// Returns `None` for a service without a shard map.
    pub async fn scatter(&self, plan: &Plan) -> Option<Replies> {
        let service = self.shared.service(&plan.service)?;
        let layout = service.pin(None)?;
        if let Some(replies) = query::run(&self.shared, plan, &service, layout, true).await {
            return Some(replies);
        }
        let layout = service.pin(None)?;
        query::run(&self.shared, plan, &service, layout, false).await
    }

    /// Sends a non-idempotent request to one leaf of the plan's group.
    ///
    /// It is sent to another leaf only if no byte was sent to the previous one, and never hedged.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its category tells whether a leaf may have run the request.
    pub async fn send_once(&self, plan: &Plan, attempt_id: u64) -> Result<Reply> {
        let no_leaf = || Error::NotSent(format_smolstr!("no leaf for {}", plan.service));
        let group = plan.group.as_ref().ok_or_else(no_leaf)?;
        let service = self.shared.service(&plan.service).ok_or_else(no_leaf)?;
        let layout = service.pin(Some(group)).ok_or_else(no_leaf)?;
        let target = layout.targets.iter().find(|target| target.group_state.group() == group);
        let target = target.ok_or_else(no_leaf)?;
        let slot = self.wait_for_slot(plan, target);
        let slot = tokio::time::timeout_at(plan.deadline.into(), slot).await;
        // Nothing is sent while the request waits for its slot, so the error is [`Error::NotSent`].
        let _slot = slot.map_err(|_| Error::NotSent("no slot before the deadline".into()))?;
        let mut tried = 0;
        let mut last_error = None;
        loop {
            let now = now();
            let chosen = query::choose_replica(&self.shared, target, layout.version, tried, now);
            let Some(chosen) = chosen else { return Err(last_error.unwrap_or_else(no_leaf)) };
            tried |= 1 << (chosen % 64);
            let frame = Frame {
                id: self.next_id(),
                path: target.path.clone(),
                snapshot: layout.version,
                timeout: plan.deadline.saturating_duration_since(now),
                attempt_id: Some(attempt_id),
                fingerprint: plan.fingerprint,
                body: plan.body.clone(),
            };
            let call = target.leafs[chosen].call(&frame);
            let reply = tokio::time::timeout_at(plan.deadline.into(), call).await;
            match reply.unwrap_or(Err(Error::Deadline)) {
                Err(error @ Error::NotSent(_)) => last_error = Some(error),
                reply => return reply,
            }
        }
    }

    async fn wait_for_slot(&self, plan: &Plan, target: &Target) -> Slot {
        let wake = Arc::default();
        let mut slot = target.group_state.acquire(plan.rank, plan.within_floor, &wake, now());
        while !slot.is_granted() {
            let ready_at = target.group_state.slots().ready_at().unwrap_or(plan.deadline);
            // Waits until another request releases a slot or there is credit for one more.
            let _ = tokio::time::timeout_at(ready_at.into(), wake.notified()).await;
            target.group_state.grant_waiting(now());
        }
        slot.end_wait();
        slot
    }

    fn next_id(&self) -> Id {
        self.shared.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the serializable state.
    pub fn dump(&self) -> Dump {
        let services = lock(&self.shared.services).clone();
        let dump = |(name, service): (SmolStr, Arc<Service>)| {
            let group = |state: &crate::service::GroupState| {
                let p95_ms = state.summary().p95.as_secs_f64() * 1_000.0;
                let slots = state.slots();
                GroupDump {
                    share: slots.share(),
                    in_flight: slots.in_flight(),
                    waiting: slots.waiting(),
                    p95_ms,
                }
            };
            let groups =
                service.group_states.iter().map(|(name, state)| (name.clone(), group(state)));
            let service = ServiceDump {
                fraction: service.fraction,
                waiting: service.backpressure.count(),
                groups: groups.collect(),
                leafs: service.leafs.values().map(|leaf| leaf.dump()).collect(),
            };
            (name, service)
        };
        Dump {
            hedges: self.shared.hedges.load(Ordering::Relaxed),
            cancels: self.shared.cancels.load(Ordering::Relaxed),
            silent: self.shared.silent.load(Ordering::Relaxed),
            services: services.into_iter().map(dump).collect(),
        }
    }

    /// Removes all services and stops the health checks.
    ///
    /// Sub-requests in flight are finished, and then their connections are closed.
    pub fn close(&self) {
        let services = std::mem::take(&mut *lock(&self.shared.services));
        services.values().flat_map(|service| service.leafs.values()).for_each(|leaf| leaf.close());
        self.monitor_task.abort();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.close();
    }
}

fn selector(replicas: ReplicaSelection, seed: u64) -> Arc<dyn Selector> {
    match replicas {
        ReplicaSelection::Observed => Arc::new(PowerOfTwo::with_seed(seed)),
        ReplicaSelection::Reported => Arc::new(LeastLoaded),
        ReplicaSelection::RoundRobin => Arc::new(RoundRobin::new()),
    }
}

fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
