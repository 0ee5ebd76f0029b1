//! Errors of the owner of a partition.

use std::fmt;

use smol_str::SmolStr;
use strum::IntoStaticStr;

/// Result of an operation of the owner.
pub type Result<T> = std::result::Result<T, Error>;

/// What is known about the effect of a failed operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Category {
    /// The operation had no effect.
    NotRun,
    /// The operation may have had an effect.
    MayHaveRun,
    /// The stored data is invalid.
    Invalid,
}

/// Error in an operation of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// This instance does not own the partition.
    NotOwner,
    /// Another instance took over the partition; holds the key of the object that it changed.
    Fenced(SmolStr),
    /// The object store failed before anything was written.
    Store(jaycrank_platform::Error),
    /// The object store failed, and a write may have been applied.
    InDoubt(jaycrank_platform::Error),
    /// An object can't be decoded; holds its key.
    Decode(SmolStr, DecodeError),
}

impl Error {
    /// Returns what is known about the effect of the failed operation.
    pub fn category(&self) -> Category {
        match self {
            Self::NotOwner | Self::Store(_) => Category::NotRun,
            Self::Fenced(_) | Self::InDoubt(_) => Category::MayHaveRun,
            Self::Decode(..) => Category::Invalid,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOwner => write!(f, "this instance does not own the partition"),
            Self::Fenced(key) => write!(f, "another instance took over; object `{key}` changed"),
            Self::Store(cause) => write!(f, "object store failed: {cause}"),
            Self::InDoubt(cause) => write!(f, "object store write may have been applied: {cause}"),
            Self::Decode(key, cause) => write!(f, "object `{key}` can't be decoded: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Error in decoding a stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The data ends within a frame.
    Truncated,
    /// The frame is not valid MessagePack of the expected type.
    Malformed(SmolStr),
    /// The format number is unknown.
    Format(u8),
    /// Data follows the last expected frame; holds its size in bytes.
    Trailing(usize),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => write!(f, "truncated frame"),
            Self::Malformed(cause) => write!(f, "malformed frame: {cause}"),
            Self::Format(format) => write!(f, "unknown format version {format}"),
            Self::Trailing(size) => write!(f, "{size} unexpected bytes after the last frame"),
        }
    }
}

impl std::error::Error for DecodeError {}
