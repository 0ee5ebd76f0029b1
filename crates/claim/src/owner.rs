//! The owner of a partition.

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
use crate::commit::Pace;
use crate::error::Result;
use crate::head::Epoch;
use crate::head::Writer;
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
use crate::tenure::Admit;
use crate::tenure::ClaimId;
use crate::tenure::Effect;
use crate::tenure::Signal;
use crate::tenure::Tenure;
use crate::tenure::refuse;
use crate::trace::Event;
use crate::trace::Trace;
use crate::verdict::InvalidSubmission;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// State of an owner, for the state dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Dump {
    /// Number of the partition.
    pub partition: Partition,
    /// Whether this instance believes that it owns the partition.
    pub owner: bool,
    /// Epoch of the ownership.
    pub epoch: Option<Epoch>,
    /// Number of the open segment.
    pub open_segment: u64,
    /// Size of the records in the open segment, in bytes.
    pub open_bytes: usize,
    /// Number of sealed segments that still exist.
    pub sealed_segments: usize,
    /// Number of requests in the index.
    pub entries: usize,
    /// Number of claims without a confirmed outcome.
    pub live: usize,
    /// Number of records that wait for a write.
    pub queue: usize,
    /// Requests whose expiry is at or below this are refused.
    pub watermark: UnixMs,
    /// Whether the store is known to be down.
    pub outage: bool,
    /// Whether the write in flight takes longer than the stall timeout.
    pub stalled: bool,
    /// Whether the partition is being handed over.
    pub releasing: bool,
}

/// Parts that the tasks of an owner share.
pub(crate) struct Shared {
    pub(crate) partition: Partition,
    pub(crate) writer: Writer,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) commit: GroupCommit,
    /// Locked during a write.
    pub(crate) pen: tokio::sync::Mutex<Pace>,
    /// Notified when records wait.
    pub(crate) work: Notify,
    /// Notified when records were written, or the ownership ended.
    pub(crate) idle: Notify,
    tenure: Mutex<Option<Tenure>>,
    tasks: Mutex<JoinSet<()>>,
    claims: AtomicU64,
    takeovers: AtomicU64,
    trace: Option<Trace>,
}

impl Shared {
    /// Runs `action` on the state of an epoch, or returns `None` if it has ended.
    pub(crate) fn with<T>(&self, epoch: Epoch, action: impl FnOnce(&mut Tenure) -> T) -> Option<T> {
        let mut tenure = self.tenure();
        let tenure = tenure.as_mut().filter(|tenure| tenure.epoch == epoch)?;
        Some(action(tenure))
    }

    /// Ends the ownership of an epoch and drops the index.
    #[cold]
    pub(crate) fn fence(&self, epoch: Epoch) {
        let ended = self.tenure().take_if(|tenure| tenure.epoch == epoch);
        if let Some(tenure) = ended {
            self.record(|| Event::Lose { epoch });
            tenure.fence();
        }
        self.work.notify_one();
        self.idle.notify_waiters();
    }

    /// Dispatches a confirmed claim.
    pub(crate) fn dispatch(
        self: &Arc<Self>,
        epoch: Epoch,
        claim: ClaimId,
        submission: Arc<Submission>,
        runner: Arc<dyn Runner>,
    ) {
        let shared = self.clone();
        self.record(|| Event::Run {
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
            shared
                .record(|| Event::End { request_id: request_id.clone(), outcome: outcome.clone() });
            shared.with(epoch, |tenure| tenure.report(request_id, claim, outcome));
            shared.work.notify_one();
        });
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    fn record(&self, event: impl FnOnce() -> Event) {
        if let Some(trace) = &self.trace {
            trace.record(&self.writer.name, event());
        }
    }

    fn tenure(&self) -> MutexGuard<'_, Option<Tenure>> {
        lock(&self.tenure)
    }
}

/// Owner of a partition, or an instance that may become its owner.
///
/// Dropping it aborts its runs and writes, as if the instance were killed. A planned stop calls
/// [`release`](Self::release) first.
pub struct Owner {
    pub(crate) shared: Arc<Shared>,
}

