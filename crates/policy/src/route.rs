//! Routes of requests by host and longest path prefix, and their targets.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Name of a service.
pub type Service = SmolStr;

/// Target of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// A leaf of one of these services, chosen in proportion to their weights.
    Split(Vec<(Service, f64)>),
    /// A leaf of each service; the parts are merged into one answer.
    Gather {
        /// Services that hold the shards.
        services: Vec<Service>,
        /// Number of records in the merged answer.
        top: usize,
        /// Smallest fraction of the shards that an answer must cover, from 0 to 1.
        coverage_min: f64,
    },
}

impl Target {
    /// Returns the number of parts of a complete answer.
    pub fn parts(&self) -> usize {
        match self {
            Self::Split(_) => 1,
            Self::Gather { services, .. } => services.len(),
        }
    }
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, unique in the configuration.
    pub name: SmolStr,
    /// Host of the requests, in lower case and without a port.
    pub host: SmolStr,
    /// Prefix of the request paths; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency within which an answer has its full value to the caller.
    pub target_latency: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Most leafs that may run one request, per shard.
    pub attempts_max: u32,
    /// Target of the requests.
    pub target: Target,
}

/// Routes, indexed by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: BTreeMap<SmolStr, BTreeMap<SmolStr, Arc<Route>>>,
}

impl Table {
    /// Creates an index of routes. Of two routes with the same host and prefix the later one wins.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut hosts: BTreeMap<SmolStr, BTreeMap<SmolStr, Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        Self { hosts }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// The case of `host` and a port in it are ignored.
    ///
    /// ```
    /// use jaycrank_policy::route::Table;
    ///
    /// assert!(Table::default().find("db.example:80", "/orders/1").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Returns all routes, ordered by host and prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(BTreeMap::values)
    }
}

/// Returns the service of a split at `point`, a uniform random number in [0, 1).
///
/// Services with a weight that is not positive are never picked.
pub fn pick_service(split: &[(Service, f64)], point: f64) -> Option<&Service> {
    let positive = |weight: f64| if weight > 0.0 { weight } else { 0.0 };
    let total: f64 = split.iter().map(|(_, weight)| positive(*weight)).sum();
    let mut rest = point * total;
    let mut last = None;
    for (service, weight) in split.iter().filter(|(_, weight)| *weight > 0.0) {
        last = Some(service);
        if rest < *weight {
            break;
        }
        rest -= weight;
    }
    last
}
