//! Queue and permits that are common to all kinds of admission.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use jaycrank_settings::Rank;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time;

use crate::admission::Backpressure;
use crate::admission::Cause;
use crate::admission::Load;
use crate::admission::Refused;
use crate::admission::Request;
use crate::admission::Weights;

/// Permits whose sub-requests are not queued at the leafs yet. `Backpressure` does not see these queries,
/// so without this bound a burst would be admitted on one and the same free slot.
const STARTING_MAX: usize = 8;

/// Time after which a permit counts as started even if its holder never said so.
const STARTING_TIME: Duration = Duration::from_millis(2);

/// Longest time that a refused caller is told to wait.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Wait that is named while the service rate is unknown.
const RETRY_DEFAULT: Duration = Duration::from_millis(100);

pub(crate) type Reply = oneshot::Sender<Result<Permit, Refused>>;

/// A query in the queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: u64,
    pub(crate) request: Request,
    pub(crate) reply: Reply,
}

/// A query that leaves the queue without having been admitted.
pub(crate) type Dropped = (Waiter, Refused);

/// Order in which waiting queries are admitted.
pub(crate) trait Discipline: Send + 'static {
    /// Refuses an arriving query that can't be queued or served in time.
    fn check(&mut self, request: &Request, now: Instant) -> Result<(), Refused>;
    /// Queues a query that passed the check; returns the query that it displaces.
    fn push(&mut self, waiter: Waiter, now: Instant) -> Option<Dropped>;
    /// Takes the next query; without room only one that needs none. Tells if it is within its floor.
    fn pop(&mut self, room: bool, now: Instant) -> Option<(Waiter, bool)>;
    /// Takes out the queries whose deadline can't be met any more.
    fn expire(&mut self, now: Instant) -> Vec<Dropped>;
    /// When the next query has to be taken out.
    fn next_expiry(&self) -> Option<Instant>;
    /// Takes out a query whose caller has gone.
    fn remove(&mut self, rank: Rank, member: &str, id: u64);
    /// Records the time that an admitted query took.
    fn observe(&mut self, rank: Rank, time: Duration);
    /// Replaces the members' weights and the capacity.
    fn set_allocation(&mut self, weights: Weights, capacity: f64);
    /// Queries waiting, by rank, and the capacity.
    fn load(&self) -> Load;
}

struct State {
    discipline: Box<dyn Discipline>,
    draining: bool,
    running: usize,
    starting: Vec<(u64, Instant)>,
    next_id: u64,
}

struct Shared {
    state: Mutex<State>,
    room: Arc<dyn Backpressure>,
    timer: Notify,
}

