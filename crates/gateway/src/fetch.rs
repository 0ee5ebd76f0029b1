//! Obtains one answer from the leafs of one service: chooses a leaf, sends the request again
//! where that may help, and returns the first answer.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::attempts::Attempts;
use jaycrank_policy::placement;
use jaycrank_policy::timing;
use smol_str::SmolStr;
use strum::IntoStaticStr;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::attempt::Answer;
use crate::attempt::Completion;
use crate::attempt::Context;
use crate::attempt::Outcome;
use crate::attempt::Outgoing;
use crate::attempt::send_request;
use crate::catalog::LeafId;
use crate::gateway::Gateway;
use crate::leaf::Leaf;

/// Time that a request goes on at a leaf after another leaf has answered. A leaf that pauses
/// answers within it and keeps its connection; one that hangs is left.
const LOSER_TIME: Duration = Duration::from_millis(300);
/// Pause before leafs that rejected a request are asked again.
const REJECTED_PAUSE: Duration = Duration::from_millis(25);

/// What to obtain.
#[derive(Clone, Debug)]
pub struct Job {
    /// Service whose leafs are asked.
    pub service: SmolStr,
    /// Request to forward.
    pub outgoing: Arc<Outgoing>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Leafs that may run the request.
    pub attempts_max: u32,
    /// When an answer is wanted.
    pub answer_at: Instant,
    /// When the caller or the route stops waiting.
    pub deadline: Instant,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The service has no usable leaf.
    NoLeaf,
    /// All leafs that were asked rejected the request.
    Rejected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or what came is no answer.
    Lost,
    /// There was no answer in time.
    TimedOut,
    /// Leafs answered with a failure.
    Failed,
}

/// No answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    /// A leaf's own failure, to be passed on.
    pub answer: Option<Answer>,
}

/// An answer and what it took.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The answer.
    pub answer: Answer,
    /// Leafs that the request was sent to.
    pub sends: u32,
}

/// Result of a fetch.
pub type Result = std::result::Result<Fetched, Failure>;

type Running = FuturesUnordered<BoxFuture<'static, (Arc<Leaf>, Completion)>>;

/// One fetch under way.
struct Fetch<'a> {
    gateway: &'a Gateway,
    job: &'a Job,
    running: Running,
    attempts: Attempts,
    /// Leafs that have not answered yet.
    asked: Vec<Arc<Leaf>>,
    started: Instant,
    failure: Failure,
}

/// Obtains an answer. Dropping the future closes the connections that it uses.
///
/// # Errors
///
/// [`Failure`] if no leaf answered in time.
pub async fn fetch(gateway: &Gateway, job: &Job) -> Result {
    let failure = Failure { reason: Reason::NoLeaf, may_have_run: false, answer: None };
    let mut fetch = Fetch {
        gateway,
        job,
        running: FuturesUnordered::new(),
        attempts: Attempts::new(job.attempts_max),
        asked: Vec::new(),
        started: Instant::now(),
        failure,
    };
    gateway.budgets().earn(&job.service);
    fetch.run().await
}

