//! Tests of configuration, membership and the lifecycle of instances, over loopback.

mod common;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use common::call;
use common::config;
use common::entry;
use common::eventually;
use common::exchange;
use common::get;
use common::options;
use common::start;
use jaycrank_gateway::catalog::Entry;
use jaycrank_gateway::catalog::Item;
use jaycrank_gateway::catalog::State;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use jaycrank_standin::server::Reaction;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Guards against an instance that goes back to an older configuration, from the catalog or a peer.
#[tokio::test]
async fn older_configurations_are_ignored() {
    let server = Server::start("one").await.unwrap();
    let (instance, catalog) = start(config(5, "db", &[]), &[(&server, "db")]).await;
    let gateway = instance.gateway().clone();
    let version = || gateway.directory().active().map(|active| active.version());
    catalog.put_config(config(9, "db", &[]));
    eventually("version 9", || version() == Some(9)).await;
    assert!(!gateway.directory().apply_config(config(7, "db", &[]), "peer"));
    catalog.put_config(config(8, "db", &[]));
    catalog.put_config(config(10, "db", &[]));
    eventually("version 10", || version() == Some(10)).await;
}

/// Guards against requests to a leaf that is draining, whose entry is invalid, or that a late
/// report adds again after its removal.
#[tokio::test]
async fn draining_invalid_and_removed_leafs_get_no_requests() {
    let kept = Server::start("kept").await.unwrap();
    let drained = Server::start("drained").await.unwrap();
    let spoilt = Server::start("spoilt").await.unwrap();
    let servers = [(&kept, "db"), (&drained, "db"), (&spoilt, "db")];
    let (instance, catalog) = start(config(1, "db", &[]), &servers).await;
    let draining = {
        let mut entry = entry(&drained, "db");
        entry.state = State::Draining;
        entry.sequence = 2;
        entry
    };
    catalog.put_leaf(draining);
    catalog.put("spoilt", Item::Invalid("spoilt".into(), "not an entry".into()));
    let gateway = instance.gateway().clone();
    let usable = || gateway.directory().usable("db", std::time::Instant::now()).len();
    eventually("one leaf is left", || usable() == 1).await;
    catalog.remove_leaf("drained");
    catalog.put_leaf(entry(&drained, "db"));
    catalog.put_leaf({
        let mut entry = entry(&kept, "db");
        entry.sequence = 3;
        entry
    });
    eventually("the later change is seen", || {
        gateway.directory().entries().iter().any(|entry| entry.sequence == 3)
    })
    .await;
    for at in 0..10 {
        let response = call(instance.address(), &get("/read/", &format!("r{at}"))).await;
        assert_eq!(response.body, b"kept");
    }
}

/// Guards against an instance that stops serving while the catalog is unavailable, and against one
/// that misses what changed during the outage.
#[tokio::test]
async fn instance_serves_during_a_catalog_outage_and_catches_up_after_it() {
    let old = Server::start("old").await.unwrap();
    let new = Server::start("new").await.unwrap();
    let (instance, catalog) = start(config(1, "db", &[]), &[(&old, "db")]).await;
    catalog.set_outage(true);
    assert_eq!(call(instance.address(), &get("/read/", "r1")).await.body, b"old");
    catalog.put_leaf(entry(&new, "db"));
    catalog.remove_leaf("old");
    catalog.compact();
    catalog.set_outage(false);
    let gateway = instance.gateway().clone();
    let names = || {
        let leafs = gateway.directory().usable("db", std::time::Instant::now());
        leafs.iter().map(|leaf| leaf.entry().id.to_string()).collect::<Vec<_>>()
    };
    eventually("the new leaf only", || names() == ["new"]).await;
    assert_eq!(call(instance.address(), &get("/read/", "r2")).await.body, b"new");
}

/// Guards against a graceful shutdown that cuts an open connection, and against one that waits
/// after the last request has ended.
#[tokio::test]
async fn graceful_shutdown_cuts_no_request() {
    let server = Server::start("one").await.unwrap();
    let (instance, _) = start(config(1, "db", &[]), &[(&server, "db")]).await;
    let address = instance.address();
    let mut kept = TcpStream::connect(address).await.unwrap();
    let first = exchange(&mut kept, &get("/read/", "r1")).await.unwrap();
    assert_eq!(first.header("connection"), None);
    server.set_reaction(Reaction::Answer(b"slow".to_vec(), Duration::from_millis(3_500)));
    let mut running = TcpStream::connect(address).await.unwrap();
    let long = get("/read/", "r2").replace("3000", "9000");
    let running = tokio::spawn(async move { exchange(&mut running, &long).await });
    eventually("the long request runs", || server.executed().len() == 2).await;
    server.set_reaction(Reaction::Answer(b"one".to_vec(), Duration::ZERO));
    let stop = tokio::spawn(instance.shutdown());
    sleep(Duration::from_millis(100)).await;
    let last = exchange(&mut kept, &get("/read/", "r3")).await.unwrap();
    assert_eq!((last.status, last.header("connection")), (200, Some("close")));
    let mut late = TcpStream::connect(address).await.unwrap();
    let response = exchange(&mut late, &get("/read/", "r4")).await.unwrap();
    assert_eq!(response.status, 200, "a new connection is served until the balancer has noticed");
    let response = running.await.unwrap().expect("the running request is answered");
    assert_eq!(response.status, 200);
    stop.await.unwrap();
    assert!(TcpStream::connect(address).await.is_err(), "the listener is closed");
}

