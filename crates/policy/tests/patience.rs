//! Tests of the moment at which a gathered answer goes out.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::timing::answer_at;
use jaycrank_policy::timing::is_due;
use jaycrank_policy::timing::shards_required;

/// Guards against a floor that rounding raises or lowers by a shard.
#[test]
fn coverage_floors_are_whole_shards() {
    let cases = [
        ((10, 0.89), 9),
        ((10, 0.9), 9),
        ((10, 0.75), 8),
        ((15, 0.89), 14),
        ((15, 0.8), 12),
        ((3, 0.0), 1),
        ((3, 1.0), 3),
    ];
    for ((of, coverage), expected) in cases {
        assert_eq!(shards_required(of, coverage), expected, "{coverage} of {of}");
    }
}

/// Guards against a complete answer that is held back, a partial one that goes out while there is
/// time, and one below its floor.
#[test]
fn answers_go_out_complete_or_at_their_time() {
    assert!(is_due(10, 0, 10, 0.89, false), "complete");
    assert!(is_due(8, 0, 10, 0.89, false), "no part can follow");
    assert!(!is_due(9, 1, 10, 0.89, false), "a part may follow in time");
    assert!(is_due(9, 1, 10, 0.89, true), "the time is over");
    assert!(!is_due(8, 2, 10, 0.89, true), "below the floor");
}

/// Guards against a partial answer that is late at the caller by the network time to it, which
/// counts twice on a new connection, and against a margin that takes the whole target.
#[test]
fn partial_answers_reach_the_caller_in_time() {
    let now = Instant::now();
    let at = |target_ms, distance_ms, new| {
        let target = Duration::from_millis(target_ms);
        let distance = Duration::from_millis(distance_ms);
        (answer_at(now, target, distance, new) - now).as_millis()
    };
    assert_eq!(at(120, 6, false), 107);
    assert_eq!(at(120, 6, true), 101);
    assert_eq!(at(1_200, 6, false), 1_187);
    assert!(at(20, 100, true) > 0);
}
