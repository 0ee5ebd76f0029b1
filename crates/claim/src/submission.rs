//! Submissions to the owner of a partition, and the runner of claimed requests.

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

/// Id that the caller assigns to a non-idempotent request.
pub type RequestId = SmolStr;

/// Id of one attempt of a request, unique across all instances.
pub type AttemptId = u64;

/// Milliseconds since the Unix epoch.
pub type UnixMs = u64;

/// Longest request id, in bytes.
pub const REQUEST_ID_BYTES_MAX: usize = 256;

/// Time from the receipt of a first attempt to its expiry, if the attempt states none.
pub const EXPIRY_DEFAULT: Duration = Duration::from_secs(10 * 60);

/// Longest accepted time from the receipt of a submission to its expiry.
pub const EXPIRY_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Returns the partition of a request id.
///
/// The result depends only on the arguments and is the same in all versions. It is 0 if
/// `partitions` is 0.
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
    /// Creates a first attempt without a stated expiry. `received_unix_ms` is the time of its
    /// receipt by the wall clock of the owner's instance.
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

    /// Sets the stated expiry, which must be the same for all attempts of a request.
    pub fn with_expiry(mut self, expires_unix_ms: UnixMs) -> Self {
        self.expires_unix_ms = Some(expires_unix_ms);
        self
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Returns the attempt number, 1 for the first.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the id of the attempt.
    pub fn attempt_id(&self) -> AttemptId {
        self.attempt_id
    }

    /// Returns the hash of the service and body.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the stated expiry, if any.
    pub fn stated_expiry(&self) -> Option<UnixMs> {
        self.expires_unix_ms
    }

    /// Returns the stated expiry, or the default one.
    pub fn expiry(&self) -> UnixMs {
        self.expires_unix_ms
            .unwrap_or_else(|| self.received_unix_ms.saturating_add(millis(EXPIRY_DEFAULT)))
    }

    /// Returns the time at which the owner's instance received the submission.
    pub fn received_unix_ms(&self) -> UnixMs {
        self.received_unix_ms
    }

    /// Returns the data that the runner needs to run the request.
    pub fn payload(&self) -> &Bytes {
        &self.payload
    }
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(duration: Duration) -> UnixMs {
    UnixMs::try_from(duration.as_millis()).unwrap_or(UnixMs::MAX)
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and this is its answer.
    Done(Bytes),
    /// The request certainly did not run: nothing was sent, or the leaf refused it.
    NotSent(SmolStr),
    /// The request may have run.
    Unknown(SmolStr),
}

/// Runs a claimed request on a leaf.
#[async_trait]
pub trait Runner: Send + Sync {
    /// Runs the request. It is called at most once for each claim.
    async fn run(&self, submission: &Submission) -> Outcome;
}
