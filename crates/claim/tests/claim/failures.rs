//! Kills, lost replies, outages, duplicates, expiry and hand-over.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jaycrank_claim::Digest;
use jaycrank_claim::Error;
use jaycrank_claim::InvalidSubmission;
use jaycrank_claim::Reason;
use jaycrank_claim::Submission;
use jaycrank_claim::Verdict;
use jaycrank_claim::head;
use jaycrank_claim::partition;
use jaycrank_claim::segment::SEGMENT_BYTES_MAX;
use jaycrank_claim::trace::Event;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::START_UNIX_MS;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn done(attempt_id: u64) -> Verdict {
    Verdict::Done { answer: format!("answer {attempt_id}").into() }
}

fn is_not_run(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::NotRun { .. })
}

fn may_have_run(reason: Reason) -> Verdict {
    Verdict::MayHaveRun { reason }
}

/// Guards against a change of the hash, which would move claims to other partitions.
#[test]
fn partition_of_a_request_id_is_stable() {
    let found: Vec<_> = (0..8).map(|n| partition(&format!("order-{n}"), 4)).collect();
    insta::assert_compact_json_snapshot!(found, @"[3, 0, 3, 3, 2, 1, 2, 3]");
    assert_eq!(partition("order-1", 0), 0);
}

/// Guards against a second run of a request whose attempts arrive concurrently, and against answers
/// that differ between them.
#[tokio::test(start_paused = true)]
async fn concurrent_duplicates_run_once() {
    let fleet = Fleet::new(1);
    fleet.owners[0].acquire().await.unwrap();
    let submissions: Vec<_> =
        (1..=5).map(|attempt| fleet.spawn_submit(0, "x", attempt, "done")).collect();
    for submission in submissions {
        assert_eq!(submission.await.unwrap(), done(1));
    }
    assert_eq!(fleet.check_trace()["x"], 1);
}

/// Guards against a second run or a wrong "not run" when the owner is killed at any point of a
/// submission.
#[tokio::test(start_paused = true)]
async fn killed_owner_causes_no_second_run() {
    for after in 0..20 {
        let mut fleet = Fleet::new(2);
        fleet.owners[0].acquire().await.unwrap();
        let first = fleet.spawn_submit(0, "x", 1, "done");
        sleep(millis(after * 4)).await;
        fleet.kill(0);
        drop(first);
        fleet.owners[1].acquire().await.unwrap();
        let retry = fleet.submit(1, "x", 2, "done").await;
        let claimed = fleet.store.peek(&jaycrank_claim::segment::key(0, 0)).unwrap();
        let claimed = jaycrank_claim::segment::Segment::decode(&claimed.value).unwrap();
        match claimed.records().unwrap().len() {
            0 => assert!(matches!(retry, Verdict::Done { .. }), "after {after}: {retry:?}"),
            1 => assert_eq!(retry, may_have_run(Reason::EarlierEpoch)),
            _ => assert_eq!(retry, done(1)),
        }
        assert!(fleet.check_trace().values().all(|runs| *runs <= 1));
    }
}

/// Guards against a dispatch or an answer that relies on a write whose reply was lost, which may
/// not be applied, both for the write of the claim and for that of the outcome.
#[tokio::test(start_paused = true)]
async fn lost_replies_are_resolved() {
    let delayed = Delivery::Delayed(millis(25));
    for deliveries in [
        [Delivery::Applied, Delivery::Applied],
        [Delivery::ReplyLost; 2],
        [Delivery::RequestLost; 2],
        [delayed; 2],
    ] {
        let fleet = Fleet::new(3);
        fleet.owners[0].acquire().await.unwrap();
        fleet.clients[0].deliveries.lock().unwrap().extend(deliveries);
        assert_eq!(fleet.submit(0, "x", 1, "done").await, done(1), "{deliveries:?}");
        sleep(millis(100)).await;
        assert_eq!(fleet.submit(0, "x", 2, "done").await, done(1));
        fleet.owners[1].acquire().await.unwrap();
        assert_eq!(fleet.submit(1, "x", 3, "done").await, done(1));
        assert_eq!(fleet.check_trace()["x"], 1);
    }
}

