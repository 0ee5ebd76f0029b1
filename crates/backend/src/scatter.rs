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
use crate::service::Service;
use crate::service::Slot;
use crate::service::Target;
use crate::service::Waiting;
use crate::wire::Frame;
use crate::wire::Id;
use crate::wire::Reply;

/// Fraction of a leaf's connections that the instances use; the rest is reserved for restarts.
const CONNECTIONS_FRACTION: f64 = 0.8;
/// Connections that an instance opens at a time, to all leafs together.
const OPENINGS_MAX: usize = 16;
/// Seed of the replica choice.
const DEFAULT_SEED: u64 = 0x6a61_7963;

/// One query as it is sent to the groups.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Service to query.
    pub service: SmolStr,
    /// The only group to query, for [`Fleet::send_once`].
    pub group: Option<Group>,
    /// Body, passed through to the leafs.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: Instant,
    /// Rank in the queues for slots.
    pub rank: Rank,
    /// Whether the query is within the floor of its rank, so that it may exceed this instance's
    /// share of slots by one for each leaf.
    pub within_floor: bool,
    /// Hash of service and body, reported if the connection to a leaf breaks.
    pub fingerprint: u64,
    /// Whether sub-requests may be hedged; false for suspected requests.
    pub hedge: bool,
    /// Whether a sub-request whose connection broke is sent to another replica at once. If not,
    /// its group is given up, because the request may have crashed the leaf.
    pub retry_broken: bool,
}

/// Replies of one query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replies {
    /// Index version that all replies come from.
    pub snapshot: Version,
    /// Groups covered and missing.
    pub coverage: Coverage,
    /// Body of the reply of each covered group.
    pub bodies: BTreeMap<Group, Bytes>,
    /// Whether a group was given up because its connection broke, see [`Plan::retry_broken`].
    pub connection_broke: bool,
}

/// How a fleet is set up.
#[derive(Clone)]
pub struct Options {
    /// Receiver of connection failures.
    pub observer: Option<Arc<dyn Observer>>,
    /// Policy at the start.
    pub policy: Policy,
    /// Seed of the replica choice.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { observer: None, policy: Policy::default(), seed: DEFAULT_SEED }
    }
}

/// State of a fleet, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Hedged sub-requests since the start.
    pub hedges: u64,
    /// Sub-requests cancelled since the start.
    pub cancels: u64,
    /// Connections closed because they went silent, since the start.
    pub silent: u64,
    /// Services by name.
    pub services: BTreeMap<SmolStr, ServiceDump>,
}

/// State of a service, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceDump {
    /// This instance's fraction of the capacity.
    pub fraction: f64,
    /// Sub-requests that wait for slots.
    pub waiting: usize,
    /// Groups by name.
    pub groups: BTreeMap<Group, GroupDump>,
    /// Leafs.
    pub leafs: Vec<leaf::Dump>,
}

/// State of a group, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct GroupDump {
    /// Share in slots.
    pub share: f64,
    /// Sub-requests in flight.
    pub in_flight: u32,
    /// Sub-requests that wait for slots.
    pub waiting: usize,
    /// 95th percentile of the latency, in milliseconds.
    pub p95_ms: f64,
}

/// What the queries and the watch over silent connections share.
pub(crate) struct Shared {
    pub(crate) next_id: AtomicU64,
    pub(crate) limit: AtomicBool,
    pub(crate) hedges: AtomicU64,
    pub(crate) cancels: AtomicU64,
    pub(crate) silent: AtomicU64,
    selector: Mutex<Arc<dyn Selector>>,
    services: Mutex<BTreeMap<SmolStr, Arc<Service>>>,
    leaving: Mutex<BTreeSet<SmolStr>>,
    rooms: Mutex<BTreeMap<SmolStr, Arc<Waiting>>>,
}

impl Shared {
    pub(crate) fn selector(&self) -> Arc<dyn Selector> {
        lock(&self.selector).clone()
    }

    pub(crate) fn service(&self, name: &str) -> Option<Arc<Service>> {
        lock(&self.services).get(name).cloned()
    }

    fn backpressure(&self, name: &str) -> Arc<Waiting> {
        lock(&self.rooms).entry(name.into()).or_default().clone()
    }

    pub(crate) fn leafs(&self) -> Vec<Arc<Leaf>> {
        lock(&self.services).values().flat_map(|service| service.leafs.values()).cloned().collect()
    }
}

