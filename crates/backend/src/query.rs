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

/// Time before the deadline that is reserved for sending the response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(2);
/// Base of the backoff before a group whose replicas have all failed is retried; it doubles with
/// each attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Maximum number of attempts of one sub-request.
const ATTEMPTS_MAX: u32 = 8;
/// Maximum number of attempts of one sub-request in flight: the first one and a hedge.
const IN_FLIGHT_MAX: usize = 2;
/// Maximum cost of a replica below its concurrency limit, as a multiple of the lowest cost of all
/// candidates, at which it is preferred to replicas at their limits.
const BELOW_LIMIT_COST_RATIO_MAX: f64 = 4.0;
/// Maximum time to wait for the replies to abandoned sub-requests, so that their connections can
/// be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// One attempt of a sub-request at one leaf.
pub(crate) struct Attempt {
    sub_request: usize,
    leaf: Arc<Leaf>,
    frame: Frame,
}

/// Outcome of an attempt.
pub(crate) struct Outcome {
    sub_request: usize,
    id: Id,
    reply: Result<Reply>,
    elapsed: Duration,
}

/// The sub-request to one group.
#[derive(Default)]
struct SubRequest {
    slot: Option<Slot>,
    /// Attempts in flight: index of the leaf in its group, and the id that was sent.
    in_flight: [Option<(usize, Id)>; IN_FLIGHT_MAX],
    /// Bit set of the leafs of the group that have been tried.
    tried: u64,
    attempts: u32,
    hedge_at: Option<Instant>,
    retry_at: Option<Instant>,
    failure: Option<Reason>,
}

/// State of a query that is pinned to one index version.
pub(crate) struct Query<'a> {
    shared: &'a Shared,
    plan: &'a Plan,
    service: &'a Service,
    layout: &'a Layout,
    sub_requests: Vec<SubRequest>,
    gather: Gather<Bytes>,
    queued: usize,
    wake: Arc<Notify>,
    /// Earliest time at which a hedge, a retry or a slot may be due.
    next_due: Instant,
    limit_enabled: bool,
    hedge_delay: Option<Duration>,
    /// Whether a leaf refused the pinned version.
    version_refused: bool,
    /// Whether a group was given up because the connection to its leaf broke.
    connection_broke: bool,
}

impl Attempt {
    async fn send(self) -> Outcome {
        let started_at = now();
        let reply = self.leaf.call(&self.frame).await;
        let elapsed = now().saturating_duration_since(started_at);
        Outcome { sub_request: self.sub_request, id: self.frame.id, reply, elapsed }
    }
}

impl SubRequest {
    fn is_queued(&self) -> bool {
        self.attempts == 0 && self.slot.as_ref().is_some_and(|slot| !slot.is_granted())
    }

    fn is_in_flight(&self) -> bool {
        self.in_flight.iter().any(Option::is_some)
    }
}

/// Runs a query at the index version of `layout`.
///
/// With `repin`, returns `None` as soon as a leaf refuses the pinned version and another version
/// can be pinned.
pub(crate) async fn run(
    shared: &Shared,
    plan: &Plan,
    service: &Service,
    layout: &Layout,
    repin: bool,
) -> Option<Replies> {
    let mut query = Query::new(shared, plan, service, layout);
    let mut in_flight = FuturesUnordered::new();
    let started_at = now();
    for index in 0..query.sub_requests.len() {
        if let Some(attempt) = query.start(index, started_at) {
            in_flight.push(attempt.send());
        }
    }
    let timer = tokio::time::sleep_until(query.next_due.min(plan.deadline).into());
    tokio::pin!(timer);
    let wake = query.wake.clone();
    while query.gather.pending() > 0 {
        tokio::select! {
            biased;
            Some(outcome) = in_flight.next(), if !in_flight.is_empty() => {
                if let Some(attempt) = query.handle_outcome(outcome) {
                    in_flight.push(attempt.send());
                }
                if query.version_refused && repin && can_repin(service, layout) {
                    break;
                }
            }
            () = wake.notified(), if query.queued > 0 => {
                query.advance(|attempt| in_flight.push(attempt.send()));
            }
            () = &mut timer => {
                if now() >= plan.deadline {
                    break;
                }
                query.advance(|attempt| in_flight.push(attempt.send()));
            }
        }
        let next_due = tokio::time::Instant::from_std(query.next_due.min(plan.deadline));
        if timer.deadline() != next_due {
            timer.as_mut().reset(next_due);
        }
    }
    query.cancel_all();
    if !in_flight.is_empty() {
        tokio::spawn(drain(in_flight));
    }
    let needs_repin =
        query.version_refused && query.gather.pending() > 0 && repin && now() < plan.deadline;
    (!needs_repin).then(|| query.into_replies())
}

