//! In-memory state of one ownership: the index, the queue and the open segment.

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

/// Largest answer that is recorded, in bytes. A larger one is told once and not kept, because it
/// would fill a segment.
pub(crate) const ANSWER_BYTES_MAX: usize = 128 * 1000;

/// Longest reason of a runner that is recorded, in bytes.
const REASON_BYTES_MAX: usize = 256;

/// Number of a claim, unique in an owner.
pub(crate) type ClaimId = u64;

/// Result of a claim for those who wait for it.
#[derive(Clone, Debug)]
pub(crate) enum Signal {
    /// The answer is recorded.
    Done(Bytes),
    /// The release of attempts up to this one is recorded.
    Released(u32, Reason),
    /// This owner did not dispatch the claim and never will, which is not recorded.
    Abandoned(Reason),
    /// The request may have run.
    MayHaveRun(Reason),
}

/// Stage of a claim in this epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim is not confirmed yet.
    Queued,
    /// The claim is or may be written; it is not dispatched and waits for its release.
    Abandoned,
    /// The claim is confirmed and the request was dispatched.
    Running,
    /// The run ended and its outcome is not confirmed yet.
    Reporting,
}

/// A claim of this epoch without confirmed outcome.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) claim: ClaimId,
    pub(crate) stage: Stage,
    /// Last attempt that was released before this claim, or 0.
    released: u32,
    signal: watch::Sender<Option<Signal>>,
}

/// What is known about a request.
#[derive(Debug)]
pub(crate) enum Phase {
    Live(Live),
    Done(Bytes),
    Released,
    Unknown(Reason),
}

/// Entry of the index.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) attempt: u32,
    pub(crate) digest: Digest,
    pub(crate) expiry: UnixMs,
    pub(crate) phase: Phase,
}

/// What follows when the write of a queued record is confirmed.
#[derive(Clone)]
pub(crate) enum Effect {
    /// Dispatches the claim.
    Dispatch(Arc<Submission>, Arc<dyn Runner>),
    /// Ends the claim.
    Finish(Signal),
}

/// A record that waits for its write.
#[derive(Clone)]
pub(crate) struct Queued {
    pub(crate) request_id: RequestId,
    pub(crate) claim: ClaimId,
    pub(crate) expiry: UnixMs,
    pub(crate) record: Vec<u8>,
    pub(crate) effect: Effect,
}

/// Result of the admission of a submission.
pub(crate) enum Admit {
    /// The verdict is known.
    Tell(Verdict),
    /// The submission waits for a claim; the flag says that it is its own.
    Wait(watch::Receiver<Option<Signal>>, bool),
}

/// State of one ownership.
pub(crate) struct Tenure {
    pub(crate) epoch: Epoch,
    pub(crate) head: Head,
    pub(crate) head_version: Version,
    /// Head write that may have been applied.
    pub(crate) head_doubt: Option<Head>,
    pub(crate) open: Segment,
    pub(crate) open_version: Version,
    /// Segment that follows the open one, once it is created.
    pub(crate) next: Option<(Segment, Version)>,
    /// Latest expiry of a claim in the open segment.
    pub(crate) open_expiry: UnixMs,
    /// Latest expiry of a claim in each sealed segment.
    pub(crate) sealed: BTreeMap<Number, UnixMs>,
    /// Watermark that is enforced; it is raised before the one in the head.
    pub(crate) watermark: UnixMs,
    pub(crate) entries: BTreeMap<RequestId, Entry>,
    pub(crate) queue: VecDeque<Queued>,
    pub(crate) live: usize,
    /// The last write failed and no probe has succeeded since.
    pub(crate) outage: bool,
    /// The write in flight takes longer than the stall timeout.
    pub(crate) stalled: bool,
    pub(crate) releasing: bool,
}

/// Returns the refusal of an attempt that was not claimed.
///
/// Earlier attempts may have run under an owner that this one does not know of, so only a first
/// attempt is told that it was not run.
pub(crate) fn refuse(attempt: u32, reason: Reason, retry_after: Duration) -> Verdict {
    if attempt == 1 {
        Verdict::NotRun { reason, retry_after }
    } else {
        Verdict::MayHaveRun { reason }
    }
}

