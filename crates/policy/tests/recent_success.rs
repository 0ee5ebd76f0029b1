//! Tests of the table of the latest successes.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::recent_success::RecentSuccesses;

/// Guards against a request that counts as harmless long after its last success: it may have begun
/// to crash servers since.
#[test]
fn success_counts_for_one_second() {
    let (successes, now) = (RecentSuccesses::new(), Instant::now());
    let key = successes.key(&"GET /a");
    successes.record(key, now);
    assert!(successes.contains(key, now + Duration::from_millis(900)));
    assert!(!successes.contains(key, now + Duration::from_millis(1_100)));
    assert!(!successes.contains(successes.key(&"GET /b"), now));
}

/// Guards against memory that grows with the number of requests: later ones replace earlier ones,
/// which are then unknown and not mistaken for each other.
#[test]
fn later_requests_replace_earlier_ones() {
    let (successes, now) = (RecentSuccesses::new(), Instant::now());
    (0..100_000).for_each(|request| successes.record(successes.key(&request), now));
    let known = (0..100_000).filter(|request| successes.contains(successes.key(request), now));
    assert!(known.count() <= 4_096);
}
