//! Tests of state dumps and the overview of a fleet.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use common::call;
use common::config;
use common::entry;
use common::eventually;
use common::get;
use common::options;
use jaycrank_gateway::catalog::Entry;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_gateway::report;
use jaycrank_gateway::report::Dump;
use jaycrank_gateway::report::DumpResult;
use jaycrank_gateway::report::LeafStatus;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use smol_str::SmolStr;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9_000 + number))
}

fn dump(name: &str, version: Option<u64>, leafs: &[(&str, u32)]) -> Dump {
    let entry = |at: usize| Entry {
        id: SmolStr::from(format!("leaf-{at}")),
        service: "db".into(),
        address: address(at as u16),
        failure_domain: "a".into(),
        slots: 3,
        state: jaycrank_gateway::catalog::State::Ready,
        cold: Duration::ZERO,
        started_ms: 1,
        sequence: 1,
    };
    let seen = leafs.iter().enumerate().map(|(at, (state, failures))| LeafStatus {
        entry: entry(at),
        state: (*state).into(),
        in_flight: 2,
        failures: *failures,
        rest_ms: 0,
    });
    Dump {
        name: name.into(),
        version,
        revision: 40,
        catalog_lost: version.is_none(),
        processor_delay_us: 1_250,
        requests: 7,
        outcomes: BTreeMap::from([("complete".into(), 900), ("not-started".into(), 3)]),
        budgets: BTreeMap::from([("db".into(), 5.5), ("orders".into(), 0.25)]),
        leafs: seen.collect(),
        quarantine: BTreeMap::new(),
        limits: BTreeMap::new(),
        memory: BTreeMap::new(),
        traffic: BTreeMap::new(),
    }
}

/// Guards against an overview that hides an instance with an older version, a lost catalog, an
/// empty budget, failing leafs, or no answer.
#[test]
fn an_overview_shows_which_instance_differs() {
    let fleet: BTreeMap<SocketAddr, DumpResult> = BTreeMap::from([
        (address(1), Ok(dump("front-1", Some(12), &[("listed", 0), ("listed", 3)]))),
        (address(2), Ok(dump("front-2", Some(11), &[("listed", 0), ("draining", 0)]))),
        (address(3), Ok(dump("front-3", None, &[("lapsed", 1)]))),
        (address(4), Err("connection refused".into())),
    ]);
    insta::assert_snapshot!(report::overview(&fleet));
}

/// Guards against a dump without the configuration, outcomes or leafs of a running instance.
#[tokio::test]
async fn dump_shows_version_outcomes_and_leafs() {
    let server = Server::start("one").await.unwrap();
    let catalog = std::sync::Arc::new(Catalog::new());
    catalog.put_config(config(4, "db", &[]));
    catalog.put_leaf(entry(&server, "db"));
    let listener = std::net::TcpListener::bind(common::LOOPBACK_ANY_PORT).unwrap();
    let admin = listener.local_addr().unwrap();
    drop(listener);
    let mut options = options(None, Vec::new());
    options.admin_listen = Some(admin);
    let instance = Instance::start(options, catalog).await.unwrap();
    eventually("it serves", || instance.gateway().directory().is_complete()).await;
    assert_eq!(call(instance.address(), &get("/read/", "r")).await.body, b"one");
    let dump = report::fetch(admin).await.unwrap();
    assert_eq!((dump.name.as_str(), dump.version), ("instance", Some(4)));
    assert_eq!(dump.outcomes, BTreeMap::from([("complete".into(), 1)]));
    assert_eq!(dump.leafs.len(), 1);
    assert_eq!(dump.leafs[0].state, "listed");
}

/// Guards against an overview that omits an instance that does not answer.
#[tokio::test]
async fn unreachable_instance_is_shown_without_answer() {
    let listener = std::net::TcpListener::bind(common::LOOPBACK_ANY_PORT).unwrap();
    let unreachable = listener.local_addr().unwrap();
    drop(listener);
    let fleet = BTreeMap::from([(unreachable, report::fetch(unreachable).await)]);
    assert!(report::overview(&fleet).contains("no answer"));
}
