//! Limits on the leafs that one request is sent to, and on the number of sends.
//!
//! A route limits the number of leafs that may run a request. A leaf that rejected the request
//! without running it does not count. A leaf that failed to answer counts, and may get the request
//! again.

use std::collections::BTreeSet;

use smol_str::SmolStr;

/// Most sends beyond the number of leafs that may run the request, not counting rejected ones.
const REPEATS_MAX: u32 = 2;
/// Most rejections after which the request is still sent again.
const REJECTIONS_MAX: u32 = 4;

/// Record of the leafs that one request was sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    leafs_max: usize,
    sends: u32,
    rejections: u32,
    /// Leafs that may have run the request, or at which it is in flight.
    used: BTreeSet<SmolStr>,
    /// Leafs that failed and may have run the request. A rejection of a repeat does not change that.
    failed: BTreeSet<SmolStr>,
    /// Leafs at which the request is in flight.
    in_flight: BTreeSet<SmolStr>,
    /// Leafs that have rejected the request since the last pause.
    rejected: BTreeSet<SmolStr>,
}

impl Attempts {
    /// Creates the record of a request that at most `leafs_max` leafs may run.
    pub fn new(leafs_max: u32) -> Self {
        Self { leafs_max: leafs_max.max(1) as usize, ..Self::default() }
    }

    /// Records leafs that may have run the request before, sent by another instance.
    pub fn with_failed(mut self, leafs: impl IntoIterator<Item = SmolStr>) -> Self {
        self.failed.extend(leafs);
        self.used.extend(self.failed.iter().cloned());
        self
    }

    /// Returns whether a leaf failed and may have run the request.
    pub fn has_failed(&self, leaf: &SmolStr) -> bool {
        self.failed.contains(leaf)
    }

    /// Records that the request is sent to a leaf.
    pub fn record_send(&mut self, leaf: &SmolStr) {
        self.sends += 1;
        self.used.insert(leaf.clone());
        self.in_flight.insert(leaf.clone());
    }

    /// Records that a leaf did not run the request: it rejected it or could not be reached.
    pub fn record_rejection(&mut self, leaf: &SmolStr) {
        self.rejections += 1;
        self.in_flight.remove(leaf);
        if !self.failed.contains(leaf) {
            self.used.remove(leaf);
        }
        self.rejected.insert(leaf.clone());
    }

    /// Records that a leaf failed and may have run the request.
    pub fn record_failure(&mut self, leaf: &SmolStr) {
        self.in_flight.remove(leaf);
        self.failed.insert(leaf.clone());
    }

    /// Allows sending the request again to leafs that rejected it; called after a pause.
    pub fn clear_rejections(&mut self) {
        self.rejected.clear();
    }

    /// Returns how often the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns whether the request may be sent once more, if a leaf is allowed.
    pub fn allows_send(&self) -> bool {
        let accepted = self.sends - self.rejections.min(self.sends);
        let repeats = accepted.saturating_sub(self.leafs_max as u32);
        repeats < REPEATS_MAX && self.rejections <= REJECTIONS_MAX
    }

    /// Returns whether a leaf that has not been tried may get the request.
    pub fn allows_new_leaf(&self, leaf: &SmolStr) -> bool {
        let tried = self.used.contains(leaf) || self.rejected.contains(leaf);
        !tried && self.used.len() < self.leafs_max
    }

    /// Returns whether a leaf that failed may get the request again.
    pub fn allows_repeat(&self, leaf: &SmolStr) -> bool {
        let is_idle = !self.in_flight.contains(leaf) && !self.rejected.contains(leaf);
        self.used.contains(leaf) && is_idle
    }
}
