//! Verdicts on submissions, and their reasons.

use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use strum::IntoStaticStr;

/// Owner's response to a submission.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The request ran; its answer is recorded unless it was too large.
    Done {
        /// Answer of the run.
        answer: Bytes,
    },
    /// The request is running at this owner; its outcome is not recorded yet.
    Running,
    /// The submission did not run and never will. For an attempt above 1, this also holds for all
    /// earlier attempts.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// Time after which the next attempt may succeed.
        retry_after: Duration,
    },
    /// It is not known whether the request ran.
    MayHaveRun {
        /// Why it is not known.
        reason: Reason,
    },
    /// The submission itself is invalid.
    Invalid {
        /// Why it is invalid.
        reason: InvalidSubmission,
    },
}

/// Why a request was not run, or why it is not known whether it ran.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// This instance does not own the partition and did not act on the submission, which may be
    /// sent to another instance.
    NotOwner,
    /// The partition is being handed over. As with [`NotOwner`](Self::NotOwner), the submission may
    /// be sent to another instance.
    HandOver,
    /// Another instance took over the partition in the meantime.
    Fenced,
    /// The object store can't be reached or does not answer.
    StoreUnavailable,
    /// Too many records wait to be written.
    Overloaded,
    /// The deadline passed before the claim was confirmed.
    Deadline,
    /// This or a later attempt was released without a run; retry with a higher attempt number.
    Superseded,
    /// The runner reported that the request did not run.
    NotSent(SmolStr),
    /// The request was claimed in an earlier epoch and has no recorded outcome.
    EarlierEpoch,
    /// The request ran or may have run, and its outcome can't be written.
    OutcomeNotWritten,
    /// The runner does not know whether the request ran.
    Unknown(SmolStr),
    /// The request ran, but its answer was too large to be recorded.
    AnswerNotKept,
    /// A retry states no expiry and no claim is recorded. An earlier claim may have existed and
    /// expired.
    ExpiryNotStated,
    /// The owner was stopped.
    Stopped,
}

/// Reason why a submission is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum InvalidSubmission {
    /// The request id is empty or longer than
    /// [`REQUEST_ID_BYTES_MAX`](crate::submission::REQUEST_ID_BYTES_MAX).
    RequestId,
    /// The attempt number is 0.
    Attempt,
    /// The request id was used with another service or body.
    OtherBody,
    /// The request id was used with another expiry.
    OtherExpiry,
    /// The expiry has passed or is at or below the watermark.
    Expired,
    /// The expiry is further ahead than [`EXPIRY_MAX`](crate::submission::EXPIRY_MAX).
    ExpiryTooFar,
}
