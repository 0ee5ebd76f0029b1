//! The two sample deployments, at their present sizes.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jaycrank_policy::ShardMap;
use jaycrank_policy::snapshot::Replica;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::leaf::Behavior;
use crate::leaf::Leaf;

/// Index version that leafs hold when they start.
pub const FIRST_VERSION: u64 = 1;

/// Numbers of groups and leafs of a service, and the capacity of each leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Name of the service.
    pub name: &'static str,
    /// Number of groups.
    pub groups: usize,
    /// Number of leafs of each group.
    pub leafs: usize,
    /// Maximum number of requests that a leaf runs at a time.
    pub slots: usize,
    /// Maximum number of open connections of a leaf.
    pub connections: usize,
    /// Delay before the first request of a new connection is read, in milliseconds.
    pub connect_ms: u64,
}

const fn shape(
    name: &'static str,
    groups: usize,
    leafs: usize,
    slots: usize,
    connections: usize,
    connect_ms: u64,
) -> Shape {
    Shape { name, groups, leafs, slots, connections, connect_ms }
}

/// Services of the consortium.
pub const CONSORTIUM: [Shape; 4] = [
    shape("reel-history", 10, 3, 3, 30, 6),
    shape("oven-batches", 15, 3, 3, 30, 6),
    shape("archive-intake", 15, 1, 3, 100, 1),
    shape("client-portal", 7, 1, 3, 100, 1),
];

/// Services of Lakeshore.
pub const LAKESHORE: [Shape; 4] = [
    shape("quote-desk", 10, 3, 2, 25, 6),
    shape("order-history", 15, 3, 2, 25, 6),
    shape("reorder-lists", 10, 1, 3, 40, 1),
    shape("crew-sheets", 5, 1, 3, 40, 1),
];

impl Shape {
    /// Returns the shape of a service of either deployment.
    pub fn find(name: &str) -> Option<Self> {
        CONSORTIUM.into_iter().chain(LAKESHORE).find(|shape| shape.name == name)
    }

    /// Returns the value of the settings branch `services/NAME`.
    pub fn settings(&self) -> serde_json::Value {
        json!({
            "slots": self.slots,
            "connections": self.connections,
            "floors": { "urgent": 0.5, "middle": 0.2, "least": 0.1 },
        })
    }

    /// Returns the behavior of a leaf of this shape with the given mean service time.
    pub fn behavior(&self, service_time: Duration) -> Behavior {
        Behavior {
            slots: self.slots,
            connections_max: self.connections,
            connect_delay: Duration::from_millis(self.connect_ms),
            service_time,
            service_time_sigma: 0.5,
            versions: [FIRST_VERSION].into(),
            ..Behavior::default()
        }
    }
}

/// The running leafs of one service.
#[derive(Debug)]
pub struct Service {
    shape: Shape,
    groups: BTreeMap<SmolStr, Vec<Arc<Leaf>>>,
}

impl Service {
    /// Starts all leafs of a service on loopback.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub async fn start(shape: Shape, behavior: &Behavior, seed: u64) -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut groups = BTreeMap::new();
        for group in 0..shape.groups {
            let mut leafs = Vec::new();
            for leaf in 0..shape.leafs {
                let name = format_smolstr!("{}-{group:02}-{leaf}", shape.name);
                let seed = seed.wrapping_mul(1_000_003) + (group * shape.leafs + leaf) as u64;
                leafs.push(Arc::new(Leaf::start(name, any, behavior.clone(), seed).await?));
            }
            groups.insert(format_smolstr!("g{group:02}"), leafs);
        }
        Ok(Self { shape, groups })
    }

    /// Returns the shape of the service.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Returns the leafs of each group.
    pub fn groups(&self) -> &BTreeMap<SmolStr, Vec<Arc<Leaf>>> {
        &self.groups
    }

    /// Returns all leafs.
    pub fn leafs(&self) -> impl Iterator<Item = &Arc<Leaf>> {
        self.groups.values().flatten()
    }

    /// Returns the replicas of each group, as the shard map lists them for an index version.
    ///
    /// Replica 0 of each group is in failure domain 0, replica 1 in domain 1 and so on.
    pub fn replicas(&self) -> BTreeMap<SmolStr, Vec<Replica>> {
        let replica = |(domain, leaf): (usize, &Arc<Leaf>)| Replica {
            name: leaf.name().clone(),
            address: leaf.address(),
            failure_domain: format_smolstr!("domain-{domain}"),
        };
        self.groups
            .iter()
            .map(|(group, leafs)| (group.clone(), leafs.iter().enumerate().map(replica).collect()))
            .collect()
    }

    /// Returns a shard map that holds only [`FIRST_VERSION`].
    pub fn shard_map(&self) -> ShardMap {
        ShardMap::new().with_version(FIRST_VERSION, self.replicas())
    }
}
