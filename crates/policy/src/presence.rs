//! Which leafs may be used, from entries that come and go.
//!
//! An entry that is removed without having been marked as draining may have lapsed: the leaf was
//! silent for a while, or the store was away. Such a leaf stays in use as a last resort for a
//! short time, in which a live leaf renews its entry.

use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;

/// Time that a lapsed leaf stays in use: shorter than the time within which a leaf that has left
/// must not get new work, less the delay of the watch.
const LAPSED_KEPT: Duration = Duration::from_millis(1_500);
/// Time that lapsed leafs stay in use after the store is back; entries of live leafs are back
/// within about 2 s.
const RETURN_KEPT: Duration = Duration::from_millis(2_300);

/// Whether requests may go to a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Eligibility {
    /// Any request.
    Regular,
    /// Only if no other leaf is left.
    LastResort,
    /// None.
    Never,
}

/// State of one leaf's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Presence {
    /// The entry stands.
    Listed,
    /// The leaf said that it is leaving.
    Draining,
    /// The entry was removed at this moment.
    Lapsed(Instant),
}

impl Presence {
    /// Eligibility of the leaf; `returned` is when the store was last regained.
    pub fn eligibility(self, returned: Option<Instant>, now: Instant) -> Eligibility {
        let Self::Lapsed(at) = self else {
            return if self == Self::Listed { Eligibility::Regular } else { Eligibility::Never };
        };
        let after_return = returned.map(|returned| returned + RETURN_KEPT);
        let until = (at + LAPSED_KEPT).max(after_return.unwrap_or(at));
        if now < until { Eligibility::LastResort } else { Eligibility::Never }
    }
}
