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

/// Bytes of the length that precedes each frame.
const LENGTH_BYTES: usize = 4;

/// One step in the life of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The owner may dispatch the request once.
    Claim {
        /// Id of the request.
        request_id: RequestId,
        /// Number of the attempt that claims.
        attempt: u32,
        /// Id of the attempt that claims.
        attempt_id: AttemptId,
        /// Hash of service and body.
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
        /// Number of the last attempt that is released.
        attempt: u32,
    },
    /// The request may have run, or ran and its answer was too large.
    Unknown {
        /// Id of the request.
        request_id: RequestId,
        /// Whether the request ran and only its answer is missing.
        ran: bool,
        /// Reason given by the runner.
        reason: SmolStr,
    },
}

impl Record {
    /// Appends the record as one frame.
    pub fn encode(&self, buffer: &mut Vec<u8>) {
        frame(self, buffer);
    }

    /// Decodes the first record of `data` and removes it from `data`.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the data does not start with a record.
    pub fn decode(data: &mut &[u8]) -> Result<Self, DecodeError> {
        unframe(data)
    }
}

/// Appends a value as a length and its MessagePack form.
pub(crate) fn frame<T: Serialize>(value: &T, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    // Writing to a vector can't fail, and none of the encoded types has a fallible `Serialize`.
    let _ = rmp_serde::encode::write(buffer, value);
    let length = u32::try_from(buffer.len() - start - LENGTH_BYTES).unwrap_or(u32::MAX);
    if let Some(place) = buffer.get_mut(start..start + LENGTH_BYTES) {
        place.copy_from_slice(&length.to_be_bytes());
    }
}

/// Decodes the first frame of `data` and removes it from `data`.
pub(crate) fn unframe<T: DeserializeOwned>(data: &mut &[u8]) -> Result<T, DecodeError> {
    let (length, rest) = data.split_first_chunk::<LENGTH_BYTES>().ok_or(DecodeError::Truncated)?;
    let length =
        usize::try_from(u32::from_be_bytes(*length)).map_err(|_| DecodeError::Truncated)?;
    let (frame, rest) = rest.split_at_checked(length).ok_or(DecodeError::Truncated)?;
    let value = rmp_serde::from_slice(frame)
        .map_err(|cause| DecodeError::Malformed(format_smolstr!("{cause}")))?;
    *data = rest;
    Ok(value)
}
