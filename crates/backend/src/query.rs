//! One query: its sub-requests from the first dispatch to the gathered replies.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jaycrank_policy::Reason;
use jaycrank_policy::gather::Gather;
use jaycrank_policy::hedge;
use jaycrank_policy::replica::Candidate;
use tokio::sync::Notify;

use crate::error::Error;
use crate::error::Result;
use crate::leaf::Leaf;
use crate::leaf::now;
use crate::scatter::Plan;
use crate::scatter::Replies;
use crate::scatter::Shared;
use crate::service::Layout;
use crate::service::Service;
use crate::service::Slot;
use crate::service::Target;
use crate::wire::Frame;
use crate::wire::Id;
use crate::wire::Reply;

/// Time kept back for the way of the answer to the caller.
const WAY_BACK: Duration = Duration::from_millis(2);
/// Time before a group whose replicas have all failed is tried again; doubled each time.
const BACKOFF: Duration = Duration::from_millis(10);
/// Dispatches of one sub-request at most.
const ATTEMPTS_MAX: u32 = 8;
/// Dispatches of one sub-request in flight at most: the first, a hedge.
const FLIGHTS_MAX: usize = 2;
/// Cost of a replica below its limit, as a multiple of the lowest cost of all, up to which it is
/// preferred.
const BELOW_LIMIT_COST_MAX: f64 = 4.0;
/// Time for which abandoned sub-requests are awaited, so that their connections can be reused.
const DRAIN_MAX: Duration = Duration::from_secs(5);

/// One dispatch to one leaf.
pub(crate) struct Flight {
    part: usize,
    leaf: Arc<Leaf>,
    frame: Frame,
}

/// Outcome of a dispatch.
pub(crate) struct Landed {
    part: usize,
    id: Id,
    reply: Result<Reply>,
    elapsed: Duration,
}

/// The sub-request to one group.
#[derive(Default)]
struct Part {
    slot: Option<Slot>,
    flights: [Option<(usize, Id)>; FLIGHTS_MAX],
    /// Leafs that were tried, one bit each.
    tried: u64,
    attempts: u32,
    hedge_at: Option<Instant>,
    retry_at: Option<Instant>,
    failure: Option<Reason>,
}

/// State of a query at one index version.
pub(crate) struct Query<'a> {
    shared: &'a Shared,
    plan: &'a Plan,
    service: &'a Service,
    layout: &'a Layout,
    parts: Vec<Part>,
    gather: Gather<Bytes>,
    queued: usize,
    wake: Arc<Notify>,
    /// When the next hedge, retry or slot may be due, at the earliest.
    due: Instant,
    limit: bool,
    hedge_delay: Option<Duration>,
    /// Whether a leaf refused the pinned version.
    refused: bool,
    /// Whether a group was given up because its connection broke.
    connection_broke: bool,
}

impl Flight {
    async fn fly(self) -> Landed {
        let begun = now();
        let reply = self.leaf.call(&self.frame).await;
        let elapsed = now().saturating_duration_since(begun);
        Landed { part: self.part, id: self.frame.id, reply, elapsed }
    }
}

impl Part {
    fn is_queued(&self) -> bool {
        self.attempts == 0 && self.slot.as_ref().is_some_and(|slot| !slot.is_granted())
    }

    fn is_flying(&self) -> bool {
        self.flights.iter().any(Option::is_some)
    }
}

/// Runs a query. With `repin`, returns `None` as soon as leafs refuse the pinned version and
/// another version can be pinned.
pub(crate) async fn run(
    shared: &Shared,
    plan: &Plan,
    service: &Service,
    layout: &Layout,
    repin: bool,
) -> Option<Replies> {
    let mut query = Query::new(shared, plan, service, layout);
    let mut flights = FuturesUnordered::new();
    let begun = now();
    for index in 0..query.parts.len() {
        if let Some(flight) = query.begin(index, begun) {
            flights.push(flight.fly());
        }
    }
    let timer = tokio::time::sleep_until(query.due.min(plan.deadline).into());
    tokio::pin!(timer);
    let wake = query.wake.clone();
    while query.gather.pending() > 0 {
        tokio::select! {
            biased;
            Some(landed) = flights.next(), if !flights.is_empty() => {
                if let Some(flight) = query.land(landed) {
                    flights.push(flight.fly());
                }
                if query.refused && repin && can_repin(service, layout) {
                    break;
                }
            }
            () = wake.notified(), if query.queued > 0 => {
                query.advance(|flight| flights.push(flight.fly()));
            }
            () = &mut timer => {
                if now() >= plan.deadline {
                    break;
                }
                query.advance(|flight| flights.push(flight.fly()));
            }
        }
        let due = tokio::time::Instant::from_std(query.due.min(plan.deadline));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
    }
    query.cancel_all();
    if !flights.is_empty() {
        tokio::spawn(drain(flights));
    }
    let again = query.refused && query.gather.pending() > 0 && repin && now() < plan.deadline;
    (!again).then(|| query.finish())
}

