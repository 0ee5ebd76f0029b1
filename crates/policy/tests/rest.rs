//! Tests of the rest of a leaf and its return.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::rest;
use jaycrank_policy::rest::Ended;
use jaycrank_policy::rest::Rest;

const REST: Duration = Duration::from_secs(3);

/// Guards against values that panic, overflow or take a leaf away for good.
#[test]
fn values_are_parsed() {
    let cases = [
        ("3", Some(3_000)),
        (" 2.5 ", Some(2_500)),
        ("0", Some(0)),
        ("60", Some(60_000)),
        ("61", Some(60_000)),
        ("1000000000", Some(60_000)),
        ("99999999999999999999999999999999", Some(60_000)),
        ("-1", None),
        ("+1", None),
        ("1e9", None),
        ("inf", None),
        ("NaN", None),
        ("", None),
        (".", None),
        ("1.2.3", None),
        ("3 s", None),
        ("Fri, 31 Dec 2027 23:59:59 GMT", None),
    ];
    for (text, milliseconds) in cases {
        assert_eq!(rest::parse(text), milliseconds.map(Duration::from_millis), "{text:?}");
    }
}

/// Guards against a rest that a later answer shortens, or that a request from before passes.
#[test]
fn rest_is_prolonged_and_never_shortened() {
    let (mut rest, now) = (Rest::default(), Instant::now());
    assert!(rest.begin(REST, now) && !rest.begin(REST, now + REST / 3));
    assert!(!rest.begin(Duration::from_millis(1), now + REST / 2));
    assert_eq!(rest.wait(now), REST + REST / 3);
    assert!(!rest.allows(None), "a request that was admitted before");
    assert!(rest.admit(now + REST).is_err());
    assert!(rest.admit(now + REST * 2).unwrap().is_some());
}

/// Guards against a leaf that gets all requests at the moment at which its rest ends.
#[test]
fn return_begins_with_one_trial_and_doubles() {
    let (mut rest, now) = (Rest::default(), Instant::now());
    rest.begin(REST, now);
    let now = now + REST;
    for expected in [1, 2, 4] {
        let trials: Vec<_> = std::iter::from_fn(|| rest.admit(now).ok().flatten()).collect();
        assert_eq!(trials.len(), expected);
        assert!(!rest.is_over() && !rest.allows(None) && rest.allows(Some(trials[0])));
        for (index, trial) in trials.into_iter().enumerate() {
            let ended = if index == 0 { Ended::Answered } else { Ended::Unknown };
            assert_eq!(rest.end_trial(trial, ended), expected == 4 && index == 0);
        }
    }
    assert!(rest.is_over() && rest.allows(None));
    assert_eq!(rest.admit(now), Ok(None));
}

/// Guards against a leaf that turns trials away and gets more of them, and against trials of an
/// earlier rest that count for a later one.
#[test]
fn rejected_trial_starts_the_return_anew() {
    let (mut rest, now) = (Rest::default(), Instant::now());
    rest.begin(REST, now);
    let now = now + REST;
    let first = rest.admit(now).unwrap().unwrap();
    rest.end_trial(first, Ended::Answered);
    let (second, third) = (rest.admit(now).unwrap().unwrap(), rest.admit(now).unwrap().unwrap());
    rest.end_trial(second, Ended::Rejected);
    assert!(rest.admit(now).is_err(), "the third one is still in flight");
    assert!(rest.begin(REST, now), "a new rest");
    let now = now + REST;
    assert!(!rest.end_trial(third, Ended::Answered) && !rest.allows(Some(third)));
    assert!(rest.admit(now).unwrap().is_some());
    assert!(!rest.allows(Some(third)), "a trial of the rest before");
    assert!(rest.admit(now).is_err());
}