impl Tenure {
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
            head_doubt: None,
            open,
            open_version,
            next: None,
            open_expiry: 0,
            sealed,
            entries,
            queue: VecDeque::new(),
            live: 0,
            outage: false,
            stalled: false,
            releasing: false,
        }
    }

    /// Returns whether no claim and no record waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.live == 0 && self.queue.is_empty()
    }

    /// Decides on a submission. The watermark and the index are checked together, so that an
    /// entry can't expire in between.
    pub(crate) fn admit(
        &mut self,
        submission: &Arc<Submission>,
        runner: &Arc<dyn Runner>,
        commit: &GroupCommit,
        claim: ClaimId,
    ) -> Admit {
        let attempt = submission.attempt();
        if submission.expiry() <= self.watermark {
            return Admit::Tell(Verdict::Invalid { reason: InvalidSubmission::Expired });
        }
        let down = self.outage || self.stalled;
        let unavailable = || refuse(attempt, Reason::StoreUnavailable, commit.probe_interval);
        let mut released = 0;
        let mut expiry = submission.expiry();
        if let Some(entry) = self.entries.get(submission.request_id()) {
            if entry.digest != submission.digest() {
                return Admit::Tell(Verdict::Invalid { reason: InvalidSubmission::OtherBody });
            }
            if submission.stated_expiry().is_some_and(|expiry| expiry != entry.expiry) {
                return Admit::Tell(Verdict::Invalid { reason: InvalidSubmission::OtherExpiry });
            }
            match &entry.phase {
                Phase::Done(answer) => {
                    return Admit::Tell(Verdict::Done { answer: answer.clone() });
                }
                Phase::Unknown(reason) => {
                    return Admit::Tell(Verdict::MayHaveRun { reason: reason.clone() });
                }
                Phase::Released if attempt <= entry.attempt => {
                    let retry_after = commit.write_interval;
                    let reason = Reason::Superseded;
                    return Admit::Tell(Verdict::NotRun { reason, retry_after });
                }
                Phase::Released => (released, expiry) = (entry.attempt, entry.expiry),
                Phase::Live(live) => {
                    return match live.stage {
                        Stage::Queued | Stage::Abandoned if down => Admit::Tell(unavailable()),
                        Stage::Reporting if down => {
                            Admit::Tell(Verdict::MayHaveRun { reason: Reason::OutcomeNotWritten })
                        }
                        _ => Admit::Wait(live.signal.subscribe(), false),
                    };
                }
            }
        } else if attempt > 1 && submission.stated_expiry().is_none() {
            return Admit::Tell(Verdict::MayHaveRun { reason: Reason::ExpiryNotStated });
        }
        if self.releasing {
            return Admit::Tell(refuse(attempt, Reason::HandOver, Duration::ZERO));
        }
        if down {
            return Admit::Tell(unavailable());
        }
        if self.queue.len() >= commit.queue_max() {
            return Admit::Tell(refuse(attempt, Reason::Overloaded, commit.write_interval * 2));
        }
        Admit::Wait(self.claim(submission, runner, claim, released, expiry), true)
    }

    fn claim(
        &mut self,
        submission: &Arc<Submission>,
        runner: &Arc<dyn Runner>,
        claim: ClaimId,
        released: u32,
        expiry: UnixMs,
    ) -> watch::Receiver<Option<Signal>> {
        let request_id = submission.request_id().clone();
        let (signal, receiver) = watch::channel(None);
        let (attempt, digest) = (submission.attempt(), submission.digest());
        let phase = Phase::Live(Live { claim, stage: Stage::Queued, released, signal });
        self.entries.insert(request_id.clone(), Entry { attempt, digest, expiry, phase });
        self.live += 1;
        let attempt_id = submission.attempt_id();
        let record =
            Record::Claim { request_id: request_id.clone(), attempt, attempt_id, digest, expiry };
        let effect = Effect::Dispatch(submission.clone(), runner.clone());
        self.enqueue(request_id, claim, expiry, &record, effect);
        receiver
    }

    fn enqueue(
        &mut self,
        request_id: RequestId,
        claim: ClaimId,
        expiry: UnixMs,
        record: &Record,
        effect: Effect,
    ) {
        let mut encoded = Vec::new();
        record.encode(&mut encoded);
        self.queue.push_back(Queued { request_id, claim, expiry, record: encoded, effect });
    }

    /// Returns the claim of a request if it is still the given one.
    pub(crate) fn live(&mut self, request_id: &str, claim: ClaimId) -> Option<&mut Live> {
        match &mut self.entries.get_mut(request_id)?.phase {
            Phase::Live(live) if live.claim == claim => Some(live),
            _ => None,
        }
    }

    /// Returns whether a request was dispatched in this epoch and has no confirmed outcome.
    pub(crate) fn is_running(&self, request_id: &str) -> bool {
        self.entries.get(request_id).is_some_and(|entry| match &entry.phase {
            Phase::Live(live) => matches!(live.stage, Stage::Running | Stage::Reporting),
            _ => false,
        })
    }

    /// Queues the outcome of a run. In an outage those who wait are told at once that it can't be
    /// written; the record is kept for later.
    pub(crate) fn report(&mut self, request_id: &RequestId, claim: ClaimId, outcome: Outcome) {
        let down = self.outage;
        let Some(live) = self.live(request_id, claim) else { return };
        live.stage = Stage::Reporting;
        if down {
            live.send(Signal::MayHaveRun(Reason::OutcomeNotWritten));
        }
        let id = request_id.clone();
        let (record, signal) = match outcome {
            Outcome::Done(answer) if answer.len() <= ANSWER_BYTES_MAX => {
                (Record::Done { request_id: id, answer: answer.clone() }, Signal::Done(answer))
            }
            Outcome::Done(answer) => {
                let reason = SmolStr::new_static("answer too large");
                (Record::Unknown { request_id: id, ran: true, reason }, Signal::Done(answer))
            }
            Outcome::NotSent(reason) => {
                self.release(request_id, claim, Reason::NotSent(reason));
                return;
            }
            Outcome::Unknown(reason) => {
                let end = reason.floor_char_boundary(REASON_BYTES_MAX);
                let reason = SmolStr::new(reason.get(..end).unwrap_or_default());
                let signal = Signal::MayHaveRun(Reason::Unknown(reason.clone()));
                (Record::Unknown { request_id: id, ran: false, reason }, signal)
            }
        };
        self.enqueue(request_id.clone(), claim, 0, &record, Effect::Finish(signal));
    }

    /// Queues the release of a claim that was not run.
    pub(crate) fn release(&mut self, request_id: &RequestId, claim: ClaimId, reason: Reason) {
        let Some(entry) = self.entries.get(request_id) else { return };
        let attempt = entry.attempt;
        let record = Record::Released { request_id: request_id.clone(), attempt };
        let effect = Effect::Finish(Signal::Released(attempt, reason));
        self.enqueue(request_id.clone(), claim, 0, &record, effect);
    }

    /// Ends a claim whose outcome or release is confirmed.
    pub(crate) fn finish(&mut self, request_id: &RequestId, claim: ClaimId, signal: Signal) {
        let Some(live) = self.live(request_id, claim) else { return };
        live.send(signal.clone());
        let phase = match signal {
            Signal::Done(answer) if answer.len() <= ANSWER_BYTES_MAX => Phase::Done(answer),
            Signal::Done(_) => Phase::Unknown(Reason::AnswerNotKept),
            Signal::Released(..) => Phase::Released,
            Signal::Abandoned(reason) | Signal::MayHaveRun(reason) => Phase::Unknown(reason),
        };
        self.live -= 1;
        if let Some(entry) = self.entries.get_mut(request_id) {
            entry.phase = phase;
        }
    }

    /// Drops a claim that is certainly not written, and restores an earlier release.
    pub(crate) fn drop_claim(&mut self, request_id: &RequestId, claim: ClaimId, reason: Reason) {
        let Some(live) = self.live(request_id, claim) else { return };
        live.send(Signal::Abandoned(reason));
        let released = live.released;
        self.live -= 1;
        if released == 0 {
            self.entries.remove(request_id);
        } else if let Some(entry) = self.entries.get_mut(request_id) {
            entry.attempt = released;
            entry.phase = Phase::Released;
        }
    }

    /// Drops all queued claims.
    pub(crate) fn drop_queued(&mut self, reason: &Reason) {
        let (claims, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|queued| matches!(queued.effect, Effect::Dispatch(..)));
        self.queue = rest;
        let claims: VecDeque<Queued> = claims;
        for queued in claims {
            self.drop_claim(&queued.request_id, queued.claim, reason.clone());
        }
    }

    /// Notes that the store is down: nothing new is claimed, and nobody waits for a write.
    pub(crate) fn suspend(&mut self) {
        self.outage = true;
        self.drop_queued(&Reason::StoreUnavailable);
        if self.live == 0 {
            return;
        }
        for entry in self.entries.values_mut() {
            let Phase::Live(live) = &mut entry.phase else { continue };
            match live.stage {
                Stage::Queued | Stage::Abandoned => live.abandon(Reason::StoreUnavailable),
                Stage::Reporting => live.send(Signal::MayHaveRun(Reason::OutcomeNotWritten)),
                Stage::Running => {}
            }
        }
    }

    /// Tells all who wait that the ownership is lost.
    pub(crate) fn fence(self) {
        for entry in self.entries.into_values() {
            let Phase::Live(live) = entry.phase else { continue };
            match live.stage {
                Stage::Queued | Stage::Abandoned => live.send(Signal::Abandoned(Reason::Fenced)),
                Stage::Running | Stage::Reporting => live.send(Signal::MayHaveRun(Reason::Fenced)),
            }
        }
    }
}

impl Live {
    fn send(&self, signal: Signal) {
        self.signal.send_replace(Some(signal));
    }

    /// Excludes the claim from dispatch. Later submissions wait for its release.
    pub(crate) fn abandon(&mut self, reason: Reason) {
        self.stage = Stage::Abandoned;
        self.send(Signal::Abandoned(reason));
        self.signal = watch::Sender::new(None);
    }
}
