//! Eligibility of leafs for requests, by the state of their entries in the catalog.
//!
//! An entry that is removed without having been marked as draining may only have expired, because
//! the leaf did not renew it in time or the catalog was unavailable. Such a leaf is eligible as a
//! last resort for a short time, in which a live leaf renews its entry.

use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;

/// Time that a leaf stays eligible after its entry may have lapsed. With the delay of a watch whose
/// calls all succeed it must be shorter than the time after which a stopped leaf must get no new requests.
const LAPSED_GRACE: Duration = Duration::from_millis(1_500);
/// Time that lapsed leafs stay eligible after the catalog is available again. Live leafs renew
/// their entries within about 2 s.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_300);

/// Time that a leaf stays eligible as a last resort after it said in an answer that it leaves. Its
/// service may have no other leaf while the catalog is away. With the time that a request waits to
/// be sent it must be shorter than the time after which a leaf that leaves must get no new requests.
const LEAVING_GRACE: Duration = Duration::from_millis(1_500);

/// Eligibility of a leaf for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Eligibility {
    /// Eligible for any request.
    Regular,
    /// Eligible only if no leaf of the service is regular.
    LastResort,
    /// Not eligible.
    Never,
}

/// State of a leaf's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Presence {
    /// The entry exists.
    Listed,
    /// The entry is marked as draining: the leaf is shutting down.
    Draining,
    /// The leaf said in an answer at this time that it leaves, whatever its entry says.
    Leaving(Instant),
    /// The entry was removed at this time or later, without having been marked as draining.
    Lapsed(Instant),
}

impl Presence {
    /// Returns the eligibility of the leaf; `recovered_at` is when the catalog last became
    /// available again.
    pub fn eligibility(self, recovered_at: Option<Instant>, now: Instant) -> Eligibility {
        let until = match self {
            Self::Listed => return Eligibility::Regular,
            Self::Draining => return Eligibility::Never,
            Self::Leaving(at) => at + LEAVING_GRACE,
            Self::Lapsed(at) => {
                let after_recovery = recovered_at.map(|recovered_at| recovered_at + RECOVERY_GRACE);
                (at + LAPSED_GRACE).max(after_recovery.unwrap_or(at))
            }
        };
        if now < until { Eligibility::LastResort } else { Eligibility::Never }
    }
}
