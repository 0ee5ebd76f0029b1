//! Tests of placement while some leafs of a service pause, fail or are full.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::placement::LeafStats;
use jaycrank_policy::placement::LoadReport;
use jaycrank_policy::placement::ServiceTime;
use jaycrank_policy::placement::pick_shortest;
use jaycrank_policy::timing;

const SHORT_ROUND_TRIP: Duration = Duration::from_millis(1);
const LONG_ROUND_TRIP: Duration = Duration::from_millis(40);
const SLOTS: u32 = 3;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a service time with a mean of about 15 ms.
fn service_time() -> ServiceTime {
    let mut service_time = ServiceTime::default();
    (0..50).for_each(|at| service_time.record(ms(13 + at % 5)));
    service_time
}

/// Returns a near leaf, which has a short round-trip time, and two far ones with a long one, each
/// with its round-trip time. All have answered requests.
fn leafs(now: Instant) -> Vec<(LeafStats, Duration)> {
    let mut leafs = vec![
        (LeafStats::default(), SHORT_ROUND_TRIP),
        (LeafStats::default(), LONG_ROUND_TRIP),
        (LeafStats::default(), LONG_ROUND_TRIP),
    ];
    for (leaf, round_trip) in &mut leafs {
        for at in 0..20 {
            let sent = now + ms(at * 20);
            let ticket = leaf.start(sent);
            leaf.record_answer(ticket, *round_trip, sent + *round_trip + ms(15));
        }
    }
    leafs
}

fn choose(leafs: &[(LeafStats, Duration)], now: Instant) -> usize {
    let times: Vec<Duration> = leafs
        .iter()
        .map(|(leaf, round_trip)| leaf.expected_latency(*round_trip, &service_time(), SLOTS, now))
        .collect();
    pick_shortest(&times, 0).unwrap()
}

/// A leaf pauses. Guards against sending it more requests while one is overdue, and against
/// avoiding it after it has answered.
#[test]
fn requests_avoid_a_pausing_leaf_until_it_answers() {
    let start = Instant::now();
    let mut leafs = leafs(start);
    let now = start + ms(500);
    assert_eq!(choose(&leafs, now), 0, "the near leaf is the first choice");
    let ticket = leafs[0].0.start(now);
    assert_eq!(choose(&leafs, now + ms(10)), 0, "a request that is not overdue has no effect");
    assert_ne!(choose(&leafs, now + ms(60)), 0, "an overdue request shows the pause");
    leafs[0].0.record_answer(ticket, SHORT_ROUND_TRIP, now + ms(250));
    assert_eq!(choose(&leafs, now + ms(251)), 0, "the pause is over");
}

/// A leaf fails some requests. Guards against using it again at once, and against avoiding it
/// forever.
#[test]
fn failing_leaf_is_avoided_until_its_penalty_decays() {
    let start = Instant::now();
    let mut leafs = leafs(start);
    let now = start + ms(500);
    for _ in 0..2 {
        let ticket = leafs[0].0.start(now);
        leafs[0].0.record_failure(ticket, now);
    }
    assert_ne!(choose(&leafs, now + ms(100)), 0);
    assert_eq!(choose(&leafs, now + ms(8_000)), 0, "the penalty has decayed");
}

/// The near leaf is full. Guards against queueing there when a far leaf would answer sooner.
#[test]
fn requests_spill_over_when_the_near_leaf_is_full() {
    let start = Instant::now();
    let mut leafs = leafs(start);
    let now = start + ms(500);
    let report = LoadReport { running: SLOTS, waiting: 4 * SLOTS, slots: SLOTS };
    leafs[0].0.record_report(report, now);
    assert_ne!(choose(&leafs, now + ms(1)), 0, "four service times of queue take longer");
    assert_eq!(choose(&leafs, now + ms(400)), 0, "an old report is ignored");
}

/// More requests arrive than the near leaf has slots. Guards against queueing all of them there
/// while the far leafs are idle.
#[test]
fn load_above_the_near_slots_uses_all_leafs() {
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

/// Guards against a hedge that is sent before the first leaf's expected latency, or too late for
/// the other leaf to answer in time.
#[test]
fn hedges_leave_time_for_both_leafs() {
    let after = |overdue, expected, other, left| {
        timing::hedge_after(ms(overdue), ms(expected), ms(other), ms(left)).as_millis()
    };
    assert_eq!(after(40, 16, 55, 190), 40, "enough time is left when the request is overdue");
    assert_eq!(
        after(160, 16, 55, 190),
        107,
        "one and a half times the other leaf's latency is left"
    );
    assert_eq!(after(160, 100, 180, 190), 100, "not before the expected latency");
    assert_eq!(after(1, 1, 55, 190), 5, "not before the shortest hedge delay");
}