fn can_repin(service: &Service, layout: &Layout) -> bool {
    service.pin(None).is_some_and(|pinned| pinned.version != layout.version)
}

/// Awaits abandoned sub-requests, so that their connections return to the pool.
async fn drain(mut flights: FuturesUnordered<impl Future<Output = Landed>>) {
    let all = async { while flights.next().await.is_some() {} };
    // Connections that are still in use after this time are closed when the futures are dropped.
    let _ = tokio::time::timeout(DRAIN_MAX, all).await;
}

impl<'a> Query<'a> {
    fn new(shared: &'a Shared, plan: &'a Plan, service: &'a Service, layout: &'a Layout) -> Self {
        let open = layout.targets.len();
        service.extra().earn(open);
        let summaries = layout.targets.iter().map(|target| target.shard.summary());
        let hedge_delay = if plan.hedge { hedge::delay(summaries) } else { None };
        Self {
            shared,
            plan,
            service,
            layout,
            parts: std::iter::repeat_with(Part::default).take(open).collect(),
            gather: Gather::new(layout.version, open),
            queued: 0,
            wake: Arc::default(),
            due: plan.deadline,
            limit: shared.limit.load(Ordering::Relaxed),
            hedge_delay,
            refused: false,
            connection_broke: false,
        }
    }

    /// Takes a slot and dispatches the sub-request if there is one.
    fn begin(&mut self, index: usize, now: Instant) -> Option<Flight> {
        if self.limit {
            let shard = &self.layout.targets[index].shard;
            let slot = shard.enter(self.plan.rank, self.plan.within_floor, &self.wake, now);
            let granted = slot.is_granted();
            self.parts[index].slot = Some(slot);
            if !granted {
                self.queued += 1;
                let ready_at = shard.slots().ready_at();
                self.due_at(ready_at);
                return None;
            }
        }
        self.dispatch(index, now)
    }

    /// Dispatches queued sub-requests that have got their slots.
    fn dispatch_granted(&mut self, mut push: impl FnMut(Flight)) {
        let now = now();
        for index in 0..self.parts.len() {
            let part = &mut self.parts[index];
            if part.attempts > 0 {
                continue;
            }
            let Some(slot) = part.slot.as_mut().filter(|slot| slot.is_granted()) else { continue };
            slot.begin();
            self.queued -= 1;
            if let Some(flight) = self.dispatch(index, now) {
                push(flight);
            }
        }
    }

    /// Sends the sub-request to a replica that has not been tried.
    fn dispatch(&mut self, index: usize, now: Instant) -> Option<Flight> {
        let target = &self.layout.targets[index];
        let Some(chosen) = self.choose(target, self.parts[index].tried, now) else {
            self.no_replica(index, now);
            return None;
        };
        let leaf = &target.leafs[chosen];
        let left = self.plan.deadline.saturating_duration_since(now).saturating_sub(WAY_BACK);
        if left.is_zero() || left < leaf.summary().p10 {
            self.give_up(index, Reason::Deadline);
            return None;
        }
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let part = &mut self.parts[index];
        let free = part.flights.iter_mut().find(|flight| flight.is_none())?;
        *free = Some((chosen, id));
        part.tried |= 1 << (chosen % 64);
        part.attempts += 1;
        part.retry_at = None;
        if self.plan.hedge && part.attempts == 1 && target.leafs.len() > 1 {
            let hedge_at = self.hedge_delay.map(|delay| now + delay);
            part.hedge_at = hedge_at;
            self.due_at(hedge_at);
        }
        let frame = Frame {
            id,
            path: target.path.clone(),
            snapshot: self.layout.version,
            deadline: left,
            attempt: None,
            fingerprint: self.plan.fingerprint,
            body: self.plan.body.clone(),
        };
        Some(Flight { part: index, leaf: leaf.clone(), frame })
    }

