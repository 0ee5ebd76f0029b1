//! Configuration of the gateway: routes, services and the limits of callers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::route::Route;
use jaycrank_policy::route::Table;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Version of a configuration; a higher one replaces a lower one.
pub type Version = u64;

/// Configuration as stored in the catalog.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version, which rises with each change.
    pub version: Version,
    /// Routes of requests.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// Limits of callers.
    pub limits: Limits,
}

/// Group of leafs that answer the same requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that each leaf accepts from all instances together.
    pub connections_max: u32,
}

/// Limits of the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest size of all headers of a request, in bytes.
    pub header_bytes: usize,
    /// Largest size of a body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the headers of a request.
    pub header_time: Duration,
    /// Time after which an idle connection is closed.
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

/// Configuration in force, with a table for route lookup.
#[derive(Debug)]
pub struct Active {
    config: Config,
    routes: Table,
    applied_at: Instant,
}

impl Active {
    /// Creates the route table of a configuration that is in force from now on.
    pub fn new(config: Config) -> Self {
        let routes = Table::new(config.routes.iter().cloned());
        Self { config, routes, applied_at: Instant::now() }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Returns the time since which the configuration is in force.
    pub fn applied_at(&self) -> Instant {
        self.applied_at
    }

    /// Returns the routes by host and prefix.
    pub fn routes(&self) -> &Table {
        &self.routes
    }
}
