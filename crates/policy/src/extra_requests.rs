//! Bounds requests beyond the first of each, over all instances, without talking to them.
//!
//! The bound of a service is a ratio of its requests in a window and a fixed amount. The ratio is
//! kept by each instance for its own requests, so it holds for the sum; the fixed amount is divided
//! by the number of instances that there may be.

use crate::budget::Budget;

/// Part of the bound that is used. The rest covers requests that are counted in another window.
const USED: f64 = 0.85;

/// Tokens of an instance that starts. The process before it may just have used its share of the
/// fixed amount up, and the number of instances may not be known yet; one token lets a service
/// with few requests be sent again.
const AT_START: f64 = 1.0;

/// Extra requests of one service that this instance may send.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    budget: Budget,
}

impl Quota {
    /// Creates the share of one of `instances` in a bound of `ratio` of the requests and `fixed`.
    pub fn new(ratio: f64, fixed: f64, instances: usize) -> Self {
        let budget = Budget::new(ratio * USED, burst(fixed, instances));
        Self { budget: budget.with_tokens(AT_START) }
    }

    /// Changes the bound and its share; tokens above the new burst are lost.
    pub fn configure(&mut self, ratio: f64, fixed: f64, instances: usize) {
        let tokens = self.budget.tokens();
        let budget = Budget::new(ratio * USED, burst(fixed, instances));
        self.budget = budget.with_tokens(tokens);
    }

    /// Counts a request for the service.
    pub fn earn(&mut self) {
        self.budget.earn(1);
    }

    /// Takes the token of an extra request if there is one.
    pub fn spend(&mut self) -> bool {
        self.budget.try_spend()
    }

    /// Tokens held.
    pub fn tokens(&self) -> f64 {
        self.budget.tokens()
    }
}

/// Most tokens that one of `instances` holds, its share of the fixed amount.
fn burst(fixed: f64, instances: usize) -> f64 {
    (fixed / instances.max(1) as f64 * USED).max(1.0)
}
