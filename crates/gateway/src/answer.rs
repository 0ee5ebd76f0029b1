//! What a caller gets: a leaf's answer, a merged one, or an error of the gateway's own.

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

/// Why the gateway has no answer of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The gateway does not know its routes yet.
    NotStarted,
    /// No route matches.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// The body ended early.
    BrokenOff,
    /// The body did not arrive in time.
    TooSlow,
    /// The instance has more work than it can do in time.
    Overloaded,
    /// No leaf ran the request.
    NotRun,
    /// A leaf may have run the request, and its answer is lost.
    Lost,
    /// A leaf may have run the request, and there was no answer in time.
    TimedOut,
}

impl Refusal {
    /// Status that tells the caller what is known: 503 that the request was not run, 502 and 504
    /// that it may have run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotStarted | Self::Overloaded | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BrokenOff => StatusCode::BAD_REQUEST,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response; `retry_after` is when the caller may come back.
    pub fn reply(self, retry_after: Option<Duration>) -> Reply {
        let text: &'static str = self.into();
        let mut reply = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
        *reply.status_mut() = self.status();
        if let Some(time) = retry_after {
            let seconds = format!("{:.3}", time.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        reply
    }
}

/// Passes a leaf's answer on unchanged.
pub fn pass(answer: Answer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    reply
}

/// Builds a merged answer; `signatures` are those of the parts, `missing` counts the others.
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
