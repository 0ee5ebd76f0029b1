//! Tests of scatter and gather with stand-in leafs on loopback and a paused clock.

mod common;

use std::time::Duration;

use jaycrank_backend::Category;
use jaycrank_policy::Reason;
use jaycrank_settings::schema::Policy;
use jaycrank_standin::leaf::Fault;
use tokio::time::Instant;
use tokio::time::sleep;

use common::fleet;
use common::plan;
use common::shape;
use common::start;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an incomplete answer while all leafs are healthy.
#[tokio::test(start_paused = true)]
async fn healthy_leafs_give_a_complete_answer() {
    let service = start(shape(4, 3), 4).await;
    let fleet = fleet(&service, Policy::default());
    let replies = fleet.scatter(&plan(1_000)).await.unwrap();
    assert!(replies.coverage.is_complete());
    assert_eq!(replies.bodies.len(), 4);
    assert_eq!(replies.snapshot, 1);
}

/// Guards against a straggler that delays the answer, or keeps running after its hedge has
/// answered.
#[tokio::test(start_paused = true)]
async fn straggler_is_hedged_and_cancelled() {
    let service = start(shape(1, 3), 4).await;
    let fleet = fleet(&service, Policy { hedge_budget: 1.0, ..Policy::default() });
    for _ in 0..40 {
        fleet.scatter(&plan(1_000)).await.unwrap();
    }
    for leaf in service.leafs() {
        leaf.update(|behavior| {
            behavior.straggler_fraction = 1.0;
            behavior.straggler_factor = 100.0;
        });
    }
    let quick = service.leafs().next().unwrap();
    quick.update(|behavior| behavior.straggler_fraction = 0.0);
    let mut slowest = Duration::ZERO;
    for _ in 0..8 {
        let started_at = Instant::now();
        let replies = fleet.scatter(&plan(1_000)).await.unwrap();
        assert!(replies.coverage.is_complete());
        slowest = slowest.max(started_at.elapsed());
    }
    sleep(ms(50)).await;
    let dump = fleet.dump();
    assert!(dump.hedges > 0, "no hedge was sent");
    assert!(dump.cancels >= 1);
    let cancelled: u64 = service.leafs().map(|leaf| leaf.counts().cancelled()).sum();
    assert!(cancelled >= 1, "no attempt was cancelled");
}

/// Guards against hedges that add more than 5% load when every group has stragglers.
#[tokio::test(start_paused = true)]
async fn hedges_stay_within_the_budget() {
    let service = start(shape(4, 3), 4).await;
    let fleet = fleet(&service, Policy::default());
    for leaf in service.leafs() {
        leaf.update(|behavior| {
            behavior.straggler_fraction = 0.045;
            behavior.straggler_factor = 10.0;
        });
    }
    let queries = 1_000;
    for _ in 0..queries {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
    }
    sleep(ms(100)).await;
    let received: u64 = service.leafs().map(|leaf| leaf.counts().received()).sum();
    let regular = queries * 4;
    assert!(fleet.dump().hedges > 10, "hedging was off");
    assert!(received * 100 <= regular * 105, "{received} attempts for {regular} sub-requests");
}

/// Guards against an answer after the deadline, or a partial answer that lists the wrong groups as
/// missing.
#[tokio::test(start_paused = true)]
async fn deadline_gives_a_partial_answer() {
    let service = start(shape(3, 1), 4).await;
    let fleet = fleet(&service, Policy::default());
    let slow_leaf = service.groups()["g01"][0].clone();
    slow_leaf.update(|behavior| behavior.slowdown = 1_000.0);
    let started_at = Instant::now();
    let replies = fleet.scatter(&plan(100)).await.unwrap();
    assert!(started_at.elapsed() <= ms(102), "{:?}", started_at.elapsed());
    let missing: Vec<_> = replies.coverage.missing.iter().collect();
    assert_eq!(missing.len(), 1);
    assert_eq!((missing[0].group.as_str(), missing[0].reason), ("g01", Reason::Deadline));
    assert_eq!(replies.bodies.keys().collect::<Vec<_>>(), ["g00", "g02"]);
}

