//! Tells from a leaf's other connections whether its process ended when one of them broke.
//!
//! A process that ends takes all its connections with it, while a leaf that goes on keeps the
//! others. So the others are witnesses, also if the leaf listens again before a probe reaches it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

/// Longest time between the breaks of two connections that one end of the leaf's process caused.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(100);
/// Most closed connections remembered.
const CLOSED_MAX: usize = 16;

/// Id of a connection within the pool of its leaf.
type Id = u64;

/// What became of the process of a leaf when a connection to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It ended.
    Ended,
    /// It still runs: another connection is still open.
    Running,
    /// Nothing shows whether it ended.
    Unknown,
}

/// Connections of one leaf that are open, and those that it closed last.
#[derive(Debug, Default)]
pub(crate) struct Witnesses(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    next: Id,
    open: BTreeMap<Id, Instant>,
    closed: VecDeque<(Id, Instant)>,
}

/// Registration of an open connection; dropping it means that this instance closed it.
#[derive(Debug)]
pub(crate) struct Registration {
    witnesses: Arc<Witnesses>,
    id: Id,
}

impl Witnesses {
    /// Registers a connection that was opened now.
    pub(crate) fn register(self: &Arc<Self>) -> Registration {
        let mut state = self.lock();
        let id = state.next;
        state.next += 1;
        state.open.insert(id, Instant::now());
        Registration { witnesses: self.clone(), id }
    }

    /// Records that the leaf closed a connection, or that it broke. Does nothing if this instance
    /// has closed it before.
    pub(crate) fn record_close(&self, id: Id) {
        let mut state = self.lock();
        if state.open.remove(&id).is_some() {
            state.closed.truncate(CLOSED_MAX - 1);
            state.closed.push_front((id, Instant::now()));
        }
    }

    /// Returns what the other connections show about the connection `broken`, which broke at `at`.
    pub(crate) fn verdict(&self, broken: Id, at: Instant) -> Verdict {
        let state = self.lock();
        let is_simultaneous = |closed: Instant| {
            closed + SIMULTANEOUS_WINDOW >= at && closed <= at + SIMULTANEOUS_WINDOW
        };
        if state.open.iter().any(|(id, opened)| *id != broken && *opened <= at) {
            Verdict::Running
        } else if state.closed.iter().any(|(id, at)| *id != broken && is_simultaneous(*at)) {
            Verdict::Ended
        } else {
            Verdict::Unknown
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Returns the id of the connection.
    pub(crate) fn id(&self) -> Id {
        self.id
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.witnesses.lock().open.remove(&self.id);
    }
}
