//! Pauses, takeovers and retries through another instance.

use std::time::Duration;

use jaycrank_claim::Error;
use jaycrank_claim::Reason;
use jaycrank_claim::Verdict;
use tokio::time::sleep;

use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::START_UNIX_MS;

/// Guards against a second run or a wrong verdict when the owner is paused at any point of a
/// submission, another instance takes over and gets the retry, and the owner resumes.
#[tokio::test(start_paused = true)]
async fn owner_paused_past_a_takeover_is_fenced() {
    for after in 0..50 {
        let fleet = Fleet::new(20);
        fleet.owners[0].acquire().await.unwrap();
        let first = fleet.spawn_submit(0, "x", 1, "done");
        sleep(Duration::from_millis(after * 2)).await;
        fleet.clients[0].paused.send_replace(true);
        let next = fleet.owners[1].acquire().await;
        assert_eq!(next, Ok(2));
        let retry = fleet.submit(1, "x", 2, "done").await;
        fleet.clients[0].paused.send_replace(false);
        let first = first.await.unwrap();
        let late = fleet.submit(0, "y", 1, "done").await;
        assert!(matches!(late, Verdict::NotRun { .. }), "after {after}: {late:?}");
        assert!(!fleet.owners[0].is_owner(), "a write after the resumption must be fenced");
        if let Verdict::NotRun { .. } = first {
            assert!(matches!(retry, Verdict::Done { .. }), "after {after}: {retry:?}");
        }
        assert_eq!(fleet.check_trace()["x"], 1, "after {after}");
    }
}

/// Guards against a "not run" for a retry at an instance that was fenced without having noticed,
/// while the first attempt ran elsewhere.
#[tokio::test(start_paused = true)]
async fn retry_at_a_fenced_owner_may_have_run() {
    let fleet = Fleet::new(21);
    fleet.owners[0].acquire().await.unwrap();
    fleet.owners[1].acquire().await.unwrap();
    assert!(fleet.owners[0].is_owner(), "a fenced owner has not noticed yet");
    assert!(matches!(fleet.submit(1, "x", 1, "done").await, Verdict::Done { .. }));
    let verdict = fleet.submit(0, "x", 2, "done").await;
    assert_eq!(verdict, Verdict::MayHaveRun { reason: Reason::Fenced });
    let verdict = fleet.submit(0, "x", 2, "done").await;
    assert_eq!(verdict, Verdict::MayHaveRun { reason: Reason::NotOwner });
    assert_eq!(fleet.check_trace()["x"], 1);
}

/// Guards against two owners after concurrent takeovers.
#[tokio::test(start_paused = true)]
async fn concurrent_takeovers_leave_one_owner() {
    for offset in 0..30 {
        let fleet = Fleet::new(22);
        fleet.owners[2].acquire().await.unwrap();
        assert!(matches!(fleet.submit(2, "w", 1, "done").await, Verdict::Done { .. }));
        let other = fleet.owners[1].clone();
        let other = tokio::spawn(async move {
            sleep(Duration::from_millis(offset * 2)).await;
            other.acquire().await
        });
        let first = fleet.owners[0].acquire().await;
        let second = other.await.unwrap();
        assert!(first.is_ok() || second.is_ok());
        let submissions =
            [fleet.spawn_submit(0, "x", 1, "done"), fleet.spawn_submit(1, "x", 2, "done")];
        for submission in submissions {
            submission.await.unwrap();
        }
        assert!(fleet.check_trace()["x"] <= 1);
        assert!(!(fleet.owners[0].is_owner() && fleet.owners[1].is_owner()));
    }
}

/// Guards against a takeover that, after a stale read, takes the head that its own failed earlier
/// takeover wrote for the one that it writes itself.
#[tokio::test(start_paused = true)]
async fn takeover_is_not_confused_with_a_failed_earlier_one() {
    let fleet = Fleet::new(24);
    fleet.owners[1].acquire().await.unwrap();
    fleet.clients[0].deliveries.lock().unwrap().extend([
        Delivery::Applied,
        Delivery::Applied,
        Delivery::Refused,
    ]);
    assert!(matches!(fleet.owners[0].acquire().await, Err(Error::Store(_))));
    fleet.store.update_fault(|fault| fault.stale_read_fraction = 1.0);
    let owner = fleet.owners[0].clone();
    let again = tokio::spawn(async move { owner.acquire().await });
    sleep(Duration::from_millis(8)).await;
    fleet.store.update_fault(|fault| fault.stale_read_fraction = 0.0);
    assert!(matches!(again.await.unwrap(), Err(Error::Fenced(_))));
    assert_eq!(fleet.owners[0].acquire().await, Ok(3));
    fleet.check_trace();
}

/// Guards against an instance that is paused in its takeover before it creates a segment, and then
/// creates one whose number later owners have used for a segment that they deleted.
#[tokio::test(start_paused = true)]
async fn segment_number_is_not_reused() {
    for pause in (20..70).step_by(5) {
        let fleet = Fleet::new(23);
        fleet.owners[2].acquire().await.unwrap();
        let other = fleet.owners[0].clone();
        let other = tokio::spawn(async move { other.acquire().await });
        sleep(Duration::from_millis(pause)).await;
        fleet.clients[0].paused.send_replace(true);
        fleet.owners[1].acquire().await.unwrap();
        for number in 0..20 {
            fleet.submit(1, &format!("x{number}"), 1, "done").await;
        }
        fleet.owners[1].reclaim(START_UNIX_MS + 30_000).await.unwrap();
        fleet.clients[0].paused.send_replace(false);
        let stale = other.await.unwrap();
        if fleet.owners[0].is_owner() {
            // The instance completed its takeover before the pause.
            let verdict = fleet.submit(0, "y", 1, "done").await;
            assert!(matches!(verdict, Verdict::NotRun { .. }), "pause {pause}: {verdict:?}");
        } else {
            assert!(matches!(stale, Err(Error::Fenced(_))), "pause {pause}: {stale:?}");
        }
        fleet.check_trace();
    }
}