/// A queue with the task that serves it when room appears or a deadline passes.
pub(crate) struct Gate {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Gate {
    /// Starts the task; must be called within a tokio runtime.
    pub(crate) fn new(discipline: Box<dyn Discipline>, room: Arc<dyn Backpressure>) -> Self {
        let state = State {
            discipline,
            draining: false,
            running: 0,
            starting: Vec::with_capacity(STARTING_MAX),
            next_id: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), room, timer: Notify::new() });
        let task = tokio::spawn(serve(shared.clone()));
        Self { shared, task }
    }

    pub(crate) async fn admit(&self, request: Request) -> Result<Permit, Refused> {
        let now = now();
        let (rank, member) = (request.rank, request.member.clone());
        let (id, mut receiver) = {
            let mut state = self.shared.lock();
            if state.draining {
                return Err(Refused { cause: Cause::Draining, retry_after: Duration::ZERO });
            }
            state.discipline.check(&request, now)?;
            let (reply, receiver) = oneshot::channel();
            let id = state.next_id;
            state.next_id += 1;
            let displaced = state.discipline.push(Waiter { id, request, reply }, now);
            drop(state);
            if let Some(dropped) = displaced {
                refuse(dropped);
            }
            (id, receiver)
        };
        self.shared.pump(now);
        if let Ok(result) = receiver.try_recv() {
            return result;
        }
        self.shared.timer.notify_one();
        let place = Place { shared: &self.shared, rank, member: &member, id };
        let result = receiver.await;
        std::mem::forget(place);
        // The sender is kept in the queue until it is used, and the queue outlives this call.
        let retry_after = Duration::ZERO;
        result.unwrap_or(Err(Refused { cause: Cause::Draining, retry_after }))
    }

    pub(crate) fn drain(&self) {
        self.shared.lock().draining = true;
    }

    pub(crate) fn set_allocation(&self, weights: Weights, capacity: f64) {
        self.shared.lock().discipline.set_allocation(weights, capacity);
    }

    pub(crate) fn load(&self) -> Load {
        let state = self.shared.lock();
        Load { running: state.running, ..state.discipline.load() }
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A place in the queue, given up when the caller stops waiting.
struct Place<'a> {
    shared: &'a Arc<Shared>,
    rank: Rank,
    member: &'a SmolStr,
    id: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.shared.lock().discipline.remove(self.rank, self.member, self.id);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits queries as long as there is room and refuses those that are too late.
    fn pump(self: &Arc<Self>, now: Instant) {
        let mut admitted = Vec::new();
        let mut state = self.lock();
        let dropped = state.discipline.expire(now);
        state.starting.retain(|(_, granted)| now < *granted + STARTING_TIME);
        loop {
            let room = state.starting.len() < STARTING_MAX && self.room.can_accept();
            let Some((waiter, within_floor)) = state.discipline.pop(room, now) else { break };
            if waiter.reply.is_closed() {
                continue;
            }
            state.running += 1;
            state.starting.push((waiter.id, now));
            let permit = Permit {
                shared: self.clone(),
                id: waiter.id,
                rank: waiter.request.rank,
                granted: now,
                within_floor,
            };
            admitted.push((waiter.reply, permit));
        }
        drop(state);
        dropped.into_iter().for_each(refuse);
        for (reply, permit) in admitted {
            // If the caller has gone, the permit comes back and is released here, unlocked.
            drop(reply.send(Ok(permit)));
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        let state = self.lock();
        let expiry = state.discipline.next_expiry();
        let waiting = state.discipline.load().queued.iter().any(|queued| *queued > 0);
        let started = state.starting.first().filter(|_| waiting);
        let started = started.map(|(_, granted)| *granted + STARTING_TIME);
        expiry.into_iter().chain(started).min()
    }
}

fn refuse((waiter, refused): Dropped) {
    // A caller that has gone needs no reply.
    let _ = waiter.reply.send(Err(refused));
}

async fn serve(shared: Arc<Shared>) {
    let signal = shared.room.subscribe();
    loop {
        let wake = shared.next_wake();
        let sleep = async {
            match wake {
                Some(at) => time::sleep_until(time::Instant::from_std(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // A fixed order keeps runs on the paused clock the same.
            biased;
            () = signal.notified() => {}
            () = shared.timer.notified() => {}
            () = sleep => {}
        }
        shared.pump(now());
    }
}

/// Right to run one query; released on drop.
pub struct Permit {
    shared: Arc<Shared>,
    id: u64,
    rank: Rank,
    granted: Instant,
    within_floor: bool,
}

impl Permit {
    /// Tells whether the query's rank is within its floor at this instance.
    pub fn within_floor(&self) -> bool {
        self.within_floor
    }

    /// Says that the sub-requests are queued at the leafs, so that `Backpressure` sees them.
    pub fn mark_dispatched(&self) {
        let mut state = self.shared.lock();
        let before = state.starting.len();
        state.starting.retain(|(id, _)| *id != self.id);
        let freed = before == STARTING_MAX && state.starting.len() < before;
        drop(state);
        if freed {
            self.shared.pump(now());
        }
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Permit")
            .field("rank", &self.rank)
            .field("within_floor", &self.within_floor)
            .finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = now();
        let mut state = self.shared.lock();
        state.running -= 1;
        state.starting.retain(|(id, _)| *id != self.id);
        state.discipline.observe(self.rank, now.saturating_duration_since(self.granted));
        drop(state);
        self.shared.pump(now);
    }
}

/// When a refused caller should come back: the time that the queue takes to empty.
pub(crate) fn retry_after(queued: usize, rate: f64) -> Duration {
    if rate > 0.0 {
        Duration::from_secs_f64((queued.max(1) as f64 / rate).min(RETRY_MAX.as_secs_f64()))
    } else {
        RETRY_DEFAULT
    }
}

fn now() -> Instant {
    time::Instant::now().into_std()
}
