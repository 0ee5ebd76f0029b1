//! Bound on the connections to leafs that a process has open, over all leafs.
//!
//! Each leaf bounds the connections to itself, but the leafs are many, and their connections would
//! take the descriptors of callers and of the catalog.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Permits for connections to leafs.
#[derive(Debug)]
pub struct Sockets {
    permits: Arc<Semaphore>,
    wanted: Notify,
}

impl Default for Sockets {
    fn default() -> Self {
        Self::new(Semaphore::MAX_PERMITS)
    }
}

impl Sockets {
    /// Creates the permits for so many connections.
    pub fn new(connections_max: usize) -> Self {
        Self { permits: Arc::new(Semaphore::new(connections_max)), wanted: Notify::new() }
    }

    /// Returns a permit if there is one.
    pub(crate) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().try_acquire_owned().ok()
    }

    /// Waits for a permit.
    pub(crate) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        if let Some(permit) = self.try_acquire() {
            return Some(permit);
        }
        self.wanted.notify_one();
        self.permits.clone().acquire_owned().await.ok()
    }

    /// Waits until a connection finds no permit.
    pub(crate) async fn wanted(&self) {
        self.wanted.notified().await;
    }
}
