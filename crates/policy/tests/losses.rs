//! Tests of requests whose connections broke without a sign whether the leaf ended.

use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::losses::Losses;
use jaycrank_policy::quarantine::Decision;
use jaycrank_policy::quarantine::Quarantine;
use jaycrank_policy::quarantine::Run;
use smol_str::SmolStr;

const SERVICE: SmolStr = SmolStr::new_static("db");
const LEAFS: [SmolStr; 3] =
    [SmolStr::new_static("a"), SmolStr::new_static("b"), SmolStr::new_static("c")];

/// Guards against a request that is lost at leaf after leaf and never suspected, and against
/// suspecting one that broke off at one leaf, or at leafs of different services.
#[test]
fn second_leaf_of_a_service_makes_a_suspect() {
    let (mut losses, now) = (Losses::default(), Instant::now());
    let [a, b, _] = LEAFS;
    assert!(losses.record(1, &SERVICE, &a, true, now).is_empty());
    assert!(losses.record(1, &SERVICE, &a, true, now).is_empty(), "the same leaf again");
    assert!(losses.record(1, &"other".into(), &b, true, now).is_empty(), "another service");
    assert!(losses.record(2, &SERVICE, &b, true, now).is_empty(), "another request");
    assert_eq!(losses.record(1, &SERVICE, &b, true, now), [a.clone(), b.clone()]);
    let later = now + Duration::from_secs(61);
    assert!(losses.record(2, &SERVICE, &a, true, later).is_empty(), "the first loss is too old");
}

/// Guards against a request that runs once and costs each instance a leaf before it is suspected,
/// and against a report to all instances for each of many losses.
#[test]
fn request_that_runs_once_is_suspected_at_its_first_loss_unless_losses_are_frequent() {
    let (mut losses, now) = (Losses::default(), Instant::now());
    let suspects = (0..10_000).filter(|index| {
        let at = now + Duration::from_millis(*index);
        !losses.record(*index, &SERVICE, &LEAFS[0], false, at).is_empty()
    });
    assert_eq!(suspects.count(), 10);
}

/// Guards against refusing a request after its isolated run was lost together with others, for which
/// it is not to blame, and against not refusing one that was lost alone.
#[test]
fn isolated_run_that_is_lost_alone_refuses_the_request() {
    for others in [false, true] {
        let (quarantine, now) = (Quarantine::new("entry-0"), Instant::now());
        let record = |fingerprint, leaf: &SmolStr, run| {
            quarantine.record_loss(fingerprint, &SERVICE, leaf, run, now)
        };
        assert!(!record(1, &LEAFS[0], Run::Idempotent));
        assert!(record(1, &LEAFS[1], Run::Idempotent));
        assert_eq!(quarantine.decide(1, now), Decision::RunIsolated);
        if others {
            record(2, &"elsewhere".into(), Run::Idempotent);
        }
        assert!(record(1, &LEAFS[2], Run::Isolated));
        let refused = matches!(quarantine.decide(1, now), Decision::Refuse { .. });
        assert_eq!(refused, !others);
        quarantine.record_success(1, now);
        assert_eq!(quarantine.decide(1, now), Decision::Run, "a success clears it");
    }
}

/// Guards against a failure of many leafs at once that makes suspects of its victims: a query goes to
/// many leafs, so chance alone loses it twice. A request that is lost while others are answered, or
/// that is lost at all leafs while it is the only one, stays a suspect.
#[test]
fn two_losses_make_no_suspect_while_many_others_are_lost() {
    for (others_lost, is_suspect) in [(0, true), (5, true), (40, false)] {
        let (mut losses, now) = (Losses::default(), Instant::now());
        for request in 0..100 {
            if request < others_lost {
                losses.record(1_000 + request, &SERVICE, &LEAFS[2], true, now);
            } else {
                losses.record_answer(now);
            }
        }
        losses.record(1, &SERVICE, &LEAFS[0], true, now);
        let leafs = losses.record(1, &SERVICE, &LEAFS[1], true, now);
        assert_eq!(!leafs.is_empty(), is_suspect, "{others_lost} of 100 others lost");
    }
    let (mut losses, now) = (Losses::default(), Instant::now());
    let suspects = (0..90).filter(|shard| {
        let service = format!("shard-{shard}").into();
        losses.record(1, &service, &LEAFS[0], true, now);
        !losses.record(1, &service, &LEAFS[1], true, now).is_empty()
    });
    assert_eq!(suspects.count(), 90);
}

/// Guards against a bound on suspects of each instance that grows with the fleet.
#[test]
fn first_losses_that_make_suspects_are_bounded_over_all_instances() {
    for (instances, bound) in [(1, 10), (80, 1), (300, 1)] {
        let (mut losses, now) = (Losses::default(), Instant::now());
        losses.set_instances(instances);
        let suspects = (0..10_000).filter(|index| {
            let at = now + Duration::from_millis(*index);
            !losses.record(*index, &SERVICE, &LEAFS[0], false, at).is_empty()
        });
        assert_eq!(suspects.count(), bound, "{instances} instances");
    }
}
