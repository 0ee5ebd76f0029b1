//! Admission queue and permits, shared by all queueing disciplines.

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

/// Most admitted queries whose sub-requests are not queued at the leafs yet.
///
/// [`Backpressure`] does not reflect these queries, so without this bound a whole burst would be
/// admitted on the same free slot.
const UNDISPATCHED_MAX: usize = 8;

/// Time after which an admitted query counts as dispatched even without
/// [`Permit::mark_dispatched`].
const DISPATCH_TIMEOUT: Duration = Duration::from_millis(2);

/// Longest time that a refused caller is told to wait before a retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Time that a refused caller is told to wait while the service rate is unknown.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(100);

pub(crate) type Reply = oneshot::Sender<Result<Permit, Refused>>;

/// A query in the queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: u64,
    pub(crate) request: Request,
    pub(crate) reply: Reply,
}

/// A query that is refused after it was queued.
pub(crate) type Rejected = (Waiter, Refused);

/// Queueing discipline: which queries are queued, and in which order they are admitted.
pub(crate) trait Discipline: Send + 'static {
    /// Refuses an arriving query that can't be queued or served in time.
    fn check_arrival(&mut self, request: &Request, now: Instant) -> Result<(), Refused>;
    /// Queues a query that passed [`Self::check_arrival`]; returns the query that it displaces.
    fn push(&mut self, waiter: Waiter, now: Instant) -> Option<Rejected>;
    /// Removes the next query to admit and returns whether it is within its rank's floor.
    ///
    /// If the leafs can't accept queries, returns only one that is admitted regardless.
    fn pop(&mut self, can_accept: bool, now: Instant) -> Option<(Waiter, bool)>;
    /// Removes the queries whose deadlines can no longer be met.
    fn expire(&mut self, now: Instant) -> Vec<Rejected>;
    /// Returns when [`Self::expire`] has to be called next.
    fn next_expiry(&self) -> Option<Instant>;
    /// Removes a query whose caller has stopped waiting.
    fn remove(&mut self, rank: Rank, member: &str, id: u64);
    /// Records how long an admitted query ran.
    fn observe(&mut self, rank: Rank, time: Duration);
    /// Replaces the members' weights and the allocated capacity.
    fn set_allocation(&mut self, weights: Weights, capacity: f64);
    /// Returns the number of queued queries by rank, and the capacity.
    fn load(&self) -> Load;
}

struct State {
    discipline: Box<dyn Discipline>,
    draining: bool,
    /// Permits held.
    running: usize,
    /// Id and time of admission of the queries whose sub-requests are not queued at the leafs yet.
    undispatched: Vec<(u64, Instant)>,
    next_id: u64,
}

struct Shared {
    state: Mutex<State>,
    backpressure: Arc<dyn Backpressure>,
    /// Wakes the task to reconsider when it has to run next.
    queue_changed: Notify,
}

