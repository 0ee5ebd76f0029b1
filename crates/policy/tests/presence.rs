//! Tests of the eligibility of leafs.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::presence::Eligibility;
use jaycrank_policy::presence::Presence;

/// Shortest time, over all deployments, after which a stopped leaf must get no new requests.
const DRAIN_MIN: Duration = Duration::from_secs(3);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// All entries lapse during a store outage. Guards against a tier without usable leafs when the
/// store recovers, and against using stopped leafs for too long.
#[test]
fn lapsed_leafs_stay_eligible_after_a_store_outage() {
    let lapsed = Instant::now();
    let presence = Presence::Lapsed(lapsed);
    let recovered_at = Some(lapsed + ms(100));
    assert_eq!(presence.eligibility(recovered_at, lapsed + ms(2_100)), Eligibility::LastResort);
    assert_eq!(presence.eligibility(recovered_at, lapsed + DRAIN_MIN), Eligibility::Never);
}

/// Guards against sending requests to a leaf that stopped without draining while the store is
/// available.
#[test]
fn lapsed_leaf_is_not_eligible_after_the_grace_period() {
    let lapsed = Instant::now();
    let presence = Presence::Lapsed(lapsed);
    assert_eq!(presence.eligibility(None, lapsed + ms(1_000)), Eligibility::LastResort);
    assert_eq!(presence.eligibility(None, lapsed + ms(1_500)), Eligibility::Never);
    let long_ago = lapsed.checked_sub(ms(5_000));
    assert_eq!(presence.eligibility(long_ago, lapsed + ms(1_500)), Eligibility::Never);
}

/// Guards against sending requests to a draining leaf.
#[test]
fn draining_leaf_is_not_eligible() {
    let now = Instant::now();
    assert_eq!(Presence::Draining.eligibility(Some(now), now), Eligibility::Never);
    assert_eq!(Presence::Listed.eligibility(None, now), Eligibility::Regular);
}
