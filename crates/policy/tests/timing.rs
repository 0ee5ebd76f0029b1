//! Tests of the time at which a gathered answer is sent.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::timing::ProcessingTime;
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
        (answer_at(now, target, round_trip, new, 0, Duration::ZERO) - now).as_millis()
    };
    assert_eq!(at(120, 6, false), 107);
    assert_eq!(at(120, 6, true), 101);
    assert_eq!(at(1_200, 6, false), 1_187);
    assert!(at(20, 100, true) > 0);
}

/// An instance with an eighth of a processor merges 135 parts. Guards against answers that are sent in
/// time and arrive some milliseconds after the target: on such a day a third of the most urgent ones
/// was late by less than 10 ms. Also against reserving so much that few parts arrive in time.
#[test]
fn time_is_reserved_for_sending_many_parts_on_a_slow_processor() {
    let (now, target) = (Instant::now(), Duration::from_millis(150));
    let round_trip = Duration::from_millis(6);
    let mut processing = ProcessingTime::default();
    let mut late = 0;
    for index in 0..100 {
        let due = answer_at(now, target, round_trip, false, 135, processing.reserve());
        let sent = due + Duration::from_micros(2_000 + index % 7 * 500);
        processing.record(sent - due);
        // Reading the request and writing the answer, as long as merging it, and the link.
        let received = sent + round_trip + Duration::from_micros(2_000 + 4_500);
        late += u32::from(received > now + target);
    }
    assert!(late <= 1, "{late} of 100 late");
    processing.record(Duration::from_secs(10));
    let due = answer_at(now, target, round_trip, true, 100_000, processing.reserve());
    assert!(due - now >= target.mul_f64(0.6));
}