/// All leafs that this instance talks to.
pub struct Fleet {
    shared: Arc<Shared>,
    openings: Arc<Semaphore>,
    observer: Option<Arc<dyn Observer>>,
    policy: Mutex<Policy>,
    seed: u64,
    watch: tokio::task::AbortHandle,
}

impl Fleet {
    /// Creates a fleet without services and starts its watch over silent connections.
    ///
    /// # Panics
    ///
    /// Outside of a tokio runtime.
    pub fn new(options: Options) -> Self {
        let shared = Arc::new(Shared {
            // Leafs see the ids of all instances, and a cancel or a crossed reply must not meet
            // another instance's request, so each fleet counts from a random start.
            next_id: AtomicU64::new(u64::from(rand::random::<u32>()) << 32),
            limit: AtomicBool::new(options.policy.limit),
            hedges: AtomicU64::new(0),
            cancels: AtomicU64::new(0),
            silent: AtomicU64::new(0),
            selector: Mutex::new(selector(options.policy.replicas, options.seed)),
            services: Mutex::default(),
            leaving: Mutex::default(),
            rooms: Mutex::default(),
        });
        let watch = tokio::spawn(health_check::watch(shared.clone())).abort_handle();
        Self {
            shared,
            openings: Arc::new(Semaphore::new(OPENINGS_MAX)),
            observer: options.observer,
            policy: Mutex::new(options.policy),
            seed: options.seed,
            watch,
        }
    }

    /// Adds a service or replaces its partition map and settings.
    ///
    /// Leafs that stay keep their connections, and leafs that go finish their sub-requests.
    /// `instances` is the number of instances that share the leafs' connections and, until
    /// [`Self::set_share`], their slots.
    pub fn set_service(
        &self,
        name: &str,
        map: ShardMap,
        settings: &schema::Service,
        instances: usize,
    ) {
        let instances = instances.max(1);
        let usable = f64::from(settings.connections) * CONNECTIONS_FRACTION;
        let connections = ((usable / instances as f64) as usize).max(1);
        let mut services = lock(&self.shared.services);
        let known = services.get(name).cloned();
        let leaving = lock(&self.shared.leaving);
        let leaf = |replica: &jaycrank_policy::snapshot::Replica| {
            let known = known.as_ref().and_then(|known| known.leafs.get(&replica.address));
            if let Some(known) = known.filter(|known| known.replica() == replica) {
                known.resize(connections, settings.slots);
                return known.clone();
            }
            let (openings, observer) = (self.openings.clone(), self.observer.clone());
            let leaf = Leaf::new(replica.clone(), connections, settings.slots, openings, observer);
            leaf.set_leaving(leaving.contains(&replica.name));
            leaf.pool().warm_up();
            leaf
        };
        let policy = lock(&self.policy).clone();
        let extra = ExtraBudget::new(policy.hedge_budget, policy.retry_budget);
        let backpressure = self.shared.backpressure(name);
        let fraction = 1.0 / instances as f64;
        let service = Service::new(
            &map,
            known.as_deref(),
            backpressure,
            extra,
            settings.slots,
            fraction,
            leaf,
        );
        let gone = known.iter().flat_map(|known| &known.leafs).filter(|(address, leaf)| {
            let stays = |address: &SocketAddr| service.leafs.get(address);
            stays(address).is_none_or(|stays| !Arc::ptr_eq(stays, leaf))
        });
        gone.for_each(|(_, leaf)| leaf.close());
        services.insert(name.into(), Arc::new(service));
    }

    /// Puts a policy in force.
    pub fn set_policy(&self, policy: &Policy) {
        let before = std::mem::replace(&mut *lock(&self.policy), policy.clone());
        if before.replicas != policy.replicas {
            *lock(&self.shared.selector) = selector(policy.replicas, self.seed);
        }
        self.shared.limit.store(policy.limit, Ordering::Relaxed);
        for service in lock(&self.shared.services).values() {
            service.extra().set_fractions(policy.hedge_budget, policy.retry_budget);
        }
    }

    /// Sets this instance's fraction of a service's capacity, 0 to 1. It stays in force when the
    /// partition map changes.
    pub fn set_share(&self, name: &str, fraction: f64) {
        let mut services = lock(&self.shared.services);
        if let Some(service) = services.get_mut(name) {
            *service = Arc::new(service.with_fraction(fraction.clamp(0.0, 1.0)));
        }
    }

