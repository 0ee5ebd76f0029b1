//! Bound on the open connections of clients.
//!
//! A connection on which a request runs, or whose client reads an answer, is never closed for others.
//! The others are closed if a new one needs the room: first those that have had no answer yet, and
//! of these the one that has waited longest. So connections that hold still, whatever part of a
//! request they have sent, keep no one out, and clients that use theirs keep them longest. At the bound a
//! new connection ends the oldest of them at once.

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
/// Part of the bound by which it is exceeded until connections that must end have ended, as a divisor.
const EXCESS_DIVISOR: usize = 16;

/// Whether a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    /// It stays open.
    No,
    /// It is closed after it was told why.
    Soon,
    /// It ends at once.
    Now,
}

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
    /// Number of these that must end at once.
    ending: usize,
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
    closing: watch::Sender<Closing>,
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

    fn closing(&self) -> Closing {
        *self.closing.borrow()
    }

    /// Returns whether no request runs and no answer is being read.
    fn holds_still(&self) -> bool {
        !matches!(self.activity, Activity::Running | Activity::Sending)
    }

    /// Returns whether the connection may be closed for others.
    fn may_close(&self, now: Instant) -> bool {
        self.holds_still()
            && self.closing() == Closing::No
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

    /// Returns whether as many connections are open as may be.
    pub fn is_full(&self) -> bool {
        self.count() >= self.connections_max
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
        let excess = self.connections_max / EXCESS_DIVISOR;
        let has_room = open < self.connections_max.saturating_add(excess)
            && (open - state.ending < self.connections_max || state.end_one());
        if !has_room {
            state.counts.refused += 1;
            return None;
        }
        let (closing, receiver) = watch::channel(Closing::No);
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
        Some(Client { clients: self.clone(), id, closing: receiver })
    }

    /// Closes the connections whose clients have not read for `time`.
    pub fn close_blocked(&self, time: Duration, now: Instant) {
        let mut state = self.lock();
        let State { entries, closing, counts, .. } = &mut *state;
        for entry in entries.values() {
            let since = now.saturating_duration_since(entry.since);
            let is_blocked = entry.activity == Activity::Blocked && since >= time;
            if is_blocked && entry.closing() == Closing::No {
                entry.closing.send_replace(Closing::Soon);
                *closing += 1;
                counts.blocked += 1;
            }
        }
    }

    /// Closes the connection on which an answer has been sent for longest, if that is longer than a
    /// client has for reading it.
    pub fn close_slowest(&self, now: Instant) {
        let mut state = self.lock();
        let State { entries, closing, counts, .. } = &mut *state;
        let sending = entries.values().filter(|entry| entry.closing() == Closing::No);
        let sending = sending.filter_map(|entry| Some((entry.sending_since?, entry)));
        let Some((since, slowest)) = sending.min_by_key(|(since, _)| *since) else { return };
        if now.saturating_duration_since(since) >= SENDING_TIME {
            slowest.closing.send_replace(Closing::Soon);
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
            entry.closing.send_replace(Closing::Soon);
            self.closing += 1;
            self.counts.closed += 1;
        }
    }

    /// Ends a connection that holds still, however short; returns whether there was one. Those that are
    /// being closed come first. While many connect at once, one that sends its request soon is not the
    /// oldest before that has arrived.
    fn end_one(&mut self) -> bool {
        let candidates = self.entries.values();
        let candidates =
            candidates.filter(|entry| entry.holds_still() && entry.closing() != Closing::Now);
        let key = |entry: &&Entry| (entry.closing() == Closing::No, entry.answered, entry.since);
        let Some(entry) = candidates.min_by_key(key) else { return false };
        if entry.closing.send_replace(Closing::Now) == Closing::No {
            self.closing += 1;
            self.counts.closed += 1;
        }
        self.ending += 1;
        true
    }
}

/// Open connection of a client, until it is dropped.
#[derive(Debug)]
pub struct Client {
    clients: Arc<Clients>,
    id: Id,
    closing: watch::Receiver<Closing>,
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

    /// Returns whether a request runs, or its answer is being read, within the time that a client has
    /// for that.
    pub fn is_in_use(&self, now: Instant) -> bool {
        let state = self.clients.lock();
        let Some(entry) = state.entries.get(&self.id) else { return false };
        let sending = entry.sending_since.map(|since| now.saturating_duration_since(since));
        match entry.activity {
            Activity::Running => true,
            Activity::Sending => sending.is_some_and(|time| time < SENDING_TIME),
            _ => false,
        }
    }

    /// Waits until the connection is to be closed.
    pub async fn closing(&self) {
        self.wait_for(Closing::Soon).await;
    }

    /// Waits until the connection must end at once.
    pub async fn ended(&self) {
        self.wait_for(Closing::Now).await;
    }

    async fn wait_for(&self, wanted: Closing) {
        let mut closing = self.closing.clone();
        // The sender lives as long as this.
        let _ = closing.wait_for(|closing| *closing >= wanted).await;
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
        let closing = state.entries.remove(&self.id).map(|entry| entry.closing());
        if closing.is_some_and(|closing| closing != Closing::No) {
            state.closing -= 1;
        }
        if closing == Some(Closing::Now) {
            state.ending -= 1;
        }
    }
}
