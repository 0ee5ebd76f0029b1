//! Network time to each failure domain, learned from the opening of connections.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use smol_str::SmolStr;

/// Time there and back assumed within the own failure domain.
const SAME_DOMAIN: Duration = Duration::from_millis(1);
/// Time there and back assumed within the own region.
const SAME_REGION: Duration = Duration::from_millis(3);
/// Time there and back assumed to another region.
const OTHER_REGION: Duration = Duration::from_millis(40);
/// Weight of a sample above the estimate. Samples below it count in full, because load and lost
/// packets only ever add time.
const RISE_WEIGHT: f64 = 0.02;

/// Network times as one instance sees them.
#[derive(Debug)]
pub struct Estimator {
    own: SmolStr,
    regions: BTreeMap<SmolStr, SmolStr>,
    learned: Mutex<BTreeMap<SmolStr, Duration>>,
}

impl Estimator {
    /// Creates the estimates of an instance in failure domain `own`; `regions` names the region of
    /// each failure domain.
    pub fn new(own: SmolStr, regions: BTreeMap<SmolStr, SmolStr>) -> Self {
        Self { own, regions, learned: Mutex::default() }
    }

    /// Time there and back to a failure domain.
    pub fn estimate(&self, domain: &str) -> Duration {
        let learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        learned.get(domain).copied().unwrap_or_else(|| self.assumed(domain))
    }

    /// Takes note of the time in which a connection was opened.
    pub fn record(&self, domain: &SmolStr, sample: Duration) {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        let known = learned.entry(domain.clone()).or_insert(sample);
        *known = if sample <= *known {
            sample
        } else {
            known.mul_f64(1.0 - RISE_WEIGHT) + sample.min(*known * 2).mul_f64(RISE_WEIGHT)
        };
    }

    fn assumed(&self, domain: &str) -> Duration {
        if domain == self.own {
            SAME_DOMAIN
        } else if self.regions.get(domain) == self.regions.get(&self.own) {
            SAME_REGION
        } else {
            OTHER_REGION
        }
    }
}
