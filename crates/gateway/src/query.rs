//! Handles one request of a caller, from its arrival to the response.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::capacity;
use jaycrank_policy::deadline::Deadline;
use jaycrank_policy::memory::Exhausted;
use jaycrank_policy::merge;
use jaycrank_policy::quarantine::Isolation;
use jaycrank_policy::quarantine::Turn;
use jaycrank_policy::route;
use jaycrank_policy::route::Route;
use jaycrank_policy::route::Target;
use jaycrank_policy::timing;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer;
use crate::answer::Refusal;
use crate::answer::Reply;
use crate::attempt::Answer;
use crate::attempt::Outgoing;
use crate::config::Active;
use crate::delegation;
use crate::delegation::Delegator;
use crate::fetch::Failure;
use crate::fetch::Fetched;
use crate::fetch::Job;
use crate::fetch::Reason;
use crate::fetch::fetch;
use crate::gateway::Gateway;
use crate::gather::Failures;
use crate::gather::Unanswered;
use crate::gather::leave_out;
use crate::gather::missing_services;
use crate::gather::signed_part;
use crate::quarantine::SUSPECT_WAIT_MAX;
use crate::request;
use crate::request::Received;
use crate::sent::SentLeafs;
use crate::server::Origin;

/// Part of the caller's deadline that is reserved for sending the response.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Time before the end of a stopping instance's requests at which the parts that are there are merged.
const MERGE_TIME: Duration = Duration::from_millis(20);
/// Retry delay sent to a refused caller, before jitter.
const RETRY_AFTER_BASE: Duration = Duration::from_millis(250);
/// Longest retry delay, as a fraction of the time left until the caller's deadline.
const RETRY_AFTER_DEADLINE_FRACTION: f64 = 0.3;

/// Most characters of a host or a path in a log line.
const LOGGED_CHARS_MAX: usize = 96;

/// Reason of a request that no leaf ran because this instance is cut off from all of them.
const UNREACHABLE: &str = "cut-off";
/// Reason of a request that another instance ran.
const DELEGATED: &str = "delegated";

/// One request in flight.
struct Query<'a> {
    gateway: &'a Gateway,
    /// Other instances that may run the request; `None` if one of them has passed it on.
    delegator: Option<&'a Delegator>,
    host: SmolStr,
    active: &'a Active,
    route: &'a Route,
    outgoing: Arc<Outgoing>,
    arrival: Instant,
    answer_at: Instant,
    deadline: Deadline,
    /// Leafs that may run the request or may have run it.
    sent: Arc<SentLeafs>,
}

/// Handled request: the response, and what is logged about it.
struct Handled {
    reply: Reply,
    result: Result<(), Refusal>,
    reason: &'static str,
    /// Number of shards in the answer, and of the route.
    coverage: (usize, usize),
    /// Names of the services whose part is missing, separated by commas.
    missing: String,
    sends: u32,
}

impl Handled {
    fn with_missing(mut self, missing: String) -> Self {
        self.missing = missing;
        self
    }
}

/// Logs the request as abandoned if it is dropped before `completed` is set, which happens when the
/// caller disconnects.
struct AbandonmentGuard<'a> {
    id: SmolStr,
    route: &'a str,
    arrival: Instant,
    completed: bool,
}

impl Drop for AbandonmentGuard<'_> {
    fn drop(&mut self) {
        if !self.completed {
            event!(
                Event::RequestAbandoned,
                request = self.id,
                route = self.route,
                ms = self.arrival.elapsed().as_millis()
            );
        }
    }
}

