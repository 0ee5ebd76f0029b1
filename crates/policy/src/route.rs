//! Which route a request takes, by host and longest path prefix, and where the route leads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Name of a service.
pub type Service = SmolStr;

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one leaf of one of these services, in proportion to their weights.
    Split(Vec<(Service, f64)>),
    /// To one leaf of each service; the answer is merged from the parts.
    Gather {
        /// Services that hold the shards.
        services: Vec<Service>,
        /// Records in the merged answer.
        top: usize,
        /// Smallest share of the shards that makes an answer, from 0 to 1.
        coverage_min: f64,
    },
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: SmolStr,
    /// Host that requests are addressed to, in lower case and without a port.
    pub host: SmolStr,
    /// Start of the paths that take this route; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target_latency: Duration,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Leafs that may run one request, for each shard.
    pub attempts_max: u32,
    /// Where requests go.
    pub target: Target,
}

/// Routes indexed by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: BTreeMap<SmolStr, BTreeMap<SmolStr, Arc<Route>>>,
}

impl Table {
    /// Indexes routes. Of two routes with the same host and prefix the later one counts.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut hosts: BTreeMap<SmolStr, BTreeMap<SmolStr, Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        Self { hosts }
    }

    /// Finds the route with the longest prefix that begins `path` among those of `host`.
    ///
    /// A port in `host` is ignored, and so is its case.
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

    /// All routes, by host and prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flat_map(BTreeMap::values)
    }
}

/// Picks the service of a split at `point`, a uniform draw from 0 (included) to 1 (excluded).
///
/// Weights that are not positive get nothing.
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
