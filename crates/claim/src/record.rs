//! Records of a segment and their encoding.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::DecodeError;
use crate::submission::AttemptId;
use crate::submission::Digest;
use crate::submission::RequestId;
use crate::submission::UnixMs;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// State change of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The owner may dispatch the request once.
    Claim {
        /// Id of the request.
        request_id: RequestId,
        /// Number of the attempt that is claimed.
        attempt: u32,
        /// Id of the attempt that is claimed.
        attempt_id: AttemptId,
        /// Hash of the service and body.
        digest: Digest,
        /// Expiry of the request.
        expiry: UnixMs,
    },
    /// The request ran.
    Done {
        /// Id of the request.
        request_id: RequestId,
        /// Answer of the run.
        answer: Bytes,
    },
    /// No attempt up to this number ran, and none of them ever will.
    Released {
        /// Id of the request.
        request_id: RequestId,
        /// Number of the last released attempt.
        attempt: u32,
    },
    /// The request may have run, or it ran and its answer was too large to be recorded.
    Unknown {
        /// Id of the request.
        request_id: RequestId,
        /// Whether the request is known to have run, so that only its answer is missing.
        ran: bool,
        /// Reason that the runner reported.
        reason: SmolStr,
    },
}

impl Record {
    /// Appends the record to `buffer` as one frame.
    pub fn encode(&self, buffer: &mut Vec<u8>) {
        encode_frame(self, buffer);
    }

    /// Decodes the first record of `data` and removes it from `data`.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the data does not start with a record.
    pub fn decode(data: &mut &[u8]) -> Result<Self, DecodeError> {
        decode_frame(data)
    }
}

/// Appends a value to `buffer` as a length prefix and its MessagePack encoding.
pub(crate) fn encode_frame<T: Serialize>(value: &T, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    // Writing to a vector can't fail, and no encoded type has a fallible `Serialize`.
    let _ = rmp_serde::encode::write(buffer, value);
    let length = u32::try_from(buffer.len() - start - LENGTH_BYTES).unwrap_or(u32::MAX);
    if let Some(prefix) = buffer.get_mut(start..start + LENGTH_BYTES) {
        prefix.copy_from_slice(&length.to_be_bytes());
    }
}

/// Decodes the first frame of `data` and removes it from `data`.
pub(crate) fn decode_frame<T: DeserializeOwned>(data: &mut &[u8]) -> Result<T, DecodeError> {
    let (length, rest) = data.split_first_chunk::<LENGTH_BYTES>().ok_or(DecodeError::Truncated)?;
    let length =
        usize::try_from(u32::from_be_bytes(*length)).map_err(|_| DecodeError::Truncated)?;
    let (frame, rest) = rest.split_at_checked(length).ok_or(DecodeError::Truncated)?;
    let value = rmp_serde::from_slice(frame)
        .map_err(|cause| DecodeError::Malformed(format_smolstr!("{cause}")))?;
    *data = rest;
    Ok(value)
}
