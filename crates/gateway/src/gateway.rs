//! State that the tasks of a running gateway share, and its settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::capacity::Capacity;
use jaycrank_policy::clients::Counts;
use jaycrank_policy::connections::FleetSize;
use jaycrank_policy::deadline::Shutdown;
use jaycrank_policy::extra_requests::Quota;
use jaycrank_policy::memory::Memory;
use jaycrank_policy::memory::Usage;
use jaycrank_policy::overload::Shedder;
use jaycrank_policy::placement::ServiceTime;
use jaycrank_policy::quarantine::Quarantine;
use jaycrank_policy::recent_success::RecentSuccesses;
use jaycrank_policy::shard_throttle;
use jaycrank_policy::shard_throttle::Throttle;
use jaycrank_policy::timing::ProcessingTime;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::attempt::Outgoing;
use crate::directory::Directory;
use crate::header::Names;
use crate::metrics::Metrics;
use crate::rate_limit::RateLimits;
use crate::reachability::Reachability;
use crate::rest::Rests;
use crate::round_trip::Estimator;
use crate::sockets::Sockets;
use crate::topology::Topology;
use crate::traffic::Traffic;

/// Most suspects that run isolated at a time. They run at different leafs where possible.
const ISOLATED_RUNS_MAX: usize = 8;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the instance.
    pub name: SmolStr,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the readiness probe of the load balancer.
    pub ready_listen: SocketAddr,
    /// HTTP path of the readiness probe.
    pub ready_path: SmolStr,
    /// Address at which metrics and the state dump are served.
    pub admin_listen: Option<SocketAddr>,
    /// Address for other instances.
    pub peer_listen: Option<SocketAddr>,
    /// Seed addresses through which other instances are found.
    pub seeds: Vec<SocketAddr>,
    /// Failure domain of the instance.
    pub failure_domain: SmolStr,
    /// Region of each failure domain.
    pub regions: BTreeMap<SmolStr, SmolStr>,
    /// Assumed number of instances that share the connections of leafs and the bound of extra
    /// requests, until the actual number is known.
    pub instances: usize,
    /// Extra requests of a service, as a ratio of its requests.
    pub extra_ratio: f64,
    /// Extra requests of a service in a window in addition to the ratio, in the whole fleet.
    pub extra_fixed: f64,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Longest duration of a graceful shutdown.
    pub grace: Duration,
    /// Network round-trip time to callers.
    pub caller_round_trip: Duration,
    /// Names of headers.
    pub names: Names,
    /// Memory and descriptors that the process may use.
    pub capacity: Capacity,
}

impl Options {
    /// Returns the failure domain of this instance and the regions of all.
    pub(crate) fn topology(&self) -> Topology {
        Topology::new(self.failure_domain.clone(), self.regions.clone())
    }

    /// Returns the name by which other instances know this one in the quarantine.
    fn quarantine_name(&self) -> SmolStr {
        match self.peer_listen {
            Some(address) => format_smolstr!("{address}"),
            None => self.name.clone(),
        }
    }

    /// Returns the assumed fleet, with equally many instances in each failure domain.
    fn assumed_fleet_size(&self) -> FleetSize {
        let domains = self.regions.len().max(1);
        let own_region =
            (self.instances * self.topology().own_region_domains().len() / domains).max(1);
        FleetSize { own_region, all: self.instances.max(1) }
    }
}

/// Quotas of extra requests by service.
#[derive(Debug)]
pub struct Quotas {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ratio: f64,
    fixed: f64,
    instances: usize,
    services: BTreeMap<SmolStr, Quota>,
}

impl Quotas {
    fn new(options: &Options) -> Self {
        let state = State {
            ratio: options.extra_ratio,
            fixed: options.extra_fixed,
            instances: options.instances,
            services: BTreeMap::new(),
        };
        Self { state: Mutex::new(state) }
    }

    /// Sets ratio and fixed part of all quotas; returns whether they differ from before.
    pub fn configure(&self, ratio: f64, fixed: f64) -> bool {
        let mut state = self.lock();
        let differs = state.ratio != ratio || state.fixed != fixed;
        state.ratio = ratio;
        state.fixed = fixed;
        state.reconfigure();
        differs
    }

    /// Sets the number of instances that share the fixed part.
    pub fn set_instances(&self, instances: usize) {
        let mut state = self.lock();
        if state.instances != instances {
            state.instances = instances;
            state.reconfigure();
        }
    }

    /// Adds the tokens for one regular request to the quota of a service.
    pub fn deposit(&self, service: &SmolStr) {
        self.with_quota(service, Quota::deposit);
    }

    /// Takes a token for an extra request; returns whether there was one.
    pub fn try_spend(&self, service: &SmolStr) -> bool {
        self.with_quota(service, Quota::try_spend)
    }

