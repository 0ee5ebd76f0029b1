//! Query path of an instance: admission, quarantine and scattering over the leafs.

use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_backend::Plan;
use jaycrank_backend::Replies;
use jaycrank_caller::Answer;
use jaycrank_caller::Handler;
use jaycrank_caller::Query;
use jaycrank_caller::Refusal;
use jaycrank_caller::wire::Fairness;
use jaycrank_caller::wire::GroupResult;
use jaycrank_caller::wire::RunningTally;
use jaycrank_policy::admission::Permit;
use jaycrank_policy::admission::Refused;
use jaycrank_policy::admission::Request;
use jaycrank_policy::gather::Reason;
use jaycrank_policy::quarantine;
use jaycrank_policy::quarantine::Decision;
use jaycrank_policy::quarantine::Fingerprint;
use jaycrank_policy::quarantine::Isolation;
use jaycrank_policy::quarantine::Turn;
use jaycrank_policy::tally::Counter;
use jaycrank_policy::tally::Key;
use jaycrank_policy::tally::Outcome;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::metrics;
use crate::node::Parts;
use crate::publish;
use crate::token;

/// Retry delay for a suspect whose deadline passed before it could run isolated.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time before the end of a stopping instance's queries from which none is sent to leafs any more.
const SERVICE_TIME_RESERVE: Duration = Duration::from_millis(100);

/// Handler that answers the queries of callers.
pub struct Queries {
    parts: Arc<Parts>,
}

impl Queries {
    /// Creates the query path of an instance.
    pub fn new(parts: Arc<Parts>) -> Self {
        Self { parts }
    }

    /// Runs a query: a non-idempotent request through its claim, another one through admission.
    async fn run(
        &self,
        query: &Query,
        key: &Key,
        counter: &Counter,
        deadline: Instant,
    ) -> Result<Answer, Refusal> {
        if query.request_id.is_some() {
            counter.count_admitted();
            return self.parts.claims.run(&key.member, query, deadline).await;
        }
        let body = Bytes::copy_from_slice(query.body.get().as_bytes());
        let fingerprint = quarantine::fingerprint(&query.service, &body);
        self.check_quarantine(fingerprint)?;
        let queue = self.parts.admissions.queue(&self.parts.shared, &query.service);
        let queue = queue.ok_or_else(|| no_partition_map(&query.service))?;
        let request =
            Request { member: key.member.clone(), rank: key.rank, deadline: deadline.into_std() };
        let admitted = tokio::select! {
            biased;
            admitted = queue.admit(request) => admitted,
            () = self.parts.shared.shutdown().ends_within(SERVICE_TIME_RESERVE) => {
                return Err(stopping());
            }
        };
        let permit = admitted.map_err(|refused| overloaded(&refused))?;
        counter.count_admitted();
        let plan = Plan {
            service: query.service.clone(),
            group: None,
            body,
            deadline: deadline.into_std(),
            rank: key.rank,
            within_floor: permit.within_floor(),
            fingerprint,
            hedge: true,
            retry_broken: !self.is_quarantine_enabled(),
        };
        self.scatter(plan, deadline, &permit).await
    }

    /// Scatters a query. A suspect, or a query that was in flight when a connection broke, runs
    /// isolated; see [`quarantine`].
    async fn scatter(
        &self,
        plan: Plan,
        deadline: Instant,
        permit: &Permit,
    ) -> Result<Answer, Refusal> {
        let fleet = self.parts.shared.fleet();
        let fingerprint = plan.fingerprint;
        let mut first_replies = None;
        if self.decide(fingerprint) == Decision::Run {
            let mut scatter = pin!(fleet.scatter(&plan));
            // The first poll queues all sub-requests for slots, so the back-pressure that admission
            // reads next takes them into account.
            let polled = futures_util::poll!(scatter.as_mut());
            permit.mark_dispatched();
            let gathered = match polled {
                Poll::Ready(gathered) => gathered,
                Poll::Pending => scatter.await,
            };
            let gathered = gathered.ok_or_else(|| no_partition_map(&plan.service))?;
            if !gathered.connection_broke {
                return Ok(answer(gathered));
            }
            first_replies = Some(gathered);
        }
        match self.isolate(fingerprint, first_replies.is_some(), deadline).await {
            // Another run cleared the suspect in the meantime.
            Ok(None) => {
                let plan = Plan { retry_broken: true, ..plan };
                let gathered = fleet.scatter(&plan).await;
                Ok(answer(gathered.ok_or_else(|| no_partition_map(&plan.service))?))
            }
            Ok(Some(isolation)) => {
                let plan = Plan { hedge: false, retry_broken: false, ..plan };
                let gathered = fleet.scatter(&plan).await;
                let gathered = gathered.ok_or_else(|| no_partition_map(&plan.service))?;
                if !gathered.connection_broke {
                    self.parts.quarantine.record_success(fingerprint, now());
                }
                drop(isolation);
                Ok(answer(mark_quarantined(gathered)))
            }
            Err(refusal) => {
                first_replies.map(|replies| answer(mark_quarantined(replies))).ok_or(refusal)
            }
        }
    }

    /// Waits until a suspect may run isolated at this instance. Returns `None` if it was cleared.
    ///
    /// `crashed` states that the request was in flight at a crash that this instance has just seen.
    async fn isolate(
        &self,
        fingerprint: Fingerprint,
        crashed: bool,
        deadline: Instant,
    ) -> Result<Option<Isolation>, Refusal> {
        if !self.is_quarantine_enabled() {
            return Ok(None);
        }
        match self.parts.quarantine.isolate(fingerprint, crashed, deadline).await {
            Turn::Isolated(isolation) => Ok(Some(isolation)),
            Turn::Cleared => Ok(None),
            Turn::Refused { retry_after } => Err(crashes_servers(retry_after)),
            Turn::TimedOut => Err(suspected(SUSPECT_RETRY_DELAY)),
        }
    }

