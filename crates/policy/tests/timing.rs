//! Tests of the time at which a gathered answer is sent.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::timing::answer_at;
use jaycrank_policy::timing::is_due;
use jaycrank_policy::timing::shards_required;

/// Guards against rounding that raises or lowers the required coverage by a shard.
#[test]
fn required_coverage_is_rounded_up_to_whole_shards() {
    let cases = [
        ((10, 0.89), 9),
        ((10, 0.9), 9),
        ((10, 0.75), 8),
        ((15, 0.89), 14),
        ((15, 0.8), 12),
        ((3, 0.0), 1),
        ((3, 1.0), 3),
    ];
    for ((shards, coverage), expected) in cases {
        assert_eq!(shards_required(shards, coverage), expected, "{coverage} of {shards}");
    }
}

/// Guards against delaying a complete answer, sending a partial one too early, and sending one
/// below the required coverage.
#[test]
fn answers_are_sent_when_complete_or_due() {
    assert!(is_due(10, 0, 10, 0.89, false), "complete");
    assert!(is_due(8, 0, 10, 0.89, false), "no shard is pending");
    assert!(!is_due(9, 1, 10, 0.89, false), "a part may arrive in time");
    assert!(is_due(9, 1, 10, 0.89, true), "the answer is due");
    assert!(!is_due(8, 2, 10, 0.89, true), "below the required coverage");
}

/// Guards against partial answers that arrive after the target latency, because the network round
/// trip (two of them on a new connection) is not deducted, and against a margin that uses up the
/// whole target.
#[test]
fn partial_answers_reach_the_caller_in_time() {
    let now = Instant::now();
    let at = |target_ms, round_trip_ms, new| {
        let target = Duration::from_millis(target_ms);
        let round_trip = Duration::from_millis(round_trip_ms);
        (answer_at(now, target, round_trip, new) - now).as_millis()
    };
    assert_eq!(at(120, 6, false), 107);
    assert_eq!(at(120, 6, true), 101);
    assert_eq!(at(1_200, 6, false), 1_187);
    assert!(at(20, 100, true) > 0);
}
