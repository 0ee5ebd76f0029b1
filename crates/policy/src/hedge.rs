//! Hedged sub-requests: the delay after which one is sent, and the budget of hedges and retries.

use std::time::Duration;

use crate::budget::Budget;
use crate::quantile::Summary;

/// Fewest latency samples of a group for its percentiles to count.
const SAMPLES_MIN: u64 = 32;
/// Longest hedge delay, as a multiple of the median latency. About 2% of log-normal service times
/// with deviation 0.5 take longer, so with 1% of stragglers the hedges fit a budget of 4%.
const DELAY_MAX_MEDIANS: f64 = 2.75;
/// Shortest hedge delay; before it the reply is likely to be on its way.
const DELAY_MIN: Duration = Duration::from_millis(1);
/// Upper bound of hedges and retries together, as a fraction of the regular sub-requests.
const EXTRA_FRACTION_MAX: f64 = 0.05;
/// Hedges that may be sent in a burst. Stragglers come in clusters, and a smaller bucket overflows
/// between clusters and runs empty within one.
const HEDGE_BURST: f64 = 64.0;
/// Hedges that may be sent before regular sub-requests add tokens. It is also the burst of hedges
/// and retries together.
const INITIAL_HEDGES: f64 = 8.0;
/// Retries that may be sent in a burst: a leaf that crashes fails all its sub-requests at once.
const RETRY_BURST: f64 = 64.0;

/// Returns the delay after which a sub-request of a service is hedged, or `None` while no group has
/// enough samples.
///
/// The delay is the median over the groups of their 98th percentile, so that hedges fit a budget
/// of a few percent and one group with a slow replica has no effect. Each percentile is capped at
/// 2.75 times the median latency of its group: if more than 2% of the replies are stragglers, the
/// percentile is the latency of the stragglers.
pub fn delay(groups: impl Iterator<Item = Summary>) -> Option<Duration> {
    let known = groups.filter(|group| group.count >= SAMPLES_MIN);
    let group_delay = |group: Summary| group.p98.min(group.median.mul_f64(DELAY_MAX_MEDIANS));
    let mut delays: Vec<Duration> = known.map(group_delay).collect();
    if delays.is_empty() {
        return None;
    }
    let middle = delays.len() / 2;
    Some((*delays.select_nth_unstable(middle).1).max(DELAY_MIN))
}

/// Token buckets for the extra sub-requests (hedges and retries) of a service.
///
/// A hedge needs a token of the hedge budget and one of the total budget. A retry needs only a
/// token of the retry budget, but is also charged to the total, so retries reduce hedging.
#[derive(Clone, Copy, Debug)]
pub struct ExtraBudget {
    hedges: Budget,
    retries: Budget,
    total: Budget,
}

impl ExtraBudget {
    /// Creates the budgets; both arguments are fractions of the regular sub-requests.
    pub fn new(hedge_budget: f64, retry_budget: f64) -> Self {
        Self {
            hedges: Budget::new(hedge_budget, HEDGE_BURST).with_tokens(INITIAL_HEDGES),
            retries: Budget::new(retry_budget, RETRY_BURST),
            total: Budget::new(EXTRA_FRACTION_MAX, INITIAL_HEDGES),
        }
    }

    /// Changes the fractions of the hedge and retry budgets.
    pub fn set_fractions(&mut self, hedge_budget: f64, retry_budget: f64) {
        self.hedges.set_fraction(hedge_budget);
        self.retries.set_fraction(retry_budget);
    }

    /// Adds the tokens for `count` regular sub-requests.
    pub fn deposit(&mut self, count: usize) {
        self.hedges.deposit(count);
        self.retries.deposit(count);
        self.total.deposit(count);
    }

    /// Takes the tokens for a hedge if they are available.
    pub fn try_hedge(&mut self) -> bool {
        if !self.total.allows() || !self.hedges.try_spend() {
            return false;
        }
        self.total.charge();
        true
    }

    /// Takes the token for a retry if one is available.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.retries.try_spend();
        if allowed {
            self.total.charge();
        }
        allowed
    }
}
