//! Tests of the throttling of queries that ask an overloaded shard.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::shard_throttle::Throttle;
use jaycrank_policy::shard_throttle::leave_out;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SHARDS: usize = 10;
const COVERAGE_MIN: f64 = 0.89;
const QUERIES: usize = 6_000;
/// Queue length of the overloaded shard at which its answers are late.
const LATE_QUEUE: f64 = 8.0;

/// Outcome of a run: the number of queries that got the overloaded shard's part in time, and of
/// those that waited without getting it.
struct Outcome {
    in_time: usize,
    late: usize,
}

/// Simulates queries of which the first shard can answer a fraction `capacity`; the excess queues.
/// Without `throttled`, every query asks the shard.
fn run(capacity: f64, throttled: bool) -> Outcome {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(11);
    let mut throttles = vec![Throttle::default(); SHARDS];
    let mut queue: f64 = 0.0;
    let mut outcome = Outcome { in_time: 0, late: 0 };
    for query in 0..QUERIES {
        let now = start + Duration::from_millis(5 * query as u64);
        queue = (queue - capacity).max(0.0);
        let query_fractions: Vec<f64> = throttles.iter().map(Throttle::query_fraction).collect();
        let left_out = leave_out(&query_fractions, COVERAGE_MIN, || random.random());
        assert!(left_out.len() <= 1, "the required coverage allows one");
        for (shard, throttle) in throttles.iter_mut().enumerate().skip(1) {
            if !left_out.contains(&shard) {
                throttle.record(true, now);
            }
        }
        if throttled && left_out.contains(&0) {
            continue;
        }
        let in_time = queue < LATE_QUEUE;
        // The shard also answers late requests; its queue is bounded.
        queue = (queue + 1.0).min(2.0 * LATE_QUEUE);
        throttles[0].record(in_time, now);
        if in_time { outcome.in_time += 1 } else { outcome.late += 1 }
    }
    outcome
}

/// A shard has lost leafs and can answer six of ten queries. Guards against a queue that makes most
/// of its answers late while every query waits for them.
#[test]
fn throttled_shard_answers_more_queries_in_time() {
    let unthrottled = run(0.6, false);
    let throttled = run(0.6, true);
    assert!(unthrottled.late > QUERIES / 2, "late without throttling: {}", unthrottled.late);
    assert!(throttled.late < unthrottled.late / 2, "{} of {}", throttled.late, unthrottled.late);
    assert!(
        throttled.in_time > 2 * unthrottled.in_time,
        "{} of {}",
        throttled.in_time,
        unthrottled.in_time
    );
}

/// Guards against leaving out a shard that keeps up apart from occasional pauses.
#[test]
fn occasional_late_answers_do_not_throttle_a_shard() {
    let start = Instant::now();
    let mut throttle = Throttle::default();
    for query in 0..QUERIES {
        throttle.record(query % 20 != 0, start + Duration::from_millis(5 * query as u64));
    }
    assert_eq!(throttle.query_fraction(), 1.0);
}
