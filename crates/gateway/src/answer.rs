//! Responses to callers: the answer of one leaf, a merged answer, or an error of the gateway.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use crate::attempt::Answer;
use crate::header::Names;

/// Response to a caller.
pub type Reply = Response<Full<Bytes>>;

/// Reason for which the gateway responds with an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The gateway has not loaded its routes yet.
    NotStarted,
    /// No route matches the host and path.
    NoRoute,
    /// The body exceeds the limit.
    TooLarge,
    /// The connection ended before the whole body arrived.
    BrokenOff,
    /// The body did not arrive in time.
    TooSlow,
    /// The instance sheds load.
    Overloaded,
    /// The instance has no memory for the request.
    NoMemory,
    /// The connection of an unfinished request is closed for others.
    TooManyConnections,
    /// No leaf ran the request.
    NotRun,
    /// The request crashes the leafs that run it, or is being tested for that.
    Quarantined,
    /// A leaf may have run the request, but its answer was lost.
    Lost,
    /// A leaf may have run the request, but did not answer before the deadline.
    TimedOut,
}

impl Refusal {
    /// Returns the status, by which the caller knows whether it may retry: 503 states that the
    /// request was not run, 502 and 504 that it may have run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotStarted
            | Self::Overloaded
            | Self::NoMemory
            | Self::TooManyConnections
            | Self::NotRun
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BrokenOff => StatusCode::BAD_REQUEST,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response. `retry_after` is the delay after which the caller may retry.
    pub fn reply(self, retry_after: Option<Duration>) -> Reply {
        let text: &'static str = self.into();
        let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
        *reply.status_mut() = self.status();
        if let Some(delay) = retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        reply
    }
}

/// Builds the response that passes on a leaf's answer unchanged.
pub fn forwarded(answer: Answer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    reply
}

/// Builds the response of a gathered request. `signatures` are those of the merged parts, `missing`
/// is the number of shards without a part, `id` the id of the request.
pub fn merged(
    body: Vec<u8>,
    signatures: &[HeaderValue],
    missing: usize,
    id: &SmolStr,
    names: &Names,
) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    let headers = reply.headers_mut();
    let list = signatures.iter().filter_map(|value| value.to_str().ok()).collect::<Vec<_>>();
    if let Ok(value) = HeaderValue::from_str(&list.join(", ")) {
        headers.insert(names.part_signatures.clone(), value);
    }
    headers.insert(names.missing_parts.clone(), missing.into());
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(names.request_id.clone(), value);
    }
    reply
}
