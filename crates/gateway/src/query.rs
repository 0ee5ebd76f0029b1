//! Runs one request of a caller from its arrival to its answer.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::merge;
use jaycrank_policy::route;
use jaycrank_policy::route::Route;
use jaycrank_policy::route::Target;
use jaycrank_policy::timing;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer;
use crate::answer::Refusal;
use crate::answer::Reply;
use crate::attempt::Answer;
use crate::attempt::Outgoing;
use crate::config::Active;
use crate::fetch::Fetched;
use crate::fetch::Job;
use crate::fetch::Reason;
use crate::fetch::fetch;
use crate::gateway::Gateway;
use crate::request;

/// Time kept from the caller's deadline for the way back.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Time until a refused caller may come back, before it is spread.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Share of the time that a caller has left after which it may come back at the latest.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// One request under way.
struct Query<'a> {
    gateway: &'a Gateway,
    active: &'a Active,
    route: &'a Route,
    outgoing: Arc<Outgoing>,
    arrival: Instant,
    answer_at: Instant,
    deadline: Instant,
}

/// How a request ended.
struct End {
    reply: Reply,
    result: Result<(), Refusal>,
    reason: &'static str,
    /// Shards in the answer and shards of the route.
    coverage: (usize, usize),
    /// Services without a part.
    missing: String,
    sends: u32,
}

impl End {
    fn with_missing(mut self, missing: String) -> Self {
        self.missing = missing;
        self
    }
}

/// Logs a request whose caller has gone before it ended.
struct Watch<'a> {
    id: SmolStr,
    route: &'a str,
    arrival: Instant,
    ended: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            event!(
                Event::RequestAbandoned,
                request = self.id,
                route = self.route,
                ms = self.arrival.elapsed().as_millis()
            );
        }
    }
}

/// Answers a request.
///
/// `first` tells whether it is the first request of its connection.
pub async fn answer(gateway: &Gateway, request: Request<Incoming>, first: bool) -> Reply {
    let arrival = Instant::now();
    let Some(active) = gateway.directory().active() else {
        return refuse(gateway, "", Refusal::NotStarted, Some(RETRY_AFTER));
    };
    let limits = active.config().limits;
    let received = match request::receive(request, gateway.names(), &limits).await {
        Ok(received) => received,
        Err(request::Error::TooLarge) => return refuse(gateway, "", Refusal::TooLarge, None),
        Err(request::Error::BrokenOff) => return refuse(gateway, "", Refusal::BrokenOff, None),
        Err(request::Error::TooSlow) => return refuse(gateway, "", Refusal::TooSlow, None),
    };
    let Some(route) = active.routes().find(&received.host, received.outgoing.uri.path()) else {
        return refuse(gateway, &received.outgoing.id, Refusal::NoRoute, None);
    };
    let wait = received.wait.map_or(route.timeout, |wait| {
        wait.saturating_sub(DEADLINE_MARGIN.min(wait / 10)).min(route.timeout)
    });
    let answer_at = timing::answer_at(
        arrival.into_std(),
        route.target_latency,
        gateway.caller_round_trip(),
        first,
    );
    let query = Query {
        gateway,
        active: &active,
        route,
        outgoing: Arc::new(received.outgoing),
        arrival,
        answer_at: Instant::from_std(answer_at),
        deadline: arrival + wait,
    };
    query.run().await
}

/// Refuses a request before it has a route.
fn refuse(gateway: &Gateway, id: &str, refusal: Refusal, after: Option<Duration>) -> Reply {
    let reason: &'static str = refusal.into();
    event!(Event::RequestRefused, request = id, reason = reason);
    gateway.metrics().record_request("", reason, Duration::ZERO);
    refusal.reply(after.map(spread))
}

/// Spreads a time to come back over half to one and a half of itself, so that callers who were
/// refused together do not return together.
fn spread(time: Duration) -> Duration {
    time.mul_f64(rand::random_range(0.5..1.5))
}

