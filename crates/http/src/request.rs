//! Functions to read the bearer token and the body of a request.

use std::error;
use std::fmt;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use salvo::Request;
use salvo::http::header;

use crate::body;
use crate::server::Bounds;

/// Reason why a request is rejected before it is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The authorization header occurs more than once.
    DuplicateToken,
    /// The header `authorization: Bearer TOKEN` is missing or malformed.
    NoToken,
    /// The body exceeds this number of bytes.
    TooLarge(usize),
    /// The body did not arrive within this time.
    TooSlow(Duration),
    /// There is no memory for the body, or others needed it.
    NoMemory,
    /// The connection ended before the body was complete.
    Truncated,
}

impl Error {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::DuplicateToken | Self::Truncated => 400,
            Self::NoToken => 401,
            Self::TooSlow(_) => 408,
            Self::TooLarge(_) => 413,
            Self::NoMemory => 503,
        }
    }

    /// Returns the reason code.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::DuplicateToken => "duplicate-header",
            Self::NoToken => "no-token",
            Self::TooLarge(_) => "too-large",
            Self::TooSlow(_) => "too-slow",
            Self::NoMemory => "no-memory",
            Self::Truncated => "truncated",
        }
    }

    /// Returns whether the request is invalid; otherwise it may be retried unchanged.
    pub fn is_invalid(&self) -> bool {
        !matches!(self, Self::TooSlow(_) | Self::NoMemory)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateToken => f.write_str("the authorization header occurs more than once"),
            Self::NoToken => {
                f.write_str("the header `authorization: Bearer TOKEN` is missing or malformed")
            }
            Self::TooLarge(bytes) => write!(f, "the body exceeds {bytes} bytes"),
            Self::TooSlow(time) => {
                write!(f, "the body did not arrive within {} ms", time.as_millis())
            }
            Self::NoMemory => f.write_str("there is no memory for the body"),
            Self::Truncated => f.write_str("the connection ended before the body was complete"),
        }
    }
}

impl error::Error for Error {}

/// Returns the bearer token of a request.
///
/// # Errors
///
/// [`Error::DuplicateToken`] or [`Error::NoToken`].
pub fn bearer_token(request: &Request) -> Result<&str, Error> {
    let mut values = request.headers().get_all(header::AUTHORIZATION).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(Error::DuplicateToken);
    }
    let value = value.and_then(|value| value.to_str().ok());
    value.and_then(|value| value.strip_prefix("Bearer ")).ok_or(Error::NoToken)
}

/// Reads the body of a request within the bounds of its server.
///
/// # Errors
///
/// [`Error::TooLarge`], [`Error::NoMemory`], [`Error::TooSlow`] or [`Error::Truncated`].
pub async fn read_body(request: &mut Request, bounds: &Bounds) -> Result<Bytes, Error> {
    let declared = request.headers().get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|bytes| bytes > bounds.body_bytes) {
        return Err(Error::TooLarge(bounds.body_bytes));
    }
    let body = body::receive(request.take_body(), bounds.body_bytes, &bounds.memory);
    match tokio::time::timeout(bounds.receive_timeout, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Error::TooLarge)) => Err(Error::TooLarge(bounds.body_bytes)),
        Ok(Err(body::Error::Exhausted)) => Err(Error::NoMemory),
        // The server enforces the same timeout and may report it first.
        Ok(Err(body::Error::Incomplete(error))) if is_timeout(&error) => {
            Err(Error::TooSlow(bounds.receive_timeout))
        }
        Ok(Err(body::Error::Incomplete(_))) => Err(Error::Truncated),
        Err(_) => Err(Error::TooSlow(bounds.receive_timeout)),
    }
}

fn is_timeout(error: &(dyn error::Error + 'static)) -> bool {
    let mut source = Some(error);
    while let Some(error) = source {
        let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::TimedOut) {
            return true;
        }
        source = error.source();
    }
    false
}
