//! Test of queries over shards of which one can't keep up.

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
/// Queue of the scarce leaf, in requests, at which its answers come late.
const LATE_QUEUE: f64 = 8.0;

/// Outcome of a run: queries with the part of the scarce shard in time, and queries that waited for
/// it in vain.
struct Outcome {
    served: usize,
    waited: usize,
}

/// One shard answers `capacity` of the queries; its queue grows with those beyond.
fn run(capacity: f64, policy: bool) -> Outcome {
    let start = Instant::now();
    let mut random = StdRng::seed_from_u64(11);
    let mut throttles = vec![Throttle::default(); SHARDS];
    let mut queue: f64 = 0.0;
    let mut outcome = Outcome { served: 0, waited: 0 };
    for query in 0..QUERIES {
        let now = start + Duration::from_millis(5 * query as u64);
        queue = (queue - capacity).max(0.0);
        let asked: Vec<f64> = throttles.iter().map(Throttle::query_fraction).collect();
        let left_out = leave_out(&asked, COVERAGE_MIN, || random.random());
        assert!(left_out.len() <= 1, "the coverage allows one");
        for (shard, throttle) in throttles.iter_mut().enumerate().skip(1) {
            if !left_out.contains(&shard) {
                throttle.record(true, now);
            }
        }
        if policy && left_out.contains(&0) {
            continue;
        }
        let in_time = queue < LATE_QUEUE;
        // A leaf works on late requests too; its queue is bounded.
        queue = (queue + 1.0).min(2.0 * LATE_QUEUE);
        throttles[0].record(in_time, now);
        if in_time { outcome.served += 1 } else { outcome.waited += 1 }
    }
    outcome
}

/// Pattern: a shard has lost leafs and answers six of ten queries. Guards against a queue that
/// makes most of its parts late while every query waits for them.
#[test]
fn a_scarce_shard_serves_in_time_what_it_can() {
    let plain = run(0.6, false);
    let policy = run(0.6, true);
    assert!(plain.waited > QUERIES / 2, "without it most queries wait: {}", plain.waited);
    assert!(policy.waited < plain.waited / 2, "{} of {}", policy.waited, plain.waited);
    assert!(policy.served > 2 * plain.served, "{} of {}", policy.served, plain.served);
}

/// Guards against leaving out a shard that keeps up although it pauses now and then.
#[test]
fn a_shard_that_pauses_is_asked_by_all() {
    let start = Instant::now();
    let mut throttle = Throttle::default();
    for query in 0..QUERIES {
        throttle.record(query % 20 != 0, start + Duration::from_millis(5 * query as u64));
    }
    assert_eq!(throttle.query_fraction(), 1.0);
}