    /// Returns whether there is a token for an extra request.
    pub fn allows(&self, service: &SmolStr) -> bool {
        self.tokens(service) >= 1.0
    }

    /// Returns the tokens of a service.
    pub fn tokens(&self, service: &SmolStr) -> f64 {
        self.with_quota(service, |quota| quota.tokens())
    }

    /// Returns the tokens of each service that had a request.
    pub fn tokens_by_service(&self) -> BTreeMap<SmolStr, f64> {
        let state = self.lock();
        state.services.iter().map(|(service, quota)| (service.clone(), quota.tokens())).collect()
    }

    fn with_quota<T>(&self, service: &SmolStr, act: impl FnOnce(&mut Quota) -> T) -> T {
        let mut state = self.lock();
        let State { ratio, fixed, instances, services } = &mut *state;
        let create = || Quota::new(*ratio, *fixed, *instances);
        act(services.entry(service.clone()).or_insert_with(create))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn reconfigure(&mut self) {
        for quota in self.services.values_mut() {
            quota.configure(self.ratio, self.fixed, self.instances);
        }
    }
}

/// Throttles of the shards, by service.
#[derive(Debug, Default)]
pub struct Throttles {
    services: Mutex<BTreeMap<SmolStr, Throttle>>,
}

impl Throttles {
    /// Records whether a shard's part of an answer arrived in time.
    pub fn record(&self, service: &SmolStr, in_time: bool) {
        let now = Instant::now().into_std();
        self.lock().entry(service.clone()).or_default().record(in_time, now);
    }

    /// Returns the positions of the shards that a query leaves out because they are overloaded. The
    /// others cover at least `coverage_min`.
    pub fn leave_out(&self, services: &[SmolStr], coverage_min: f64) -> Vec<usize> {
        let throttles = self.lock();
        let query_fractions = services
            .iter()
            .map(|service| throttles.get(service).map_or(1.0, Throttle::query_fraction));
        shard_throttle::leave_out(&query_fractions.collect::<Vec<_>>(), coverage_min, rand::random)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Throttle>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State that the tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    capacity: Capacity,
    directory: Directory,
    round_trips: Arc<Estimator>,
    names: Arc<Names>,
    quotas: Quotas,
    throttles: Throttles,
    rate_limits: Arc<RateLimits>,
    rests: Arc<Rests>,
    reachability: Arc<Reachability>,
    shutdown: Arc<Shutdown>,
    caller_round_trip: Duration,
    service_times: Mutex<BTreeMap<SmolStr, ServiceTime>>,
    processing_time: Mutex<ProcessingTime>,
    shedder: Shedder,
    quarantine: Quarantine,
    successes: RecentSuccesses,
    request_memory: Arc<Memory>,
    answer_memory: Arc<Memory>,
    message_memory: Arc<Memory>,
    metrics: Metrics,
    traffic: Arc<Traffic>,
    random: Mutex<StdRng>,
}

impl Gateway {
    /// Creates a gateway without routes and leafs.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be set up.
    pub fn new(options: &Options) -> Result<Self, jaycrank_metric::Error> {
        let round_trips = Estimator::new(options.topology());
        let traffic = Arc::<Traffic>::default();
        let (topology, fleet) = (options.topology(), options.assumed_fleet_size());
        let sockets = Sockets::new(options.capacity.leaf_connections());
        let request_memory = Arc::new(Memory::new(options.capacity.request_bytes()));
        let answer_memory = Arc::new(Memory::new(options.capacity.answer_bytes()));
        let message_memory = Arc::new(Memory::new(options.capacity.message_bytes()));
        let metrics = Metrics::new(traffic.clone())?;
        for (name, memory) in memories(&request_memory, &answer_memory, &message_memory) {
            metrics.observe_memory(name, memory.clone());
        }
        Ok(Self {
            capacity: options.capacity,
            directory: Directory::new(topology, fleet, traffic.clone())
                .with_sockets(Arc::new(sockets)),
            round_trips: Arc::new(round_trips),
            names: Arc::new(options.names.clone()),
            quotas: Quotas::new(options),
            throttles: Throttles::default(),
            rate_limits: Arc::default(),
            rests: Arc::default(),
            reachability: Arc::default(),
            shutdown: Arc::default(),
            caller_round_trip: options.caller_round_trip,
            service_times: Mutex::default(),
            processing_time: Mutex::default(),
            shedder: Shedder::new(),
            quarantine: Quarantine::new(options.quarantine_name())
                .with_isolated_max(ISOLATED_RUNS_MAX)
                .with_forwarding(),
            successes: RecentSuccesses::new(),
            request_memory,
            answer_memory,
            message_memory,
            metrics,
            traffic,
            random: Mutex::new(rand::make_rng()),
        })
    }

