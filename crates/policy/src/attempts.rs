//! Which leafs one request may be sent to, and how often.
//!
//! The bound of a route counts leafs that may run the request. A leaf that said that it did not run
//! it does not count; one that lost its answer does, and may be sent the request again.

use std::collections::BTreeSet;

use smol_str::SmolStr;

/// Times that a request is sent beyond the leafs that may run it.
const REPEATS_MAX: u32 = 2;
/// Rejections after which a request is not sent again.
const REJECTIONS_MAX: u32 = 4;

/// Leafs that one request was sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    leafs_max: usize,
    sends: u32,
    rejections: u32,
    /// Leafs that may have run the request.
    used: BTreeSet<SmolStr>,
    /// Leafs that have not answered.
    open: BTreeSet<SmolStr>,
    /// Leafs that rejected it a moment ago.
    rejected: BTreeSet<SmolStr>,
}

impl Attempts {
    /// A request that `leafs_max` leafs may run.
    pub fn new(leafs_max: u32) -> Self {
        Self { leafs_max: leafs_max.max(1) as usize, ..Self::default() }
    }

    /// Takes note that the request is sent to a leaf.
    pub fn record_send(&mut self, leaf: &SmolStr) {
        self.sends += 1;
        self.used.insert(leaf.clone());
        self.open.insert(leaf.clone());
    }

    /// Takes note that a leaf did not run the request.
    pub fn record_rejection(&mut self, leaf: &SmolStr) {
        self.rejections += 1;
        self.open.remove(leaf);
        self.used.remove(leaf);
        self.rejected.insert(leaf.clone());
    }

    /// Takes note that a leaf failed and may have run the request.
    pub fn record_failure(&mut self, leaf: &SmolStr) {
        self.open.remove(leaf);
    }

    /// Lets leafs that rejected the request be asked again, after a pause.
    pub fn clear_rejections(&mut self) {
        self.rejected.clear();
    }

    /// Times that the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request may be sent once more, if there is a leaf for it.
    pub fn allows_send(&self) -> bool {
        let counted = self.sends - self.rejections.min(self.sends);
        let repeats = counted.saturating_sub(self.leafs_max as u32);
        repeats < REPEATS_MAX && self.rejections <= REJECTIONS_MAX
    }

    /// Whether a leaf that the request was not sent to may get it.
    pub fn allows_new_leaf(&self, leaf: &SmolStr) -> bool {
        let known = self.used.contains(leaf) || self.rejected.contains(leaf);
        !known && self.used.len() < self.leafs_max
    }

    /// Whether a leaf that failed may get the request once more.
    pub fn allows_repeat(&self, leaf: &SmolStr) -> bool {
        self.used.contains(leaf) && !self.open.contains(leaf)
    }
}
