//! Errors of calls to a leaf.

use std::fmt;

use smol_str::SmolStr;
use strum::IntoStaticStr;

/// Result of a call to a leaf.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a failed call may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Category {
    /// The leaf did not run the request.
    NotRun,
    /// The leaf may have run the request.
    MayHaveRun,
}

/// Failure of a call to a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection, slot or leaf was available; no byte was sent.
    NotSent(SmolStr),
    /// The connection broke after the request was sent.
    Broken(SmolStr),
    /// The connection went silent and was closed: no reply came, and on another connection the leaf
    /// reported that it does not have the request, or did not state whether it has
    /// it within the timeout of the health check.
    Silent,
    /// The reply has another sub-request id or index version than the request.
    Mismatched,
    /// The reply could not be read.
    Malformed(SmolStr),
    /// The deadline passed before the reply arrived.
    Deadline,
    /// The leaf refused the request without running it; contains the HTTP status.
    Refused(u16),
    /// The leaf failed while running the request; contains the HTTP status.
    Failed(u16),
}

impl Error {
    /// Returns whether the leaf may have run the request.
    pub fn category(&self) -> Category {
        match self {
            Self::NotSent(_) | Self::Refused(_) => Category::NotRun,
            _ => Category::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Broken(cause) => write!(f, "connection broke: {cause}"),
            Self::Silent => f.write_str("connection went silent"),
            Self::Mismatched => f.write_str("reply has another request id or index version"),
            Self::Malformed(cause) => write!(f, "malformed reply: {cause}"),
            Self::Deadline => f.write_str("deadline passed before the reply arrived"),
            Self::Refused(status) => write!(f, "leaf refused the request with status {status}"),
            Self::Failed(status) => write!(f, "leaf failed the request with status {status}"),
        }
    }
}

impl std::error::Error for Error {}
