//! In-memory state of the owner of a partition in one epoch: the index of requests, the queue of
//! records to write, and the open segment.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jaycrank_platform::Version;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::commit::GroupCommit;
use crate::head::Epoch;
use crate::head::Head;
use crate::record::Record;
use crate::segment::Number;
use crate::segment::Segment;
use crate::submission::Digest;
use crate::submission::Outcome;
use crate::submission::RequestId;
use crate::submission::Runner;
use crate::submission::Submission;
use crate::submission::UnixMs;
use crate::verdict::InvalidSubmission;
use crate::verdict::Reason;
use crate::verdict::Verdict;

/// Largest answer that is recorded, in bytes. A larger one is returned to the submissions that
/// wait for it but not recorded, because it would fill a segment.
pub(crate) const ANSWER_BYTES_MAX: usize = 128 * 1000;

/// Length to which the reason of an unknown outcome is truncated when it is recorded, in bytes.
const REASON_BYTES_MAX: usize = 256;

/// Number of a claim, unique within an [`Owner`](crate::Owner).
pub(crate) type ClaimId = u64;

/// Result of a claim, as sent to the submissions that wait for it.
#[derive(Clone, Debug)]
pub(crate) enum ClaimResult {
    /// The answer is recorded.
    Done(Bytes),
    /// The release of all attempts up to this number is recorded.
    Released(u32, Reason),
    /// This owner did not dispatch the claim and never will, but no release is recorded.
    Abandoned(Reason),
    /// The request may have run.
    MayHaveRun(Reason),
}

/// Stage of a claim in this epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The write of the claim is not confirmed yet.
    Queued,
    /// The claim was or may still be written, but is never dispatched. It is released once its
    /// write is confirmed.
    Abandoned,
    /// The claim is confirmed and the request is dispatched.
    Running,
    /// The run ended; the write of its outcome is not confirmed yet.
    Reporting,
}

/// Claim of this epoch whose outcome is not confirmed yet.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) id: ClaimId,
    pub(crate) stage: Stage,
    /// Last attempt that was released before this claim, or 0 if there is none.
    released: u32,
    result: watch::Sender<Option<ClaimResult>>,
}

/// State of a request in the index.
#[derive(Debug)]
pub(crate) enum Phase {
    Live(Claim),
    Done(Bytes),
    Released,
    Unknown(Reason),
}

/// Index entry of a request.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) attempt: u32,
    pub(crate) digest: Digest,
    pub(crate) expiry: UnixMs,
    pub(crate) phase: Phase,
}

/// Action to take once the write of a queued record is confirmed.
#[derive(Clone)]
pub(crate) enum Completion {
    /// Dispatch the claimed request.
    Dispatch(Arc<Submission>, Arc<dyn Runner>),
    /// End the claim with this result.
    Finish(ClaimResult),
}

/// Encoded record that waits to be written.
#[derive(Clone)]
pub(crate) struct QueuedRecord {
    pub(crate) request_id: RequestId,
    pub(crate) claim_id: ClaimId,
    pub(crate) expiry: UnixMs,
    pub(crate) record: Vec<u8>,
    pub(crate) completion: Completion,
}

/// Decision on a submission.
pub(crate) enum Decision {
    /// The verdict is known already.
    Verdict(Verdict),
    /// The submission waits for the result of a claim. The flag is set if the claim is its own,
    /// and not that of another submission.
    Wait(watch::Receiver<Option<ClaimResult>>, bool),
}

/// State of the owner of a partition in one epoch.
pub(crate) struct Ownership {
    pub(crate) epoch: Epoch,
    pub(crate) head: Head,
    pub(crate) head_version: Version,
    /// Head whose write may have been applied.
    pub(crate) in_doubt_head: Option<Head>,
    pub(crate) open: Segment,
    pub(crate) open_version: Version,
    /// Empty segment that follows the open one, if it is created already.
    pub(crate) next_segment: Option<(Segment, Version)>,
    /// Latest expiry of a claim in the open segment.
    pub(crate) open_expiry: UnixMs,
    /// Latest expiry of a claim in each sealed segment.
    pub(crate) sealed: BTreeMap<Number, UnixMs>,
    /// Requests whose expiry is at or below this are refused. It is raised before the watermark in
    /// the head.
    pub(crate) watermark: UnixMs,
    pub(crate) entries: BTreeMap<RequestId, Entry>,
    pub(crate) queue: VecDeque<QueuedRecord>,
    pub(crate) live_claims: usize,
    /// The last write failed and no probe has succeeded since.
    pub(crate) outage: bool,
    /// The write in flight takes longer than the stall timeout.
    pub(crate) stalled: bool,
    pub(crate) releasing: bool,
}

