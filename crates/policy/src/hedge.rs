//! When a sub-request is sent to one more replica.

use std::time::Duration;

use crate::budget::Budget;
use crate::quantile::Summary;

/// Latencies that are needed before the percentile of a group counts.
const COUNT_MIN: u64 = 32;
/// Multiple of the median latency after which a sub-request is late in any case. About 2% of
/// log-normal service times with deviation 0.5 take longer, so with 1% of stragglers the hedges
/// fit a budget of 4%.
const MEDIANS: f64 = 2.75;
/// Shortest delay; below it the reply is likely to be on its way.
const DELAY_MIN: Duration = Duration::from_millis(1);
/// Bound of hedges and retries together, as a fraction of sub-requests.
const EXTRA_MAX: f64 = 0.05;
/// Hedges that may be sent in a burst. Stragglers come in clusters; with a small bucket tokens are
/// lost in quiet moments and missing in the next cluster.
const HEDGE_BURST: f64 = 64.0;
/// Hedges that may be sent before sub-requests have earned any, and extra sub-requests of both
/// kinds in a burst.
const HEDGES_AT_START: f64 = 8.0;
/// Retries that may be sent in a burst: a leaf that dies breaks all its sub-requests at once.
const RETRY_BURST: f64 = 64.0;

/// Time after which a sub-request of a service is hedged, or `None` while too little is known.
///
/// It is the median over the groups of their 98th percentiles, which a budget of a few percent can
/// serve, but at most 2.75 times the median latency: where more than 2% straggle, the percentile
/// is the latency of the stragglers. The percentile of one group with a slow replica does not
/// count.
pub fn delay(groups: impl Iterator<Item = Summary>) -> Option<Duration> {
    let known = groups.filter(|group| group.count >= COUNT_MIN);
    let of = |group: Summary| group.p98.min(group.median.mul_f64(MEDIANS));
    let mut delays: Vec<Duration> = known.map(of).collect();
    if delays.is_empty() {
        return None;
    }
    let middle = delays.len() / 2;
    Some((*delays.select_nth_unstable(middle).1).max(DELAY_MIN))
}

/// Budgets of the extra sub-requests of a service.
///
/// Hedges need a token of their own budget and one of the bound on all extra load. Retries are
/// charged to that bound too, so hedging gives way to retries.
#[derive(Clone, Copy, Debug)]
pub struct ExtraBudget {
    hedges: Budget,
    retries: Budget,
    all: Budget,
}

impl ExtraBudget {
    /// Creates the budgets from the fractions of the policy.
    pub fn new(hedge_budget: f64, retry_budget: f64) -> Self {
        Self {
            hedges: Budget::new(hedge_budget, HEDGE_BURST).with_tokens(HEDGES_AT_START),
            retries: Budget::new(retry_budget, RETRY_BURST),
            all: Budget::new(EXTRA_MAX, HEDGES_AT_START),
        }
    }

    /// Changes the fractions.
    pub fn set_fractions(&mut self, hedge_budget: f64, retry_budget: f64) {
        self.hedges.set_fraction(hedge_budget);
        self.retries.set_fraction(retry_budget);
    }

    /// Counts regular sub-requests.
    pub fn earn(&mut self, count: usize) {
        self.hedges.earn(count);
        self.retries.earn(count);
        self.all.earn(count);
    }

    /// Takes the tokens of a hedge if there are any.
    pub fn try_hedge(&mut self) -> bool {
        if !self.all.allows() || !self.hedges.try_spend() {
            return false;
        }
        self.all.charge();
        true
    }

    /// Takes the token of a retry if there is one.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.retries.try_spend();
        if allowed {
            self.all.charge();
        }
        allowed
    }
}