fn can_repin(service: &Service, layout: &Layout) -> bool {
    service.pin(None).is_some_and(|pinned| pinned.version != layout.version)
}

/// Awaits the replies to abandoned sub-requests, so that their connections return to the pool.
async fn drain(mut in_flight: FuturesUnordered<impl Future<Output = Outcome>>) {
    let all = async { while in_flight.next().await.is_some() {} };
    // After the timeout the futures are dropped, which closes the connections still in use.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
}

impl<'a> Query<'a> {
    fn new(shared: &'a Shared, plan: &'a Plan, service: &'a Service, layout: &'a Layout) -> Self {
        let groups = layout.targets.len();
        service.extra_budget().deposit(groups);
        let summaries = layout.targets.iter().map(|target| target.group_state.summary());
        let hedge_delay = if plan.hedge { hedge::delay(summaries) } else { None };
        Self {
            shared,
            plan,
            service,
            layout,
            sub_requests: std::iter::repeat_with(SubRequest::default).take(groups).collect(),
            gather: Gather::new(layout.version, groups),
            queued: 0,
            wake: Arc::default(),
            next_due: plan.deadline,
            limit_enabled: shared.limit_enabled.load(Ordering::Relaxed),
            hedge_delay,
            version_refused: false,
            connection_broke: false,
        }
    }

    /// Acquires a slot and dispatches the sub-request, or queues it if no slot is free.
    fn start(&mut self, index: usize, now: Instant) -> Option<Attempt> {
        if self.limit_enabled {
            let group_state = &self.layout.targets[index].group_state;
            let slot = group_state.acquire(self.plan.rank, self.plan.within_floor, &self.wake, now);
            let granted = slot.is_granted();
            self.sub_requests[index].slot = Some(slot);
            if !granted {
                self.queued += 1;
                let ready_at = group_state.slots().ready_at();
                self.schedule(ready_at);
                return None;
            }
        }
        self.dispatch(index, now)
    }

    /// Dispatches the queued sub-requests that have been granted slots.
    fn dispatch_granted(&mut self, mut push: impl FnMut(Attempt)) {
        let now = now();
        for index in 0..self.sub_requests.len() {
            let entry = &mut self.sub_requests[index];
            if entry.attempts > 0 {
                continue;
            }
            let Some(slot) = entry.slot.as_mut().filter(|slot| slot.is_granted()) else { continue };
            slot.end_wait();
            self.queued -= 1;
            if let Some(attempt) = self.dispatch(index, now) {
                push(attempt);
            }
        }
    }

    /// Creates an attempt at a replica that has not been tried, if the time left suffices.
    fn dispatch(&mut self, index: usize, now: Instant) -> Option<Attempt> {
        let target = &self.layout.targets[index];
        let Some(chosen) = self.choose_replica(target, self.sub_requests[index].tried, now) else {
            self.handle_no_replica(index, now);
            return None;
        };
        let leaf = &target.leafs[chosen];
        let time_left =
            self.plan.deadline.saturating_duration_since(now).saturating_sub(RESPONSE_MARGIN);
        if time_left.is_zero() || time_left < leaf.summary().p10 {
            self.give_up(index, Reason::Deadline);
            return None;
        }
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let sub_request = &mut self.sub_requests[index];
        let unused = sub_request.in_flight.iter_mut().find(|attempt| attempt.is_none())?;
        *unused = Some((chosen, id));
        sub_request.tried |= 1 << (chosen % 64);
        sub_request.attempts += 1;
        sub_request.retry_at = None;
        if self.plan.hedge && sub_request.attempts == 1 && target.leafs.len() > 1 {
            let hedge_at = self.hedge_delay.map(|delay| now + delay);
            sub_request.hedge_at = hedge_at;
            self.schedule(hedge_at);
        }
        let frame = Frame {
            id,
            path: target.path.clone(),
            snapshot: self.layout.version,
            timeout: time_left,
            attempt_id: None,
            fingerprint: self.plan.fingerprint,
            body: self.plan.body.clone(),
        };
        Some(Attempt { sub_request: index, leaf: leaf.clone(), frame })
    }

    fn choose_replica(&self, target: &Target, tried: u64, now: Instant) -> Option<usize> {
        choose_replica(self.shared, target, self.layout.version, tried, now)
    }