impl Fetch<'_> {
    async fn run(&mut self) -> Result {
        let mut hedge_at = self.send("first");
        loop {
            if self.running.is_empty() && !self.again().await {
                return Err(self.failure.clone());
            }
            let hedge = async {
                match hedge_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                Some((leaf, (outcome, time))) = self.running.next() => {
                    if let Some(time) = time {
                        self.gateway.record_service_time(&self.job.service, time);
                    }
                    self.asked.retain(|asked| !Arc::ptr_eq(asked, &leaf));
                    match outcome {
                        Outcome::Answered(answer) if !answer.status.is_server_error() => {
                            self.release();
                            return Ok(Fetched { answer, sends: self.attempts.sends() });
                        }
                        outcome => {
                            let cause = self.note(&leaf, outcome);
                            if self.may_send_again() {
                                hedge_at = self.send(cause).or(hedge_at);
                            }
                        }
                    }
                }
                () = hedge => {
                    hedge_at = if self.may_hedge() { self.send("overdue") } else { None };
                }
                () = sleep_until(self.job.deadline) => {
                    self.asked.iter().for_each(|leaf| self.log(leaf, Reason::TimedOut, ""));
                    self.failure.reason = Reason::TimedOut;
                    self.failure.may_have_run |= self.attempts.sends() > 0;
                    self.failure.answer = None;
                    return Err(self.failure.clone());
                }
            }
        }
    }

    /// Takes note of an outcome that is no answer; returns its name.
    fn note(&mut self, leaf: &Leaf, outcome: Outcome) -> &'static str {
        let (reason, detail, may_have_run) = match outcome {
            Outcome::Answered(answer) => {
                let status = answer.status.as_str().into();
                self.failure.answer = Some(answer);
                (Reason::Failed, status, true)
            }
            Outcome::NotRun(detail) => (Reason::Rejected, detail, false),
            Outcome::NotSent(detail) => (Reason::Unreachable, detail, false),
            Outcome::Lost(detail) => (Reason::Lost, detail, true),
        };
        self.failure.reason = reason;
        self.failure.may_have_run |= may_have_run;
        let id = leaf.with_entry(|entry| entry.id.clone());
        if may_have_run {
            self.attempts.record_failure(&id);
        } else {
            self.attempts.record_rejection(&id);
        }
        self.log(leaf, reason, &detail);
        reason.into()
    }

    fn log(&self, leaf: &Leaf, reason: Reason, detail: &str) {
        event!(
            Event::LeafFailed,
            request = self.job.outgoing.id,
            service = self.job.service,
            leaf = leaf.with_entry(|entry| entry.id.clone()),
            reason = <&'static str>::from(reason),
            detail = detail,
            waited_ms = self.started.elapsed().as_millis(),
            failures = leaf.observed().failures()
        );
    }

    /// Whether the request may be sent once more after a failure.
    fn may_send_again(&self) -> bool {
        let run_twice = self.failure.may_have_run && !self.job.idempotent;
        !run_twice && self.attempts.allows_send()
    }

    fn may_hedge(&self) -> bool {
        self.job.idempotent && self.may_send_again()
    }

    /// Waits for leafs that may take the request later; returns whether it was sent.
    async fn again(&mut self) -> bool {
        while self.may_send_again()
            && self.failure.reason != Reason::NoLeaf
            && Instant::now() + REJECTED_PAUSE < self.job.answer_at
        {
            tokio::time::sleep(REJECTED_PAUSE).await;
            self.attempts.clear_rejections();
            if self.send("rejected").is_some() {
                return true;
            }
            if !self.gateway.budgets().allows(&self.job.service) {
                return false;
            }
        }
        false
    }

    /// Sends the request to one more leaf and returns when that is overdue.
    fn send(&mut self, cause: &'static str) -> Option<Instant> {
        let now = Instant::now();
        let (leaf, expected) = self.choose(now)?;
        let id = leaf.with_entry(|entry| entry.id.clone());
        if self.attempts.sends() > 0 {
            let granted = self.gateway.budgets().spend(&self.job.service);
            event!(
                Event::RequestResent,
                request = self.job.outgoing.id,
                service = self.job.service,
                leaf = id,
                cause = cause,
                waited_ms = self.started.elapsed().as_millis(),
                sends = self.attempts.sends(),
                granted = granted,
                tokens = self.gateway.budgets().tokens(&self.job.service) as i64
            );
            if !granted {
                return None;
            }
            self.gateway.metrics().record_resend(cause);
        }
        self.attempts.record_send(&id);
        self.asked.push(leaf.clone());
        let context = Context {
            names: self.gateway.names().clone(),
            round_trips: self.gateway.round_trips().clone(),
            deadline: self.job.deadline,
            idempotent: self.job.idempotent,
        };
        let completion = send_request(leaf.clone(), self.job.outgoing.clone(), context);
        self.running.push(async move { (leaf, completion.await) }.boxed());
        let usual = self.gateway.service_times(&self.job.service);
        let distance = expected.distance;
        let late = distance + usual.overdue_after();
        let left = self.job.answer_at.saturating_duration_since(now);
        let other = expected.other.unwrap_or(left);
        let after = timing::hedge_after(late, distance + usual.mean(), other, left);
        Some(now + after)
    }

    /// Chooses among leafs that were not tried, then among those that failed.
    fn choose(&self, now: Instant) -> Option<(Arc<Leaf>, Expected)> {
        self.choose_among(now, |leaf| self.attempts.allows_new_leaf(leaf))
            .or_else(|| self.choose_among(now, |leaf| self.attempts.allows_repeat(leaf)))
    }

    /// Chooses the allowed leaf that is expected to answer first.
    fn choose_among(
        &self,
        now: Instant,
        allow: impl Fn(&LeafId) -> bool,
    ) -> Option<(Arc<Leaf>, Expected)> {
        let now = now.into_std();
        let usual = self.gateway.service_times(&self.job.service);
        let usable = self.gateway.directory().usable(&self.job.service, now);
        let mut leafs = Vec::with_capacity(usable.len());
        let mut times = Vec::with_capacity(usable.len());
        let mut distances = Vec::with_capacity(usable.len());
        for leaf in usable {
            let (id, domain, slots) = leaf
                .with_entry(|entry| (entry.id.clone(), entry.failure_domain.clone(), entry.slots));
            if !allow(&id) {
                continue;
            }
            let distance = self.gateway.round_trips().estimate(&domain);
            let mut time = leaf.observed().expected_latency(distance, &usual, slots, now);
            if !leaf.pool().has_capacity() {
                time += NO_ROOM_DELAY;
            }
            times.push(time);
            distances.push(distance);
            leafs.push(leaf);
        }
        let position = placement::pick_shortest(&times, rand::random())?;
        let mut others = times.clone();
        others.swap_remove(position);
        let expected = Expected { distance: distances[position], other: others.into_iter().min() };
        Some((leafs.swap_remove(position), expected))
    }

    /// Leaves requests that lost to end by themselves, so that their connections stay usable.
    fn release(&mut self) {
        let running = std::mem::take(&mut self.running);
        if running.is_empty() {
            return;
        }
        tokio::spawn(async move {
            // An outcome after the first one is of no use; it is observed by the exchange.
            let _ = timeout(LOSER_TIME, running.collect::<Vec<_>>()).await;
        });
    }
}

/// Delay expected at a leaf to which no more connections may be opened.
const NO_ROOM_DELAY: Duration = Duration::from_millis(100);

/// What is expected of a leaf when it is chosen.
struct Expected {
    /// Network time to the leaf.
    distance: Duration,
    /// Time in which the best other leaf would answer.
    other: Option<Duration>,
}
