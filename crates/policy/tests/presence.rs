//! Tests of the use of leafs whose entries are gone.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::presence::Eligibility;
use jaycrank_policy::presence::Presence;

/// Shortest time within which a leaf that has left must get no new work, on any deployment.
const DRAIN_MIN: Duration = Duration::from_secs(3);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Pattern: all entries lapse while the store is away. Guards against a tier without leafs after
/// the outage, and against leafs that are used long after they have gone.
#[test]
fn lapsed_leafs_bridge_the_return_of_the_store() {
    let lapsed = Instant::now();
    let presence = Presence::Lapsed(lapsed);
    let returned = Some(lapsed + ms(100));
    assert_eq!(presence.eligibility(returned, lapsed + ms(2_100)), Eligibility::LastResort);
    assert_eq!(presence.eligibility(returned, lapsed + DRAIN_MIN), Eligibility::Never);
}

/// Guards against work for a leaf that has left without a word while the store is well.
#[test]
fn a_leaf_that_is_gone_gets_no_work_after_its_time() {
    let lapsed = Instant::now();
    let presence = Presence::Lapsed(lapsed);
    assert_eq!(presence.eligibility(None, lapsed + ms(1_000)), Eligibility::LastResort);
    assert_eq!(presence.eligibility(None, lapsed + ms(1_500)), Eligibility::Never);
    let long_ago = lapsed.checked_sub(ms(5_000));
    assert_eq!(presence.eligibility(long_ago, lapsed + ms(1_500)), Eligibility::Never);
}

/// Guards against work for a draining leaf.
#[test]
fn a_draining_leaf_gets_no_work() {
    let now = Instant::now();
    assert_eq!(Presence::Draining.eligibility(Some(now), now), Eligibility::Never);
    assert_eq!(Presence::Listed.eligibility(None, now), Eligibility::Regular);
}
