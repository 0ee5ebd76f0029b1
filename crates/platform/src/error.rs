//! Errors of calls to the platform.

use std::fmt;

use smol_str::SmolStr;
use strum::IntoStaticStr;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// Effect that a failed call may have had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Category {
    /// The call had no effect.
    NotApplied,
    /// The call may have taken effect.
    MayHaveApplied,
    /// The call was invalid and had no effect.
    Invalid,
}

/// Failure of a call to the object store or the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The condition of a conditional write does not hold; contains the key.
    Conflict(SmolStr),
    /// The platform can't be reached or refused the call; nothing was applied.
    Unavailable(SmolStr),
    /// The reply was lost after the call had been sent; a write may have been applied.
    Unknown(SmolStr),
    /// The value exceeds [`crate::store::VALUE_BYTES_MAX`]; contains its size in bytes.
    TooLarge(usize),
    /// The reply can't be decoded; a write may have been applied.
    Malformed(SmolStr),
}

impl Error {
    /// Returns the effect that the failed call may have had.
    pub fn category(&self) -> Category {
        match self {
            Self::Conflict(_) | Self::Unavailable(_) => Category::NotApplied,
            Self::Unknown(_) | Self::Malformed(_) => Category::MayHaveApplied,
            Self::TooLarge(_) => Category::Invalid,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(key) => write!(f, "condition not met for object `{key}`"),
            Self::Unavailable(cause) => write!(f, "platform unavailable: {cause}"),
            Self::Unknown(cause) => write!(f, "reply lost, outcome unknown: {cause}"),
            Self::TooLarge(size) => write!(f, "value of {size} bytes exceeds the limit"),
            Self::Malformed(cause) => write!(f, "malformed reply: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
