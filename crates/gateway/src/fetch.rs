//! Obtains one answer from the leafs of one service: chooses a leaf, retries and hedges where the
//! request allows it, and returns the first answer.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::attempts::Attempts;
use jaycrank_policy::deadline::Deadline;
use jaycrank_policy::hold::Hold;
use jaycrank_policy::placement;
use jaycrank_policy::timing;
use smol_str::SmolStr;
use strum::IntoStaticStr;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::attempt::Answer;
use crate::attempt::Completion;
use crate::attempt::Context;
use crate::attempt::Outcome;
use crate::attempt::Outgoing;
use crate::attempt::send_request;
use crate::catalog::LeafId;
use crate::gateway::Gateway;
use crate::leaf::Leaf;
use crate::leaf::Pass;
use crate::rate_limit;
use crate::rate_limit::Waiting;
use crate::sent::SentLeafs;
use crate::suspicion::Suspicion;

/// Time for which a hedged request stays open at the slower leaf after the other one has answered.
/// A leaf that pauses briefly still answers in time, so its connection can be reused. The
/// connection to a leaf that hangs is closed.
const LOSER_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before a request is retried at leafs that rejected it or could not be reached.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Longest time for which a request waits for the end of the rest of all leafs of its service.
const REST_WAIT_MAX: Duration = Duration::from_millis(250);

/// Request to one service, with the limits on its execution.
#[derive(Clone, Debug)]
pub struct Job {
    /// Service whose leafs may answer.
    pub service: SmolStr,
    /// Request to forward.
    pub outgoing: Arc<Outgoing>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request is a suspect that runs isolated: at one leaf at a time, without hedges.
    pub isolated: bool,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of leafs that may run the request.
    pub attempts_max: u32,
    /// Time by which the answer should be there to meet the target latency.
    pub answer_at: Instant,
    /// Deadline of the request.
    pub deadline: Deadline,
    /// Leafs that may run the request or may have run it.
    pub sent: Arc<SentLeafs>,
}

/// Cause of a [`Failure`]. Where failures of several shards are summarized, later variants take
/// precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The service has no usable leaf.
    NoLeaf,
    /// The leafs that were chosen leave.
    Leaving,
    /// The leafs of the service rest.
    Resting,
    /// The leafs of the service take no more requests by the limits that they state.
    Limited,
    /// The instance stops before a leaf could answer.
    Stopping,
    /// All leafs that the request was sent to rejected it.
    Rejected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the leaf sent an invalid response.
    Lost,
    /// The leaf ended with the request in flight.
    Crashed,
    /// No leaf answered before the deadline.
    TimedOut,
    /// The leafs answered with an error status.
    Failed,
}

impl From<Hold> for Reason {
    fn from(hold: Hold) -> Self {
        match hold {
            Hold::Leaving => Self::Leaving,
            Hold::Resting(_) => Self::Resting,
            Hold::Limited(_) => Self::Limited,
        }
    }
}

/// Failed fetch.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Cause of the failure.
    pub reason: Reason,
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    /// Error response of a leaf, to be passed on to the caller.
    pub answer: Option<Answer>,
    /// Time until a leaf may take a request by the limit that it states.
    pub retry_after: Duration,
}

/// Answer, with the number of requests that it took.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// First answer.
    pub answer: Answer,
    /// Number of times that the request was sent.
    pub sends: u32,
}

/// Result of a fetch.
pub type Result = std::result::Result<Fetched, Failure>;

type AttemptSet = FuturesUnordered<BoxFuture<'static, (Arc<Leaf>, Completion)>>;

/// One fetch in progress.
struct Fetch<'a> {
    gateway: &'a Gateway,
    job: &'a Job,
    in_flight: AttemptSet,
    attempts: Attempts,
    /// Whether another instance has sent the request to a leaf, so that each send is an extra one.
    resent: bool,
    /// Leafs with a request in flight.
    pending: Vec<Arc<Leaf>>,
    started: Instant,
    suspicion: Suspicion<'a>,
    /// Leaf that the request was not sent to because of its limit.
    limited: Option<Arc<Leaf>>,
    /// Whether the request is not sent any more because the instance stops.
    stopping: bool,
    /// Failure to return unless a leaf answers.
    failure: Failure,
}