    /// Makes the random choices of [`follow`](crate::follow) and [`peer`](crate::peer) repeatable.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { random: Mutex::new(StdRng::seed_from_u64(seed)), ..self }
    }

    /// Returns the source of random choices.
    pub(crate) fn random(&self) -> MutexGuard<'_, StdRng> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the memory and the descriptors that the process may use.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Records connections of a listener that were closed or refused.
    pub(crate) fn record_closed(&self, listener: &'static str, counts: Counts) {
        event!(
            Event::ConnectionsClosed,
            listener = listener,
            closed = counts.closed,
            blocked = counts.blocked,
            slow = counts.slow,
            refused = counts.refused
        );
        self.metrics.record_closed(listener, counts);
    }

    /// Returns the directory of routes and leafs.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the estimated round-trip times to failure domains.
    pub fn round_trips(&self) -> &Arc<Estimator> {
        &self.round_trips
    }

    /// Returns the names of headers.
    pub fn names(&self) -> &Arc<Names> {
        &self.names
    }

    /// Returns the quotas of extra requests.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Returns the throttles of the shards.
    pub fn throttles(&self) -> &Throttles {
        &self.throttles
    }

    /// Returns the limits that leafs state.
    pub fn rate_limits(&self) -> &Arc<RateLimits> {
        &self.rate_limits
    }

    /// Returns whether this instance reaches leafs.
    pub fn reachability(&self) -> &Arc<Reachability> {
        &self.reachability
    }

    /// Returns the time by which all requests must be answered because the instance stops.
    pub fn shutdown(&self) -> &Arc<Shutdown> {
        &self.shutdown
    }

    /// Returns the network round-trip time to callers.
    pub fn caller_round_trip(&self) -> Duration {
        self.caller_round_trip
    }

    /// Returns the rests that leafs ask for.
    pub(crate) fn rests(&self) -> &Arc<Rests> {
        &self.rests
    }

    /// Returns the load shedding of this process.
    pub fn shedder(&self) -> &Shedder {
        &self.shedder
    }

    /// Records that a request succeeded, which shows that it does not crash leafs.
    pub fn record_success(&self, request: &Outgoing) {
        let now = Instant::now().into_std();
        self.successes.record(self.successes.key(request), now);
        if !self.quarantine.is_empty() {
            self.quarantine.record_success(request.fingerprint(), now);
        }
    }

    /// Returns whether the same request of any caller succeeded within the last second.
    pub fn has_just_succeeded(&self, request: &Outgoing) -> bool {
        self.successes.contains(self.successes.key(request), Instant::now().into_std())
    }

    /// Returns the requests that are suspected of crashing leafs.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the memory for the requests of callers.
    pub fn request_memory(&self) -> &Arc<Memory> {
        &self.request_memory
    }

    /// Returns the memory for the answers of leafs until they are sent to callers.
    pub fn answer_memory(&self) -> &Arc<Memory> {
        &self.answer_memory
    }

    /// Returns the memory for messages of other instances.
    pub fn message_memory(&self) -> &Arc<Memory> {
        &self.message_memory
    }

    /// Returns the use of each memory by its name.
    pub fn memory_usage(&self) -> BTreeMap<SmolStr, Usage> {
        let named = memories(&self.request_memory, &self.answer_memory, &self.message_memory);
        named.into_iter().map(|(name, memory)| (name.into(), memory.usage())).collect()
    }

    /// Returns the counts of messages and bytes.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Returns the counters and histograms.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the service time statistics of a service.
    pub fn service_time(&self, service: &str) -> ServiceTime {
        let times = self.service_times.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(service).copied().unwrap_or_default()
    }

    /// Records a service time.
    pub fn record_service_time(&self, service: &SmolStr, time: Duration) {
        let mut times = self.service_times.lock().unwrap_or_else(PoisonError::into_inner);
        times.entry(service.clone()).or_default().record(time);
    }

    /// Returns the time that sending a partial answer takes after it has become due.
    pub fn processing_time(&self) -> ProcessingTime {
        *self.processing_time.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time that sending a partial answer took after it had become due.
    pub fn record_processing_time(&self, time: Duration) {
        self.processing_time.lock().unwrap_or_else(PoisonError::into_inner).record(time);
    }
}

/// Returns the memories for requests, answers and messages with their names.
fn memories<'a>(
    requests: &'a Arc<Memory>,
    answers: &'a Arc<Memory>,
    messages: &'a Arc<Memory>,
) -> [(&'static str, &'a Arc<Memory>); 3] {
    [("requests", requests), ("answers", answers), ("messages", messages)]
}