/// Returns the verdict for an attempt that was not claimed.
///
/// Earlier attempts may have run under an owner that this one does not know of, so only a first
/// attempt gets "not run".
pub(crate) fn refuse(attempt: u32, reason: Reason, retry_after: Duration) -> Verdict {
    if attempt == 1 {
        Verdict::NotRun { reason, retry_after }
    } else {
        Verdict::MayHaveRun { reason }
    }
}

impl Ownership {
    pub(crate) fn new(
        head: Head,
        head_version: Version,
        open: Segment,
        open_version: Version,
        entries: BTreeMap<RequestId, Entry>,
        sealed: BTreeMap<Number, UnixMs>,
    ) -> Self {
        Self {
            epoch: head.epoch,
            watermark: head.watermark,
            head,
            head_version,
            in_doubt_head: None,
            open,
            open_version,
            next_segment: None,
            open_expiry: 0,
            sealed,
            entries,
            queue: VecDeque::new(),
            live_claims: 0,
            outage: false,
            stalled: false,
            releasing: false,
        }
    }

    /// Returns whether there are no live claims and no queued records.
    pub(crate) fn is_idle(&self) -> bool {
        self.live_claims == 0 && self.queue.is_empty()
    }

    /// Decides on a submission, and queues a claim for it if it may run. Both the watermark and the
    /// index are checked under one lock, so that an entry can't expire between the checks.
    pub(crate) fn admit(
        &mut self,
        submission: &Arc<Submission>,
        runner: &Arc<dyn Runner>,
        commit: &GroupCommit,
        claim_id: ClaimId,
    ) -> Decision {
        let attempt = submission.attempt();
        if submission.expiry() <= self.watermark {
            return Decision::Verdict(Verdict::Invalid { reason: InvalidSubmission::Expired });
        }
        let down = self.outage || self.stalled;
        let unavailable = || refuse(attempt, Reason::StoreUnavailable, commit.probe_interval);
        let mut released = 0;
        let mut expiry = submission.expiry();
        if let Some(entry) = self.entries.get(submission.request_id()) {
            if entry.digest != submission.digest() {
                return Decision::Verdict(Verdict::Invalid {
                    reason: InvalidSubmission::OtherBody,
                });
            }
            if submission.stated_expiry().is_some_and(|expiry| expiry != entry.expiry) {
                return Decision::Verdict(Verdict::Invalid {
                    reason: InvalidSubmission::OtherExpiry,
                });
            }
            match &entry.phase {
                Phase::Done(answer) => {
                    return Decision::Verdict(Verdict::Done { answer: answer.clone() });
                }
                Phase::Unknown(reason) => {
                    return Decision::Verdict(Verdict::MayHaveRun { reason: reason.clone() });
                }
                Phase::Released if attempt <= entry.attempt => {
                    let retry_after = commit.write_interval;
                    let reason = Reason::Superseded;
                    return Decision::Verdict(Verdict::NotRun { reason, retry_after });
                }
                Phase::Released => (released, expiry) = (entry.attempt, entry.expiry),
                Phase::Live(claim) => {
                    return match claim.stage {
                        Stage::Queued | Stage::Abandoned if down => {
                            Decision::Verdict(unavailable())
                        }
                        Stage::Reporting if down => Decision::Verdict(Verdict::MayHaveRun {
                            reason: Reason::OutcomeNotWritten,
                        }),
                        _ => Decision::Wait(claim.result.subscribe(), false),
                    };
                }
            }
        } else if attempt > 1 && submission.stated_expiry().is_none() {
            return Decision::Verdict(Verdict::MayHaveRun { reason: Reason::ExpiryNotStated });
        }
        if self.releasing {
            return Decision::Verdict(refuse(attempt, Reason::HandOver, Duration::ZERO));
        }
        if down {
            return Decision::Verdict(unavailable());
        }
        if self.queue.len() >= commit.queue_max() {
            return Decision::Verdict(refuse(
                attempt,
                Reason::Overloaded,
                commit.write_interval * 2,
            ));
        }
        Decision::Wait(self.queue_claim(submission, runner, claim_id, released, expiry), true)
    }

