//! Distance of other instances and leafs from this instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use strum::EnumIter;
use strum::IntoStaticStr;

/// How far something is from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Distance {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region, or in a failure domain whose region is not known.
    Remote,
}

/// Failure domain of this instance, and the region of each failure domain.
#[derive(Clone, Debug)]
pub struct Topology {
    own: SmolStr,
    regions: BTreeMap<SmolStr, SmolStr>,
}

impl Topology {
    /// Creates the topology seen from failure domain `own`. `regions` maps each failure domain to
    /// its region.
    pub fn new(own: SmolStr, regions: BTreeMap<SmolStr, SmolStr>) -> Self {
        Self { own, regions }
    }

    /// Returns the failure domain of this instance.
    pub fn own_domain(&self) -> &SmolStr {
        &self.own
    }

    /// Returns the region of a failure domain; the domain itself if its region is not known.
    pub fn region<'a>(&'a self, domain: &'a SmolStr) -> &'a SmolStr {
        self.regions.get(domain).unwrap_or(domain)
    }

    /// Returns the failure domains of the region of this instance.
    pub fn own_region_domains(&self) -> BTreeSet<SmolStr> {
        let own = self.region(&self.own);
        let domains = self.regions.iter().filter(|(_, region)| *region == own);
        domains.map(|(domain, _)| domain.clone()).chain([self.own.clone()]).collect()
    }

    /// Returns the distance of a failure domain.
    pub fn distance(&self, domain: &SmolStr) -> Distance {
        if *domain == self.own {
            Distance::Domain
        } else if self.region(domain) == self.region(&self.own) {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}