/// Guards against an instance that can't serve while the catalog is unavailable although another
/// instance knows the routes, and against one that reads the catalog itself although another does.
#[tokio::test]
async fn instance_without_catalog_learns_from_another() {
    let server = Server::start("one").await.unwrap();
    let catalog = Arc::new(Catalog::new());
    catalog.put_config(config(4, "db", &[]));
    catalog.put_leaf(entry(&server, "db"));
    let port = || TcpListener::bind(common::LOOPBACK_ANY_PORT).unwrap().local_addr().unwrap();
    let (first, second) = (port(), port());
    let first_options = options(Some(first), vec![first]);
    let one = Instance::start(first_options, catalog.clone()).await.unwrap();
    eventually("the first instance serves", || one.gateway().directory().is_complete()).await;
    let lost = Arc::new(Catalog::new());
    lost.set_outage(true);
    let two = Instance::start(options(Some(second), vec![first]), lost).await.unwrap();
    eventually("the second instance serves", || two.gateway().directory().is_complete()).await;
    assert_eq!(call(two.address(), &get("/read/", "r")).await.body, b"one");
    catalog.put_config(config(6, "db", &[]));
    let version = || two.gateway().directory().active().map(|active| active.version());
    eventually("version 6 reaches it", || version() == Some(6)).await;
}

/// Number of leafs that start one after the other.
const STARTED_LEAFS: usize = 60;

/// Starts two instances in different failure domains, each with the given catalog.
async fn start_two(catalogs: [&Arc<Catalog>; 2]) -> [Instance; 2] {
    let port = || TcpListener::bind(common::LOOPBACK_ANY_PORT).unwrap().local_addr().unwrap();
    let seeds = [port(), port()];
    let start = async |at: usize, domain: &str| {
        let mut options = options(Some(seeds[at]), seeds.to_vec());
        options.failure_domain = domain.into();
        options.regions = BTreeMap::from([("a".into(), "r".into()), ("b".into(), "s".into())]);
        let instance = Instance::start(options, catalogs[at].clone()).await.unwrap();
        eventually("it serves", || instance.gateway().directory().is_complete()).await;
        instance
    };
    [start(0, "a").await, start(1, "b").await]
}

async fn start_leafs(catalog: &Catalog, server: &Server) {
    for number in 0..STARTED_LEAFS {
        let id = SmolStr::from(format!("leaf-{number}"));
        catalog.put_leaf(Entry { id, ..entry(server, "db") });
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the number of entries that an instance received from other failure domains.
fn entries_received(instance: &Instance) -> usize {
    let text = instance.gateway().metrics().scrape().unwrap();
    let name = "jaycrank_exchanged_leafs_total{relation=\"other\"";
    let line = text.lines().find(|line| line.starts_with(name));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Guards against entries sent between failure domains although the reader of each domain delivers
/// them, while many leafs start: with 300 instances and 726 leafs that was most of the traffic
/// between regions.
#[tokio::test]
async fn changes_from_the_own_reader_are_not_sent_between_failure_domains() {
    let server = Server::start("one").await.unwrap();
    let catalog = Arc::new(Catalog::new());
    catalog.put_config(config(1, "db", &[]));
    catalog.put_leaf(entry(&server, "db"));
    let instances = start_two([&catalog, &catalog]).await;
    start_leafs(&catalog, &server).await;
    for instance in &instances {
        let all = || instance.gateway().directory().leafs().len() == STARTED_LEAFS + 1;
        eventually("all leafs are known", all).await;
        let received = entries_received(instance);
        assert!(received <= STARTED_LEAFS / 2, "{received} of {STARTED_LEAFS} entries came twice");
    }
}

/// Guards against an instance without the catalog that receives the same entries from other
/// instances again and again.
#[tokio::test]
async fn instance_without_catalog_receives_each_entry_once() {
    let server = Server::start("one").await.unwrap();
    let catalog = Arc::new(Catalog::new());
    catalog.put_config(config(1, "db", &[]));
    catalog.put_leaf(entry(&server, "db"));
    let lost = Arc::new(Catalog::new());
    lost.set_outage(true);
    let [_one, two] = start_two([&catalog, &lost]).await;
    start_leafs(&catalog, &server).await;
    let all = || two.gateway().directory().leafs().len() == STARTED_LEAFS + 1;
    eventually("all leafs are known", all).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(entries_received(&two), STARTED_LEAFS + 1);
}