/// Obtains an answer. Dropping the future closes the connections that it uses.
///
/// # Errors
///
/// Returns [`Failure`] if no leaf answers before the deadline, or if the request may not be sent
/// to any further leaf.
pub async fn fetch(gateway: &Gateway, job: &Job) -> Result {
    let failure = Failure {
        reason: Reason::NoLeaf,
        may_have_run: false,
        answer: None,
        retry_after: Duration::ZERO,
    };
    let sent_before = job.sent.before(&job.service);
    let mut fetch = Fetch {
        gateway,
        job,
        in_flight: FuturesUnordered::new(),
        resent: sent_before.is_some(),
        attempts: Attempts::new(job.attempts_max)
            .with_failed(sent_before.into_iter().flatten().cloned()),
        pending: Vec::new(),
        started: Instant::now(),
        suspicion: Suspicion::new(gateway, job),
        limited: None,
        stopping: false,
        failure,
    };
    if sent_before.is_none() {
        gateway.quotas().deposit(&job.service);
    }
    fetch.run().await
}

impl Fetch<'_> {
    async fn run(&mut self) -> Result {
        let mut hedge_at = self.send("first");
        loop {
            if self.in_flight.is_empty() {
                match self.resume().await {
                    Some(at) => hedge_at = Some(at),
                    None => return Err(self.failure.clone()),
                }
            }
            let hedge = async {
                match hedge_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                Some((leaf, (outcome, time))) = self.in_flight.next() => {
                    if let Some(time) = time {
                        self.gateway.record_service_time(&self.job.service, time);
                    }
                    self.pending.retain(|pending| !Arc::ptr_eq(pending, &leaf));
                    if matches!(outcome, Outcome::Answered(_)) {
                        self.suspicion.record_answer();
                    }
                    match outcome {
                        Outcome::Answered(answer) if !answer.status.is_server_error() => {
                            self.detach_losers();
                            return Ok(Fetched { answer, sends: self.attempts.sends() });
                        }
                        outcome => {
                            let cause = self.record_failure(&leaf, outcome);
                            if self.may_send_again() {
                                hedge_at = self.send(cause).or(hedge_at);
                            }
                        }
                    }
                }
                () = hedge => {
                    hedge_at = if self.may_hedge() { self.send("overdue") } else { None };
                }
                () = sleep_until(self.job.deadline.requested()) => {
                    self.pending.iter().for_each(|leaf| self.log(leaf, Reason::TimedOut, ""));
                    self.failure.reason = Reason::TimedOut;
                    // Requests that still wait for a connection have not been sent.
                    self.failure.may_have_run |=
                        self.job.sent.contains_service(&self.job.service);
                    self.failure.answer = None;
                    return Err(self.failure.clone());
                }
            }
        }
    }

    /// Records an outcome without a usable answer and returns the name of its reason.
    fn record_failure(&mut self, leaf: &Arc<Leaf>, outcome: Outcome) -> &'static str {
        let (reason, detail, may_have_run) = match outcome {
            Outcome::Answered(answer) => {
                let status = answer.status.as_str().into();
                self.failure.answer = Some(answer);
                (Reason::Failed, status, true)
            }
            Outcome::Held(hold) => (hold.into(), SmolStr::default(), false),
            Outcome::NotRun(detail) => (Reason::Rejected, detail, false),
            Outcome::NotSent(detail) => (Reason::Unreachable, detail, false),
            Outcome::Lost(detail) => (Reason::Lost, detail, true),
            Outcome::Broken(detail) => {
                self.suspicion.record_loss(leaf);
                (Reason::Lost, detail, true)
            }
            Outcome::Crashed(detail) => {
                self.suspicion.record_crash(leaf);
                (Reason::Crashed, detail, true)
            }
        };
        self.failure.reason = reason;
        self.failure.may_have_run |= may_have_run;
        let id = leaf.with_entry(|entry| entry.id.clone());
        if !may_have_run && !self.attempts.has_failed(&id) {
            self.job.sent.remove(leaf);
        }
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
            failures = leaf.stats().failures()
        );
    }

    /// Returns whether the request may be sent once more. A request that is not idempotent must not
    /// be sent after a leaf may have run it, and a suspect only when it runs isolated.
    fn may_send_again(&self) -> bool {
        let might_run_twice = self.failure.may_have_run && !self.job.idempotent;
        !might_run_twice && !self.suspicion.is_suspected() && self.attempts.allows_send()
    }

    fn may_hedge(&self) -> bool {
        self.job.idempotent && !self.suspicion.is_isolated() && self.may_send_again()
    }

    /// Sends the request again when none is in flight; returns the time at which it is hedged, or
    /// `None` if it was not sent.
    async fn resume(&mut self) -> Option<Instant> {
        if self.stopping {
            None
        } else if self.suspicion.is_suspected() {
            self.run_isolated().await
        } else if let Some(leaf) = self.limited.clone() {
            self.wait_for_token(&leaf).await
        } else {
            self.retry_rejected().await
        }
    }

    /// Waits until the request may be sent within the limit of a leaf. Gives up as soon as no token
    /// can come before the target time. Returns the time at which it is hedged if it was sent.
    async fn wait_for_token(&mut self, leaf: &Leaf) -> Option<Instant> {
        if !self.may_send_again() {
            return None;
        }
        let limits = self.gateway.rate_limits();
        let end = self.job.answer_at.min(Instant::now() + rate_limit::TOKEN_WAIT_MAX);
        let _waiting = Waiting::new(leaf.rate_limit(), self.job.rank);
        self.gateway.metrics().record_held_back("waiting");
        limits.request_tokens();
        loop {
            let mut granted = std::pin::pin!(limits.granted());
            granted.as_mut().enable();
            if let Some(at) = self.send("limited") {
                return Some(at);
            }
            let wait = leaf.rate_limit().wait();
            let is_denied = Instant::now() + wait > end || self.limited.is_none();
            // A token that is on its way would lapse without the request.
            let check_at = match leaf.rate_limit().is_asked() {
                true => end.max(Instant::now() + rate_limit::REPLY_CHECK_INTERVAL),
                false => end,
            };
            if is_denied || (Instant::now() >= check_at) {
                self.failure.retry_after = wait;
                self.gateway.metrics().record_held_back("refused");
                return None;
            }
            // Both a grant and a timeout are handled by the conditions above.
            let _ = timeout_at(check_at, granted).await;
        }
    }

    /// Runs a request isolated with which a leaf crashed. A second crash is final.
    async fn run_isolated(&mut self) -> Option<Instant> {
        if !self.job.idempotent || !self.suspicion.isolate().await {
            return None;
        }
        self.may_send_again().then(|| self.send("crashed")).flatten()
    }

    /// Sends the request again after a delay, also to leafs that rejected it or could not be
    /// reached, as long as the limits on attempts, the target time and the budget of extra requests
    /// allow. Returns the time at which it is hedged if it was sent.
    async fn retry_rejected(&mut self) -> Option<Instant> {
        while self.may_send_again()
            && self.failure.reason != Reason::NoLeaf
            && Instant::now() + REJECTED_RETRY_DELAY < self.job.answer_at
        {
            if self.has_no_leaf() {
                if !self.failure.may_have_run {
                    self.failure.reason = Reason::NoLeaf;
                }
                return None;
            }
            if self.rest_wait().is_some_and(|wait| wait > REST_WAIT_MAX) {
                return None;
            }
            tokio::time::sleep(REJECTED_RETRY_DELAY).await;
            self.attempts.clear_rejections();
            if let Some(at) = self.send("rejected") {
                return Some(at);
            }
            if !self.gateway.quotas().allows(&self.job.service) {
                return None;
            }
        }
        None
    }

    /// Returns the time until the first leaf of the service ends its rest, zero if one returns from
    /// it, or `None` if one takes requests or there is none.
    fn rest_wait(&self) -> Option<Duration> {
        let now = Instant::now().into_std();
        let leafs = self.gateway.directory().usable(&self.job.service, now);
        let all_rest = leafs.iter().all(|leaf| leaf.rest().is_active());
        leafs.iter().map(|leaf| leaf.rest().wait(now)).min().filter(|_| all_rest)
    }

    /// Returns whether the service has no usable leaf left.
    fn has_no_leaf(&self) -> bool {
        let now = Instant::now().into_std();
        self.gateway.directory().usable(&self.job.service, now).is_empty()
    }

    /// Sends the request to a leaf; every send but the first is an extra request. Returns the time
    /// at which it is hedged, or `None` if it was not sent: no leaf may take it, or the budget of
    /// extra requests is exhausted.
    fn send(&mut self, cause: &'static str) -> Option<Instant> {
        let now = Instant::now();
        let (leaf, expected, pass) = self.choose(now)?;
        if !self.job.deadline.allows(expected.latency) {
            self.stopping = true;
            if !self.failure.may_have_run {
                self.failure.reason = Reason::Stopping;
            }
            return None;
        }
        let id = leaf.with_entry(|entry| entry.id.clone());
        if self.resent || self.attempts.sends() > 0 {
            let granted = self.gateway.quotas().try_spend(&self.job.service);
            event!(
                Event::RequestResent,
                request = self.job.outgoing.id,
                service = self.job.service,
                leaf = id,
                cause = cause,
                waited_ms = self.started.elapsed().as_millis(),
                sends = self.attempts.sends(),
                granted = granted,
                tokens = self.gateway.quotas().tokens(&self.job.service) as i64
            );
            if !granted {
                return None;
            }
            self.gateway.metrics().record_resend(cause);
        }
        self.attempts.record_send(&id);
        self.suspicion.mark(&leaf);
        self.pending.push(leaf.clone());
        let context = Context {
            names: self.gateway.names().clone(),
            round_trips: self.gateway.round_trips().clone(),
            deadline: self.job.deadline.clone(),
            idempotent: self.job.idempotent,
            pass,
            sent: self.job.sent.clone(),
            reachability: self.gateway.reachability().clone(),
            rate_limits: self.gateway.rate_limits().clone(),
            rests: self.gateway.rests().clone(),
            answer_memory: self.gateway.answer_memory().clone(),
        };
        let completion = send_request(leaf.clone(), self.job.outgoing.clone(), context);
        self.in_flight.push(async move { (leaf, completion.await) }.boxed());
        let service_times = self.gateway.service_time(&self.job.service);
        let round_trip = expected.round_trip;
        let overdue_after = round_trip + service_times.overdue_after();
        let time_left = self.job.answer_at.saturating_duration_since(now);
        let other = expected.best_other.unwrap_or(time_left);
        let delay =
            timing::hedge_after(overdue_after, round_trip + service_times.mean(), other, time_left);
        Some(now + delay)
    }

    /// Chooses among the leafs that were not tried, or else among those that failed. An isolated run
    /// goes to a leaf without another one if there is such a leaf, so that a crash has one suspect.
    fn choose(&mut self, now: Instant) -> Option<(Arc<Leaf>, Expected, Pass)> {
        let mut limited = None;
        let is_free = |leaf: &Leaf| !self.suspicion.is_isolated() || !leaf.runs_isolated();
        let is_new = |leaf: &LeafId| self.attempts.allows_new_leaf(leaf);
        let chosen = self
            .choose_among(now, &mut limited, |leaf, id| is_free(leaf) && is_new(id))
            .or_else(|| self.choose_among(now, &mut limited, |_, id| is_new(id)))
            .or_else(|| {
                self.choose_among(now, &mut limited, |_, id| self.attempts.allows_repeat(id))
            });
        if chosen.is_some() && limited.is_some() {
            self.gateway.metrics().record_held_back("other-leaf");
        } else if limited.is_some() && self.failure.reason == Reason::NoLeaf {
            self.failure.reason = Reason::Limited;
        }
        if chosen.is_none()
            && limited.is_none()
            && !self.failure.may_have_run
            && let Some(wait) = self.rest_wait()
        {
            self.failure.reason = Reason::Resting;
            self.failure.retry_after = wait;
        }
        self.limited = limited;
        chosen
    }

    /// Chooses the leaf that is expected to answer first among those that `allow` accepts and whose
    /// limit allows a request. Sets `limited` to the first one whose limit does not.
    fn choose_among(
        &self,
        now: Instant,
        limited: &mut Option<Arc<Leaf>>,
        allow: impl Fn(&Leaf, &LeafId) -> bool,
    ) -> Option<(Arc<Leaf>, Expected, Pass)> {
        let now = now.into_std();
        let service_times = self.gateway.service_time(&self.job.service);
        let usable = self.gateway.directory().usable(&self.job.service, now);
        let mut leafs = Vec::with_capacity(usable.len());
        let mut times = Vec::with_capacity(usable.len());
        let mut round_trips = Vec::with_capacity(usable.len());
        for leaf in usable {
            let (id, domain, slots) = leaf
                .with_entry(|entry| (entry.id.clone(), entry.failure_domain.clone(), entry.slots));
            if !allow(&leaf, &id) || !leaf.rest().wait(now).is_zero() {
                continue;
            }
            let round_trip = self.gateway.round_trips().estimate(&domain);
            let mut time = leaf.stats().expected_latency(round_trip, &service_times, slots, now);
            if !leaf.pool().has_capacity() {
                time += FULL_POOL_DELAY;
            }
            times.push(time);
            round_trips.push(round_trip);
            leafs.push(leaf);
        }
        loop {
            let position = placement::pick_shortest(&times, rand::random())?;
            let leaf = leafs.swap_remove(position);
            let round_trip = round_trips.swap_remove(position);
            let latency =
                times.swap_remove(position) + leaf.pool().expected_wait(service_times.mean());
            let limit = leaf.rate_limit();
            let admitted = leaf.admit(self.job.rank);
            if limit.is_limited() {
                self.gateway.rate_limits().record_demand(limit);
            }
            match admitted {
                Ok(pass) => {
                    let best_other = times.into_iter().min();
                    return Some((leaf, Expected { round_trip, latency, best_other }, pass));
                }
                Err(Hold::Leaving | Hold::Resting(_)) => {}
                Err(Hold::Limited(_)) => _ = limited.get_or_insert(leaf),
            }
        }
    }

    /// Lets the remaining attempts finish in the background, so that their connections return to
    /// the pool instead of being closed.
    fn detach_losers(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        if in_flight.is_empty() {
            return;
        }
        tokio::spawn(async move {
            // The outcomes are not needed: each attempt updates the statistics of its leaf.
            let _ = timeout(LOSER_TIMEOUT, in_flight.collect::<Vec<_>>()).await;
        });
    }
}

/// Delay added to the expected time of a leaf whose connection pool is full.
const FULL_POOL_DELAY: Duration = Duration::from_millis(100);

/// Times expected when a leaf is chosen.
struct Expected {
    /// Round-trip time to the chosen leaf.
    round_trip: Duration,
    /// Response time of the chosen leaf, with the wait for a connection.
    latency: Duration,
    /// Expected response time of the best other leaf, if there is one.
    best_other: Option<Duration>,
}