/// Guards against answers that mix index versions, or that are partial although all groups hold a
/// common version, during a rolling update of the leafs.
#[tokio::test(start_paused = true)]
async fn answers_do_not_mix_index_versions() {
    let service = start(shape(3, 2), 4).await;
    let fleet = fleet(&service, Policy::default());
    let map = service.shard_map().with_version(2, service.replicas());
    fleet.set_service(common::SERVICE_NAME, map, &common::settings(service.shape()), 1);
    fleet.scatter(&plan(1_000)).await.unwrap();
    for leaf in service.leafs() {
        leaf.update(|behavior| behavior.versions = [1, 2].into());
        let replies = fleet.scatter(&plan(1_000)).await.unwrap();
        assert!(replies.coverage.is_complete(), "{replies:?}");
    }
    for leaf in service.leafs() {
        leaf.update(|behavior| behavior.versions = [2].into());
        let replies = fleet.scatter(&plan(1_000)).await.unwrap();
        assert!(replies.coverage.is_complete(), "{replies:?}");
    }
    let replies = fleet.scatter(&plan(1_000)).await.unwrap();
    assert_eq!(replies.snapshot, 2);
}

/// Guards against the use of a reply to another sub-request or from another index version.
#[tokio::test(start_paused = true)]
async fn mismatched_replies_are_not_used() {
    for fault in [Fault::WrongId, Fault::WrongVersion] {
        let service = start(shape(2, 2), 4).await;
        let fleet = fleet(&service, Policy::default());
        let faulty = service.groups()["g00"][0].clone();
        faulty.update(|behavior| behavior.fault = fault);
        let faulty_name = format!("\"{}\"", faulty.name());
        for _ in 0..20 {
            let replies = fleet.scatter(&plan(1_000)).await.unwrap();
            assert!(replies.coverage.is_complete(), "{fault:?}: {replies:?}");
            let bodies = replies.bodies.values();
            let used =
                bodies.map(|body| String::from_utf8_lossy(body)).any(|b| b.contains(&faulty_name));
            assert!(!used, "{fault:?}: a mismatched reply was used");
        }
    }
}

/// Guards against new work for a leaf that is draining by its own report or leaving according to
/// the instance list.
#[tokio::test(start_paused = true)]
async fn draining_leaf_gets_no_new_work() {
    let service = start(shape(1, 2), 4).await;
    let fleet = fleet(&service, Policy::default());
    for _ in 0..10 {
        fleet.scatter(&plan(1_000)).await.unwrap();
    }
    let [first, second] = &service.groups()["g00"][..] else { unreachable!() };
    first.update(|behavior| behavior.state = jaycrank_backend::wire::State::Draining);
    for _ in 0..20 {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
    }
    let received = first.counts().received();
    for _ in 0..20 {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
    }
    assert_eq!(first.counts().received(), received);
    first.update(|behavior| behavior.state = jaycrank_backend::wire::State::Ok);
    fleet.set_leaving([second.name().clone()].into());
    sleep(ms(2_500)).await;
    let received = second.counts().received();
    for _ in 0..20 {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
    }
    assert_eq!(second.counts().received(), received);
}

/// Guards against a non-idempotent request that runs twice because it is retried after its
/// connection broke, and against one that fails although no byte of it was sent.
#[tokio::test(start_paused = true)]
async fn non_idempotent_request_is_sent_once() {
    let service = start(shape(1, 2), 4).await;
    let fleet = fleet(&service, Policy::default());
    let plan = || jaycrank_backend::Plan { group: Some("g00".into()), ..plan(500) };
    let runs = |attempt| -> u64 {
        service.leafs().map(|leaf| leaf.runs_by_attempt().get(&attempt).copied().unwrap_or(0)).sum()
    };
    assert_eq!(fleet.send_once(&plan(), 1).await.unwrap().status, 200);
    assert_eq!(runs(1), 1);
    for leaf in service.leafs() {
        leaf.update(|behavior| behavior.crash_on = Some("{}".into()));
    }
    let error = fleet.send_once(&plan(), 2).await.unwrap_err();
    assert_eq!(error.category(), Category::MayHaveRun, "{error}");
    assert_eq!(runs(2), 1);
    for leaf in service.leafs() {
        leaf.update(|behavior| behavior.crash_on = None);
    }
    let survivor = service.leafs().find(|leaf| leaf.counts().crashes() == 0).unwrap();
    survivor.stop().await;
    let crashed = service.leafs().find(|leaf| leaf.counts().crashes() == 1).unwrap();
    crashed.restart().await.unwrap();
    sleep(ms(3_000)).await;
    assert_eq!(fleet.send_once(&plan(), 3).await.unwrap().status, 200);
    assert_eq!(runs(3), 1);
}

