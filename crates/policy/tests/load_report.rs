//! Tests of load reports that leafs add to their answers, without network.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::load_report;
use jaycrank_policy::load_report::Parsed;
use jaycrank_policy::placement::LeafStats;
use jaycrank_policy::placement::LoadReport;
use jaycrank_policy::placement::ServiceTime;

const ROUND_TRIP: Duration = Duration::from_millis(1);
const SLOTS: u32 = 5;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn service_time() -> ServiceTime {
    let mut service_time = ServiceTime::default();
    (0..50).for_each(|at| service_time.record(ms(26 + at % 5)));
    service_time
}

/// Returns a leaf that has answered in `time` each, with a report each time.
fn leaf(now: Instant, time: Duration, report: &str) -> LeafStats {
    let mut leaf = LeafStats::default();
    for at in 0..50 {
        let sent = now + ms(at * 20);
        let ticket = leaf.start(sent);
        record(&mut leaf, report, sent + time);
        leaf.record_answer(ticket, ROUND_TRIP, sent + ROUND_TRIP + time);
    }
    leaf
}

fn record(leaf: &mut LeafStats, report: &str, now: Instant) {
    let Parsed { load, pace, .. } = load_report::parse(report);
    load.into_iter().for_each(|load| leaf.record_report(load, now));
    pace.into_iter().for_each(|pace| leaf.record_pace(pace, now));
}

fn expected(leaf: &LeafStats, now: Instant) -> Duration {
    leaf.expected_latency(ROUND_TRIP, &service_time(), SLOTS, now)
}

/// Guards against a report that is dropped as a whole because one figure can't be used, and against
/// one that is used although it is wrong.
#[test]
fn what_is_usable_of_a_report_is_used() {
    let load = Some(LoadReport { running: 1, waiting: 0, slots: 5 });
    let cases = [
        ("1,0,5", load, None, false),
        ("1,0,5,100", load, Some(1.0), false),
        (" 1 , 0 , 5 , 250 ", load, Some(2.5), false),
        ("1,0,5,0", load, None, true),
        ("1,0,5,-3", load, None, true),
        ("1,0,5,NaN", load, None, true),
        ("1,0,5,inf", load, None, true),
        ("1,0,5,1e300", load, Some(4.0), false),
        ("1,0,5,1", load, Some(0.5), false),
        ("1,0,5,", load, None, true),
        ("1,0,5,100,7", load, Some(1.0), true),
        ("1,0", None, None, true),
        ("", None, None, true),
        ("1,0,0,100", None, Some(1.0), true),
        ("x,0,5,250", None, Some(2.5), true),
        ("-1,0,5,250", None, Some(2.5), true),
        ("99999999999,0,5", None, None, true),
    ];
    for (text, load, pace, is_malformed) in cases {
        assert_eq!(load_report::parse(text), Parsed { load, pace, is_malformed }, "{text:?}");
    }
}

/// Guards against a panic on any bytes.
#[test]
fn any_report_is_parsed() {
    bolero::check!().with_iterations(20_000).with_type::<String>().for_each(|text| {
        let now = Instant::now();
        let mut leaf = leaf(now, ms(26), "1,0,5,100");
        record(&mut leaf, text, now + ms(1_000));
        assert!(expected(&leaf, now + ms(1_000)) < ms(2_000));
    });
}

/// The machine of a leaf slows down for half a second. Guards against sending requests there
/// meanwhile, and against an old figure that keeps them away.
#[test]
fn slow_machine_is_avoided_while_its_report_is_fresh() {
    let start = Instant::now();
    let mut slow = leaf(start, ms(26), "1,0,5,100");
    let other = leaf(start, ms(30), "1,0,5,100");
    let now = start + ms(1_000);
    assert!(expected(&slow, now) < expected(&other, now));
    record(&mut slow, "1,0,5,250", now);
    assert!(expected(&slow, now + ms(50)) > expected(&other, now + ms(50)));
    assert!(expected(&slow, now + ms(2_000)) < expected(&other, now + ms(2_000)));
}

/// Guards against a leaf that is emptied or crowded by a pace that is always wrong: its service time
/// is measured with the same pace.
#[test]
fn constant_false_pace_has_no_effect() {
    let start = Instant::now();
    let now = start + ms(1_000);
    let honest = expected(&leaf(start, ms(26), "1,0,5,100"), now).as_secs_f64();
    for report in ["1,0,5,250", "1,0,5,1", "1,0,5,100000"] {
        let false_pace = expected(&leaf(start, ms(26), report), now).as_secs_f64();
        assert!((false_pace / honest - 1.0).abs() < 0.1, "{report}: {false_pace} for {honest}");
    }
}

/// Guards against a leaf that gets no request for ever because it reports a queue without end.
#[test]
fn false_queue_does_not_empty_a_leaf() {
    let start = Instant::now();
    let mut leaf = leaf(start, ms(26), "1,0,5,100");
    let now = start + ms(1_000);
    record(&mut leaf, "4294967295,4294967295,1,100", now);
    assert!(expected(&leaf, now) < ms(500));
}