    fn queue_claim(
        &mut self,
        submission: &Arc<Submission>,
        runner: &Arc<dyn Runner>,
        id: ClaimId,
        released: u32,
        expiry: UnixMs,
    ) -> watch::Receiver<Option<ClaimResult>> {
        let request_id = submission.request_id().clone();
        let (result, receiver) = watch::channel(None);
        let (attempt, digest) = (submission.attempt(), submission.digest());
        let phase = Phase::Live(Claim { id, stage: Stage::Queued, released, result });
        self.entries.insert(request_id.clone(), Entry { attempt, digest, expiry, phase });
        self.live_claims += 1;
        let attempt_id = submission.attempt_id();
        let record =
            Record::Claim { request_id: request_id.clone(), attempt, attempt_id, digest, expiry };
        let completion = Completion::Dispatch(submission.clone(), runner.clone());
        self.enqueue(request_id, id, expiry, &record, completion);
        receiver
    }

    fn enqueue(
        &mut self,
        request_id: RequestId,
        claim_id: ClaimId,
        expiry: UnixMs,
        record: &Record,
        completion: Completion,
    ) {
        let mut encoded = Vec::new();
        record.encode(&mut encoded);
        self.queue.push_back(QueuedRecord {
            request_id,
            claim_id,
            expiry,
            record: encoded,
            completion,
        });
    }

    /// Returns the live claim of a request if it has this id.
    pub(crate) fn live_claim(&mut self, request_id: &str, claim_id: ClaimId) -> Option<&mut Claim> {
        match &mut self.entries.get_mut(request_id)?.phase {
            Phase::Live(claim) if claim.id == claim_id => Some(claim),
            _ => None,
        }
    }

    /// Returns whether a request was dispatched in this epoch and has no confirmed outcome.
    pub(crate) fn is_running(&self, request_id: &str) -> bool {
        self.entries.get(request_id).is_some_and(|entry| match &entry.phase {
            Phase::Live(claim) => matches!(claim.stage, Stage::Running | Stage::Reporting),
            _ => false,
        })
    }

    /// Queues the outcome of a run. In an outage the waiting submissions get a verdict at once; the
    /// record stays queued until the store is back.
    pub(crate) fn queue_outcome(
        &mut self,
        request_id: &RequestId,
        claim_id: ClaimId,
        outcome: Outcome,
    ) {
        let down = self.outage;
        let Some(claim) = self.live_claim(request_id, claim_id) else { return };
        claim.stage = Stage::Reporting;
        if down {
            claim.send(ClaimResult::MayHaveRun(Reason::OutcomeNotWritten));
        }
        let id = request_id.clone();
        let (record, result) = match outcome {
            Outcome::Done(answer) if answer.len() <= ANSWER_BYTES_MAX => {
                (Record::Done { request_id: id, answer: answer.clone() }, ClaimResult::Done(answer))
            }
            Outcome::Done(answer) => {
                let reason = SmolStr::new_static("answer too large");
                (Record::Unknown { request_id: id, ran: true, reason }, ClaimResult::Done(answer))
            }
            Outcome::NotSent(reason) => {
                self.queue_release(request_id, claim_id, Reason::NotSent(reason));
                return;
            }
            Outcome::Unknown(reason) => {
                let end = reason.floor_char_boundary(REASON_BYTES_MAX);
                let reason = SmolStr::new(reason.get(..end).unwrap_or_default());
                let result = ClaimResult::MayHaveRun(Reason::Unknown(reason.clone()));
                (Record::Unknown { request_id: id, ran: false, reason }, result)
            }
        };
        self.enqueue(request_id.clone(), claim_id, 0, &record, Completion::Finish(result));
    }