/// Routes a request, obtains its answer and returns the response. While this instance is cut off from
/// all leafs, `delegator` passes the request to another one.
pub async fn answer(
    gateway: &Gateway,
    delegator: Option<&Delegator>,
    request: Request<Incoming>,
    origin: Origin,
) -> Reply {
    let arrival = Instant::now();
    let Some(active) = gateway.directory().active() else {
        return refuse(gateway, "", Refusal::NotStarted, Some(RETRY_AFTER_BASE));
    };
    let limits = active.config().limits;
    let received = tokio::select! {
        biased;
        received = request::receive(
            request,
            &origin,
            gateway.names(),
            &limits,
            gateway.request_memory(),
        ) => received,
        () = gateway.shutdown().ends_within(Duration::ZERO) => {
            return refuse(gateway, "", Refusal::NotRun, Some(RETRY_AFTER_BASE));
        }
    };
    let received = match received {
        Ok(received) => received,
        Err(request::Error::TooLarge) => return refuse(gateway, "", Refusal::TooLarge, None),
        Err(request::Error::Exhausted) => {
            return refuse(gateway, "", Refusal::NoMemory, Some(RETRY_AFTER_BASE));
        }
        Err(request::Error::Closed) => {
            return refuse(gateway, "", Refusal::TooManyConnections, Some(RETRY_AFTER_BASE));
        }
        Err(request::Error::BrokenOff) => return refuse(gateway, "", Refusal::BrokenOff, None),
        Err(request::Error::TooSlow) => return refuse(gateway, "", Refusal::TooSlow, None),
    };
    let Some(route) = active.routes().find(&received.host, received.outgoing.uri.path()) else {
        return refuse_without_route(gateway, &active, &received);
    };
    let timeout = received.timeout.map_or(route.timeout, |timeout| {
        timeout.saturating_sub(DEADLINE_MARGIN.min(timeout / 10)).min(route.timeout)
    });
    let answer_at = timing::answer_at(
        arrival.into_std(),
        route.target_latency,
        gateway.caller_round_trip(),
        origin.first,
        route.target.parts(),
        gateway.processing_time().reserve(),
    );
    let query = Query {
        gateway,
        delegator: delegator.filter(|delegator| delegator.has_peers()),
        host: received.host.clone(),
        active: &active,
        route,
        outgoing: Arc::new(received.outgoing),
        arrival,
        answer_at: Instant::from_std(answer_at),
        deadline: Deadline::new(arrival + timeout, gateway.shutdown()),
        sent: Arc::default(),
    };
    query.run().await
}

/// Runs a request that another instance passes on. Returns `None` if it must not run here: this
/// instance has an older configuration, or no such route.
pub(crate) async fn answer_delegated(
    gateway: &Gateway,
    mut request: delegation::Request,
) -> Option<Reply> {
    let arrival = Instant::now();
    let active = gateway.directory().active()?;
    if active.version() < request.version {
        return None;
    }
    let outgoing = request.outgoing(gateway.request_memory())?;
    let route = active.routes().find(&request.host, outgoing.uri.path())?;
    let query = Query {
        gateway,
        delegator: None,
        host: request.host.clone(),
        active: &active,
        route,
        outgoing: Arc::new(outgoing),
        arrival,
        answer_at: arrival + Duration::from_millis(request.answer_in_ms),
        deadline: Deadline::new(
            arrival + Duration::from_millis(request.deadline_ms).min(route.timeout),
            gateway.shutdown(),
        ),
        sent: Arc::new(SentLeafs::new(request.sent)),
    };
    let sent = query.sent.clone();
    let mut reply = query.run().await;
    delegation::set_leaving(&mut reply, sent.leaving());
    Some(reply)
}

/// Refuses a request that has no route yet.
fn refuse(gateway: &Gateway, id: &str, refusal: Refusal, retry_after: Option<Duration>) -> Reply {
    let reason: &'static str = refusal.into();
    event!(Event::RequestRefused, request = id, reason = reason);
    gateway.metrics().record_request("", reason, Duration::ZERO);
    refusal.reply(retry_after.map(jitter))
}

/// Refuses a request to which no route of the configuration leads. The line shows whether that was
/// due: the configuration that decided it, and the time since it is in force.
fn refuse_without_route(gateway: &Gateway, active: &Active, received: &Received) -> Reply {
    let reason: &'static str = Refusal::NoRoute.into();
    let path: String = received.outgoing.uri.path().chars().take(LOGGED_CHARS_MAX).collect();
    let host: String = received.host.chars().take(LOGGED_CHARS_MAX).collect();
    event!(
        Event::RequestRefused,
        request = received.outgoing.id,
        reason = reason,
        status = Refusal::NoRoute.status().as_u16(),
        host = host,
        path = path,
        version = active.version(),
        age_ms = active.applied_at().elapsed().as_millis(),
        revision = gateway.directory().revision()
    );
    gateway.metrics().record_request("", reason, Duration::ZERO);
    Refusal::NoRoute.reply(None)
}

/// Scales a retry delay by a random factor from 0.5 to 1.5, so that callers that were refused
/// together do not retry together.
fn jitter(delay: Duration) -> Duration {
    delay.mul_f64(rand::random_range(0.5..1.5))
}