    /// Records the outcome of an attempt and returns the retry if there is one.
    fn handle_outcome(&mut self, outcome: Outcome) -> Option<Attempt> {
        let now = now();
        let index = outcome.sub_request;
        let sub_request = &mut self.sub_requests[index];
        for attempt in &mut sub_request.in_flight {
            if attempt.is_some_and(|(_, id)| id == outcome.id) {
                *attempt = None;
            }
        }
        if outcome.reply.is_ok() {
            self.layout.targets[index].group_state.record(outcome.elapsed, now);
        }
        if !self.gather.is_pending(index) {
            return None;
        }
        let error = match outcome.reply {
            // The connection has checked that the reply is of the requested version.
            Ok(reply) => {
                self.gather.add_reply(index, reply.snapshot.unwrap_or_default(), reply.body);
                self.finish_sub_request(index);
                return None;
            }
            Err(error) => error,
        };
        sub_request.failure = Some(missing_reason(&error));
        self.version_refused |= error == Error::Refused(409);
        if sub_request.is_in_flight() {
            return None;
        }
        let crash_suspected = matches!(error, Error::Broken(_)) && !self.plan.retry_broken;
        if crash_suspected || sub_request.attempts >= ATTEMPTS_MAX {
            self.connection_broke |= crash_suspected;
            self.give_up(index, missing_reason(&error));
            return None;
        }
        // Either no byte was sent, or the connection went silent and its leaf did not report that
        // it has the sub-request. Such a retry is taken to add no load.
        let adds_no_load = matches!(error, Error::Silent | Error::NotSent(_));
        if adds_no_load || self.service.extra_budget().try_retry() {
            if error == Error::Silent {
                self.sub_requests[index].tried = 0;
            }
            return self.dispatch(index, now);
        }
        self.give_up(index, missing_reason(&error));
        None
    }

    /// Grants slots and sends the hedges and retries that are due.
    fn advance(&mut self, mut push: impl FnMut(Attempt)) {
        let now = now();
        self.next_due = self.plan.deadline;
        if self.queued > 0 {
            for (sub_request, target) in self.sub_requests.iter().zip(&self.layout.targets) {
                if sub_request.is_queued() {
                    target.group_state.grant_waiting(now);
                }
            }
            self.dispatch_granted(&mut push);
        }
        for index in 0..self.sub_requests.len() {
            if !self.gather.is_pending(index) {
                continue;
            }
            let sub_request = &self.sub_requests[index];
            if sub_request.hedge_at.is_some_and(|at| at <= now) {
                if let Some(attempt) = self.hedge(index, now) {
                    push(attempt);
                }
            } else if sub_request.retry_at.is_some_and(|at| at <= now) {
                self.sub_requests[index].tried = 0;
                if let Some(attempt) = self.dispatch(index, now) {
                    push(attempt);
                }
            }
            let sub_request = &self.sub_requests[index];
            let (hedge_at, retry_at) = (sub_request.hedge_at, sub_request.retry_at);
            let group_state = &self.layout.targets[index].group_state;
            let ready_at =
                if sub_request.is_queued() { group_state.slots().ready_at() } else { None };
            for at in [hedge_at, retry_at, ready_at] {
                self.schedule(at);
            }
        }
    }

    /// Sends a hedge if the budget and the load allow it, else schedules the next check.
    fn hedge(&mut self, index: usize, now: Instant) -> Option<Attempt> {
        let target = &self.layout.targets[index];
        let sub_request = &mut self.sub_requests[index];
        sub_request.hedge_at = None;
        let tried = sub_request.tried;
        let is_single = sub_request.in_flight.iter().flatten().count() == 1;
        // The leaf is late and the other leafs of the group may be free, so the sub-request no
        // longer counts against this instance's share. Otherwise a few stragglers would block the
        // group.
        sub_request.slot = None;
        if !is_single {
            return None;
        }
        if !self.service.backpressure.allows_hedges() || !self.service.extra_budget().try_hedge() {
            // Checks again while the sub-request is late: overload may end, and the hedge budget
            // refills.
            let next_check = self.hedge_delay.map(|delay| now + delay);
            self.sub_requests[index].hedge_at = next_check;
            return None;
        }
        self.choose_replica(target, tried, now)?;
        self.shared.hedges.fetch_add(1, Ordering::Relaxed);
        self.dispatch(index, now)
    }

