//! Shards of a gathered request: which ones it asks, which ones have answered or failed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderValue;
use jaycrank_policy::timing;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::attempt::Answer;
use crate::fetch::Failure;
use crate::fetch::Job;
use crate::fetch::Reason;
use crate::gateway::Gateway;
use crate::leaf::Leaf;
use crate::rate_limit::TOKEN_WAIT_MAX;

/// Returns the names of the services whose part is missing, separated by commas. A part that can't
/// be merged is missing too.
pub(crate) fn missing_services(services: &[SmolStr], answered: &[&SmolStr]) -> String {
    let missing = services.iter().filter(|service| !answered.contains(service));
    missing.map(SmolStr::as_str).collect::<Vec<_>>().join(",")
}

/// Returns an answer with its signature, or `None` if it must not be merged: it is unsigned or not
/// a success.
pub(crate) fn signed_part(answer: Answer) -> Option<(Answer, HeaderValue)> {
    let signature = answer.signature.clone()?;
    answer.status.is_success().then_some((answer, signature))
}

/// Chooses the shards that a query leaves out, by position: those whose leafs all rest or have no token for a long time, and
/// as far as the coverage allows also overloaded ones.
///
/// # Errors
///
/// Returns the time until a shard may take a request if too few shards are left for an answer.
pub(crate) fn leave_out(
    gateway: &Gateway,
    services: &[SmolStr],
    coverage_min: f64,
    answer_at: Instant,
) -> Result<Vec<usize>, Duration> {
    let total = services.len();
    let meets_coverage =
        |left_out: usize| timing::meets_coverage(total - left_out, total, coverage_min);
    let throttled = gateway.throttles().leave_out(services, coverage_min);
    if gateway.rate_limits().is_empty() && gateway.rests().is_empty(Instant::now().into_std()) {
        return Ok(throttled);
    }
    let (exhausted, next) = exhausted(gateway, services, answer_at);
    if !meets_coverage(exhausted.len()) {
        return Err(next);
    }
    let all: BTreeSet<usize> = exhausted.iter().chain(&throttled).copied().collect();
    Ok(if meets_coverage(all.len()) { all.into_iter().collect() } else { exhausted })
}

/// Returns the positions of the services whose leafs take no request before `answer_at`, because they
/// rest or by the limits that they state, and the time until one of them does.
fn exhausted(
    gateway: &Gateway,
    services: &[SmolStr],
    answer_at: Instant,
) -> (Vec<usize>, Duration) {
    let now = Instant::now();
    let wait_max = TOKEN_WAIT_MAX.min(answer_at.saturating_duration_since(now));
    let token_wait = |service: &SmolStr| {
        let leafs = gateway.directory().usable(service, now.into_std());
        let wait =
            |leaf: &Arc<Leaf>| leaf.rate_limit().wait().max(leaf.rest().wait(now.into_std()));
        leafs.iter().map(wait).min()
    };
    let waits = services.iter().enumerate().filter_map(|(index, service)| {
        let wait = token_wait(service)?;
        (wait > wait_max).then_some((index, wait))
    });
    let (positions, waits): (Vec<usize>, Vec<Duration>) = waits.unzip();
    (positions, waits.into_iter().min().unwrap_or_default())
}

/// Shards that have not answered yet. Records for each shard whether it answered in time, by which
/// later queries decide whether to leave it out.
pub(crate) struct Unanswered<'a> {
    gateway: &'a Gateway,
    services: Vec<Option<&'a SmolStr>>,
}

impl<'a> Unanswered<'a> {
    /// Creates the record of a query that waits for all `jobs`.
    pub(crate) fn new(gateway: &'a Gateway, jobs: &'a [Job]) -> Self {
        Self { gateway, services: jobs.iter().map(|job| Some(&job.service)).collect() }
    }

    /// Records the answer of a shard.
    pub(crate) fn record_answer(&mut self, index: usize, in_time: bool) {
        if let Some(service) = self.services[index].take() {
            self.gateway.throttles().record(service, in_time);
        }
    }

    /// Drops a failed shard without a record. A shard that rejects or fails requests bounds its
    /// queue itself, so sending to it again costs the other shards little.
    pub(crate) fn ignore_failed(&mut self, index: usize) {
        self.services[index] = None;
    }

    /// Records a miss for each shard without an answer, unless the query ended before its target
    /// time: then the shard was not late.
    pub(crate) fn record_misses(&mut self, late: bool) {
        for service in self.services.iter_mut().filter_map(Option::take).filter(|_| late) {
            self.gateway.throttles().record(service, false);
        }
    }
}

/// Failures of shards, summarized for the refusal.
#[derive(Debug, Default)]
pub(crate) struct Failures {
    /// Reason that takes precedence so far.
    reason: Option<Reason>,
    may_have_run: bool,
    /// Longest time until a leaf of a shard may take a request by the limit that it states.
    retry_after: Duration,
}

impl Failures {
    /// Adds a shard without a usable part.
    pub(crate) fn add(&mut self, reason: Reason, may_have_run: bool) {
        self.reason = self.reason.max(Some(reason));
        self.may_have_run |= may_have_run;
    }

    /// Adds a failed fetch.
    pub(crate) fn add_failure(&mut self, failure: &Failure) {
        self.add(failure.reason, failure.may_have_run);
        self.retry_after = self.retry_after.max(failure.retry_after);
    }

    /// Returns whether a leaf of a failed shard may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the longest time until a leaf of a shard may take a request by its limit.
    pub(crate) fn retry_after(&self) -> Duration {
        self.retry_after
    }

    /// Returns the reason that takes precedence.
    pub(crate) fn reason(&self) -> Reason {
        self.reason.unwrap_or(Reason::TimedOut)
    }
}
