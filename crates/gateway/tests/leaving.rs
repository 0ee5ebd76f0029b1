//! Tests of leafs that say in their answers that they leave.

mod common;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::call;
use common::config;
use common::entry;
use common::get;
use common::start;
use jaycrank_gateway::catalog::Entry;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_policy::presence::Presence;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use jaycrank_standin::server::Reaction;
use tokio::task::JoinSet;
use tokio::time::sleep;

const LEAFS: usize = 3;
/// Number of requests after which a leaf among three has got one.
const SENDS: usize = 60;
/// Time after which nothing may reach a leaf of a service whose leafs all leave.
const LAST_RESORT_MAX: Duration = Duration::from_millis(2_000);

fn answer(ms: u64) -> Reaction {
    Reaction::Answer(vec![b'a'; 16], Duration::from_millis(ms))
}

/// Starts an instance with leafs of the service `db`.
async fn tier(count: usize, shards: &[&str]) -> (Instance, Arc<Catalog>, Vec<Server>) {
    let mut leafs = Vec::new();
    for index in 0..count {
        let leaf = Server::start(&format!("leaf-{index}")).await.unwrap();
        leaf.set_reaction(answer(2));
        leafs.push(leaf);
    }
    let listed: Vec<_> = leafs.iter().map(|leaf| (leaf, "db")).collect();
    let (instance, catalog) = start(config(1, "db", shards), &listed).await;
    (instance, catalog, leafs)
}

async fn send(instance: &Instance, path: &str, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for index in 0..count {
        let request = get(path, &format!("{}-{index}", path.trim_matches('/')));
        statuses.push(call(instance.address(), &request).await.status);
    }
    statuses
}

/// Guards against further requests to a leaf that says in any kind of answer that it leaves, while
/// the catalog is silent or still lists it as ready, and against avoiding it after it has started
/// again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaf_that_leaves_gets_no_more_requests_until_it_starts_again() {
    let cases = [
        ("/read/a", answer(2)),
        ("/write/a", answer(2)),
        ("/all/a", answer(2)),
        ("/read/a", Reaction::Status(500)),
        ("/read/a", Reaction::Reject(503)),
        ("/all/a", Reaction::Reject(503)),
        ("/read/a", Reaction::Truncate),
    ];
    for (path, reaction) in cases {
        let (instance, catalog, leafs) = tier(LEAFS, &["db"]).await;
        catalog.set_outage(true);
        leafs[0].set_leaving(Some("1"));
        leafs[0].set_reaction(reaction.clone());
        send(&instance, path, SENDS).await;
        assert_eq!(leafs[0].arrivals().len(), 1, "{path} {reaction:?}, without the catalog");
        catalog.set_outage(false);
        catalog.put_leaf(Entry { sequence: 2, ..entry(&leafs[0], "db") });
        sleep(Duration::from_millis(300)).await;
        send(&instance, path, SENDS).await;
        assert_eq!(leafs[0].arrivals().len(), 1, "{path} {reaction:?}, listed as ready");
        leafs[0].set_leaving(None);
        leafs[0].set_reaction(answer(2));
        catalog.put_leaf(Entry { started_ms: 2, sequence: 1, ..entry(&leafs[0], "db") });
        sleep(Duration::from_millis(300)).await;
        assert_eq!(send(&instance, path, SENDS).await, [200; SENDS]);
        assert!(leafs[0].arrivals().len() > 1, "{path} {reaction:?}, after its start");
    }
}

/// Guards against a leaf that is taken for a leaving one once its entry has lapsed and come back
/// without a new start, and against one that is not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaf_that_leaves_is_known_when_its_entry_comes_back() {
    let (instance, catalog, leafs) = tier(LEAFS, &["db"]).await;
    leafs[0].set_leaving(Some("1"));
    send(&instance, "/read/a", SENDS).await;
    catalog.remove_leaf("leaf-0");
    sleep(Duration::from_millis(300)).await;
    catalog.put_leaf(Entry { sequence: 5, ..entry(&leafs[0], "db") });
    sleep(Duration::from_millis(300)).await;
    assert_eq!(send(&instance, "/read/a", SENDS).await, [200; SENDS]);
    assert_eq!(leafs[0].arrivals().len(), 1);
}

/// Guards against a value that is not defined, or two that differ, taking a leaf away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_values_do_not_make_a_leaf_leave() {
    for value in ["0", "yes", "", "1|0", "0|1", "11"] {
        let (instance, _catalog, leafs) = tier(LEAFS, &["db"]).await;
        leafs[0].set_leaving(Some(value));
        assert_eq!(send(&instance, "/read/a", SENDS).await, [200; SENDS]);
        let leaf = instance.gateway().directory().leaf(&"leaf-0".into()).unwrap();
        let seen = (leafs[0].arrivals().is_empty(), leaf.presence());
        assert_eq!(seen, (false, Presence::Listed), "{value:?}");
    }
}

