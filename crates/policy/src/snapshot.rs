//! Shard maps, and the choice of the index version that a query pins.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Version of a service's index.
pub type Version = u64;

/// Name of a group, the leafs that hold the same shard.
pub type Group = SmolStr;

/// One leaf of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the leaf, unique in the fleet.
    pub name: SmolStr,
    /// Address on which the leaf listens.
    pub address: SocketAddr,
    /// Failure domain of the leaf.
    pub failure_domain: SmolStr,
}

/// Shard map of a service: the groups of each index version and their leafs. Log events and
/// messages call it the partition map.
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

    /// Returns all versions with their groups.
    pub fn versions(&self) -> &BTreeMap<Version, BTreeMap<Group, Vec<Replica>>> {
        &self.versions
    }

    /// Returns the leafs of all versions, by address.
    pub fn replicas(&self) -> BTreeMap<SocketAddr, &Replica> {
        let groups = self.versions.values().flat_map(BTreeMap::values);
        groups.flatten().map(|replica| (replica.address, replica)).collect()
    }

    /// Returns the version that a query pins, or `None` if the map has no versions.
    ///
    /// It is the newest version that every group holds on at least one usable leaf. If there is
    /// none, it is the version that most groups hold, and the newest of those with equally many.
    /// `is_held` returns whether a leaf is usable and holds a version.
    pub fn pin(&self, is_held: impl Fn(&Replica, Version) -> bool) -> Option<Pin> {
        let mut best: Option<Pin> = None;
        for (version, groups) in self.versions.iter().rev() {
            let holds =
                |replicas: &Vec<Replica>| replicas.iter().any(|leaf| is_held(leaf, *version));
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

/// An index version chosen for a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pin {
    version: Version,
    groups: usize,
    covered: BTreeSet<Group>,
}

impl Pin {
    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns whether every group of the version can answer.
    pub fn is_complete(&self) -> bool {
        self.groups > 0 && self.covered.len() == self.groups
    }

    /// Returns the groups that can answer at the version.
    pub fn covered(&self) -> &BTreeSet<Group> {
        &self.covered
    }
}
