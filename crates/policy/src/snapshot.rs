//! Partition maps and the choice of the index version that a query pins.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Version of a service's index.
pub type Version = u64;

/// Name of a group: the leafs that hold the same shard.
pub type Group = SmolStr;

/// One leaf of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the leaf, unique in the fleet.
    pub name: SmolStr,
    /// Where the leaf listens.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub failure_domain: SmolStr,
}

/// Partition map of a service: for each index version the groups and their leafs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardMap {
    versions: BTreeMap<Version, BTreeMap<Group, Vec<Replica>>>,
}

impl ShardMap {
    /// Creates a map without versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a version.
    pub fn with_version(mut self, version: Version, groups: BTreeMap<Group, Vec<Replica>>) -> Self {
        self.versions.insert(version, groups);
        self
    }

    /// Removes a version.
    pub fn without_version(mut self, version: Version) -> Self {
        self.versions.remove(&version);
        self
    }

    /// All versions with their groups.
    pub fn versions(&self) -> &BTreeMap<Version, BTreeMap<Group, Vec<Replica>>> {
        &self.versions
    }

    /// All leafs of all versions, by address.
    pub fn replicas(&self) -> BTreeMap<SocketAddr, &Replica> {
        let groups = self.versions.values().flat_map(BTreeMap::values);
        groups.flatten().map(|replica| (replica.address, replica)).collect()
    }

    /// Chooses the version that a query pins: the newest one that every group holds on at least
    /// one usable leaf, else the one that the most groups hold, the newest of equals.
    ///
    /// `held` tells whether a leaf is usable and holds a version. Returns `None` for a map
    /// without versions.
    pub fn pin(&self, held: impl Fn(&Replica, Version) -> bool) -> Option<Pin> {
        let mut best: Option<Pin> = None;
        for (version, groups) in self.versions.iter().rev() {
            let holds = |replicas: &Vec<Replica>| replicas.iter().any(|leaf| held(leaf, *version));
            let covered: BTreeSet<Group> = groups
                .iter()
                .filter(|(_, replicas)| holds(replicas))
                .map(|(group, _)| group.clone())
                .collect();
            let pin = Pin { version: *version, groups: groups.len(), covered };
            if pin.is_complete() {
                return Some(pin);
            }
            if best.as_ref().is_none_or(|best| pin.covered.len() > best.covered.len()) {
                best = Some(pin);
            }
        }
        best
    }
}

/// A version chosen for a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    version: Version,
    groups: usize,
    covered: BTreeSet<Group>,
}

impl Pin {
    /// The version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether every group of the version can answer.
    pub fn is_complete(&self) -> bool {
        self.groups > 0 && self.covered.len() == self.groups
    }

    /// Groups that can answer at the version.
    pub fn covered(&self) -> &BTreeSet<Group> {
        &self.covered
    }
}
