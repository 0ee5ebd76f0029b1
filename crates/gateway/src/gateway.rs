//! A running gateway: the borders that its tasks share, each with one owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jaycrank_policy::connections::Fleet;
use jaycrank_policy::extra::Extra;
use jaycrank_policy::overload::Shedder;
use jaycrank_policy::placement::Usual;
use jaycrank_policy::scarcity;
use jaycrank_policy::scarcity::Supply;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::round_trip::Estimator;
use crate::header::Names;
use crate::metrics::Metrics;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the instance.
    pub name: SmolStr,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the instance takes callers.
    pub ready_listen: SocketAddr,
    /// Path of that question.
    pub ready_path: SmolStr,
    /// Where metrics and the state dump are served.
    pub admin_listen: Option<SocketAddr>,
    /// Where other instances connect.
    pub peer_listen: Option<SocketAddr>,
    /// Instances to ask when the catalog can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// Failure domain of the instance.
    pub failure_domain: SmolStr,
    /// Region of each failure domain.
    pub regions: BTreeMap<SmolStr, SmolStr>,
    /// Instances that share the connections of leafs and the budget of extra requests, as long as
    /// they are not known.
    pub instances: usize,
    /// Extra requests of a service, as a share of its requests.
    pub extra_ratio: f64,
    /// Extra requests of a service in a window, beside the share.
    pub extra_fixed: f64,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Longest graceful shutdown.
    pub grace: Duration,
    /// Network time to callers and back.
    pub caller_round_trip: Duration,
    /// Names of headers.
    pub names: Names,
}

impl Options {
    /// Failure domains of the own region.
    fn near(&self) -> BTreeSet<SmolStr> {
        let own = self.regions.get(&self.failure_domain);
        let near = self.regions.iter().filter(|(_, region)| Some(*region) == own);
        near.map(|(domain, _)| domain.clone()).chain([self.failure_domain.clone()]).collect()
    }

    /// The fleet as assumed: the same number of instances in each failure domain.
    fn fleet(&self) -> Fleet {
        let domains = self.regions.len().max(1);
        let own_region = (self.instances * self.near().len() / domains).max(1);
        Fleet { own_region, all: self.instances.max(1) }
    }
}

/// Budgets of extra requests by service.
#[derive(Debug)]
pub struct Budgets {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ratio: f64,
    fixed: f64,
    instances: usize,
    services: BTreeMap<SmolStr, Extra>,
}

impl Budgets {
    fn new(options: &Options) -> Self {
        let state = State {
            ratio: options.extra_ratio,
            fixed: options.extra_fixed,
            instances: options.instances,
            services: BTreeMap::new(),
        };
        Self { state: Mutex::new(state) }
    }

    /// Changes the bound; returns whether it differs.
    pub fn configure(&self, ratio: f64, fixed: f64) -> bool {
        let mut state = self.lock();
        let differs = state.ratio != ratio || state.fixed != fixed;
        state.ratio = ratio;
        state.fixed = fixed;
        state.apply();
        differs
    }

    /// Changes the number of instances that share the fixed part.
    pub fn set_instances(&self, instances: usize) {
        let mut state = self.lock();
        if state.instances != instances {
            state.instances = instances;
            state.apply();
        }
    }

    /// Counts a request for a service.
    pub fn earn(&self, service: &SmolStr) {
        self.with(service, Extra::earn);
    }

    /// Takes the token of an extra request if there is one.
    pub fn spend(&self, service: &SmolStr) -> bool {
        self.with(service, Extra::spend)
    }

    /// Whether there is a token for an extra request.
    pub fn allows(&self, service: &SmolStr) -> bool {
        self.tokens(service) >= 1.0
    }

    /// Tokens that a service holds.
    pub fn tokens(&self, service: &SmolStr) -> f64 {
        self.with(service, |extra| extra.tokens())
    }

    /// Tokens of all services that were asked.
    pub fn all(&self) -> BTreeMap<SmolStr, f64> {
        let state = self.lock();
        state.services.iter().map(|(service, extra)| (service.clone(), extra.tokens())).collect()
    }

    fn with<T>(&self, service: &SmolStr, act: impl FnOnce(&mut Extra) -> T) -> T {
        let mut state = self.lock();
        let State { ratio, fixed, instances, services } = &mut *state;
        let new = || Extra::new(*ratio, *fixed, *instances);
        act(services.entry(service.clone()).or_insert_with(new))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self) {
        for extra in self.services.values_mut() {
            extra.configure(self.ratio, self.fixed, self.instances);
        }
    }
}

/// How well the shards keep up, by service.
#[derive(Debug, Default)]
pub struct Shards {
    services: Mutex<BTreeMap<SmolStr, Supply>>,
}

impl Shards {
    /// Takes note of a part that came in time, or did not.
    pub fn record(&self, service: &SmolStr, in_time: bool) {
        let now = Instant::now().into_std();
        self.lock().entry(service.clone()).or_default().note(in_time, now);
    }

    /// Chooses the shards that a query leaves out, by position.
    pub fn leave_out(&self, services: &[SmolStr], coverage_min: f64) -> Vec<usize> {
        let known = self.lock();
        let asked = services.iter().map(|service| known.get(service).map_or(1.0, Supply::asked));
        scarcity::leave_out(&asked.collect::<Vec<_>>(), coverage_min, rand::random)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, Supply>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    directory: Directory,
    round_trips: Arc<Estimator>,
    names: Arc<Names>,
    budgets: Budgets,
    shards: Shards,
    caller_round_trip: Duration,
    service_times: Mutex<BTreeMap<SmolStr, Usual>>,
    shedder: Shedder,
    metrics: Metrics,
}

impl Gateway {
    /// Creates a gateway that knows no route and no leaf.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be set up.
    pub fn new(options: &Options) -> Result<Self, jaycrank_metric::Error> {
        let round_trips = Estimator::new(options.failure_domain.clone(), options.regions.clone());
        Ok(Self {
            directory: Directory::new(options.near(), options.fleet()),
            round_trips: Arc::new(round_trips),
            names: Arc::new(options.names.clone()),
            budgets: Budgets::new(options),
            shards: Shards::default(),
            caller_round_trip: options.caller_round_trip,
            service_times: Mutex::default(),
            shedder: Shedder::new(),
            metrics: Metrics::new()?,
        })
    }

    /// Routes and leafs.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Network times.
    pub fn round_trips(&self) -> &Arc<Estimator> {
        &self.round_trips
    }

    /// Names of headers.
    pub fn names(&self) -> &Arc<Names> {
        &self.names
    }

    /// Budgets of extra requests.
    pub fn budgets(&self) -> &Budgets {
        &self.budgets
    }

    /// How well the shards keep up.
    pub fn shards(&self) -> &Shards {
        &self.shards
    }

    /// Network time to callers and back.
    pub fn caller_round_trip(&self) -> Duration {
        self.caller_round_trip
    }

    /// Admission by the load of this process.
    pub fn shedder(&self) -> &Shedder {
        &self.shedder
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Service times of a service.
    pub fn service_times(&self, service: &str) -> Usual {
        let times = self.service_times.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(service).copied().unwrap_or_default()
    }

    /// Takes note of a service time.
    pub fn record_service_time(&self, service: &SmolStr, time: Duration) {
        let mut times = self.service_times.lock().unwrap_or_else(PoisonError::into_inner);
        times.entry(service.clone()).or_default().record(time);
    }
}
