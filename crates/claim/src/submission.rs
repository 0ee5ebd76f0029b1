//! What is submitted to the owner of a partition, and what runs it.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use smol_str::SmolStr;

/// Number of a partition.
pub type Partition = u32;

/// Id that the caller gives to a non-idempotent request.
pub type RequestId = SmolStr;

/// Id of one attempt of a request, unique over all instances.
pub type AttemptId = u64;

/// Milliseconds since the Unix epoch.
pub type UnixMs = u64;

/// Longest request id, in bytes.
pub const REQUEST_ID_BYTES_MAX: usize = 256;

/// Expiry of a first attempt that states none, after the owner received it.
pub const EXPIRY_DEFAULT: Duration = Duration::from_secs(10 * 60);

/// Furthest expiry that is accepted, after the owner received the submission.
pub const EXPIRY_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns the partition of a request id.
///
/// The result depends on the two arguments alone and is the same in all versions. It is 0 if
/// there are no partitions.
///
/// ```
/// assert_eq!(jaycrank_claim::partition("order-1", 1), 0);
/// ```
pub fn partition(request_id: &str, partitions: u32) -> Partition {
    let hash = Sha256::digest(request_id.as_bytes());
    let number = hash.iter().take(8).fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte));
    u32::try_from(number % u64::from(partitions.max(1))).unwrap_or(0)
}

/// Hash of the service and body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64, u64);

impl Digest {
    /// Hashes a service name and a body.
    pub fn new(service: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(u64::try_from(service.len()).unwrap_or(u64::MAX).to_be_bytes());
        hash.update(service.as_bytes());
        hash.update(body);
        let hash = hash.finalize();
        let word = |from: usize| {
            hash.iter().skip(from).take(8).fold(0, |sum: u64, byte| sum << 8 | u64::from(*byte))
        };
        Self(word(0), word(8))
    }
}

/// One attempt of a non-idempotent request, as received by the owner of its partition.
#[derive(Clone, Debug)]
pub struct Submission {
    request_id: RequestId,
    attempt: u32,
    attempt_id: AttemptId,
    digest: Digest,
    expires_unix_ms: Option<UnixMs>,
    received_unix_ms: UnixMs,
    payload: Bytes,
}

impl Submission {
    /// Creates a first attempt without a stated expiry, received at `received_unix_ms` by the
    /// wall clock of the owner's instance.
    pub fn new(
        request_id: impl Into<RequestId>,
        attempt_id: AttemptId,
        digest: Digest,
        received_unix_ms: UnixMs,
        payload: Bytes,
    ) -> Self {
        Self {
            request_id: request_id.into(),
            attempt: 1,
            attempt_id,
            digest,
            expires_unix_ms: None,
            received_unix_ms,
            payload,
        }
    }

    /// Sets the attempt number, 1 for the first.
    pub fn with_attempt(mut self, attempt: u32) -> Self {
        self.attempt = attempt;
        self
    }

    /// Sets the stated expiry. All attempts of a request state the same one.
    pub fn with_expiry(mut self, expires_unix_ms: UnixMs) -> Self {
        self.expires_unix_ms = Some(expires_unix_ms);
        self
    }

    /// Id of the request.
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Attempt number, 1 for the first.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Id of the attempt.
    pub fn attempt_id(&self) -> AttemptId {
        self.attempt_id
    }

    /// Hash of service and body.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Stated expiry, if any.
    pub fn stated_expiry(&self) -> Option<UnixMs> {
        self.expires_unix_ms
    }

    /// Stated expiry, or the default one.
    pub fn expiry(&self) -> UnixMs {
        self.expires_unix_ms
            .unwrap_or_else(|| self.received_unix_ms.saturating_add(millis(EXPIRY_DEFAULT)))
    }

    /// Time at which the owner's instance received the submission.
    pub fn received_unix_ms(&self) -> UnixMs {
        self.received_unix_ms
    }

    /// What the runner needs to run the request.
    pub fn payload(&self) -> &Bytes {
        &self.payload
    }
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(duration: Duration) -> UnixMs {
    UnixMs::try_from(duration.as_millis()).unwrap_or(UnixMs::MAX)
}

/// What is known after a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and this is its answer.
    Done(Bytes),
    /// It is certain that the request did not run: no byte was sent, or the leaf refused it.
    NotSent(SmolStr),
    /// The request may have run.
    Unknown(SmolStr),
}

/// Border to what runs a request on one leaf.
#[async_trait]
pub trait Runner: Send + Sync {
    /// Runs the request once. It is called at most once for each claim.
    async fn run(&self, submission: &Submission) -> Outcome;
}