    /// Queries per second that all instances together can send to a service, by the slots of its
    /// tightest group and the mean time that this instance's sub-requests took; 0 if unknown.
    pub fn capacity(&self, name: &str) -> f64 {
        self.shared.service(name).map_or(0.0, |service| service.capacity())
    }

    /// Sets the leafs that leave according to the instance list; they get no new work.
    pub fn set_leaving(&self, names: BTreeSet<SmolStr>) {
        for leaf in self.shared.leafs() {
            leaf.set_leaving(names.contains(&leaf.replica().name));
        }
        *lock(&self.shared.leaving) = names;
    }

    /// Returns the room for more queries of a service, which may be added later.
    pub fn backpressure(&self, name: &str) -> Arc<dyn Backpressure> {
        self.shared.backpressure(name)
    }

    /// Sends a query to all groups and gathers what arrives before the deadline.
    ///
    /// Returns `None` for a service without a partition map.
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
    /// Another leaf gets it only if no byte was sent to the first one. It is never hedged.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its category tells whether a leaf may have run the request.
    pub async fn send_once(&self, plan: &Plan, attempt: u64) -> Result<Reply> {
        let unknown = || Error::Connect(format_smolstr!("no leaf for {}", plan.service));
        let group = plan.group.as_ref().ok_or_else(unknown)?;
        let service = self.shared.service(&plan.service).ok_or_else(unknown)?;
        let layout = service.pin(Some(group)).ok_or_else(unknown)?;
        let target = layout.targets.iter().find(|target| target.shard.group() == group);
        let target = target.ok_or_else(unknown)?;
        let slot = self.slot(plan, target);
        let slot = tokio::time::timeout_at(plan.deadline.into(), slot).await;
        // Nothing has been sent while the request waited for its slot.
        let _slot = slot.map_err(|_| Error::Connect("no slot before the deadline".into()))?;
        let mut tried = 0;
        let mut last = None;
        loop {
            let now = now();
            let chosen = query::choose(&self.shared, target, layout.version, tried, now);
            let Some(chosen) = chosen else { return Err(last.unwrap_or_else(unknown)) };
            tried |= 1 << (chosen % 64);
            let frame = Frame {
                id: self.next_id(),
                path: target.path.clone(),
                snapshot: layout.version,
                deadline: plan.deadline.saturating_duration_since(now),
                attempt: Some(attempt),
                fingerprint: plan.fingerprint,
                body: plan.body.clone(),
            };
            let call = target.leafs[chosen].call(&frame);
            let reply = tokio::time::timeout_at(plan.deadline.into(), call).await;
            match reply.unwrap_or(Err(Error::Deadline)) {
                Err(error @ Error::Connect(_)) => last = Some(error),
                reply => return reply,
            }
        }
    }

    async fn slot(&self, plan: &Plan, target: &Target) -> Slot {
        let wake = Arc::default();
        let mut slot = target.shard.enter(plan.rank, plan.within_floor, &wake, now());
        while !slot.is_granted() {
            let ready_at = target.shard.slots().ready_at().unwrap_or(plan.deadline);
            // Waits for a slot that another request gives back, or for credit.
            let _ = tokio::time::timeout_at(ready_at.into(), wake.notified()).await;
            target.shard.grant(now());
        }
        slot.begin();
        slot
    }

    fn next_id(&self) -> Id {
        self.shared.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Serializable state.
    pub fn dump(&self) -> Dump {
        let services = lock(&self.shared.services).clone();
        let dump = |(name, service): (SmolStr, Arc<Service>)| {
            let group = |shard: &crate::service::Shard| {
                let p95_ms = shard.summary().p95.as_secs_f64() * 1_000.0;
                let slots = shard.slots();
                GroupDump {
                    share: slots.share(),
                    in_flight: slots.in_flight(),
                    waiting: slots.waiting(),
                    p95_ms,
                }
            };
            let groups = service.shards.iter().map(|(name, shard)| (name.clone(), group(shard)));
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

    /// Removes all services; sub-requests in flight end, and then all connections are closed.
    pub fn close(&self) {
        let services = std::mem::take(&mut *lock(&self.shared.services));
        services.values().flat_map(|service| service.leafs.values()).for_each(|leaf| leaf.close());
        self.watch.abort();
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