/// Guards against the dispatch of a claim in doubt when the store goes down before the claim is
/// read back, and against a write that overtakes the one in doubt.
#[tokio::test(start_paused = true)]
async fn claim_in_doubt_is_abandoned_in_an_outage() {
    for delivery in [
        Delivery::ReplyLost,
        Delivery::RequestLost,
        Delivery::Delayed(millis(10)),
        Delivery::Delayed(millis(400)),
    ] {
        let fleet = Fleet::new(4);
        fleet.owners[0].acquire().await.unwrap();
        fleet.clients[0].deliveries.lock().unwrap().push_back(delivery);
        let first = fleet.spawn_submit(0, "x", 1, "done");
        sleep(millis(12)).await;
        fleet.clients[0].outage.send_replace(true);
        let verdict = first.await.unwrap();
        assert!(is_not_run(&verdict), "{delivery:?}: {verdict:?}");
        let retry = fleet.submit(0, "x", 2, "done").await;
        assert_eq!(retry, may_have_run(Reason::StoreUnavailable));
        fleet.clients[0].outage.send_replace(false);
        sleep(millis(500)).await;
        assert!(
            is_not_run(&fleet.submit(0, "x", 1, "done").await),
            "a released attempt is superseded"
        );
        assert_eq!(fleet.submit(0, "x", 2, "done").await, done(4));
        assert_eq!(fleet.check_trace()["x"], 1);
    }
}

/// Guards against a wrong verdict when the store goes down at any point of a submission, and
/// against outcomes that are lost in the outage.
#[tokio::test(start_paused = true)]
async fn verdicts_hold_after_an_outage_at_any_point() {
    for after in 0..40 {
        let fleet = Fleet::new(5);
        fleet.owners[0].acquire().await.unwrap();
        let first = fleet.spawn_submit(0, "x", 1, "done");
        sleep(millis(after * 2)).await;
        fleet.clients[0].outage.send_replace(true);
        let verdict = first.await.unwrap();
        sleep(millis(1000)).await;
        fleet.clients[0].outage.send_replace(false);
        sleep(millis(1000)).await;
        let retry = fleet.submit(0, "x", 2, "done").await;
        match verdict {
            Verdict::NotRun { .. } => assert_eq!(retry, done(2)),
            Verdict::MayHaveRun { reason } => {
                assert_eq!((reason, retry), (Reason::OutcomeNotWritten, done(1)));
            }
            verdict => assert_eq!((verdict, retry), (done(1), done(1))),
        }
        assert_eq!(fleet.check_trace()["x"], 1);
    }
}

/// Guards against refusals that wait for a store that is known to be down.
#[tokio::test(start_paused = true)]
async fn refusals_in_a_known_outage_do_not_wait() {
    let fleet = Fleet::new(6);
    fleet.owners[0].acquire().await.unwrap();
    fleet.clients[0].outage.send_replace(true);
    assert!(is_not_run(&fleet.submit(0, "first", 1, "done").await));
    for number in 0..1000 {
        let start = Instant::now();
        assert!(is_not_run(&fleet.submit(0, &format!("x{number}"), 1, "done").await));
        assert_eq!(start.elapsed(), Duration::ZERO);
        sleep(millis(3)).await;
    }
    assert!(fleet.owners[0].dump().outage);
    assert!(fleet.store.calls().reads() < 40, "the store is only probed at an interval");
    fleet.clients[0].outage.send_replace(false);
    sleep(millis(300)).await;
    assert!(matches!(fleet.submit(0, "last", 1, "done").await, Verdict::Done { .. }));
    fleet.check_trace();
}

/// Guards against submissions that wait for a store that accepts calls but does not reply.
#[tokio::test(start_paused = true)]
async fn submissions_are_refused_while_the_store_hangs() {
    let fleet = Fleet::new(7);
    fleet.owners[0].acquire().await.unwrap();
    fleet.clients[0].paused.send_replace(true);
    let first = fleet.spawn_submit(0, "x", 1, "done");
    sleep(millis(30)).await;
    let start = Instant::now();
    assert!(is_not_run(&fleet.submit(0, "y", 1, "done").await));
    assert!(start.elapsed() <= millis(500));
    let start = Instant::now();
    assert!(is_not_run(&fleet.submit(0, "z", 1, "done").await));
    assert_eq!(start.elapsed(), Duration::ZERO);
    assert!(is_not_run(&first.await.unwrap()), "the deadline passed before the claim was written");
    fleet.clients[0].paused.send_replace(false);
    sleep(millis(200)).await;
    assert_eq!(fleet.check_trace().get("x"), None);
}