impl Owner {
    /// Creates an owner of a partition for the instance `name`. It owns nothing before
    /// [`acquire`](Self::acquire) succeeds.
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
            pen: tokio::sync::Mutex::new(Pace::new()),
            work: Notify::new(),
            idle: Notify::new(),
            tenure: Mutex::default(),
            tasks: Mutex::default(),
            claims: AtomicU64::new(0),
            takeovers: AtomicU64::new(0),
            trace: None,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Sets the incarnation of the instance. It must differ between processes that use the same
    /// name, so that one does not take a write of the other for its own.
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        if let Some(shared) = Arc::get_mut(&mut self.shared) {
            shared.writer.incarnation = incarnation;
        }
        self
    }

    /// Records protocol events in a trace.
    pub fn with_trace(mut self, trace: Trace) -> Self {
        if let Some(shared) = Arc::get_mut(&mut self.shared) {
            shared.trace = Some(trace);
        }
        self
    }

    /// Takes the partition over and returns the new epoch, or the current one if this instance
    /// already owns it. The previous owner is fenced, whether it is alive or not.
    ///
    /// # Errors
    ///
    /// [`Error`](crate::Error) if the store fails, another instance takes over at the same time,
    /// or an object can't be decoded. The call may be repeated.
    pub async fn acquire(&self) -> Result<Epoch> {
        let shared = &self.shared;
        let pen = shared.pen.lock().await;
        if let Some(epoch) = self.epoch() {
            return Ok(epoch);
        }
        let takeover = shared.takeovers.fetch_add(1, Ordering::Relaxed) + 1;
        let writer = Writer { takeover, ..shared.writer.clone() };
        let tenure = takeover::take(&*shared.store, shared.partition, writer).await?;
        drop(pen);
        let epoch = tenure.epoch;
        *shared.tenure() = Some(tenure);
        shared.record(|| Event::Own { epoch });
        shared.spawn(commit::run(shared.clone(), epoch));
        Ok(epoch)
    }

    /// Submits one attempt and waits for its verdict until `deadline`.
    ///
    /// A submission whose future is dropped may run all the same.
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
        self.shared.record(|| Event::Tell {
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
        let claim = shared.claims.fetch_add(1, Ordering::Relaxed);
        loop {
            let admitted = match shared.tenure().as_mut() {
                None => return refuse(attempt, Reason::NotOwner, Duration::ZERO),
                Some(tenure) => {
                    let epoch = tenure.epoch;
                    (epoch, tenure.admit(submission, runner, &shared.commit, claim))
                }
            };
            let (epoch, mut signal, own) = match admitted {
                (_, Admit::Tell(verdict)) => return verdict,
                (epoch, Admit::Wait(signal, own)) => (epoch, signal, own),
            };
            if own {
                shared.work.notify_one();
            }
            let told = match timeout_at(deadline, wait(&mut signal)).await {
                Ok(told) => told,
                Err(_) => return self.give_up(epoch, submission.request_id(), attempt, claim),
            };
            if let Some(verdict) = self.verdict(attempt, own, told) {
                return verdict;
            }
        }
    }

    /// Turns the result of a claim into the verdict of one who waits, or `None` if it may claim.
    fn verdict(&self, attempt: u32, own: bool, told: Option<Signal>) -> Option<Verdict> {
        let retry_after = self.shared.commit.write_interval;
        Some(match told {
            Some(Signal::Done(answer)) => Verdict::Done { answer },
            Some(Signal::Released(released, reason)) if attempt <= released => {
                let reason = if own { reason } else { Reason::Superseded };
                Verdict::NotRun { reason, retry_after }
            }
            Some(Signal::Released(..)) => return None,
            Some(Signal::Abandoned(reason)) => {
                refuse(attempt, reason, self.shared.commit.probe_interval)
            }
            Some(Signal::MayHaveRun(reason)) => Verdict::MayHaveRun { reason },
            None => Verdict::MayHaveRun { reason: Reason::Stopped },
        })
    }

    /// Returns the verdict at the deadline. A claim of this submission that is not confirmed by
    /// then is never dispatched.
    fn give_up(
        &self,
        epoch: Epoch,
        request_id: &RequestId,
        attempt: u32,
        claim: ClaimId,
    ) -> Verdict {
        let retry_after = self.shared.commit.write_interval;
        let told = self.shared.with(epoch, |tenure| {
            if tenure.is_running(request_id) {
                return Verdict::Running;
            }
            let queued = tenure.queue.iter().position(|queued| {
                queued.claim == claim && matches!(queued.effect, Effect::Dispatch(..))
            });
            if let Some(queued) = queued {
                tenure.queue.remove(queued);
                tenure.drop_claim(request_id, claim, Reason::Deadline);
            } else if let Some(live) = tenure.live(request_id, claim) {
                live.abandon(Reason::Deadline);
            }
            refuse(attempt, Reason::Deadline, retry_after)
        });
        told.unwrap_or(Verdict::MayHaveRun { reason: Reason::Fenced })
    }

    /// Returns whether this instance believes that it owns the partition. It may have been fenced
    /// without knowing it yet.
    pub fn is_owner(&self) -> bool {
        self.epoch().is_some()
    }

    /// Returns the epoch of the ownership.
    pub fn epoch(&self) -> Option<Epoch> {
        self.shared.tenure().as_ref().map(|tenure| tenure.epoch)
    }

    /// Returns the state for the state dump.
    pub fn dump(&self) -> Dump {
        let partition = self.shared.partition;
        let tenure = self.shared.tenure();
        let Some(tenure) = tenure.as_ref() else {
            return Dump { partition, ..Dump::default() };
        };
        Dump {
            partition,
            owner: true,
            epoch: Some(tenure.epoch),
            open_segment: tenure.open.number(),
            open_bytes: tenure.open.body_bytes(),
            sealed_segments: tenure.sealed.len(),
            entries: tenure.entries.len(),
            live: tenure.live,
            queue: tenure.queue.len(),
            watermark: tenure.watermark,
            outage: tenure.outage,
            stalled: tenure.stalled,
            releasing: tenure.releasing,
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

async fn wait(signal: &mut watch::Receiver<Option<Signal>>) -> Option<Signal> {
    signal.wait_for(Option::is_some).await.ok().and_then(|told| told.clone())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