impl Query<'_> {
    async fn run(self) -> Reply {
        let mut guard = AbandonmentGuard {
            id: self.outgoing.id.clone(),
            route: &self.route.name,
            arrival: self.arrival,
            completed: false,
        };
        let mut memory = self.gateway.request_memory().reserve();
        let handled = match self.gateway.shedder().admit(self.route) {
            Some(_admitted) => match memory.grow(self.running_bytes(), Instant::now().into_std()) {
                Ok(()) => self.serve_until_shutdown().await,
                Err(Exhausted) => {
                    self.refused(Refusal::NoMemory, Refusal::NoMemory.into(), (0, 0), 0)
                }
            },
            None => self.refused(Refusal::Overloaded, "processor", (0, 0), 0),
        };
        guard.completed = true;
        // A partial answer says nothing about the leafs of the missing shards.
        let is_complete = handled.coverage.0 == handled.coverage.1 && handled.reason != DELEGATED;
        if is_complete && handled.reply.status().is_success() {
            self.gateway.record_success(&self.outgoing);
        }
        self.log(&handled);
        handled.reply
    }

    /// Returns the memory that the request takes while it runs, beside its body.
    fn running_bytes(&self) -> usize {
        let headers = self.outgoing.headers.iter();
        let head = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
        // A single request is served whatever it takes.
        let bytes_max = self.gateway.capacity().request_bytes() / 2;
        capacity::running_bytes(self.route.target.parts(), head).min(bytes_max)
    }

    /// Serves the request, or ends it in time for its response to leave before the instance stops.
    async fn serve_until_shutdown(&self) -> Handled {
        tokio::select! {
            biased;
            handled = self.serve() => handled,
            () = self.deadline.ends_within(Duration::ZERO) => {
                let refusal = if self.sent.is_empty() { Refusal::NotRun } else { Refusal::Lost };
                self.refused(refusal, Reason::Stopping.into(), (0, 0), 0)
            }
        }
    }

    /// Runs the request here, or at another instance while this one is cut off from all leafs.
    async fn serve(&self) -> Handled {
        let reachability = self.gateway.reachability();
        let is_cut_off = self.delegator.is_some() && reachability.is_cut_off();
        // Futures of rare paths are boxed: they would make that of each request larger.
        if is_cut_off && let Some(handled) = Box::pin(self.serve_cut_off()).await {
            return handled;
        }
        let may_interrupt = self.delegator.is_some() && self.route.idempotent && !is_cut_off;
        let handled = tokio::select! {
            biased;
            handled = self.run_here() => handled,
            () = reachability.wait_for_silence(), if may_interrupt => self.cut_off(),
        };
        match self.delegator {
            Some(delegator) if self.may_run_elsewhere(&handled) && reachability.verdict().await => {
                Box::pin(self.delegate(delegator)).await.unwrap_or(handled)
            }
            _ => handled,
        }
    }

    /// Passes the request to another instance or refuses it; returns `None` if it is worth a try here,
    /// because no instance helps and leafs are just back, or open connections to them live on.
    async fn serve_cut_off(&self) -> Option<Handled> {
        if let Some(handled) = self.delegate(self.delegator?).await {
            return Some(handled);
        }
        let may_reach = self.gateway.reachability().may_reach();
        (!may_reach).then(|| self.refused(Refusal::NotRun, UNREACHABLE, (0, 0), 0))
    }

    async fn run_here(&self) -> Handled {
        match self.check_quarantine().await {
            Ok(isolation) => self.dispatch(isolation.is_some()).await,
            Err(retry_after) => self.quarantined(retry_after),
        }
    }

    /// Returns the outcome of a request that was in progress when this instance was cut off.
    fn cut_off(&self) -> Handled {
        let refusal = if self.sent.is_empty() { Refusal::NotRun } else { Refusal::Lost };
        self.refused(refusal, UNREACHABLE, (0, 0), 0)
    }

    /// Returns whether another instance may run a request that has failed here.
    fn may_run_elsewhere(&self, handled: &Handled) -> bool {
        let may_run = match handled.result {
            Err(Refusal::NotRun) => self.sent.is_empty() || self.route.idempotent,
            Err(Refusal::Lost | Refusal::TimedOut) => self.route.idempotent,
            _ => false,
        };
        may_run && Instant::now() < self.deadline.at()
    }

    /// Passes the request to another instance; returns `None` if none runs it.
    async fn delegate(&self, delegator: &Delegator) -> Option<Handled> {
        let in_doubt = !self.sent.is_empty();
        // The message holds a copy of the body.
        let mut memory = self.gateway.request_memory().reserve();
        memory.grow(self.outgoing.body.len(), Instant::now().into_std()).ok()?;
        let request = delegation::Request {
            method: self.outgoing.method.as_str().into(),
            uri: self.outgoing.uri.to_string(),
            headers: delegation::encode_headers(&self.outgoing.headers),
            body: self.outgoing.body.clone(),
            id: self.outgoing.id.clone(),
            caller: self.outgoing.caller,
            host: self.host.clone(),
            deadline_ms: delegation::millis_until(self.deadline.at()),
            answer_in_ms: delegation::millis_until(self.answer_at),
            version: self.active.version(),
            sent: self.sent.by_service(),
        };
        self.sent.set_delegated(true);
        let outcome = delegator.run(request, self.route.idempotent, self.deadline.at()).await;
        let (peer, mut reply) = match outcome {
            delegation::Outcome::Answered(peer, reply) => (peer, reply),
            delegation::Outcome::Declined => {
                self.sent.set_delegated(false);
                return None;
            }
            delegation::Outcome::Lost => {
                let refusal = match Instant::now() < self.deadline.at() {
                    true => Refusal::Lost,
                    false => Refusal::TimedOut,
                };
                return Some(self.refused(refusal, DELEGATED, (0, 0), 1));
            }
        };
        for key in delegation::take_leaving(&mut reply) {
            self.gateway.directory().mark_leaving(&key, Instant::now().into_std());
        }
        let status = reply.status();
        event!(
            Event::RequestDelegated,
            request = self.outgoing.id,
            route = self.route.name,
            peer = peer,
            status = status.as_u16(),
            ms = self.arrival.elapsed().as_millis()
        );
        let result = match status {
            StatusCode::SERVICE_UNAVAILABLE => Err(Refusal::NotRun),
            status if status.is_server_error() => Err(Refusal::Lost),
            _ => Ok(()),
        };
        if in_doubt && status == StatusCode::SERVICE_UNAVAILABLE {
            // The other instance did not run it, but a leaf may have run it for this one.
            return Some(self.refused(Refusal::Lost, DELEGATED, (0, 0), 1));
        }
        let missing = String::new();
        Some(Handled { reply, result, reason: DELEGATED, coverage: (0, 0), missing, sends: 0 })
    }

    /// Returns the permit to run a suspect isolated, or `None` for a request that is not suspected.
    ///
    /// # Errors
    ///
    /// Returns the retry delay of a request that must not run.
    async fn check_quarantine(&self) -> Result<Option<Isolation>, Duration> {
        let quarantine = self.gateway.quarantine();
        if quarantine.is_empty() {
            return Ok(None);
        }
        let fingerprint = self.outgoing.fingerprint();
        let deadline = self.deadline.at().min(Instant::now() + SUSPECT_WAIT_MAX);
        match quarantine.isolate(fingerprint, false, deadline).await {
            Turn::Isolated(isolation) => Ok(Some(isolation)),
            Turn::Cleared => Ok(None),
            Turn::Refused { retry_after } => Err(retry_after),
            Turn::TimedOut => Err(jitter(RETRY_AFTER_BASE)),
        }
    }

    /// Refuses a suspect. The retry delay is not shortened to the caller's deadline: the request
    /// is refused until then.
    fn quarantined(&self, retry_after: Duration) -> Handled {
        event!(
            Event::RequestQuarantined,
            request = self.outgoing.id,
            route = self.route.name,
            fingerprint = format_smolstr!("{:016x}", self.outgoing.fingerprint()),
            retry_after_ms = retry_after.as_millis()
        );
        let refusal = Refusal::Quarantined;
        let reply = refusal.reply(Some(retry_after));
        let missing = String::new();
        Handled {
            reply,
            result: Err(refusal),
            reason: refusal.into(),
            coverage: (0, 0),
            missing,
            sends: 0,
        }
    }

    /// Sends the request to the leafs of its route.
    async fn dispatch(&self, isolated: bool) -> Handled {
        match &self.route.target {
            Target::Split(split) => self.forward(split, isolated).await,
            Target::Gather { services, top, coverage_min } => {
                self.gather(services, *top, *coverage_min, isolated).await
            }
        }
    }

    /// Forwards the request to one leaf of a service that is drawn by weight.
    async fn forward(&self, split: &[(SmolStr, f64)], isolated: bool) -> Handled {
        let Some(service) = route::pick_service(split, rand::random()) else {
            return self.refused(Refusal::NotRun, Reason::NoLeaf.into(), (0, 1), 0);
        };
        let job = self.job(service, isolated);
        let fetched = tokio::select! {
            biased;
            fetched = fetch(self.gateway, &job) => fetched,
            failure = self.wait_for_last_send(service) => Err(failure),
        };
        match fetched {
            Ok(Fetched { answer, sends }) => {
                self.answered(answer::forwarded(answer), (1, 1), sends)
            }
            Err(failure) => {
                let reason = failure.reason.into();
                match failure.answer {
                    Some(answer) => self.answered(answer::forwarded(answer), (0, 1), 1),
                    None if !failure.may_have_run => {
                        self.not_run(failure.reason, failure.retry_after, (0, 1), 0)
                    }
                    None => self.refused(refusal_after_run(failure.reason), reason, (0, 1), 1),
                }
            }
        }
    }

    /// Waits until the instance stops so soon that a leaf would not answer in time. Returns only if
    /// the request was not sent until then.
    async fn wait_for_last_send(&self, service: &SmolStr) -> Failure {
        self.deadline.ends_within(self.gateway.service_time(service).mean()).await;
        if !self.sent.is_empty() {
            std::future::pending::<()>().await;
        }
        Failure {
            reason: Reason::Stopping,
            may_have_run: false,
            answer: None,
            retry_after: Duration::ZERO,
        }
    }

    /// Obtains a part from each service and merges them. A suspect that runs isolated is sent to
    /// the other services only after the first one has survived it.
    async fn gather(
        &self,
        services: &[SmolStr],
        top: usize,
        coverage_min: f64,
        isolated: bool,
    ) -> Handled {
        let total = services.len();
        let left_out = match leave_out(self.gateway, services, coverage_min, self.answer_at) {
            Ok(left_out) => left_out,
            Err(retry_after) => {
                let handled = self.not_run(Reason::Limited, retry_after, (0, total), 0);
                return handled.with_missing(missing_services(services, &[]));
            }
        };
        let queried = services.iter().enumerate().filter(|(index, _)| !left_out.contains(index));
        let jobs: Vec<Job> = queried.map(|(_, service)| self.job(service, isolated)).collect();
        let mut unanswered = Unanswered::new(self.gateway, &jobs);
        let mut fetched_first = match jobs.first() {
            Some(job) if isolated => Some(fetch(self.gateway, job).await),
            _ => None,
        };
        if let Some(Err(failure)) = &fetched_first
            && failure.reason == Reason::Crashed
        {
            let reason = failure.reason;
            return self.refused(refusal_after_run(reason), reason.into(), (0, total), 1);
        }
        let mut fetches: FuturesUnordered<_> = jobs
            .iter()
            .enumerate()
            .map(|(index, job)| {
                let fetched = fetched_first.take();
                async move {
                    match fetched {
                        Some(fetched) => (index, fetched),
                        None => (index, fetch(self.gateway, job).await),
                    }
                }
            })
            .collect();
        let mut parts: Vec<(Answer, HeaderValue)> = Vec::with_capacity(total);
        let mut answered_services = Vec::with_capacity(total);
        let mut failures = Failures::default();
        let mut sends = 0;
        let mut late = false;
        // Whether the answer only waited for the time at which it was due.
        let mut was_waiting = false;
        let mut stopping = std::pin::pin!(self.deadline.ends_within(MERGE_TIME));
        while !timing::is_due(parts.len(), fetches.len(), total, coverage_min, late) {
            tokio::select! {
                biased;
                Some((index, fetched)) = fetches.next() => match fetched {
                    Ok(Fetched { answer, sends: sent }) => {
                        sends += sent;
                        unanswered.record_answer(index, !late);
                        match signed_part(answer) {
                            Some(part) => {
                                parts.push(part);
                                answered_services.push(&jobs[index].service);
                            }
                            None => failures.add(Reason::Failed, true),
                        }
                    }
                    Err(failure) => {
                        unanswered.ignore_failed(index);
                        failures.add_failure(&failure);
                    }
                },
                () = sleep_until(self.answer_at), if !late => {
                    late = true;
                    was_waiting = timing::meets_coverage(parts.len(), total, coverage_min);
                }
                () = &mut stopping => {
                    failures.add(Reason::Stopping, !self.sent.is_empty());
                    break;
                }
            }
            if !timing::meets_coverage(parts.len() + fetches.len(), total, coverage_min) {
                break;
            }
        }
        unanswered.record_misses(late);
        let covered = parts.len();
        if !timing::meets_coverage(covered, total, coverage_min) {
            let ran = covered > 0 || failures.may_have_run() || !self.sent.is_empty();
            let reason = failures.reason();
            let handled = if ran {
                self.refused(refusal_after_run(reason), reason.into(), (covered, total), sends)
            } else {
                self.not_run(reason, failures.retry_after(), (covered, total), sends)
            };
            return handled.with_missing(missing_services(services, &answered_services));
        }
        let bodies = parts.iter().map(|(answer, _)| answer.body.as_ref());
        let body = merge::greatest(bodies, top);
        if was_waiting {
            self.gateway.record_processing_time(self.answer_at.elapsed());
        }
        let signatures: Vec<HeaderValue> =
            parts.iter().map(|(_, signature)| signature.clone()).collect();
        let reply = answer::merged(
            body,
            &signatures,
            total - covered,
            &self.outgoing.id,
            self.gateway.names(),
        );
        self.answered(reply, (covered, total), sends)
            .with_missing(missing_services(services, &answered_services))
    }

    fn job(&self, service: &SmolStr, isolated: bool) -> Job {
        Job {
            service: service.clone(),
            outgoing: self.outgoing.clone(),
            idempotent: self.route.idempotent,
            isolated,
            rank: self.route.rank,
            attempts_max: self.route.attempts_max,
            answer_at: self.answer_at,
            deadline: self.deadline.clone(),
            sent: self.sent.clone(),
        }
    }

    fn answered(&self, reply: Reply, coverage: (usize, usize), sends: u32) -> Handled {
        let missing = String::new();
        Handled { reply, result: Ok(()), reason: "answered", coverage, missing, sends }
    }

    /// Refuses a request that no leaf ran. `retry_after` is the time until a leaf may take it, which
    /// is not shortened to the caller's deadline.
    fn not_run(
        &self,
        reason: Reason,
        retry_after: Duration,
        coverage: (usize, usize),
        sends: u32,
    ) -> Handled {
        let mut handled = self.refused(Refusal::NotRun, reason.into(), coverage, sends);
        if retry_after > RETRY_AFTER_BASE {
            handled.reply = Refusal::NotRun.reply(Some(retry_after + jitter(RETRY_AFTER_BASE)));
        }
        handled
    }

    fn refused(
        &self,
        refusal: Refusal,
        reason: &'static str,
        coverage: (usize, usize),
        sends: u32,
    ) -> Handled {
        let time_left = self.deadline.requested().saturating_duration_since(Instant::now());
        let retry_after = match refusal {
            Refusal::NotRun
            | Refusal::Overloaded
            | Refusal::NoMemory
            | Refusal::TooManyConnections => {
                Some(jitter(RETRY_AFTER_BASE).min(time_left.mul_f64(RETRY_AFTER_DEADLINE_FRACTION)))
            }
            _ => None,
        };
        let reply = refusal.reply(retry_after);
        Handled { reply, result: Err(refusal), reason, coverage, missing: String::new(), sends }
    }

    fn log(&self, handled: &Handled) {
        let time = self.arrival.elapsed();
        let event = match handled.result {
            Ok(()) => Event::RequestAnswered,
            Err(refusal) if refusal.status() == StatusCode::SERVICE_UNAVAILABLE => {
                Event::RequestRefused
            }
            Err(_) => Event::RequestFailed,
        };
        event!(
            event,
            request = self.outgoing.id,
            route = self.route.name,
            version = self.active.version(),
            reason = handled.reason,
            status = handled.reply.status().as_u16(),
            ms = time.as_millis(),
            covered = handled.coverage.0,
            shards = handled.coverage.1,
            missing = handled.missing,
            sends = handled.sends
        );
        let outcome = match handled.result {
            Ok(()) if handled.reason == DELEGATED => DELEGATED,
            Ok(()) if handled.coverage.0 < handled.coverage.1 => "partial",
            Ok(()) => "complete",
            Err(refusal) => refusal.into(),
        };
        self.gateway.metrics().record_request(&self.route.name, outcome, time);
    }
}

/// Returns the refusal of a request that a leaf may have run.
fn refusal_after_run(reason: Reason) -> Refusal {
    if reason == Reason::TimedOut { Refusal::TimedOut } else { Refusal::Lost }
}