/// An admission queue and its task, which admits queries as back-pressure ends and refuses them
/// as deadlines pass.
pub(crate) struct Queue {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Queue {
    /// Creates an empty queue and starts its task; must be called within a tokio runtime.
    pub(crate) fn new(
        discipline: Box<dyn Discipline>,
        backpressure: Arc<dyn Backpressure>,
    ) -> Self {
        let state = State {
            discipline,
            draining: false,
            running: 0,
            undispatched: Vec::with_capacity(UNDISPATCHED_MAX),
            next_id: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            backpressure,
            queue_changed: Notify::new(),
        });
        let task = tokio::spawn(run_dispatcher(shared.clone()));
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
            state.discipline.check_arrival(&request, now)?;
            let (reply, receiver) = oneshot::channel();
            let id = state.next_id;
            state.next_id += 1;
            let displaced = state.discipline.push(Waiter { id, request, reply }, now);
            drop(state);
            if let Some(rejected) = displaced {
                refuse(rejected);
            }
            (id, receiver)
        };
        self.shared.dispatch(now);
        if let Ok(result) = receiver.try_recv() {
            return result;
        }
        self.shared.queue_changed.notify_one();
        let guard = QueueGuard { shared: &self.shared, rank, member: &member, id };
        let result = receiver.await;
        std::mem::forget(guard);
        // A sender is dropped unused only with the queue, which outlives this call.
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

impl Drop for Queue {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Removes a query from the queue on drop, when its caller stops waiting.
struct QueueGuard<'a> {
    shared: &'a Arc<Shared>,
    rank: Rank,
    member: &'a SmolStr,
    id: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.shared.lock().discipline.remove(self.rank, self.member, self.id);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses the queries that are too late and admits others while the leafs can accept them.
    fn dispatch(self: &Arc<Self>, now: Instant) {
        let mut admitted = Vec::new();
        let mut state = self.lock();
        let rejected = state.discipline.expire(now);
        state.undispatched.retain(|(_, admitted_at)| now < *admitted_at + DISPATCH_TIMEOUT);
        loop {
            let can_accept =
                state.undispatched.len() < UNDISPATCHED_MAX && self.backpressure.can_accept();
            let Some((waiter, within_floor)) = state.discipline.pop(can_accept, now) else { break };
            if waiter.reply.is_closed() {
                continue;
            }
            state.running += 1;
            state.undispatched.push((waiter.id, now));
            let permit = Permit {
                shared: self.clone(),
                id: waiter.id,
                rank: waiter.request.rank,
                admitted_at: now,
                within_floor,
            };
            admitted.push((waiter.reply, permit));
        }
        drop(state);
        rejected.into_iter().for_each(refuse);
        for (reply, permit) in admitted {
            // If the caller has stopped waiting, the permit comes back and is dropped here, which
            // locks the state again.
            drop(reply.send(Ok(permit)));
        }
    }

    /// Returns when [`Self::dispatch`] has to run next if nothing else triggers it.
    fn next_dispatch(&self) -> Option<Instant> {
        let state = self.lock();
        let expiry = state.discipline.next_expiry();
        let waiting = state.discipline.load().queued.iter().any(|queued| *queued > 0);
        let dispatch_timeout = state.undispatched.first().filter(|_| waiting);
        let dispatch_timeout =
            dispatch_timeout.map(|(_, admitted_at)| *admitted_at + DISPATCH_TIMEOUT);
        expiry.into_iter().chain(dispatch_timeout).min()
    }
}

fn refuse((waiter, refused): Rejected) {
    // The caller may have stopped waiting.
    let _ = waiter.reply.send(Err(refused));
}

/// Dispatches queries when back-pressure ends, a deadline passes or a dispatch times out.
async fn run_dispatcher(shared: Arc<Shared>) {
    let signal = shared.backpressure.subscribe();
    loop {
        let wake = shared.next_dispatch();
        let sleep = async {
            match wake {
                Some(at) => time::sleep_until(time::Instant::from_std(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // A fixed order keeps runs on a paused clock deterministic.
            biased;
            () = signal.notified() => {}
            () = shared.queue_changed.notified() => {}
            () = sleep => {}
        }
        shared.dispatch(now());
    }
}

/// Permission to run one query; released on drop.
pub struct Permit {
    shared: Arc<Shared>,
    id: u64,
    rank: Rank,
    admitted_at: Instant,
    within_floor: bool,
}

impl Permit {
    /// Returns whether the query's rank is within its floor at this instance.
    pub fn within_floor(&self) -> bool {
        self.within_floor
    }

    /// Marks the sub-requests as queued at the leafs, where [`Backpressure`] reflects them.
    pub fn mark_dispatched(&self) {
        let mut state = self.shared.lock();
        let before = state.undispatched.len();
        state.undispatched.retain(|(id, _)| *id != self.id);
        let freed = before == UNDISPATCHED_MAX && state.undispatched.len() < before;
        drop(state);
        if freed {
            self.shared.dispatch(now());
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
        state.undispatched.retain(|(id, _)| *id != self.id);
        state.discipline.observe(self.rank, now.saturating_duration_since(self.admitted_at));
        drop(state);
        self.shared.dispatch(now);
    }
}

/// Returns when a refused caller should retry: the time that the queue takes to drain.
pub(crate) fn retry_after(queued: usize, rate: f64) -> Duration {
    if rate > 0.0 {
        Duration::from_secs_f64((queued.max(1) as f64 / rate).min(RETRY_AFTER_MAX.as_secs_f64()))
    } else {
        RETRY_AFTER_DEFAULT
    }
}

fn now() -> Instant {
    time::Instant::now().into_std()
}
