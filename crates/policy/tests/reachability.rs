//! Tests of telling an instance that is cut off from leafs that fail.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::reachability::Change;
use jaycrank_policy::reachability::Reachability;

const MS: Duration = Duration::from_millis(1);

/// Guards against connections that hang without an error: only the silence of all leafs shows them.
#[test]
fn silence_of_all_leafs_is_suspicious() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_answer(start);
    for index in 1..=10 {
        reachability.record_send(start + index * 20 * MS);
    }
    assert!(!reachability.is_suspected(start + 200 * MS), "leafs may take that long");
    assert!(reachability.is_suspected(start + 400 * MS));
    reachability.record_answer(start + 410 * MS);
    assert!(!reachability.is_suspected(start + 420 * MS), "one answer ends the suspicion");
}

/// Guards against a suspicion of an instance without requests.
#[test]
fn few_requests_without_answers_are_not_suspicious() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    for _ in 0..4 {
        reachability.record_send(start);
    }
    assert!(!reachability.is_suspected(start + 10_000 * MS));
}

/// Guards against a cut in which open connections live on and only new ones fail.
#[test]
fn new_connections_that_all_fail_are_suspicious() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    reachability.record_answer(now);
    reachability.record_connect(false);
    reachability.record_connect(true);
    reachability.record_connect(false);
    assert!(!reachability.is_suspected(now), "some leafs fail");
    reachability.record_connect(false);
    assert!(reachability.is_suspected(now));
    assert!(reachability.has_answers(now));
}

/// Guards against leafs that have crashed and are taken for a cut: another leaf accepts a probe.
#[test]
fn one_leaf_that_accepts_a_connection_shows_that_there_is_no_cut() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    (0..5).for_each(|_| reachability.record_connect(false));
    assert_eq!(reachability.record_probes(1, 6, now), None);
    assert!(!reachability.is_cut_off());
    (0..5).for_each(|_| reachability.record_connect(false));
    assert!(!reachability.is_suspected(now + 100 * MS), "probes have a pause");
    assert!(reachability.is_suspected(now + 600 * MS));
    assert_eq!(reachability.record_probes(0, 6, now + 600 * MS), Some(Change::CutOff));
}

/// Guards against an instance that returns at each moment in which connections get through.
#[test]
fn cut_ends_after_two_good_rounds() {
    let now = Instant::now();
    let mut reachability = Reachability::default();
    assert_eq!(reachability.record_probes(0, 6, now), Some(Change::CutOff));
    for reached in [2, 3, 0, 6, 1] {
        assert_eq!(reachability.record_probes(reached, 6, now), None, "{reached} of 6");
        assert_eq!(reachability.may_reach(now), reached > 0, "{reached} of 6");
    }
    assert_eq!(reachability.record_probes(4, 6, now), None);
    assert_eq!(reachability.record_probes(5, 6, now), Some(Change::Connected));
    assert!(!reachability.is_cut_off());
}

/// Guards against an instance without leafs that is taken for one that is cut off.
#[test]
fn instance_without_leafs_is_not_cut_off() {
    let mut reachability = Reachability::default();
    assert_eq!(reachability.record_probes(0, 0, Instant::now()), None);
}
