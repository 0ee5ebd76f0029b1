//! Leafs that a request was sent to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use smol_str::SmolStr;

use crate::catalog::LeafId;
use crate::leaf::Leaf;
use crate::leaf::LeafKey;

/// Ids of leafs by service.
pub type LeafsByService = BTreeMap<SmolStr, BTreeSet<LeafId>>;

/// Leafs that may run a request or may have run it. While there is none, the request has not run.
#[derive(Debug, Default)]
pub struct SentLeafs {
    /// Leafs that another instance has sent the request to.
    before: LeafsByService,
    /// Leafs that this instance has sent it to.
    here: Mutex<Vec<Arc<Leaf>>>,
    /// Whether another instance may run it for this one.
    delegated: AtomicBool,
}

impl SentLeafs {
    /// Creates a record that starts with the leafs that another instance has sent the request to.
    pub fn new(before: LeafsByService) -> Self {
        Self { before, ..Self::default() }
    }

    /// Records that the request is being sent to a leaf.
    pub(crate) fn insert(&self, leaf: &Arc<Leaf>) {
        self.lock().push(leaf.clone());
    }

    /// Records that a leaf did not run the request.
    pub(crate) fn remove(&self, leaf: &Arc<Leaf>) {
        self.lock().retain(|sent| !Arc::ptr_eq(sent, leaf));
    }

    /// Returns the leafs that this instance has sent the request to and that leave.
    pub(crate) fn leaving(&self) -> Vec<LeafKey> {
        let leaving = |leaf: &&Arc<Leaf>| leaf.leaving_since().is_some();
        self.lock().iter().filter(leaving).map(|leaf| leaf.key()).collect()
    }

    /// Records whether another instance may run the request for this one.
    pub(crate) fn set_delegated(&self, delegated: bool) {
        self.delegated.store(delegated, Ordering::Relaxed);
    }

    /// Returns whether no leaf has run the request or will run it.
    pub fn is_empty(&self) -> bool {
        self.before.is_empty() && !self.delegated.load(Ordering::Relaxed) && self.lock().is_empty()
    }

    /// Returns the leafs of a service that another instance has sent the request to.
    pub(crate) fn before(&self, service: &SmolStr) -> Option<&BTreeSet<LeafId>> {
        self.before.get(service)
    }

    /// Returns whether a leaf of a service may run the request or may have run it.
    pub(crate) fn contains_service(&self, service: &SmolStr) -> bool {
        let is_of_service = |leaf: &Arc<Leaf>| leaf.with_entry(|entry| entry.service == *service);
        self.before.contains_key(service) || self.lock().iter().any(is_of_service)
    }

    /// Returns all leafs.
    pub(crate) fn by_service(&self) -> LeafsByService {
        let mut leafs = self.before.clone();
        for leaf in self.lock().iter() {
            leaf.with_entry(|entry| {
                leafs.entry(entry.service.clone()).or_default().insert(entry.id.clone())
            });
        }
        leafs
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Leaf>>> {
        self.here.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