/// Guards against a release that is not recorded, after which a later attempt could not claim the
/// request, and against an earlier attempt that arrives late and runs.
#[tokio::test(start_paused = true)]
async fn released_claim_may_be_claimed_again() {
    let fleet = Fleet::new(8);
    fleet.owners[0].acquire().await.unwrap();
    assert!(is_not_run(&fleet.submit(0, "x", 1, "not sent").await));
    assert!(is_not_run(&fleet.submit(0, "x", 3, "not sent").await));
    fleet.owners[1].acquire().await.unwrap();
    assert!(is_not_run(&fleet.submit(1, "x", 2, "done").await), "attempts up to 3 are released");
    assert_eq!(
        fleet.submit(1, "x", 4, "unknown").await,
        may_have_run(Reason::Unknown("connection died".into()))
    );
    assert!(matches!(fleet.submit(1, "x", 5, "done").await, Verdict::MayHaveRun { .. }));
    assert_eq!(fleet.check_trace()["x"], 1);
}

/// Guards against segments above the size limit, and against a claim that is lost because its
/// answer does not fit in a segment.
#[tokio::test(start_paused = true)]
async fn large_answers_fit_or_are_not_recorded() {
    let fleet = Fleet::new(9);
    fleet.owners[0].acquire().await.unwrap();
    let large: Vec<_> =
        (0..9).map(|n| fleet.spawn_submit(0, &format!("y{n}"), 1, "large")).collect();
    for submission in large {
        assert!(matches!(submission.await.unwrap(), Verdict::Done { .. }));
    }
    for (_, event) in fleet.trace.events() {
        let Event::Put { value, .. } = event else { continue };
        assert!(value.len() < SEGMENT_BYTES_MAX);
    }
    assert!(matches!(fleet.submit(0, "x", 1, "huge").await, Verdict::Done { .. }));
    fleet.owners[1].acquire().await.unwrap();
    assert_eq!(fleet.submit(1, "x", 2, "done").await, may_have_run(Reason::AnswerNotKept));
    assert_eq!(fleet.check_trace()["x"], 1);
}

/// Guards against a second run after the claim was reclaimed, and against expired segments that are
/// not deleted.
#[tokio::test(start_paused = true)]
async fn reclaimed_request_is_refused() {
    let fleet = Fleet::new(10);
    fleet.owners[0].acquire().await.unwrap();
    for number in 0..40 {
        assert!(matches!(
            fleet.submit(0, &format!("x{number}"), 1, "done").await,
            Verdict::Done { .. }
        ));
    }
    assert_eq!(fleet.owners[0].reclaim(START_UNIX_MS + 29_999).await, Ok(0), "nothing has expired");
    assert!(fleet.owners[0].reclaim(START_UNIX_MS + 30_000).await.unwrap() > 2);
    let expired = Verdict::Invalid { reason: InvalidSubmission::Expired };
    assert_eq!(fleet.submit(0, "x0", 2, "done").await, expired);
    fleet.owners[1].acquire().await.unwrap();
    assert_eq!(fleet.submit(1, "x0", 2, "done").await, expired);
    assert_eq!(fleet.check_trace()["x0"], 1);
}