    /// Queues the release of a claim whose request did not run.
    pub(crate) fn queue_release(
        &mut self,
        request_id: &RequestId,
        claim_id: ClaimId,
        reason: Reason,
    ) {
        let Some(entry) = self.entries.get(request_id) else { return };
        let attempt = entry.attempt;
        let record = Record::Released { request_id: request_id.clone(), attempt };
        let completion = Completion::Finish(ClaimResult::Released(attempt, reason));
        self.enqueue(request_id.clone(), claim_id, 0, &record, completion);
    }

    /// Ends a claim whose outcome or release is confirmed.
    pub(crate) fn finish(
        &mut self,
        request_id: &RequestId,
        claim_id: ClaimId,
        result: ClaimResult,
    ) {
        let Some(claim) = self.live_claim(request_id, claim_id) else { return };
        claim.send(result.clone());
        let phase = match result {
            ClaimResult::Done(answer) if answer.len() <= ANSWER_BYTES_MAX => Phase::Done(answer),
            ClaimResult::Done(_) => Phase::Unknown(Reason::AnswerNotKept),
            ClaimResult::Released(..) => Phase::Released,
            ClaimResult::Abandoned(reason) | ClaimResult::MayHaveRun(reason) => {
                Phase::Unknown(reason)
            }
        };
        self.live_claims -= 1;
        if let Some(entry) = self.entries.get_mut(request_id) {
            entry.phase = phase;
        }
    }

    /// Drops a claim that is certainly not written, and restores the release that preceded it.
    pub(crate) fn drop_claim(&mut self, request_id: &RequestId, claim_id: ClaimId, reason: Reason) {
        let Some(claim) = self.live_claim(request_id, claim_id) else { return };
        claim.send(ClaimResult::Abandoned(reason));
        let released = claim.released;
        self.live_claims -= 1;
        if released == 0 {
            self.entries.remove(request_id);
        } else if let Some(entry) = self.entries.get_mut(request_id) {
            entry.attempt = released;
            entry.phase = Phase::Released;
        }
    }

    /// Drops the claims in the queue. Outcomes and releases stay queued.
    pub(crate) fn drop_queued_claims(&mut self, reason: &Reason) {
        let (claims, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued| matches!(queued.completion, Completion::Dispatch(..)));
        self.queue = rest;
        let claims: VecDeque<QueuedRecord> = claims;
        for queued in claims {
            self.drop_claim(&queued.request_id, queued.claim_id, reason.clone());
        }
    }

    /// Records that the store is down: new submissions are refused, and those that wait for a write
    /// get a verdict at once.
    pub(crate) fn enter_outage(&mut self) {
        self.outage = true;
        self.drop_queued_claims(&Reason::StoreUnavailable);
        if self.live_claims == 0 {
            return;
        }
        for entry in self.entries.values_mut() {
            let Phase::Live(claim) = &mut entry.phase else { continue };
            match claim.stage {
                Stage::Queued | Stage::Abandoned => claim.abandon(Reason::StoreUnavailable),
                Stage::Reporting => claim.send(ClaimResult::MayHaveRun(Reason::OutcomeNotWritten)),
                Stage::Running => {}
            }
        }
    }

    /// Answers all submissions that wait for a claim when the ownership is lost.
    pub(crate) fn fence(self) {
        for entry in self.entries.into_values() {
            let Phase::Live(claim) = entry.phase else { continue };
            match claim.stage {
                Stage::Queued | Stage::Abandoned => {
                    claim.send(ClaimResult::Abandoned(Reason::Fenced))
                }
                Stage::Running | Stage::Reporting => {
                    claim.send(ClaimResult::MayHaveRun(Reason::Fenced))
                }
            }
        }
    }
}

impl Claim {
    fn send(&self, result: ClaimResult) {
        self.result.send_replace(Some(result));
    }

    /// Excludes the claim from dispatch and answers the waiting submissions. Later submissions wait
    /// for its release.
    pub(crate) fn abandon(&mut self, reason: Reason) {
        self.stage = Stage::Abandoned;
        self.send(ClaimResult::Abandoned(reason));
        self.result = watch::Sender::new(None);
    }
}