    fn choose(&self, target: &Target, tried: u64, now: Instant) -> Option<usize> {
        choose(self.shared, target, self.layout.version, tried, now)
    }

    /// Takes note of the outcome of a dispatch; returns the retry if there is one.
    fn land(&mut self, landed: Landed) -> Option<Flight> {
        let now = now();
        let index = landed.part;
        let part = &mut self.parts[index];
        for flight in &mut part.flights {
            if flight.is_some_and(|(_, id)| id == landed.id) {
                *flight = None;
            }
        }
        if landed.reply.is_ok() {
            self.layout.targets[index].shard.record(landed.elapsed, now);
        }
        if !self.gather.is_pending(index) {
            return None;
        }
        let error = match landed.reply {
            // The connection accepts replies of the version that was asked for only.
            Ok(reply) => {
                self.gather.add_reply(index, reply.snapshot.unwrap_or_default(), reply.body);
                self.end(index);
                return None;
            }
            Err(error) => error,
        };
        part.failure = Some(reason(&error));
        self.refused |= error == Error::Refused(409);
        if part.is_flying() {
            return None;
        }
        let suspected = matches!(error, Error::Broken(_)) && !self.plan.retry_broken;
        if suspected || part.attempts >= ATTEMPTS_MAX {
            self.connection_broke |= suspected;
            self.give_up(index, reason(&error));
            return None;
        }
        // A sub-request on a silent connection never reached its leaf, so the retry adds no load.
        let free = matches!(error, Error::Silent | Error::Connect(_));
        if free || self.service.extra().try_retry() {
            if error == Error::Silent {
                self.parts[index].tried = 0;
            }
            return self.dispatch(index, now);
        }
        self.give_up(index, reason(&error));
        None
    }

    /// Hedges, retries and grants slots that are due.
    fn advance(&mut self, mut push: impl FnMut(Flight)) {
        let now = now();
        self.due = self.plan.deadline;
        if self.queued > 0 {
            for (part, target) in self.parts.iter().zip(&self.layout.targets) {
                if part.is_queued() {
                    target.shard.grant(now);
                }
            }
            self.dispatch_granted(&mut push);
        }
        for index in 0..self.parts.len() {
            if !self.gather.is_pending(index) {
                continue;
            }
            let part = &self.parts[index];
            if part.hedge_at.is_some_and(|at| at <= now) {
                if let Some(flight) = self.hedge(index, now) {
                    push(flight);
                }
            } else if part.retry_at.is_some_and(|at| at <= now) {
                self.parts[index].tried = 0;
                if let Some(flight) = self.dispatch(index, now) {
                    push(flight);
                }
            }
            let part = &self.parts[index];
            let (hedge_at, retry_at) = (part.hedge_at, part.retry_at);
            let shard = &self.layout.targets[index].shard;
            let ready_at = if part.is_queued() { shard.slots().ready_at() } else { None };
            for at in [hedge_at, retry_at, ready_at] {
                self.due_at(at);
            }
        }
    }

    fn hedge(&mut self, index: usize, now: Instant) -> Option<Flight> {
        let target = &self.layout.targets[index];
        let part = &mut self.parts[index];
        part.hedge_at = None;
        let tried = part.tried;
        let single = part.flights.iter().flatten().count() == 1;
        // The leaf is late and the group's other leafs may be free, so the sub-request no longer
        // counts against this instance's share; otherwise a few stragglers would block the group.
        part.slot = None;
        if !single {
            return None;
        }
        if !self.service.backpressure.is_calm() || !self.service.extra().try_hedge() {
            // Asks again as long as the sub-request is late: overload may pass, and tokens come.
            let again = self.hedge_delay.map(|delay| now + delay);
            self.parts[index].hedge_at = again;
            return None;
        }
        self.choose(target, tried, now)?;
        self.shared.hedges.fetch_add(1, Ordering::Relaxed);
        self.dispatch(index, now)
    }

