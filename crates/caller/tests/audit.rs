//! Verification of published counts from the answers of a member.

use std::time::Duration;
use std::time::Instant;

use jaycrank_caller::Audit;
use jaycrank_caller::Refusal;
use jaycrank_caller::audit::Fault;
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

/// Sends `requests` refused requests to both instances and returns their reports.
fn run(audit: &mut Audit, requests: u64) -> Vec<Report> {
    let reports = INSTANCES.iter().map(|instance| {
        let counters = Counters::new();
        let counter = counters.counter(&key());
        for _ in 0..requests {
            counter.count_offered(Instant::now());
            let tally = counter.count_outcome(Outcome::Refused, Duration::ZERO);
            let running = RunningTally::new(*instance, 7, &key(), tally);
            audit.refusal(&Refusal::not_run(429, "queue-full", "full").with_tally(running));
        }
        counters.report(*instance, 7)
    });
    reports.collect()
}

fn page(reports: Vec<Report>) -> Fairness {
    let mut aggregate = Aggregate::new();
    reports.into_iter().for_each(|report| aggregate.merge(report));
    Fairness::new(&aggregate, &Shares::new())
}

/// Guards against a verifier that reports correct counts.
#[test]
fn correct_page_has_no_mismatch() {
    let mut audit = Audit::with_all_requests();
    let reports = run(&mut audit, 20);
    assert_eq!(audit.compare(&page(reports)), []);
}

/// Guards against a verifier that overlooks a request missing from one instance's counts.
#[test]
fn missing_count_is_found() {
    let mut audit = Audit::new();
    let mut reports = run(&mut audit, 20);
    reports[1].records[0].1.tally.refused -= 1;
    let mismatches = audit.compare(&page(reports));
    assert_eq!(mismatches.len(), 1, "{mismatches:?}");
    assert_eq!(mismatches[0].instance, "entry-2#7");
    assert_eq!(
        mismatches[0].to_string(),
        "entry-2#7 reel-history middle: refused is 19, but at least 20 are known",
    );
}

/// Guards against a verifier that overlooks a request counted twice.
#[test]
fn doubled_count_is_found() {
    let mut audit = Audit::with_all_requests();
    let mut reports = run(&mut audit, 20);
    reports[0].records[0].1.tally.refused += 1;
    let mismatches = audit.compare(&page(reports));
    assert_eq!(mismatches.len(), 1, "{mismatches:?}");
    assert_eq!(mismatches[0].instance, "entry-1#7");
    let fault = Fault::Excess { count: "refused", expected: 20, published: 21 };
    assert_eq!(mismatches[0].fault, fault);
}

/// Guards against an instance that gives two requests the same running tally and counts one.
#[test]
fn repeated_position_is_found() {
    let mut audit = Audit::new();
    let counters = Counters::new();
    let counter = counters.counter(&key());
    counter.count_offered(Instant::now());
    let tally = counter.count_outcome(Outcome::Refused, Duration::ZERO);
    let running = RunningTally::new("entry-1", 7, &key(), tally);
    for _ in 0..2 {
        let refusal = Refusal::not_run(429, "queue-full", "full").with_tally(running.clone());
        audit.refusal(&refusal);
    }
    let mismatches = audit.compare(&page(vec![counters.report("entry-1", 7)]));
    assert!(
        mismatches.iter().any(|m| m.fault == Fault::Repeated { position: 1 }),
        "{mismatches:?}"
    );
    assert!(mismatches.iter().any(|m| matches!(m.fault, Fault::Missing { .. })), "{mismatches:?}");
}

/// Guards against an instance whose published page leaves out an incarnation.
#[test]
fn missing_incarnation_is_found() {
    let mut audit = Audit::new();
    let mut reports = run(&mut audit, 3);
    reports.remove(0);
    let mismatches = audit.compare(&page(reports));
    assert!(mismatches.iter().all(|mismatch| mismatch.instance == "entry-1#7"), "{mismatches:?}");
    assert!(!mismatches.is_empty());
}
