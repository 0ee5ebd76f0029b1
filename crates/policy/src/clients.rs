//! Bound on the open connections of clients.
//!
//! A connection on which a request runs, or whose client reads an answer, is never closed for others.
//! The others are closed if a new one needs the room: first those that have had no answer yet, and
//! of these the one that has waited longest. So connections that hold still, whatever part of a
//! request they have sent, keep no one out, and clients that use theirs keep them longest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

/// Part of the connections that are left for new ones while others are being closed, as a divisor.
const SPARE_DIVISOR: usize = 8;
/// Time for which a connection that holds still is not closed for others.
const PROTECTED_TIME: Duration = Duration::from_millis(500);

/// Time that a client has for reading an answer although others need its memory.
const SENDING_TIME: Duration = Duration::from_secs(3);

/// Number of a connection.
type Id = u64;

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// No request, or a part of its head.
    Waiting,
    /// The body of a request arrives.
    Receiving,
    /// A request runs.
    Running,
    /// An answer is sent.
    Sending,
    /// An answer is sent, but its client does not read.
    Blocked,
}

/// Open connections of a listener.
#[derive(Debug)]
pub struct Clients {
    connections_max: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: Id,
    entries: BTreeMap<Id, Entry>,
    /// Number of connections that are to be closed.
    closing: usize,
    counts: Counts,
}

#[derive(Debug)]
struct Entry {
    activity: Activity,
    since: Instant,
    /// Time since which an answer is being sent.
    sending_since: Option<Instant>,
    /// Whether an answer was sent.
    answered: bool,
    /// Set when the connection is to be closed.
    closing: watch::Sender<bool>,
}

/// Connections that were closed or refused, since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Closed for a new connection.
    pub closed: u64,
    /// Closed because the client did not read.
    pub blocked: u64,
    /// Closed because the memory of an answer was needed and its client read slowly.
    pub slow: u64,
    /// Refused.
    pub refused: u64,
}

impl Entry {
    fn set(&mut self, activity: Activity, now: Instant) {
        self.activity = activity;
        self.since = now;
    }

    /// Returns whether the connection may be closed for others.
    fn may_close(&self, now: Instant) -> bool {
        let holds_still = !matches!(self.activity, Activity::Running | Activity::Sending);
        holds_still
            && !*self.closing.borrow()
            && now.saturating_duration_since(self.since) >= PROTECTED_TIME
    }
}

impl Clients {
    /// Creates the set of connections of a listener, of which at most so many are open.
    pub fn new(connections_max: usize) -> Self {
        Self { connections_max, state: Mutex::default() }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.lock().entries.len()
    }

    /// Returns the connections that were closed or refused since the last call.
    pub fn take_counts(&self) -> Counts {
        std::mem::take(&mut self.lock().counts)
    }

    /// Adds a new connection, for which another one may be closed. Returns `None` if it must be
    /// refused.
    pub fn open(self: &Arc<Self>, now: Instant) -> Option<Client> {
        let mut state = self.lock();
        let open = state.entries.len();
        let spare = self.connections_max / SPARE_DIVISOR;
        if open - state.closing >= self.connections_max - spare {
            state.close_one(now);
        }
        if open >= self.connections_max {
            state.counts.refused += 1;
            return None;
        }
        let (closing, is_closing) = watch::channel(false);
        let id = state.next;
        state.next += 1;
        let entry = Entry {
            activity: Activity::Waiting,
            since: now,
            sending_since: None,
            answered: false,
            closing,
        };
        state.entries.insert(id, entry);
        drop(state);
        Some(Client { clients: self.clone(), id, is_closing })
    }

    /// Closes the connections whose clients have not read for `time`.
    pub fn close_blocked(&self, time: Duration, now: Instant) {
        let mut state = self.lock();
        let State { entries, closing, counts, .. } = &mut *state;
        for entry in entries.values() {
            let since = now.saturating_duration_since(entry.since);
            let is_blocked = entry.activity == Activity::Blocked && since >= time;
            if is_blocked && !entry.closing.send_replace(true) {
                *closing += 1;
                counts.blocked += 1;
            }
        }
    }

    /// Closes the connection on which an answer has been sent for longest, if that is longer than
    /// [`SENDING_TIME`].
    pub fn close_slowest(&self, now: Instant) {
        let mut state = self.lock();
        let State { entries, closing, counts, .. } = &mut *state;
        let sending = entries.values().filter(|entry| !*entry.closing.borrow());
        let sending = sending.filter_map(|entry| Some((entry.sending_since?, entry)));
        let Some((since, slowest)) = sending.min_by_key(|(since, _)| *since) else { return };
        if now.saturating_duration_since(since) >= SENDING_TIME {
            slowest.closing.send_replace(true);
            *closing += 1;
            counts.slow += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close_one(&mut self, now: Instant) {
        let candidates = self.entries.values().filter(|entry| entry.may_close(now));
        if let Some(entry) = candidates.min_by_key(|entry| (entry.answered, entry.since)) {
            entry.closing.send_replace(true);
            self.closing += 1;
            self.counts.closed += 1;
        }
    }
}

/// Open connection of a client, until it is dropped.
#[derive(Debug)]
pub struct Client {
    clients: Arc<Clients>,
    id: Id,
    is_closing: watch::Receiver<bool>,
}

impl Client {
    /// Records that the head of a request is there.
    pub fn record_head(&self, now: Instant) {
        self.set(Activity::Receiving, now);
    }

    /// Records that a request is complete.
    pub fn record_request(&self, now: Instant) {
        self.set(Activity::Running, now);
    }

    /// Records that there is an answer to send.
    pub fn record_answer(&self, now: Instant) {
        self.update(|entry| {
            entry.set(Activity::Sending, now);
            entry.sending_since = Some(now);
        });
    }

    /// Records that all that there was to send is sent.
    pub fn record_sent(&self, now: Instant) {
        self.update(|entry| {
            if matches!(entry.activity, Activity::Sending | Activity::Blocked) {
                entry.answered = true;
                entry.sending_since = None;
                entry.set(Activity::Waiting, now);
            }
        });
    }

    /// Records whether the client reads what is sent.
    pub fn record_blocked(&self, is_blocked: bool, now: Instant) {
        self.update(|entry| match (entry.activity, is_blocked) {
            (Activity::Sending, true) => entry.set(Activity::Blocked, now),
            (Activity::Blocked, false) => entry.set(Activity::Sending, now),
            _ => {}
        });
    }

    /// Waits until the connection is to be closed.
    pub async fn closing(&self) {
        let mut is_closing = self.is_closing.clone();
        // The sender lives as long as this.
        let _ = is_closing.wait_for(|is_closing| *is_closing).await;
    }

    fn set(&self, activity: Activity, now: Instant) {
        self.update(|entry| entry.set(activity, now));
    }

    fn update(&self, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.clients.lock().entries.get_mut(&self.id) {
            change(entry);
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.clients.lock();
        if state.entries.remove(&self.id).is_some_and(|entry| *entry.closing.borrow()) {
            state.closing -= 1;
        }
    }
}
