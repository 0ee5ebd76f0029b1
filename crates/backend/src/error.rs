//! Errors of calls to a leaf.

use std::fmt;

use smol_str::SmolStr;
use strum::IntoStaticStr;

/// Result of a call to a leaf.
pub type Result<T> = std::result::Result<T, Error>;

/// What is known about the effect of a failed call.
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
    /// No connection could be opened, or none was free; no byte was sent.
    Connect(SmolStr),
    /// The connection broke after the request was sent.
    Broken(SmolStr),
    /// The connection went silent and was closed.
    Silent,
    /// The reply carries another sub-request id or index version.
    Mismatched,
    /// The reply could not be read.
    Malformed(SmolStr),
    /// The deadline passed while the reply was awaited.
    Deadline,
    /// The leaf refused the request before running it; holds the HTTP status.
    Refused(u16),
    /// The leaf failed the request; holds the HTTP status.
    Failed(u16),
}

impl Error {
    /// Returns whether the leaf may have run the request.
    pub fn category(&self) -> Category {
        match self {
            Self::Connect(_) | Self::Refused(_) => Category::NotRun,
            _ => Category::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "connection failed: {cause}"),
            Self::Broken(cause) => write!(f, "connection broke: {cause}"),
            Self::Silent => f.write_str("connection went silent"),
            Self::Mismatched => f.write_str("reply belongs to another request"),
            Self::Malformed(cause) => write!(f, "malformed reply: {cause}"),
            Self::Deadline => f.write_str("deadline passed"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Failed(status) => write!(f, "failed with status {status}"),
        }
    }
}

impl std::error::Error for Error {}