    /// Refuses a request that crashes servers, and a suspect that another instance examines.
    fn check_quarantine(&self, fingerprint: Fingerprint) -> Result<(), Refusal> {
        match self.decide(fingerprint) {
            Decision::Run | Decision::RunIsolated => Ok(()),
            Decision::RetryLater { retry_after } => Err(suspected(retry_after)),
            Decision::Refuse { retry_after } => Err(crashes_servers(retry_after)),
        }
    }

    /// Returns the decision of the quarantine, or `Run` if the settings disable it.
    fn decide(&self, fingerprint: Fingerprint) -> Decision {
        if !self.is_quarantine_enabled() {
            return Decision::Run;
        }
        self.parts.quarantine.decide(fingerprint, now())
    }

    fn is_quarantine_enabled(&self) -> bool {
        self.parts.shared.active().config().policy().quarantine
    }
}

#[async_trait]
impl Handler for Queries {
    fn member(&self, token: &str) -> Option<SmolStr> {
        self.parts.shared.active().member(&token::digest(token)).cloned()
    }

    async fn query(&self, member: SmolStr, query: Query) -> Result<Answer, Refusal> {
        let active = self.parts.shared.active();
        let service = active.config().services().get(&query.service);
        let service = service.ok_or_else(|| unknown_service(&query.service))?;
        let rank = query.parse_rank()?;
        let start = Instant::now();
        let shutdown = self.parts.shared.shutdown();
        let deadline = start + query.deadline(service.deadline_max())?;
        let deadline = shutdown.answer_by().map_or(deadline, |answer_by| answer_by.min(deadline));
        let key = Key::new(query.service.clone(), rank, member);
        let counter = self.parts.admissions.counters().counter(&key);
        counter.count_offered(start.into_std());
        let answer = tokio::select! {
            biased;
            answer = self.run(&query, &key, &counter, deadline) => answer,
            () = shutdown.ends_within(Duration::ZERO) => Err(stopped()),
        };
        let outcome = match &answer {
            Ok(answer) if answer.complete => Outcome::Complete,
            Ok(_) => Outcome::Partial,
            Err(_) => Outcome::Refused,
        };
        let latency = start.elapsed();
        let tally = counter.count_outcome(outcome, latency);
        self.parts.metrics.record_query(
            &key.service,
            rank,
            metrics::Outcome::from(outcome),
            latency,
        );
        let shared = &self.parts.shared;
        let running = RunningTally::new(shared.name().clone(), shared.incarnation(), &key, tally);
        match answer {
            Ok(answer) => Ok(Answer { tally: running, ..answer }),
            Err(refusal) => Err(refusal.with_tally(running)),
        }
    }

    async fn fairness(&self) -> Fairness {
        publish::fairness(&self.parts)
    }

    fn is_leaving(&self) -> bool {
        self.parts.shared.is_leaving()
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Changes the reason of unreachable groups to `Quarantined` if a connection broke, because the
/// request is then a suspect and was not retried.
fn mark_quarantined(mut gathered: Replies) -> Replies {
    if gathered.connection_broke {
        for missing in &mut gathered.coverage.missing {
            if missing.reason == Reason::Unreachable {
                missing.reason = Reason::Quarantined;
            }
        }
    }
    gathered
}

/// Converts gathered replies to the answer for the caller, without a tally.
fn answer(gathered: Replies) -> Answer {
    let group_result =
        |(group, body): (SmolStr, Bytes)| GroupResult { group, body: to_raw_json(body) };
    Answer {
        snapshot: gathered.snapshot,
        complete: gathered.coverage.is_complete(),
        coverage: gathered.coverage,
        outcome: None,
        results: gathered.bodies.into_iter().map(group_result).collect(),
        tally: RunningTally::default(),
    }
}

/// Returns the body of a leaf's reply as JSON, or `null` if it is not valid JSON.
pub fn to_raw_json(body: Bytes) -> Box<RawValue> {
    let text = String::from_utf8(body.into()).unwrap_or_default();
    RawValue::from_string(text).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Returns a time in whole milliseconds, at least 1.
fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1)
}

#[cold]
fn overloaded(refused: &Refused) -> Refusal {
    let refusal = Refusal::not_run(429, refused.cause.name(), refused.to_string());
    refusal.with_retry_after_ms(milliseconds(refused.retry_after))
}

#[cold]
fn stopping() -> Refusal {
    Refusal::not_run(503, "stopping", "the instance stops").with_retry_after_ms(1)
}

#[cold]
fn stopped() -> Refusal {
    Refusal::may_have_run(504, "stopping", "the instance stopped before the answer was there")
}

#[cold]
fn suspected(retry_after: Duration) -> Refusal {
    let message =
        "the request was in flight when a server connection broke; it is being tested for crashes";
    Refusal::not_run(503, "suspected", message).with_retry_after_ms(milliseconds(retry_after))
}

#[cold]
fn crashes_servers(retry_after: Duration) -> Refusal {
    let message = "the request crashes the servers that run it";
    Refusal::not_run(422, "quarantined", message).with_retry_after_ms(milliseconds(retry_after))
}

#[cold]
fn unknown_service(name: &str) -> Refusal {
    Refusal::invalid(404, "unknown-service", format!("service `{name}` is unknown"))
}

#[cold]
fn no_partition_map(service: &str) -> Refusal {
    let message = format!("service `{service}` has no partition map yet");
    Refusal::not_run(503, "no-map", message).with_retry_after_ms(1_000)
}
