//! Owner of a partition: takes it over and decides on submissions.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use jaycrank_platform::Store;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::commit;
use crate::commit::GroupCommit;
use crate::commit::Pacer;
use crate::error::Result;
use crate::head::Epoch;
use crate::head::Writer;
use crate::ownership::ClaimId;
use crate::ownership::ClaimResult;
use crate::ownership::Completion;
use crate::ownership::Decision;
use crate::ownership::Ownership;
use crate::ownership::refuse;
use crate::submission::EXPIRY_MAX;
use crate::submission::Outcome;
use crate::submission::Partition;
use crate::submission::REQUEST_ID_BYTES_MAX;
use crate::submission::RequestId;
use crate::submission::Runner;
use crate::submission::Submission;
use crate::submission::UnixMs;
use crate::submission::millis;
use crate::takeover;
use crate::trace::Event;
use crate::trace::Trace;
use crate::verdict::InvalidSubmission;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Owner's part of the state dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// Number of the partition.
    pub partition: Partition,
    /// Whether this instance believes that it owns the partition.
    pub owner: bool,
    /// Epoch of the ownership.
    pub epoch: Option<Epoch>,
    /// Number of the segment that records are appended to.
    pub open_segment: u64,
    /// Size of the records in the open segment, in bytes.
    pub open_bytes: usize,
    /// Number of sealed segments that are not reclaimed yet.
    pub sealed_segments: usize,
    /// Number of requests in the index.
    pub entries: usize,
    /// Number of claims without a confirmed outcome.
    pub live: usize,
    /// Number of records that wait to be written.
    pub queue: usize,
    /// Requests whose expiry is at or below this are refused.
    pub watermark: UnixMs,
    /// Whether the store is known to be down.
    pub outage: bool,
    /// Whether the write in flight exceeds the stall timeout.
    pub stalled: bool,
    /// Whether the partition is being handed over.
    pub releasing: bool,
}

/// State shared by the tasks of an owner.
pub(crate) struct Shared {
    pub(crate) partition: Partition,
    pub(crate) writer: Writer,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) commit: GroupCommit,
    /// Locked during each write, which also limits the rate of writes.
    pub(crate) pacer: tokio::sync::Mutex<Pacer>,
    /// Notified when a record is queued or the ownership ends.
    pub(crate) queue_changed: Notify,
    /// Notified when a write is confirmed or the ownership ends.
    pub(crate) progress: Notify,
    ownership: Mutex<Option<Ownership>>,
    tasks: Mutex<JoinSet<()>>,
    claim_count: AtomicU64,
    takeover_count: AtomicU64,
    trace: Option<Trace>,
}

impl Shared {
    /// Runs `action` on the state of the given epoch, or returns `None` if that epoch has ended.
    pub(crate) fn with_ownership<T>(
        &self,
        epoch: Epoch,
        action: impl FnOnce(&mut Ownership) -> T,
    ) -> Option<T> {
        let mut ownership = self.ownership();
        let ownership = ownership.as_mut().filter(|ownership| ownership.epoch == epoch)?;
        Some(action(ownership))
    }

    /// Ends the ownership if it is still of the given epoch, and drops its index.
    #[cold]
    pub(crate) fn fence(&self, epoch: Epoch) {
        let ended = self.ownership().take_if(|ownership| ownership.epoch == epoch);
        if let Some(ownership) = ended {
            self.record_event(|| Event::Lose { epoch });
            ownership.fence();
        }
        self.queue_changed.notify_one();
        self.progress.notify_waiters();
    }

    /// Runs the request of a confirmed claim in a task, and queues its outcome.
    pub(crate) fn dispatch(
        self: &Arc<Self>,
        epoch: Epoch,
        claim_id: ClaimId,
        submission: Arc<Submission>,
        runner: Arc<dyn Runner>,
    ) {
        let shared = self.clone();
        self.record_event(|| Event::Run {
            epoch,
            request_id: submission.request_id().clone(),
            attempt: submission.attempt(),
            attempt_id: submission.attempt_id(),
        });
        self.spawn(async move {
            let outcome = AssertUnwindSafe(runner.run(&submission)).catch_unwind().await;
            let outcome =
                outcome.unwrap_or_else(|_| Outcome::Unknown("the runner panicked".into()));
            let request_id = submission.request_id();
            shared.record_event(|| Event::End {
                request_id: request_id.clone(),
                outcome: outcome.clone(),
            });
            shared.with_ownership(epoch, |ownership| {
                ownership.queue_outcome(request_id, claim_id, outcome)
            });
            shared.queue_changed.notify_one();
        });
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    fn record_event(&self, event: impl FnOnce() -> Event) {
        if let Some(trace) = &self.trace {
            trace.record(&self.writer.name, event());
        }
    }

    fn ownership(&self) -> MutexGuard<'_, Option<Ownership>> {
        lock(&self.ownership)
    }
}