/// Guards against replica choice that trusts reported loads: a fast leaf that reports full load
/// must still get work, and a slow one that reports no load must get little.
#[tokio::test(start_paused = true)]
async fn misleading_load_reports_have_little_effect() {
    let service = start(shape(1, 3), 4).await;
    let fleet = fleet(&service, Policy { hedge_budget: 0.0, ..Policy::default() });
    let leafs = &service.groups()["g00"];
    leafs[0].update(|behavior| behavior.reported_load = Some(8.0));
    leafs[1].update(|behavior| {
        behavior.reported_load = Some(0.0);
        behavior.slowdown = 10.0;
    });
    for _ in 0..300 {
        fleet.scatter(&plan(1_000)).await.unwrap();
    }
    let received: Vec<_> = leafs.iter().map(|leaf| leaf.counts().received()).collect();
    assert!(received[0] > 75, "fast leaf that reports full load: {received:?}");
    assert!(received[1] < 30, "slow leaf that reports no load: {received:?}");
}

/// Guards against a leaf that gets no work after it has recovered.
#[tokio::test(start_paused = true)]
async fn recovered_leaf_gets_work_again() {
    let service = start(shape(1, 2), 4).await;
    let fleet = fleet(&service, Policy::default());
    let leaf = &service.groups()["g00"][0];
    for _ in 0..20 {
        fleet.scatter(&plan(1_000)).await.unwrap();
    }
    leaf.stop().await;
    for _ in 0..50 {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
        sleep(ms(20)).await;
    }
    leaf.restart().await.unwrap();
    sleep(ms(8_000)).await;
    let before = leaf.counts().received();
    for _ in 0..100 {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
    }
    let received = leaf.counts().received() - before;
    assert!(received > 20, "{received} of 100 sub-requests");
}

/// Guards against the late reply to an abandoned sub-request being taken as the reply to a later
/// one on the same connection.
#[tokio::test(start_paused = true)]
async fn late_replies_are_not_used_for_other_requests() {
    let service = start(shape(2, 1), 50).await;
    let fleet = fleet(&service, Policy { limit: false, ..Policy::default() });
    for round in 0..30 {
        let deadline = if round % 2 == 0 { 20 } else { 1_000 };
        let replies = fleet.scatter(&plan(deadline)).await.unwrap();
        assert_eq!(replies.coverage.is_complete(), round % 2 == 1, "round {round}");
        for (group, body) in &replies.bodies {
            let body = String::from_utf8_lossy(body);
            assert!(body.contains(&format!("\"group\":\"{group}\"")), "{group}: {body}");
        }
    }
}

/// Guards against a group that is missing from the answer because one of its replicas sheds load.
#[tokio::test(start_paused = true)]
async fn shed_sub_request_is_retried_on_another_replica() {
    let service = start(shape(2, 2), 4).await;
    let fleet = fleet(&service, Policy::default());
    service.groups()["g00"][0].update(|behavior| behavior.status = Some(503));
    for _ in 0..30 {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
    }
}

/// Guards against a share that is reset to its default when the shard map changes, and against
/// admission of queries while many sub-requests wait for slots.
#[tokio::test(start_paused = true)]
async fn share_survives_map_changes_and_bounds_admission() {
    let service = start(shape(2, 1), 50).await;
    let fleet = fleet(&service, Policy::default());
    fleet.set_share(common::SERVICE_NAME, 0.5);
    fleet.set_service(
        common::SERVICE_NAME,
        service.shard_map(),
        &common::settings(service.shape()),
        4,
    );
    assert_eq!(fleet.dump().services[common::SERVICE_NAME].fraction, 0.5);
    let backpressure = fleet.backpressure(common::SERVICE_NAME);
    assert!(backpressure.can_accept());
    let queries: Vec<_> = (0..6).map(|_| plan(1_000)).collect();
    let all = futures_util::future::join_all(queries.iter().map(|query| fleet.scatter(query)));
    let check = async {
        sleep(ms(10)).await;
        assert!(!backpressure.can_accept());
    };
    let (replies, ()) = tokio::join!(all, check);
    assert!(replies.iter().all(|replies| replies.as_ref().unwrap().coverage.is_complete()));
    assert!(backpressure.can_accept());
}
