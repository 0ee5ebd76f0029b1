//! Time by which a request must be answered.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// Shutdown of an instance: the time by which it must have answered all requests, once it is known.
#[derive(Debug)]
pub struct Shutdown(watch::Sender<Option<Instant>>);

impl Default for Shutdown {
    fn default() -> Self {
        Self(watch::channel(None).0)
    }
}

impl Shutdown {
    /// Sets the time by which all requests must be answered. A later call can only bring it forward.
    pub fn set_answer_by(&self, time: Instant) {
        self.0.send_modify(|known| *known = Some(known.map_or(time, |known| known.min(time))));
    }

    /// Returns the time by which all requests must be answered, or `None` while the instance serves.
    pub fn answer_by(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// Waits until requests that need `time` can't be answered any more because the instance stops.
    pub async fn ends_within(&self, time: Duration) {
        let mut changes = self.0.subscribe();
        loop {
            let known = *changes.borrow_and_update();
            // The sender lives as long as this borrow of it, so changes don't end.
            let changed = async { _ = changes.changed().await };
            match known {
                None => changed.await,
                Some(answer_by) => {
                    let latest = answer_by.checked_sub(time).unwrap_or_else(Instant::now);
                    tokio::select! {
                        biased;
                        () = changed => {}
                        () = sleep_until(latest) => return,
                    }
                }
            }
        }
    }
}

/// Deadline of a request: that of the caller or of the route, or the time by which a stopping
/// instance must have answered all requests, whichever is first.
#[derive(Clone, Debug)]
pub struct Deadline {
    requested: Instant,
    shutdown: Arc<Shutdown>,
}

impl Deadline {
    /// Creates a deadline from that of the caller or of the route.
    pub fn new(requested: Instant, shutdown: &Arc<Shutdown>) -> Self {
        Self { requested, shutdown: shutdown.clone() }
    }

    /// Returns the deadline of the caller or of the route.
    pub fn requested(&self) -> Instant {
        self.requested
    }

    /// Returns the deadline as far as it is known now; a shutdown may bring it forward.
    pub fn at(&self) -> Instant {
        let answer_by = self.shutdown.answer_by();
        answer_by.map_or(self.requested, |answer_by| answer_by.min(self.requested))
    }

    /// Returns whether a request that takes `time` can be answered before the instance stops.
    pub fn allows(&self, time: Duration) -> bool {
        self.shutdown.answer_by().is_none_or(|answer_by| Instant::now() + time < answer_by)
    }

    /// Waits until a request that takes `time` can't be answered any more because the instance stops.
    pub async fn ends_within(&self, time: Duration) {
        self.shutdown.ends_within(time).await;
    }
}
