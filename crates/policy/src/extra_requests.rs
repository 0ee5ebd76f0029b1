//! Bound on extra requests (retries and hedges) over all instances, without coordination.
//!
//! The extra requests of a service in a window are bounded by a ratio of its requests plus a fixed
//! amount. Each instance applies the ratio to its own requests, so it also holds for the sum. The
//! fixed amount is divided by the number of instances.

use crate::budget::Budget;

/// Fraction of the bound that is used; the rest covers requests counted in a different window.
const USED_FRACTION: f64 = 0.85;

/// Tokens of an instance at its start. The previous process may just have spent its share of the
/// fixed amount, and the number of instances may not be known yet. One token allows a retry in a
/// service with few requests.
const INITIAL_TOKENS: f64 = 1.0;

/// Token bucket for the extra requests that this instance may send to one service.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    budget: Budget,
}

impl Quota {
    /// Creates the quota of one of `instances` in a bound of `ratio` of the requests plus `fixed`.
    pub fn new(ratio: f64, fixed: f64, instances: usize) -> Self {
        let budget = Budget::new(ratio * USED_FRACTION, burst(fixed, instances));
        Self { budget: budget.with_tokens(INITIAL_TOKENS) }
    }

    /// Changes the bound and the number of instances. Tokens above the new burst are lost.
    pub fn configure(&mut self, ratio: f64, fixed: f64, instances: usize) {
        let tokens = self.budget.tokens();
        let budget = Budget::new(ratio * USED_FRACTION, burst(fixed, instances));
        self.budget = budget.with_tokens(tokens);
    }

    /// Adds the tokens for one regular request.
    pub fn deposit(&mut self) {
        self.budget.deposit(1);
    }

    /// Takes the token for an extra request if one is available.
    pub fn try_spend(&mut self) -> bool {
        self.budget.try_spend()
    }

    /// Returns the number of tokens available.
    pub fn tokens(&self) -> f64 {
        self.budget.tokens()
    }
}

/// Returns the burst of one of `instances`: its share of the fixed amount, at least one token.
fn burst(fixed: f64, instances: usize) -> f64 {
    (fixed / instances.max(1) as f64 * USED_FRACTION).max(1.0)
}
