//! Receives bodies into bounded memory.

use std::error;
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use jaycrank_policy::memory::Buffer;
use jaycrank_policy::memory::Exhausted;
use jaycrank_policy::memory::Memory;

/// Reason why a body is not received.
#[derive(Debug)]
pub enum Error<E> {
    /// The body exceeds its bound.
    TooLarge,
    /// There is no memory for the body, or others needed it.
    Exhausted,
    /// The connection broke within the body.
    Incomplete(E),
}

impl<E: fmt::Display> fmt::Display for Error<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("body too large"),
            Self::Exhausted => f.write_str("no memory for the body"),
            Self::Incomplete(cause) => write!(f, "body incomplete: {cause}"),
        }
    }
}

impl<E: fmt::Debug + fmt::Display> error::Error for Error<E> {}

impl<E> From<Exhausted> for Error<E> {
    fn from(_: Exhausted) -> Self {
        Self::Exhausted
    }
}

/// Receives a whole body of at most `bytes_max`. It counts in `memory` until it is dropped, and may
/// lose its memory to others until it is complete. The bytes are copied: each piece would otherwise
/// keep the buffer that it was read into.
///
/// # Errors
///
/// [`Error`] if the body is too large, can't be held or ends early.
pub async fn receive<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    bytes_max: usize,
    memory: &Arc<Memory>,
) -> Result<Bytes, Error<B::Error>> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let bytes_max = checked_size(&body, bytes_max).ok_or(Error::TooLarge)?;
    let upload = memory.upload(bytes_max, now());
    let mut received = 0;
    loop {
        let frame = tokio::select! {
            biased;
            () = upload.revoked() => return Err(Error::Exhausted),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { return Ok(Bytes::from_owner(upload.finish()?)) };
        let Ok(data) = frame.map_err(Error::Incomplete)?.into_data() else { continue };
        received += data.len();
        if received > bytes_max {
            return Err(Error::TooLarge);
        }
        upload.append(&data, now())?;
    }
}

/// Reads a whole body of at most `bytes_max` that keeps its memory, as an answer does. It counts in
/// `memory` until it is dropped.
///
/// # Errors
///
/// [`Error`] if the body is too large, can't be held or ends early.
pub async fn read<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    bytes_max: usize,
    memory: &Arc<Memory>,
) -> Result<Bytes, Error<B::Error>> {
    let bytes_max = checked_size(&body, bytes_max).ok_or(Error::TooLarge)?;
    let mut buffer = Buffer::new(memory, bytes_max);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Error::Incomplete)?.into_data() else { continue };
        if buffer.len() + data.len() > bytes_max {
            return Err(Error::TooLarge);
        }
        buffer.append(&data, now())?;
    }
    Ok(if buffer.is_empty() { Bytes::new() } else { Bytes::from_owner(buffer) })
}

/// Returns the most bytes that a body has, or `None` if they are more than `bytes_max`.
fn checked_size<B: Body>(body: &B, bytes_max: usize) -> Option<usize> {
    let Some(size) = body.size_hint().exact() else { return Some(bytes_max) };
    usize::try_from(size).ok().filter(|size| *size <= bytes_max)
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
