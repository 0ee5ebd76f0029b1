//! Counts of queries at one instance and merged over instances.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::share;
use jaycrank_policy::share::Input;
use jaycrank_policy::share_average::Shares;
use jaycrank_policy::tally::Aggregate;
use jaycrank_policy::tally::Counters;
use jaycrank_policy::tally::Key;
use jaycrank_policy::tally::Outcome;
use jaycrank_settings::Rank;

fn key() -> Key {
    Key::new("reel-history", Rank::Middle, "tunis")
}

/// Guards against two answers that carry tallies with the same position.
#[test]
fn positions_of_concurrent_outcomes_are_unique() {
    let counters = Arc::new(Counters::new());
    let threads: Vec<_> = (0..4)
        .map(|thread| {
            let counters = counters.clone();
            std::thread::spawn(move || {
                let count = |round: u32| {
                    let counter = counters.counter(&key());
                    counter.count_offered(Instant::now());
                    let outcome =
                        if round % 3 == thread % 3 { Outcome::Refused } else { Outcome::Complete };
                    counter.count_outcome(outcome, Duration::from_millis(1)).position()
                };
                (0..1_000).map(count).collect::<Vec<_>>()
            })
        })
        .collect();
    let positions = threads.into_iter().flat_map(|thread| thread.join().unwrap());
    let positions: BTreeSet<_> = positions.collect();
    assert_eq!(positions, (1..=4_000).collect());
}

fn counters(queries: u64, time: Duration) -> Counters {
    let counters = Counters::new();
    let counter = counters.counter(&key());
    for _ in 0..queries {
        counter.count_offered(Instant::now());
        counter.count_admitted();
        counter.count_outcome(Outcome::Complete, time);
    }
    counters
}

/// Guards against counts that a restart loses, a repeated report doubles or a late report resets.
#[test]
fn merge_keeps_incarnations_and_ignores_repeated_and_late_reports() {
    let reports = [
        counters(3, Duration::from_millis(10)).report("entry-1", 1),
        counters(5, Duration::from_millis(10)).report("entry-1", 1),
        counters(2, Duration::from_millis(10)).report("entry-1", 2),
        counters(7, Duration::from_millis(100)).report("entry-2", 1),
    ];
    let mut forward = Aggregate::new();
    reports.iter().chain(&reports).cloned().for_each(|report| forward.merge(report));
    let mut backward = Aggregate::new();
    reports.iter().rev().cloned().for_each(|report| backward.merge(report));
    assert_eq!(forward, backward);
    assert_eq!(forward.total(&key()).complete, 5 + 2 + 7);
    let mut copy = Aggregate::new();
    forward.reports().into_iter().for_each(|report| copy.merge(report));
    assert_eq!(copy, forward);
}

/// Guards against quantiles that reflect only one instance.
#[test]
fn quantiles_are_merged_over_instances() {
    let mut aggregate = Aggregate::new();
    aggregate.merge(counters(97, Duration::from_millis(10)).report("entry-1", 1));
    aggregate.merge(counters(3, Duration::from_millis(100)).report("entry-2", 1));
    let p50 = aggregate.quantile(&key(), 0.5).as_secs_f64();
    let p99 = aggregate.quantile(&key(), 0.99).as_secs_f64();
    assert!((0.0099..0.0102).contains(&p50), "{p50}");
    assert!((0.099..0.102).contains(&p99), "{p99}");
}

/// Guards against demand that reflects a flood long after it ended, or a new one too late.
#[test]
fn demand_follows_the_offered_rate() {
    let counters = Counters::new();
    let counter = counters.counter(&key());
    let start = Instant::now();
    let mut now = start;
    for _ in 0..400 {
        now += Duration::from_millis(10);
        counter.count_offered(now);
    }
    let demand = |now| counters.demand(now)["reel-history"][Rank::Middle.index()]["tunis"];
    assert!((90.0..110.0).contains(&demand(now)), "{}", demand(now));
    assert!(demand(now + Duration::from_secs(5)) < 1.0);
}

/// Guards against a new instance that reports only a fraction of its demand while the averaging
/// window fills.
#[test]
fn demand_is_accurate_soon_after_start() {
    let counters = Counters::new();
    let counter = counters.counter(&key());
    let mut now = Instant::now();
    for _ in 0..30 {
        now += Duration::from_millis(10);
        counter.count_offered(now);
    }
    let demand = counters.demand(now)["reel-history"][Rank::Middle.index()]["tunis"];
    assert!((80.0..120.0).contains(&demand), "{demand}");
}

/// Guards against old answers that hide a current unfair share.
#[test]
fn shares_are_averaged_over_the_last_minute() {
    let start = Instant::now();
    let other = Key::new("reel-history", Rank::Middle, "oslo");
    let demand = [("tunis".into(), 100.0), ("oslo".into(), 100.0)].into();
    let input = Input { capacity: 100.0, ..Input::default() };
    let input = input.with_instance("entry-1", [Default::default(), demand, Default::default()]);
    let allocations = [("reel-history".into(), share::allocate(&input))].into();
    let counters = Counters::new();
    let answer = |key: &Key, count: u32| {
        for _ in 0..count {
            counters.counter(key).count_outcome(Outcome::Complete, Duration::ZERO);
        }
    };
    answer(&key(), 50_000);
    let mut shares = Shares::new();
    for second in 0..300 {
        answer(&key(), 25);
        answer(&other, 75);
        let mut aggregate = Aggregate::new();
        aggregate.merge(counters.report("entry-1", 1));
        shares.update(&aggregate, &allocations, start + Duration::from_secs(second));
    }
    assert!((shares.due(&key()) - 0.5).abs() < 0.01, "{}", shares.due(&key()));
    assert!((shares.received(&key()) - 0.25).abs() < 0.01, "{}", shares.received(&key()));
}
