//! Tests of silent connections and of the connection cap, with a paused clock.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::future::join_all;
use jaycrank_backend::Fleet;
use jaycrank_backend::Observer;
use jaycrank_backend::Options;
use jaycrank_settings::schema::Policy;
use tokio::time::Instant;
use tokio::time::sleep;

use common::SERVICE_NAME;
use common::fleet;
use common::plan;
use common::settings;
use common::shape;
use common::start;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against sub-requests that wait on silent connections until their deadline. Each group has
/// a single replica, and all or half of its connections go silent at the same time.
#[tokio::test(start_paused = true)]
async fn silent_connections_are_replaced() {
    for half in [false, true] {
        let service = start(shape(4, 1), 4).await;
        let fleet = fleet(&service, Policy::default());
        let warm_up = (0..40).map(|_| async { fleet.scatter(&plan(2_000)).await });
        join_all(warm_up).await;
        for leaf in service.leafs() {
            if half { leaf.silence_half() } else { leaf.silence() }
        }
        for _ in 0..10 {
            let started_at = Instant::now();
            let replies = fleet.scatter(&plan(2_000)).await.unwrap();
            assert!(replies.coverage.is_complete(), "half {half}: {replies:?}");
            assert!(started_at.elapsed() < ms(500), "half {half}: {:?}", started_at.elapsed());
        }
        assert!(fleet.dump().silent > 0, "half {half}");
        for leaf in service.leafs() {
            assert!(leaf.peak_connections() <= 8, "half {half}: {}", leaf.peak_connections());
        }
    }
}

/// Guards against closing the connections of a leaf that is only slow, which would run its requests
/// twice.
#[tokio::test(start_paused = true)]
async fn slow_leaf_keeps_its_connections() {
    let service = start(shape(2, 1), 4).await;
    let fleet = fleet(&service, Policy::default());
    for _ in 0..40 {
        fleet.scatter(&plan(2_000)).await.unwrap();
    }
    let accepted: u64 = service.leafs().map(|leaf| leaf.accepted_connections()).sum();
    let received: u64 = service.leafs().map(|leaf| leaf.counts().received()).sum();
    for leaf in service.leafs() {
        leaf.update(|behavior| behavior.slowdown = 100.0);
    }
    let replies = fleet.scatter(&plan(2_000)).await.unwrap();
    assert!(replies.coverage.is_complete(), "{replies:?}");
    assert_eq!(fleet.dump().silent, 0);
    let after: u64 = service.leafs().map(|leaf| leaf.counts().received()).sum();
    assert_eq!(after, received + 2, "the requests ran twice or not at all");
    let newly_accepted =
        service.leafs().map(|leaf| leaf.accepted_connections()).sum::<u64>() - accepted;
    assert!(newly_accepted <= 2, "more than the control connections were opened: {newly_accepted}");
}

/// Guards against opening more connections than this instance's share of the cap during a burst,
/// while connections go silent, and while leafs restart.
#[tokio::test(start_paused = true)]
async fn connection_cap_is_never_exceeded() {
    let service = start(shape(2, 2), 4).await;
    let fleet = Fleet::new(Options {
        policy: Policy { limit: false, ..Policy::default() },
        ..Options::default()
    });
    // floor(10 x 0.8 / 2) = 4 connections for each leaf.
    fleet.set_service(SERVICE_NAME, service.shard_map(), &settings(service.shape()), 2);
    for round in 0..6 {
        let burst = (0..50).map(|_| async { fleet.scatter(&plan(3_000)).await });
        for replies in join_all(burst).await {
            assert!(!replies.unwrap().bodies.is_empty());
        }
        for (index, leaf) in service.leafs().enumerate() {
            match (round + index) % 3 {
                0 => leaf.silence_half(),
                1 => leaf.restart().await.unwrap(),
                _ => {}
            }
        }
    }
    for leaf in service.leafs() {
        assert!(leaf.peak_connections() <= 4, "{}: {}", leaf.name(), leaf.peak_connections());
    }
}

#[derive(Default)]
struct Incidents(Mutex<Vec<(String, Vec<u64>)>>);

impl Observer for Incidents {
    fn connection_broken(&self, leaf: &str, fingerprints: &[u64]) {
        self.0.lock().unwrap().push((leaf.to_string(), fingerprints.to_vec()));
    }
}

/// Guards against a crash of a leaf that is not reported together with the requests in flight. The
/// quarantine needs them to find the request that caused the crash.
#[tokio::test(start_paused = true)]
async fn broken_connection_reports_its_requests() {
    let service = start(shape(1, 1), 4).await;
    let incidents = Arc::new(Incidents::default());
    let fleet = Fleet::new(Options { observer: Some(incidents.clone()), ..Options::default() });
    fleet.set_service(SERVICE_NAME, service.shard_map(), &settings(service.shape()), 1);
    let leaf = service.leafs().next().unwrap();
    leaf.update(|behavior| behavior.crash_on = Some("{}".into()));
    let replies = fleet.scatter(&plan(300)).await.unwrap();
    assert!(!replies.coverage.is_complete());
    let reported = incidents.0.lock().unwrap().clone();
    assert_eq!(reported, [(leaf.name().to_string(), vec![42])]);
}

/// Guards against connections that stay open, or sub-requests that are aborted, when a leaf is
/// removed from the map or the fleet is closed.
#[tokio::test(start_paused = true)]
async fn removed_leafs_are_drained() {
    let service = start(shape(1, 2), 100).await;
    let fleet = fleet(&service, Policy::default());
    let query = plan(2_000);
    let running = fleet.scatter(&query);
    let change = async {
        sleep(ms(20)).await;
        let mut groups = service.replicas();
        let accepted = service.leafs().map(|leaf| leaf.accepted_connections()).collect::<Vec<_>>();
        groups.values_mut().for_each(|replicas| replicas.truncate(1));
        let map = jaycrank_policy::ShardMap::new().with_version(1, groups);
        fleet.set_service(SERVICE_NAME, map, &settings(service.shape()), 1);
        accepted
    };
    let (replies, accepted) = tokio::join!(running, change);
    assert!(replies.unwrap().coverage.is_complete());
    for _ in 0..5 {
        assert!(fleet.scatter(&plan(2_000)).await.unwrap().coverage.is_complete());
    }
    let kept_leaf = service.leafs().next().unwrap();
    assert_eq!(
        kept_leaf.accepted_connections(),
        accepted[0],
        "the kept leaf was connected to again"
    );
    fleet.close();
    assert_eq!(fleet.scatter(&plan(100)).await, None);
}

/// Guards against a leaf that is considered failed because the cap leaves no connection to request
/// its status.
#[tokio::test(start_paused = true)]
async fn single_connection_keeps_the_leaf_usable() {
    let service = start(shape(2, 1), 4).await;
    let fleet = Fleet::new(Options::default());
    // floor(10 x 0.8 / 8) = 1 connection for each leaf.
    fleet.set_service(SERVICE_NAME, service.shard_map(), &settings(service.shape()), 8);
    for _ in 0..3 {
        assert!(fleet.scatter(&plan(1_000)).await.unwrap().coverage.is_complete());
        sleep(ms(5_000)).await;
    }
    for leaf in &fleet.dump().services[SERVICE_NAME].leafs {
        assert_eq!(leaf.failures, 0, "{leaf:?}");
    }
    for leaf in service.leafs() {
        assert_eq!(leaf.peak_connections(), 1);
    }
}