/// Guards against requests that are refused while the leafs of a service still serve, that reach a
/// leaf too late, or that are held although no leaf is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_leafs_of_a_service_serve_for_a_short_time_and_then_requests_are_refused_at_once() {
    let (instance, catalog, leafs) = tier(2, &["db"]).await;
    catalog.set_outage(true);
    leafs.iter().for_each(|leaf| leaf.set_leaving(Some("1")));
    let start = Instant::now();
    assert_eq!(send(&instance, "/read/a", 4).await, [200; 4]);
    leafs.iter().for_each(|leaf| leaf.set_reaction(answer(50)));
    let mut calls = JoinSet::new();
    for index in 0..12 {
        let (address, request) = (instance.address(), get("/read/a", &format!("c{index}")));
        calls.spawn(async move { call(address, &request).await.status });
    }
    assert_eq!(calls.join_all().await, [200; 12]);
    let counts: Vec<_> = leafs.iter().map(|leaf| leaf.arrivals().len()).collect();
    assert!(counts.iter().all(|count| *count >= 3), "one leaf gets nearly all: {counts:?}");
    sleep(LAST_RESORT_MAX.saturating_sub(start.elapsed())).await;
    let before = Instant::now();
    let refused = call(instance.address(), &get("/read/b", "late")).await;
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(call(instance.address(), &get("/all/b", "late-all")).await.status, 503);
    assert!(before.elapsed() < Duration::from_millis(500), "{:?}", before.elapsed());
    let mut arrivals = leafs.iter().flat_map(Server::arrivals);
    assert!(arrivals.all(|request| request.received_at < start + LAST_RESORT_MAX));
}

/// Guards against a request that was meant for a leaf before it said that it leaves, and is sent to it
/// after having waited for a connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_waits_for_a_connection_is_not_sent_to_a_leaf_that_leaves_meanwhile() {
    let leaf = Server::start("leaf-0").await.unwrap();
    let other = Server::start("leaf-1").await.unwrap();
    leaf.set_reaction(answer(600));
    leaf.set_leaving(Some("1"));
    let mut config = config(1, "db", &["db"]);
    config.routes.iter_mut().for_each(|route| route.attempts_max = 1);
    config.services.values_mut().for_each(|service| service.connections_max = 1);
    let (instance, catalog) = start(config, &[(&leaf, "db")]).await;
    let address = instance.address();
    let calls: Vec<_> = (0..12)
        .map(|index| {
            let request = get("/read/a", &format!("w{index}"));
            tokio::spawn(async move { call(address, &request).await.status })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    let before = leaf.arrivals().len();
    catalog.put_leaf(entry(&other, "db"));
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    assert!(before < 12, "all were sent at once");
    assert_eq!((leaf.arrivals().len(), other.arrivals().len()), (before, 12 - before));
}

/// Guards against requests that wait for a connection to a leaf and are sent to it long after its entry
/// was removed, or after another incarnation has taken its place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_requests_are_not_sent_to_a_leaf_that_is_gone() {
    for is_replaced in [false, true] {
        let (instance, catalog, leafs) = tier(1, &[]).await;
        leafs[0].set_reaction(answer(500));
        let address = instance.address();
        let mut calls = JoinSet::new();
        for index in 0..120 {
            let request = get("/read/", &format!("r{index}")).replace("3000", "20000");
            calls.spawn(async move { call(address, &request).await.status });
        }
        while leafs[0].arrivals().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        let other = Server::start("leaf-0").await.unwrap();
        if is_replaced {
            catalog.put_leaf(Entry { started_ms: 2, ..entry(&other, "db") });
        } else {
            catalog.remove_leaf("leaf-0");
        }
        let removed = Instant::now();
        let mut statuses = calls.join_all().await;
        statuses.sort_unstable();
        statuses.dedup();
        let late = leafs[0].arrivals();
        let late =
            late.iter().map(|request| request.received_at.saturating_duration_since(removed));
        let latest = late.max().unwrap();
        assert!(latest < LAST_RESORT_MAX + Duration::from_millis(500), "{is_replaced}: {latest:?}");
        assert!(statuses.contains(&503) || is_replaced, "{statuses:?}");
    }
}

/// Guards against a leaf that is gone and stays in use because a call to the catalog was cut off: the
/// next answer counted as the end of an outage, in which entries of live leafs may have lapsed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_call_does_not_keep_a_leaf_that_is_gone_in_use() {
    let (instance, catalog, leafs) = tier(1, &[]).await;
    catalog.remove_leaf("leaf-0");
    let removed = Instant::now();
    while removed.elapsed() < LAST_RESORT_MAX * 2 {
        if removed.elapsed() > LAST_RESORT_MAX / 2 {
            catalog.set_outage(true);
            sleep(Duration::from_millis(20)).await;
            catalog.set_outage(false);
        }
        send(&instance, "/read/", 1).await;
        sleep(Duration::from_millis(100)).await;
    }
    let late = leafs[0].arrivals();
    let latest = late.last().unwrap().received_at.saturating_duration_since(removed);
    assert!(latest < LAST_RESORT_MAX, "{latest:?}");
}

/// Guards against a live leaf whose entry lapsed in an outage and that is not used until it is renewed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaf_whose_entry_lapsed_in_an_outage_serves_after_it() {
    let (instance, catalog, _leafs) = tier(1, &[]).await;
    catalog.set_outage(true);
    sleep(Duration::from_millis(500)).await;
    catalog.remove_leaf("leaf-0");
    sleep(Duration::from_millis(2_000)).await;
    catalog.set_outage(false);
    let end = Instant::now() + Duration::from_millis(2_000);
    while Instant::now() < end {
        assert_eq!(send(&instance, "/read/", 1).await, [200]);
        sleep(Duration::from_millis(100)).await;
    }
}
