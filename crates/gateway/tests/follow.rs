//! Tests of following a catalog that loses answers or history, without network.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::config;
use common::options;
use jaycrank_gateway::Gateway;
use jaycrank_gateway::follow::Connectivity;
use jaycrank_gateway::follow::follow;
use jaycrank_standin::Catalog;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time in which a change must be in force although answers were lost. From 4 s after a fault, the
/// strictest deployment requires a new configuration to be in force within 3 s; reading it through
/// another instance takes 1.5 s of that: 4 s + 3 s - 1.5 s.
const IN_FORCE_MAX: Duration = Duration::from_millis(5_500);

/// Guards against a configuration that is applied late: the catalog stops responding for a moment
/// and never answers the watches that waited then, so a change is seen only after their long
/// timeout.
#[tokio::test(start_paused = true)]
async fn unanswered_watch_delays_a_change_by_at_most_5_5_s() {
    let catalog = Arc::new(Catalog::new());
    catalog.put_config(config(1, "db", &[]));
    let gateway = Arc::new(Gateway::new(&options(None, Vec::new())).unwrap());
    let connectivity = Arc::new(Connectivity::default());
    tokio::spawn(follow(gateway.clone(), catalog.clone(), connectivity));
    for after_ms in [700, 2_900, 4_100, 9_300] {
        sleep(Duration::from_millis(after_ms)).await;
        let before = gateway.directory().active().unwrap().version();
        catalog.silence_watches();
        catalog.put_config(config(before + 1, "db", &[]));
        let started = Instant::now();
        while gateway.directory().active().unwrap().version() == before {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(started.elapsed() <= IN_FORCE_MAX, "after {after_ms} ms: {:?}", started.elapsed());
    }
}

/// Guards against lists and watches that alternate without a pause, each a call that costs money:
/// the store compacts its history while its lists lag behind, so each watch from a list expires.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lists_older_than_the_compacted_history_are_retried_slowly() {
    /// Two calls for each kind and pause, with the shortest backoff of 150 ms less its jitter.
    const CALLS_MAX: u64 = 2 * 2 * 10;
    let catalog = Arc::new(Catalog::new());
    catalog.put_config(config(1, "db", &[]));
    let gateway = Arc::new(Gateway::new(&options(None, Vec::new())).unwrap());
    let connectivity = Arc::new(Connectivity::default());
    let following = tokio::spawn(follow(gateway.clone(), catalog.clone(), connectivity));
    sleep(Duration::from_millis(200)).await;
    catalog.set_lag(1);
    catalog.compact();
    catalog.put_config(config(2, "db", &[]));
    catalog.set_lag(2);
    catalog.compact();
    let before = catalog.calls();
    sleep(Duration::from_secs(1)).await;
    let calls = catalog.calls() - before;
    following.abort();
    assert!(calls <= CALLS_MAX, "{calls} calls in a second");
    assert_eq!(gateway.directory().active().unwrap().version(), 2);
}
