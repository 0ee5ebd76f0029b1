//! Estimates the network round-trip time to each failure domain from the time that connections take
//! to open.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;

use crate::topology::Distance;
use crate::topology::Topology;

/// Estimate for the same failure domain while nothing is measured.
const SAME_DOMAIN_DEFAULT: Duration = Duration::from_millis(1);
/// Estimate for other failure domains of the same region while nothing is measured.
const SAME_REGION_DEFAULT: Duration = Duration::from_millis(3);
/// Estimate for other regions while nothing is measured.
const OTHER_REGION_DEFAULT: Duration = Duration::from_millis(40);
/// Weight of a sample above the estimate in the moving average. A sample below it replaces it,
/// because load and packet loss only ever add time.
const RISE_WEIGHT: f64 = 0.02;

/// Round-trip times as measured by one instance.
#[derive(Debug)]
pub struct Estimator {
    topology: Topology,
    measured: Mutex<BTreeMap<SmolStr, Duration>>,
}

impl Estimator {
    /// Creates an estimator without measurements.
    pub fn new(topology: Topology) -> Self {
        Self { topology, measured: Mutex::default() }
    }

    /// Returns the estimated round-trip time to a failure domain.
    pub fn estimate(&self, domain: &SmolStr) -> Duration {
        let measured = self.measured.lock().unwrap_or_else(PoisonError::into_inner);
        measured.get(domain).copied().unwrap_or_else(|| self.default_estimate(domain))
    }

    /// Records the time that opening a connection took.
    pub fn record(&self, domain: &SmolStr, sample: Duration) {
        let mut measured = self.measured.lock().unwrap_or_else(PoisonError::into_inner);
        let estimate = measured.entry(domain.clone()).or_insert(sample);
        *estimate = if sample <= *estimate {
            sample
        } else {
            estimate.mul_f64(1.0 - RISE_WEIGHT) + sample.min(*estimate * 2).mul_f64(RISE_WEIGHT)
        };
    }

    fn default_estimate(&self, domain: &SmolStr) -> Duration {
        match self.topology.distance(domain) {
            Distance::Domain => SAME_DOMAIN_DEFAULT,
            Distance::Region => SAME_REGION_DEFAULT,
            Distance::Remote => OTHER_REGION_DEFAULT,
        }
    }
}