impl Query<'_> {
    async fn run(self) -> Reply {
        let mut watch = Watch {
            id: self.outgoing.id.clone(),
            route: &self.route.name,
            arrival: self.arrival,
            ended: false,
        };
        let end = match self.gateway.shedder().admit(self.route) {
            Some(_admitted) => match &self.route.target {
                Target::Split(split) => self.forward(split).await,
                Target::Gather { services, top, coverage_min } => {
                    self.gather(services, *top, *coverage_min).await
                }
            },
            None => self.refused(Refusal::Overloaded, "processor", (0, 0), 0),
        };
        watch.ended = true;
        self.log(&end);
        end.reply
    }

    /// Forwards the request to one leaf.
    async fn forward(&self, split: &[(SmolStr, f64)]) -> End {
        let Some(service) = route::pick_service(split, rand::random()) else {
            return self.refused(Refusal::NotRun, Reason::NoLeaf.into(), (0, 1), 0);
        };
        match fetch(self.gateway, &self.job(service)).await {
            Ok(Fetched { answer, sends }) => self.answered(answer::pass(answer), (1, 1), sends),
            Err(failure) => {
                let reason = failure.reason.into();
                match failure.answer {
                    Some(answer) => self.answered(answer::pass(answer), (0, 1), 1),
                    None if !failure.may_have_run => {
                        self.refused(Refusal::NotRun, reason, (0, 1), 0)
                    }
                    None => self.refused(lost(failure.reason), reason, (0, 1), 1),
                }
            }
        }
    }

    /// Obtains a part from each service and merges them.
    async fn gather(&self, services: &[SmolStr], top: usize, coverage_min: f64) -> End {
        let of = services.len();
        let left_out = self.gateway.shards().leave_out(services, coverage_min);
        let asked = services.iter().enumerate().filter(|(at, _)| !left_out.contains(at));
        let jobs: Vec<Job> = asked.map(|(_, service)| self.job(service)).collect();
        let mut missed = Missed::new(self.gateway, &jobs);
        let mut open: FuturesUnordered<_> = jobs
            .iter()
            .enumerate()
            .map(|(at, job)| async move { (at, fetch(self.gateway, job).await) })
            .collect();
        let mut parts: Vec<(Answer, HeaderValue)> = Vec::with_capacity(of);
        let mut covering = Vec::with_capacity(of);
        let mut failed = Failed::default();
        let mut sends = 0;
        let mut late = false;
        while !timing::is_due(parts.len(), open.len(), of, coverage_min, late) {
            tokio::select! {
                biased;
                Some((at, fetched)) = open.next() => match fetched {
                    Ok(Fetched { answer, sends: sent }) => {
                        sends += sent;
                        missed.answered(at, !late);
                        match part(answer) {
                            Some(part) => {
                                parts.push(part);
                                covering.push(&jobs[at].service);
                            }
                            None => failed.add(Reason::Failed, true),
                        }
                    }
                    Err(failure) => {
                        missed.failed(at);
                        failed.add(failure.reason, failure.may_have_run);
                    }
                },
                () = sleep_until(self.answer_at), if !late => late = true,
            }
            if !timing::meets_coverage(parts.len() + open.len(), of, coverage_min) {
                break;
            }
        }
        missed.note(late);
        let covered = parts.len();
        if !timing::meets_coverage(covered, of, coverage_min) {
            let ran = covered > 0 || failed.may_have_run || !open.is_empty();
            let refusal = if ran { lost(failed.reason()) } else { Refusal::NotRun };
            let end = self.refused(refusal, failed.reason().into(), (covered, of), sends);
            return end.with_missing(others(services, &covering));
        }
        let bodies = parts.iter().map(|(answer, _)| answer.body.as_ref());
        let body = merge::greatest(bodies, top);
        let signatures: Vec<HeaderValue> =
            parts.iter().map(|(_, signature)| signature.clone()).collect();
        let reply = answer::merged(
            body,
            &signatures,
            of - covered,
            &self.outgoing.id,
            self.gateway.names(),
        );
        self.answered(reply, (covered, of), sends).with_missing(others(services, &covering))
    }

    fn job(&self, service: &SmolStr) -> Job {
        Job {
            service: service.clone(),
            outgoing: self.outgoing.clone(),
            idempotent: self.route.idempotent,
            attempts_max: self.route.attempts_max,
            answer_at: self.answer_at,
            deadline: self.deadline,
        }
    }

    fn answered(&self, reply: Reply, coverage: (usize, usize), sends: u32) -> End {
        let missing = String::new();
        End { reply, result: Ok(()), reason: "answered", coverage, missing, sends }
    }

    fn refused(
        &self,
        refusal: Refusal,
        reason: &'static str,
        coverage: (usize, usize),
        sends: u32,
    ) -> End {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let retry_after = match refusal {
            Refusal::NotRun | Refusal::Overloaded => {
                Some(spread(RETRY_AFTER).min(left.mul_f64(RETRY_AFTER_SHARE)))
            }
            _ => None,
        };
        let reply = refusal.reply(retry_after);
        End { reply, result: Err(refusal), reason, coverage, missing: String::new(), sends }
    }

    fn log(&self, end: &End) {
        let time = self.arrival.elapsed();
        let event = match end.result {
            Ok(()) => Event::RequestAnswered,
            Err(Refusal::Overloaded | Refusal::NotRun) => Event::RequestRefused,
            Err(_) => Event::RequestFailed,
        };
        event!(
            event,
            request = self.outgoing.id,
            route = self.route.name,
            version = self.active.version(),
            reason = end.reason,
            status = end.reply.status().as_u16(),
            ms = time.as_millis(),
            covered = end.coverage.0,
            shards = end.coverage.1,
            missing = end.missing,
            sends = end.sends
        );
        let outcome = match end.result {
            Ok(()) if end.coverage.0 < end.coverage.1 => "partial",
            Ok(()) => "complete",
            Err(refusal) => refusal.into(),
        };
        self.gateway.metrics().record_request(&self.route.name, outcome, time);
    }
}