/// Guards against a second run by a retry whose default expiry differs from that of the first
/// attempt, and against other misuse of a request id.
#[tokio::test(start_paused = true)]
async fn misused_request_ids_are_refused() {
    let fleet = Fleet::new(11);
    fleet.owners[0].acquire().await.unwrap();
    assert_eq!(fleet.submit(0, "x", 1, "done").await, done(1));
    let digest = Digest::new("s", b"body");
    let new = |id: &str| Submission::new(id, 99, digest, START_UNIX_MS, Bytes::new());
    let other = Submission::new("x", 99, Digest::new("s", b"other"), START_UNIX_MS, Bytes::new());
    let invalid = |reason| Verdict::Invalid { reason };
    let day = 24 * 60 * 60 * 1000;
    let cases = [
        (new("y").with_attempt(2), may_have_run(Reason::ExpiryNotStated)),
        (new("x").with_attempt(2), done(1)),
        (other, invalid(InvalidSubmission::OtherBody)),
        (new("x").with_expiry(START_UNIX_MS + 40_000), invalid(InvalidSubmission::OtherExpiry)),
        (new("z").with_expiry(START_UNIX_MS), invalid(InvalidSubmission::Expired)),
        (new("z").with_expiry(START_UNIX_MS + day + 1), invalid(InvalidSubmission::ExpiryTooFar)),
        (new(""), invalid(InvalidSubmission::RequestId)),
        (new("z").with_attempt(0), invalid(InvalidSubmission::Attempt)),
    ];
    for (submission, expected) in cases {
        let deadline = Instant::now() + millis(500);
        let verdict = fleet.owners[0].submit(submission, fleet.leaf.clone(), deadline).await;
        assert_eq!(verdict, expected);
    }
    assert_eq!(fleet.check_trace()["x"], 1);
}

/// Guards against a hand-over that aborts a run, loses an outcome or does not free the head.
#[tokio::test(start_paused = true)]
async fn hand_over_waits_for_running_requests() {
    let fleet = Fleet::new(12);
    fleet.owners[0].acquire().await.unwrap();
    let running: Vec<_> =
        (0..9).map(|n| fleet.spawn_submit(0, &format!("x{n}"), 1, "done")).collect();
    sleep(millis(1)).await;
    let owner = Arc::clone(&fleet.owners[0]);
    let released = tokio::spawn(async move { owner.release().await });
    sleep(millis(1)).await;
    let refused = fleet.submit(0, "y", 1, "done").await;
    assert!(matches!(refused, Verdict::NotRun { reason: Reason::HandOver, .. }));
    for submission in running {
        assert!(matches!(submission.await.unwrap(), Verdict::Done { .. }));
    }
    released.await.unwrap().unwrap();
    assert!(head::read(&*fleet.clients[1], 0).await.unwrap().unwrap().0.free);
    assert!(!fleet.owners[0].is_owner());
    assert_eq!(fleet.owners[1].acquire().await, Ok(2));
    assert_eq!(fleet.submit(1, "x3", 2, "done").await, done(4));
    assert!(fleet.check_trace().values().all(|runs| *runs == 1));
}

/// Guards against a write to a free head, which another instance may have taken over already. It
/// could come from an owner that repeats a hand-over in doubt, or that reclaims after it.
#[tokio::test(start_paused = true)]
async fn head_is_not_written_after_a_hand_over_in_doubt() {
    for reclaims in [false, true] {
        let fleet = Fleet::new(13);
        fleet.owners[0].acquire().await.unwrap();
        for number in 0..20 {
            fleet.submit(0, &format!("x{number}"), 1, "done").await;
        }
        sleep(millis(50)).await;
        fleet.clients[0].deliveries.lock().unwrap().push_back(Delivery::ReplyLost);
        let owner = fleet.owners[0].clone();
        let released = tokio::spawn(async move { owner.release().await });
        sleep(millis(12)).await;
        fleet.clients[0].outage.send_replace(true);
        assert!(matches!(released.await.unwrap(), Err(Error::InDoubt(_))));
        fleet.clients[0].outage.send_replace(false);
        let version = fleet.store.peek(&head::key(0)).unwrap().version;
        if reclaims {
            let reclaimed = fleet.owners[0].reclaim(START_UNIX_MS + 30_000).await;
            assert_eq!(reclaimed, Err(Error::NotOwner));
        } else {
            assert_eq!(fleet.owners[0].release().await, Ok(()));
        }
        assert!(!fleet.owners[0].is_owner());
        assert_eq!(fleet.store.peek(&head::key(0)).unwrap().version, version);
        fleet.check_trace();
    }
}
