//! Configuration of the gateway: routes, services and the bounds of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use jaycrank_policy::route::Route;
use jaycrank_policy::route::Table;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Version of a configuration; a higher one replaces a lower one.
pub type Version = u64;

/// A configuration as a catalog holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version, rising with each change.
    pub version: Version,
    /// Routes of requests.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// A service: leafs that answer the same requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that each leaf accepts from all instances together.
    pub connections_max: u32,
}

/// Bounds of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Size of all headers of a request, in bytes.
    pub header_bytes: usize,
    /// Size of a body, in bytes.
    pub body_bytes: usize,
    /// Time in which the headers of a request arrive.
    pub header_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A configuration in force, indexed for use.
#[derive(Debug)]
pub struct Active {
    config: Config,
    routes: Table,
}

impl Active {
    /// Indexes a configuration.
    pub fn new(config: Config) -> Self {
        let routes = Table::new(config.routes.iter().cloned());
        Self { config, routes }
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Routes by host and prefix.
    pub fn routes(&self) -> &Table {
        &self.routes
    }
}
