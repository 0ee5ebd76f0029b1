//! Verification of published counts from the answers and refusals that a member received.

use std::time::Duration;
use std::time::Instant;

use jaycrank_caller::Audit;
use jaycrank_caller::Refusal;
use jaycrank_caller::audit::MismatchKind;
use jaycrank_caller::wire::Fairness;
use jaycrank_caller::wire::RunningTally;
use jaycrank_policy::share_average::Shares;
use jaycrank_policy::tally::Aggregate;
use jaycrank_policy::tally::Counters;
use jaycrank_policy::tally::Key;
use jaycrank_policy::tally::Outcome;
use jaycrank_policy::tally::Report;
use jaycrank_settings::Rank;

const INSTANCES: [&str; 2] = ["entry-1", "entry-2"];

fn key() -> Key {
    Key::new("reel-history", Rank::Middle, "tunis")
}

/// Counts `requests` refused requests at each instance, adds them to the audit and returns the
/// reports of the instances.
fn refuse_requests(audit: &mut Audit, requests: u64) -> Vec<Report> {
    let reports = INSTANCES.iter().map(|instance| {
        let counters = Counters::new();
        let counter = counters.counter(&key());
        for _ in 0..requests {
            counter.count_offered(Instant::now());
            let tally = counter.count_outcome(Outcome::Refused, Duration::ZERO);
            let running = RunningTally::new(*instance, 7, &key(), tally);
            audit.add_refusal(&Refusal::not_run(429, "queue-full", "full").with_tally(running));
        }
        counters.report(*instance, 7)
    });
    reports.collect()
}

fn fairness(reports: Vec<Report>) -> Fairness {
    let mut aggregate = Aggregate::new();
    reports.into_iter().for_each(|report| aggregate.merge(report));
    Fairness::new(&aggregate, &Shares::new())
}

/// Guards against an audit that reports a mismatch in correct counts.
#[test]
fn correct_counts_have_no_mismatch() {
    let mut audit = Audit::with_all_requests();
    let reports = refuse_requests(&mut audit, 20);
    assert_eq!(audit.compare(&fairness(reports)), []);
}

/// Guards against an audit that overlooks a request missing from the counts of one instance.
#[test]
fn request_missing_from_the_counts_is_reported() {
    let mut audit = Audit::new();
    let mut reports = refuse_requests(&mut audit, 20);
    reports[1].records[0].1.tally.refused -= 1;
    let mismatches = audit.compare(&fairness(reports));
    assert_eq!(mismatches.len(), 1, "{mismatches:?}");
    assert_eq!(mismatches[0].instance, "entry-2#7");
    assert_eq!(
        mismatches[0].to_string(),
        "entry-2#7 reel-history middle: refused is 19, expected at least 20",
    );
}

/// Guards against an audit that overlooks a request counted twice, which shows only if the audit
/// has all requests of the member.
#[test]
fn request_counted_twice_is_reported() {
    let mut audit = Audit::with_all_requests();
    let mut reports = refuse_requests(&mut audit, 20);
    reports[0].records[0].1.tally.refused += 1;
    let mismatches = audit.compare(&fairness(reports));
    assert_eq!(mismatches.len(), 1, "{mismatches:?}");
    assert_eq!(mismatches[0].instance, "entry-1#7");
    let kind = MismatchKind::CountTooHigh { count: "refused", expected: 20, published: 21 };
    assert_eq!(mismatches[0].kind, kind);
}

/// Guards against an audit that overlooks an instance that gives two requests the same running
/// tally and counts only one of them.
#[test]
fn duplicate_position_is_reported() {
    let mut audit = Audit::new();
    let counters = Counters::new();
    let counter = counters.counter(&key());
    counter.count_offered(Instant::now());
    let tally = counter.count_outcome(Outcome::Refused, Duration::ZERO);
    let running = RunningTally::new("entry-1", 7, &key(), tally);
    for _ in 0..2 {
        let refusal = Refusal::not_run(429, "queue-full", "full").with_tally(running.clone());
        audit.add_refusal(&refusal);
    }
    let mismatches = audit.compare(&fairness(vec![counters.report("entry-1", 7)]));
    assert!(
        mismatches.iter().any(|m| m.kind == MismatchKind::DuplicatePosition { position: 1 }),
        "{mismatches:?}"
    );
    assert!(
        mismatches.iter().any(|m| matches!(m.kind, MismatchKind::CountTooLow { .. })),
        "{mismatches:?}"
    );
}

/// Guards against an audit that overlooks published counts without one of the incarnations.
#[test]
fn missing_incarnation_is_reported() {
    let mut audit = Audit::new();
    let mut reports = refuse_requests(&mut audit, 3);
    reports.remove(0);
    let mismatches = audit.compare(&fairness(reports));
    assert!(mismatches.iter().all(|mismatch| mismatch.instance == "entry-1#7"), "{mismatches:?}");
    assert!(!mismatches.is_empty());
}