/// Names of the services that are not covered, separated by commas.
fn others(services: &[SmolStr], covering: &[&SmolStr]) -> String {
    let missing = services.iter().filter(|service| !covering.contains(service));
    missing.map(SmolStr::as_str).collect::<Vec<_>>().join(",")
}

/// An answer that may be merged, with its signature.
fn part(answer: Answer) -> Option<(Answer, HeaderValue)> {
    let signature = answer.signature.clone()?;
    answer.status.is_success().then_some((answer, signature))
}

fn lost(reason: Reason) -> Refusal {
    if reason == Reason::TimedOut { Refusal::TimedOut } else { Refusal::Lost }
}

/// Shards that have not answered; tells the throttle of each when the query ends.
struct Missed<'a> {
    gateway: &'a Gateway,
    services: Vec<Option<&'a SmolStr>>,
}

impl<'a> Missed<'a> {
    fn new(gateway: &'a Gateway, jobs: &'a [Job]) -> Self {
        Self { gateway, services: jobs.iter().map(|job| Some(&job.service)).collect() }
    }

    fn answered(&mut self, at: usize, in_time: bool) {
        if let Some(service) = self.services[at].take() {
            self.gateway.shards().record(service, in_time);
        }
    }

    /// A shard that rejects or fails bounds its queue itself, so asking it costs the others little.
    fn failed(&mut self, at: usize) {
        self.services[at] = None;
    }

    /// Counts the shards that did not answer, if they had their time.
    fn note(&mut self, late: bool) {
        for service in self.services.iter_mut().filter_map(Option::take).filter(|_| late) {
            self.gateway.shards().record(service, false);
        }
    }
}

/// Shards without a part.
#[derive(Debug, Default)]
struct Failed {
    reason: Option<Reason>,
    may_have_run: bool,
}

impl Failed {
    fn add(&mut self, reason: Reason, may_have_run: bool) {
        self.reason = self.reason.max(Some(reason));
        self.may_have_run |= may_have_run;
    }

    fn reason(&self) -> Reason {
        self.reason.unwrap_or(Reason::TimedOut)
    }
}
