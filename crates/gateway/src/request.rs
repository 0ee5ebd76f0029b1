//! Reads a caller's request.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::attempt::Outgoing;
use crate::attempt::deadline_ms;
use crate::config::Limits;
use crate::header::Names;
use crate::header::strip;
use crate::header::text;

/// A request as received.
#[derive(Debug)]
pub struct Received {
    /// Host that it is addressed to.
    pub host: SmolStr,
    /// What is forwarded.
    pub outgoing: Outgoing,
    /// Time that the caller waits, if it says so.
    pub wait: Option<Duration>,
}

/// Why a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body exceeds the limit.
    TooLarge,
    /// The body ended early.
    BrokenOff,
    /// The body did not arrive in time.
    TooSlow,
}

/// Reads head and whole body.
///
/// # Errors
///
/// [`Error`] if the body is too large, ends early or takes longer than the idle time.
pub async fn receive(
    request: Request<Incoming>,
    names: &Names,
    limits: &Limits,
) -> Result<Received, Error> {
    let (head, body) = request.into_parts();
    let host = text(&head.headers, &header::HOST).or_else(|| head.uri.host()).unwrap_or_default();
    let host = SmolStr::new(host);
    let body =
        match timeout(limits.idle_time, Limited::new(body, limits.body_bytes).collect()).await {
            Err(_) => return Err(Error::TooSlow),
            Ok(body) => body,
        };
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Err(Error::TooLarge),
        Err(_) => return Err(Error::BrokenOff),
    };
    let wait = deadline_ms(&head.headers, names).map(Duration::from_millis);
    let id = SmolStr::new(text(&head.headers, &names.request_id).unwrap_or_default());
    let mut headers = head.headers;
    strip(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(&names.deadline_ms);
    headers.remove(&names.expected_leaf);
    let outgoing = Outgoing { method: head.method, uri: head.uri, headers, body, id };
    Ok(Received { host, outgoing, wait })
}