/// Owner of a partition, or a candidate for its ownership.
///
/// Dropping it aborts its runs and writes, as if the instance were killed. A graceful shutdown
/// calls [`release`](Self::release) first.
pub struct Owner {
    pub(crate) shared: Arc<Shared>,
}

impl Owner {
    /// Creates a candidate for the partition in the instance `name`. It does not own the partition
    /// until [`acquire`](Self::acquire) succeeds.
    pub fn new(
        partition: Partition,
        name: impl Into<SmolStr>,
        store: Arc<dyn Store>,
        commit: GroupCommit,
    ) -> Self {
        let shared = Shared {
            partition,
            writer: Writer { name: name.into(), ..Writer::default() },
            store,
            commit,
            pacer: tokio::sync::Mutex::new(Pacer::new()),
            queue_changed: Notify::new(),
            progress: Notify::new(),
            ownership: Mutex::default(),
            tasks: Mutex::default(),
            claim_count: AtomicU64::new(0),
            takeover_count: AtomicU64::new(0),
            trace: None,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Sets the incarnation of the instance. Processes with the same instance name need different
    /// incarnations, or one would mistake a write of the other for its own.
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        if let Some(shared) = Arc::get_mut(&mut self.shared) {
            shared.writer.incarnation = incarnation;
        }
        self
    }

    /// Sets the trace that protocol events are recorded in.
    pub fn with_trace(mut self, trace: Trace) -> Self {
        if let Some(shared) = Arc::get_mut(&mut self.shared) {
            shared.trace = Some(trace);
        }
        self
    }

    /// Takes over the partition and returns the new epoch, or the current one if this instance
    /// owns the partition already. The previous owner is fenced, whether or not it is alive.
    ///
    /// # Errors
    ///
    /// [`Error`](crate::Error) if the store fails, another instance takes over at the same time,
    /// or an object can't be decoded. The call can be retried.
    pub async fn acquire(&self) -> Result<Epoch> {
        let shared = &self.shared;
        let permit = shared.pacer.lock().await;
        if let Some(epoch) = self.epoch() {
            return Ok(epoch);
        }
        let takeover = shared.takeover_count.fetch_add(1, Ordering::Relaxed) + 1;
        let writer = Writer { takeover, ..shared.writer.clone() };
        let ownership = takeover::run(&*shared.store, shared.partition, writer).await?;
        drop(permit);
        let epoch = ownership.epoch;
        *shared.ownership() = Some(ownership);
        shared.record_event(|| Event::Own { epoch });
        shared.spawn(commit::run(shared.clone(), epoch));
        Ok(epoch)
    }

    /// Submits one attempt of a request and waits until `deadline` for its verdict.
    ///
    /// Dropping the future does not cancel the submission: the request may still run.
    pub async fn submit(
        &self,
        submission: Submission,
        runner: Arc<dyn Runner>,
        deadline: Instant,
    ) -> Verdict {
        let submission = Arc::new(submission);
        let verdict = match validate(&submission) {
            Ok(()) => self.decide(&submission, &runner, deadline).await,
            Err(reason) => Verdict::Invalid { reason },
        };
        self.shared.record_event(|| Event::Tell {
            request_id: submission.request_id().clone(),
            attempt: submission.attempt(),
            attempt_id: submission.attempt_id(),
            verdict: verdict.clone(),
        });
        verdict
    }

    async fn decide(
        &self,
        submission: &Arc<Submission>,
        runner: &Arc<dyn Runner>,
        deadline: Instant,
    ) -> Verdict {
        let shared = &self.shared;
        let attempt = submission.attempt();
        let claim_id = shared.claim_count.fetch_add(1, Ordering::Relaxed);
        loop {
            let decision = match shared.ownership().as_mut() {
                None => return refuse(attempt, Reason::NotOwner, Duration::ZERO),
                Some(ownership) => {
                    let epoch = ownership.epoch;
                    (epoch, ownership.admit(submission, runner, &shared.commit, claim_id))
                }
            };
            let (epoch, mut receiver, is_own) = match decision {
                (_, Decision::Verdict(verdict)) => return verdict,
                (epoch, Decision::Wait(receiver, is_own)) => (epoch, receiver, is_own),
            };
            if is_own {
                shared.queue_changed.notify_one();
            }
            let result = match timeout_at(deadline, wait_for_result(&mut receiver)).await {
                Ok(result) => result,
                Err(_) => return self.time_out(epoch, submission.request_id(), attempt, claim_id),
            };
            if let Some(verdict) = self.to_verdict(attempt, is_own, result) {
                return verdict;
            }
        }
    }

    /// Returns the verdict for a submission that waited for a claim, or `None` if the claim was
    /// released and this attempt may claim the request itself.
    fn to_verdict(
        &self,
        attempt: u32,
        is_own: bool,
        result: Option<ClaimResult>,
    ) -> Option<Verdict> {
        let retry_after = self.shared.commit.write_interval;
        Some(match result {
            Some(ClaimResult::Done(answer)) => Verdict::Done { answer },
            Some(ClaimResult::Released(released, reason)) if attempt <= released => {
                let reason = if is_own { reason } else { Reason::Superseded };
                Verdict::NotRun { reason, retry_after }
            }
            Some(ClaimResult::Released(..)) => return None,
            Some(ClaimResult::Abandoned(reason)) => {
                refuse(attempt, reason, self.shared.commit.probe_interval)
            }
            Some(ClaimResult::MayHaveRun(reason)) => Verdict::MayHaveRun { reason },
            None => Verdict::MayHaveRun { reason: Reason::Stopped },
        })
    }

    /// Returns the verdict for a submission whose deadline has passed. If its own claim is not
    /// confirmed yet, the claim is never dispatched.
    fn time_out(
        &self,
        epoch: Epoch,
        request_id: &RequestId,
        attempt: u32,
        claim_id: ClaimId,
    ) -> Verdict {
        let retry_after = self.shared.commit.write_interval;
        let verdict = self.shared.with_ownership(epoch, |ownership| {
            if ownership.is_running(request_id) {
                return Verdict::Running;
            }
            let position = ownership.queue.iter().position(|queued| {
                queued.claim_id == claim_id && matches!(queued.completion, Completion::Dispatch(..))
            });
            if let Some(position) = position {
                ownership.queue.remove(position);
                ownership.drop_claim(request_id, claim_id, Reason::Deadline);
            } else if let Some(claim) = ownership.live_claim(request_id, claim_id) {
                claim.abandon(Reason::Deadline);
            }
            refuse(attempt, Reason::Deadline, retry_after)
        });
        verdict.unwrap_or(Verdict::MayHaveRun { reason: Reason::Fenced })
    }

    /// Returns whether this instance believes that it owns the partition. It may have been fenced
    /// without having noticed yet.
    pub fn is_owner(&self) -> bool {
        self.epoch().is_some()
    }

    /// Returns the current epoch, or `None` if this instance does not own the partition.
    pub fn epoch(&self) -> Option<Epoch> {
        self.shared.ownership().as_ref().map(|ownership| ownership.epoch)
    }

    /// Returns the owner's part of the state dump.
    pub fn dump(&self) -> Dump {
        let partition = self.shared.partition;
        let ownership = self.shared.ownership();
        let Some(ownership) = ownership.as_ref() else {
            return Dump { partition, ..Dump::default() };
        };
        Dump {
            partition,
            owner: true,
            epoch: Some(ownership.epoch),
            open_segment: ownership.open.number(),
            open_bytes: ownership.open.body_bytes(),
            sealed_segments: ownership.sealed.len(),
            entries: ownership.entries.len(),
            live: ownership.live_claims,
            queue: ownership.queue.len(),
            watermark: ownership.watermark,
            outage: ownership.outage,
            stalled: ownership.stalled,
            releasing: ownership.releasing,
        }
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        lock(&self.shared.tasks).abort_all();
    }
}

fn validate(submission: &Submission) -> std::result::Result<(), InvalidSubmission> {
    let (expiry, received) = (submission.expiry(), submission.received_unix_ms());
    if submission.request_id().is_empty() || submission.request_id().len() > REQUEST_ID_BYTES_MAX {
        return Err(InvalidSubmission::RequestId);
    }
    if submission.attempt() == 0 {
        return Err(InvalidSubmission::Attempt);
    }
    if expiry <= received {
        return Err(InvalidSubmission::Expired);
    }
    if expiry - received > millis(EXPIRY_MAX) {
        return Err(InvalidSubmission::ExpiryTooFar);
    }
    Ok(())
}

async fn wait_for_result(
    receiver: &mut watch::Receiver<Option<ClaimResult>>,
) -> Option<ClaimResult> {
    receiver.wait_for(Option::is_some).await.ok().and_then(|result| result.clone())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