    /// Schedules a retry of all replicas after a backoff, or gives the group up.
    ///
    /// Called when no replica that holds the version is left to try.
    fn handle_no_replica(&mut self, index: usize, now: Instant) {
        let target = &self.layout.targets[index];
        let has_available = target.leafs.iter().any(|leaf| leaf.can_serve(self.layout.version));
        let sub_request = &mut self.sub_requests[index];
        if sub_request.is_in_flight() {
            return;
        }
        let attempts = sub_request.attempts;
        let reason = sub_request.failure.unwrap_or(Reason::Snapshot);
        let backoff = BACKOFF_BASE * (1 << attempts.min(8));
        let retry_at = now + backoff;
        if has_available && attempts > 0 && attempts < ATTEMPTS_MAX && retry_at < self.plan.deadline
        {
            sub_request.retry_at = Some(retry_at);
            self.schedule(Some(retry_at));
        } else {
            self.give_up(index, reason);
        }
    }

    fn give_up(&mut self, index: usize, reason: Reason) {
        self.gather.give_up(index, reason);
        self.finish_sub_request(index);
    }

    /// Releases the slot and cancels the timers and attempts of a sub-request with an outcome.
    fn finish_sub_request(&mut self, index: usize) {
        let sub_request = &mut self.sub_requests[index];
        sub_request.slot = None;
        sub_request.hedge_at = None;
        sub_request.retry_at = None;
        self.cancel(index);
    }

    fn cancel(&mut self, index: usize) {
        let target = &self.layout.targets[index];
        for (leaf, id) in self.sub_requests[index].in_flight.iter_mut().filter_map(Option::take) {
            let leaf = target.leafs[leaf].clone();
            self.shared.cancels.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                // If the cancellation fails, the deadline of the sub-request still ends it.
                let _ = leaf.control().cancel(id).await;
            });
        }
    }

    fn cancel_all(&mut self) {
        for index in 0..self.sub_requests.len() {
            if self.gather.is_pending(index) {
                self.cancel(index);
            }
        }
    }

    fn into_replies(self) -> Replies {
        let connection_broke = self.connection_broke;
        let names = self.layout.targets.iter().map(|target| target.group_state.group());
        let reason = |index: usize| self.sub_requests[index].failure.unwrap_or(Reason::Deadline);
        let (coverage, bodies) = self.gather.finish(names, reason);
        Replies { snapshot: self.layout.version, coverage, bodies, connection_broke }
    }

    /// Brings the next due time forward to `at` if that is earlier.
    fn schedule(&mut self, at: Option<Instant>) {
        self.next_due = at.map_or(self.next_due, |at| self.next_due.min(at));
    }
}

/// Chooses a replica that holds the version and has not been tried.
///
/// Replicas below their concurrency limits are preferred unless all of them cost much more than
/// the cheapest candidate. Without this exception, a slow replica below its limit would get all
/// the excess load as soon as the fast replicas of the group are at their limits.
pub(crate) fn choose_replica(
    shared: &Shared,
    target: &Target,
    version: u64,
    tried: u64,
    now: Instant,
) -> Option<usize> {
    let group_latency = target.group_state.summary().median;
    let limit_enabled = shared.limit_enabled.load(Ordering::Relaxed);
    let mut candidates = [Candidate::default(); 16];
    let mut count = 0;
    let mut below_count = 0;
    let mut lowest_cost = f64::INFINITY;
    for (index, leaf) in target.leafs.iter().enumerate().take(candidates.len()) {
        if tried & (1 << (index % 64)) != 0 {
            continue;
        }
        let Some((candidate, is_below_limit)) = leaf.candidate(index, version, group_latency, now)
        else {
            continue;
        };
        lowest_cost = lowest_cost.min(candidate.cost());
        candidates[count] = candidate;
        if is_below_limit && limit_enabled {
            candidates.swap(below_count, count);
            below_count += 1;
        }
        count += 1;
    }
    let is_affordable =
        |candidate: &&Candidate| candidate.cost() <= BELOW_LIMIT_COST_RATIO_MAX * lowest_cost;
    let has_affordable = candidates[..below_count].iter().filter(is_affordable).count() > 0;
    let considered = if has_affordable { below_count } else { count };
    let chosen = shared.selector().select(&candidates[..considered])?;
    Some(candidates[chosen].index)
}

/// Returns the reason to report for a group that is missing because of an error.
fn missing_reason(error: &Error) -> Reason {
    match error {
        Error::NotSent(_) | Error::Broken(_) | Error::Silent => Reason::Unreachable,
        Error::Deadline | Error::Failed(504) => Reason::Deadline,
        Error::Refused(409) | Error::Mismatched => Reason::Snapshot,
        Error::Refused(_) => Reason::Shed,
        Error::Malformed(_) | Error::Failed(_) => Reason::Failed,
    }
}