    /// No replica is left to try: tries all again later, or gives the group up.
    fn no_replica(&mut self, index: usize, now: Instant) {
        let target = &self.layout.targets[index];
        let held = target.leafs.iter().any(|leaf| leaf.holds(self.layout.version));
        let part = &mut self.parts[index];
        if part.is_flying() {
            return;
        }
        let attempts = part.attempts;
        let reason = part.failure.unwrap_or(Reason::Snapshot);
        let backoff = BACKOFF * (1 << attempts.min(8));
        let retry_at = now + backoff;
        if held && attempts > 0 && attempts < ATTEMPTS_MAX && retry_at < self.plan.deadline {
            part.retry_at = Some(retry_at);
            self.due_at(Some(retry_at));
        } else {
            self.give_up(index, reason);
        }
    }

    fn give_up(&mut self, index: usize, reason: Reason) {
        self.gather.give_up(index, reason);
        self.end(index);
    }

    /// Frees what a group with an outcome still holds.
    fn end(&mut self, index: usize) {
        let part = &mut self.parts[index];
        part.slot = None;
        part.hedge_at = None;
        part.retry_at = None;
        self.cancel(index);
    }

    fn cancel(&mut self, index: usize) {
        let target = &self.layout.targets[index];
        for (leaf, id) in self.parts[index].flights.iter_mut().filter_map(Option::take) {
            let leaf = target.leafs[leaf].clone();
            self.shared.cancels.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                // Without an answer the leaf finishes the request at its deadline.
                let _ = leaf.control().cancel(id).await;
            });
        }
    }

    fn cancel_all(&mut self) {
        for index in 0..self.parts.len() {
            if self.gather.is_pending(index) {
                self.cancel(index);
            }
        }
    }

    fn finish(self) -> Replies {
        let connection_broke = self.connection_broke;
        let names = self.layout.targets.iter().map(|target| target.shard.group());
        let reason = |index: usize| self.parts[index].failure.unwrap_or(Reason::Deadline);
        let (coverage, bodies) = self.gather.finish(names, reason);
        Replies { snapshot: self.layout.version, coverage, bodies, connection_broke }
    }

    fn due_at(&mut self, at: Option<Instant>) {
        self.due = at.map_or(self.due, |at| self.due.min(at));
    }
}

/// Chooses among the replicas that hold a version and have not been tried.
///
/// Replicas below their limits come first, but not at any cost: when the quick replicas of a group
/// are at their limits, a slow one below its own would get all that is left.
pub(crate) fn choose(
    shared: &Shared,
    target: &Target,
    version: u64,
    tried: u64,
    now: Instant,
) -> Option<usize> {
    let usual = target.shard.summary().median;
    let limited = shared.limit.load(Ordering::Relaxed);
    let mut candidates = [Candidate::default(); 16];
    let mut count = 0;
    let mut below = 0;
    let mut lowest = f64::INFINITY;
    for (index, leaf) in target.leafs.iter().enumerate().take(candidates.len()) {
        if tried & (1 << (index % 64)) != 0 {
            continue;
        }
        let Some((candidate, is_below)) = leaf.candidate(index, version, usual, now) else {
            continue;
        };
        lowest = lowest.min(candidate.cost());
        candidates[count] = candidate;
        if is_below && limited {
            candidates.swap(below, count);
            below += 1;
        }
        count += 1;
    }
    let worth = |candidate: &&Candidate| candidate.cost() <= BELOW_LIMIT_COST_MAX * lowest;
    let worth_it = candidates[..below].iter().filter(worth).count() > 0;
    let usable = if worth_it { below } else { count };
    let chosen = shared.selector().select(&candidates[..usable])?;
    Some(candidates[chosen].index)
}

fn reason(error: &Error) -> Reason {
    match error {
        Error::Connect(_) | Error::Broken(_) | Error::Silent => Reason::Unreachable,
        Error::Deadline | Error::Failed(504) => Reason::Deadline,
        Error::Refused(409) | Error::Mismatched => Reason::Snapshot,
        Error::Refused(_) => Reason::Shed,
        Error::Malformed(_) | Error::Failed(_) => Reason::Failed,
    }
}
