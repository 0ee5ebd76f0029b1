//! Reasons for which a leaf may not get a request now.
//!
//! They are asked when a leaf is chosen and again at the moment of sending, since an answer of the
//! leaf may change them while a request waits for a connection.

use std::time::Duration;

use strum::IntoStaticStr;

/// Reason for which a leaf may not get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Hold {
    /// The leaf leaves.
    Leaving,
    /// The leaf asked for rest, or returns from it; it may take a request after this time.
    Resting(Duration),
    /// The limit that the leaf states is used up; it may take a request after this time.
    Limited(Duration),
}

impl Hold {
    /// Returns the time until the leaf may take a request, or zero if it will not take one again.
    pub fn wait(self) -> Duration {
        match self {
            Self::Leaving => Duration::ZERO,
            Self::Resting(wait) | Self::Limited(wait) => wait,
        }
    }
}
