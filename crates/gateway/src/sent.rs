//! Leafs that a request was sent to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol_str::SmolStr;

use crate::catalog::LeafId;

/// Leafs that may run a request or may have run it, by service. While there is none, the request has
/// not run.
#[derive(Debug, Default)]
pub struct SentLeafs(Mutex<BTreeMap<SmolStr, BTreeSet<LeafId>>>);

impl SentLeafs {
    /// Creates a record that starts with the leafs that another instance has sent the request to.
    pub fn new(leafs: BTreeMap<SmolStr, BTreeSet<LeafId>>) -> Self {
        Self(Mutex::new(leafs))
    }

    /// Records that the request is being sent to a leaf.
    pub(crate) fn insert(&self, service: &SmolStr, leaf: LeafId) {
        self.lock().entry(service.clone()).or_default().insert(leaf);
    }

    /// Records that a leaf did not run the request.
    pub(crate) fn remove(&self, service: &SmolStr, leaf: &LeafId) {
        let mut leafs = self.lock();
        if let Some(of_service) = leafs.get_mut(service) {
            of_service.remove(leaf);
            if of_service.is_empty() {
                leafs.remove(service);
            }
        }
    }

    /// Returns whether no leaf has run the request or will run it.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the leafs of one service.
    pub(crate) fn of_service(&self, service: &SmolStr) -> BTreeSet<LeafId> {
        self.lock().get(service).cloned().unwrap_or_default()
    }

    /// Returns a copy of the record.
    pub(crate) fn to_map(&self) -> BTreeMap<SmolStr, BTreeSet<LeafId>> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, BTreeSet<LeafId>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
