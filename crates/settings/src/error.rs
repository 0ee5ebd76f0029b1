//! Errors of the settings tree.

use std::fmt;

use smol_str::SmolStr;

/// Result of reading or validating settings.
pub type Result<T> = std::result::Result<T, Error>;

/// A value that the settings do not accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    path: SmolStr,
    value: SmolStr,
    accepted: SmolStr,
}

impl Error {
    /// Creates an error for the value at `path`; `accepted` describes the accepted range or form.
    pub fn new(
        path: impl Into<SmolStr>,
        value: impl Into<SmolStr>,
        accepted: impl Into<SmolStr>,
    ) -> Self {
        Self { path: path.into(), value: value.into(), accepted: accepted.into() }
    }

    /// Returns the path of the value: the path of its branch and the field, separated by a slash.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the refused value as text.
    pub fn value(&self) -> &str {
        &self.value
    }

    /// Returns the accepted range or form.
    pub fn accepted(&self) -> &str {
        &self.accepted
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is not accepted; accepted: {}", self.path, self.value, self.accepted)
    }
}

impl std::error::Error for Error {}
