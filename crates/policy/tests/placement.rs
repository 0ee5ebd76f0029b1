//! Tests of placement: loads in which some leafs of a service are in trouble.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::placement::LeafStats;
use jaycrank_policy::placement::LoadReport;
use jaycrank_policy::placement::ServiceTime;
use jaycrank_policy::placement::pick_shortest;
use jaycrank_policy::timing;

const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(40);
const SLOTS: u32 = 3;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Service times of 15 ms.
fn usual() -> ServiceTime {
    let mut usual = ServiceTime::default();
    (0..50).for_each(|at| usual.record(ms(13 + at % 5)));
    usual
}

/// A near leaf and two far ones that have answered for a while.
fn leafs(now: Instant) -> Vec<(LeafStats, Duration)> {
    let mut leafs = vec![
        (LeafStats::default(), NEAR),
        (LeafStats::default(), FAR),
        (LeafStats::default(), FAR),
    ];
    for (leaf, distance) in &mut leafs {
        for at in 0..20 {
            let sent = now + ms(at * 20);
            let ticket = leaf.start(sent);
            leaf.record_answer(ticket, *distance, sent + *distance + ms(15));
        }
    }
    leafs
}

fn choose(leafs: &[(LeafStats, Duration)], now: Instant) -> usize {
    let times: Vec<Duration> = leafs
        .iter()
        .map(|(leaf, distance)| leaf.expected_latency(*distance, &usual(), SLOTS, now))
        .collect();
    pick_shortest(&times, 0).unwrap()
}

/// Pattern: a leaf pauses. Guards against sending it more requests once one is overdue, and against
/// leaving it out after it has answered.
#[test]
fn requests_avoid_a_pausing_leaf_until_it_answers() {
    let start = Instant::now();
    let mut leafs = leafs(start);
    let now = start + ms(500);
    assert_eq!(choose(&leafs, now), 0, "the near leaf is the first choice");
    let ticket = leafs[0].0.start(now);
    assert_eq!(choose(&leafs, now + ms(10)), 0, "a request in its usual time says nothing");
    assert_ne!(choose(&leafs, now + ms(60)), 0, "an overdue request shows the pause");
    leafs[0].0.record_answer(ticket, NEAR, now + ms(250));
    assert_eq!(choose(&leafs, now + ms(251)), 0, "the pause is over");
}

/// Pattern: a leaf fails part of its requests. Guards against returning to it at the first answer,
/// and against never returning.
#[test]
fn requests_avoid_a_failing_leaf_for_a_while() {
    let start = Instant::now();
    let mut leafs = leafs(start);
    let now = start + ms(500);
    for _ in 0..2 {
        let ticket = leafs[0].0.start(now);
        leafs[0].0.record_failure(ticket, now);
    }
    assert_ne!(choose(&leafs, now + ms(100)), 0);
    assert_eq!(choose(&leafs, now + ms(8_000)), 0, "failures fade");
}

/// Pattern: a leaf is full. Guards against queueing at the near leaf where a far one answers first.
#[test]
fn requests_spill_over_when_the_near_leaf_is_full() {
    let start = Instant::now();
    let mut leafs = leafs(start);
    let now = start + ms(500);
    let report = LoadReport { running: SLOTS, waiting: 4 * SLOTS, slots: SLOTS };
    leafs[0].0.record_report(report, now);
    assert_ne!(choose(&leafs, now + ms(1)), 0, "four service times of queue take longer");
    assert_eq!(choose(&leafs, now + ms(400)), 0, "an old report does not count");
}

/// Pattern: a flood beyond the near leaf's slots. Guards against a share of the far leafs that stays
/// at nothing while requests pile up at the near one.
#[test]
fn a_flood_uses_all_leafs() {
    let start = Instant::now();
    let mut leafs = leafs(start);
    let now = start + ms(500);
    let mut sent = [0; 3];
    for _ in 0..36 {
        let chosen = choose(&leafs, now);
        leafs[chosen].0.start(now);
        sent[chosen] += 1;
    }
    assert!(sent.iter().all(|sent| *sent >= 6), "{sent:?}");
}

/// Guards against a hedge that is sent before the first leaf had its usual time, or so late that
/// the other leaf can't answer in time.
#[test]
fn hedges_leave_time_for_both_leafs() {
    let after = |late, usual, other, left| {
        timing::hedge_after(ms(late), ms(usual), ms(other), ms(left)).as_millis()
    };
    assert_eq!(after(40, 16, 55, 190), 40, "the late time holds where there is time enough");
    assert_eq!(
        after(160, 16, 55, 190),
        107,
        "one and a half times what the other leaf takes is left"
    );
    assert_eq!(after(160, 100, 180, 190), 100, "not before the usual time");
    assert_eq!(after(1, 1, 55, 190), 5, "not at once");
}
