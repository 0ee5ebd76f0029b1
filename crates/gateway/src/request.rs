//! Reads the request of a caller.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use jaycrank_http::body;
use jaycrank_policy::memory::Memory;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::attempt::Outgoing;
use crate::attempt::deadline_ms;
use crate::config::Limits;
use crate::header::Names;
use crate::header::strip_hop_by_hop;
use crate::header::text;
use crate::server::Origin;

/// Request of a caller, read completely.
#[derive(Debug)]
pub struct Received {
    /// Host that it is addressed to.
    pub host: SmolStr,
    /// Request to forward.
    pub outgoing: Outgoing,
    /// Time that the caller waits for the answer, if the request states it.
    pub timeout: Option<Duration>,
}

/// Reason for which a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body exceeds the limit.
    TooLarge,
    /// There is no memory for the body, or others needed it.
    Exhausted,
    /// The connection is closed for others.
    Closed,
    /// The connection ended before the whole body arrived.
    BrokenOff,
    /// The body did not arrive in time.
    TooSlow,
}

impl<E> From<body::Error<E>> for Error {
    fn from(error: body::Error<E>) -> Self {
        match error {
            body::Error::TooLarge => Self::TooLarge,
            body::Error::Exhausted => Self::Exhausted,
            body::Error::Incomplete(_) => Self::BrokenOff,
        }
    }
}

/// Reads the whole body and removes the headers that are not forwarded.
///
/// # Errors
///
/// Returns [`Error`] if the body is too large, can't be held in `memory`, ends early, takes longer than
/// the idle timeout, or if its connection is closed for others.
pub async fn receive(
    request: Request<Incoming>,
    origin: &Origin,
    names: &Names,
    limits: &Limits,
    memory: &Arc<Memory>,
) -> Result<Received, Error> {
    let (head, body) = request.into_parts();
    let host = text(&head.headers, &header::HOST).or_else(|| head.uri.host()).unwrap_or_default();
    let host = SmolStr::new(host);
    let body = body::receive(body, limits.body_bytes, memory);
    let body = tokio::select! {
        biased;
        body = timeout(limits.idle_time, body) => body.map_err(|_| Error::TooSlow)??,
        () = origin.client.closing() => return Err(Error::Closed),
    };
    origin.client.record_request(Instant::now().into_std());
    let timeout = deadline_ms(&head.headers, names).map(Duration::from_millis);
    let id = SmolStr::new(text(&head.headers, &names.request_id).unwrap_or_default());
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(&names.deadline_ms);
    headers.remove(&names.expected_leaf);
    let outgoing =
        Outgoing { method: head.method, uri: head.uri, headers, body, id, caller: origin.peer };
    Ok(Received { host, outgoing, timeout })
}
