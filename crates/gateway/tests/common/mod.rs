//! Starts a gateway with stand-in leafs and a stand-in catalog on loopback.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jaycrank_gateway::Options;
use jaycrank_gateway::catalog::Entry;
use jaycrank_gateway::catalog::State;
use jaycrank_gateway::config::Config;
use jaycrank_gateway::config::Limits;
use jaycrank_gateway::config::Service;
use jaycrank_gateway::header::Names;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_policy::capacity::Capacity;
use jaycrank_policy::route::Route;
use jaycrank_policy::route::Target;
use jaycrank_standin::Catalog;
use jaycrank_standin::Link;
use jaycrank_standin::Server;
pub use jaycrank_standin::raw::Response;
pub use jaycrank_standin::raw::exchange;
use smol_str::SmolStr;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time after which [`eventually`] fails.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(20);

pub const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";

/// Returns an address with a free port on a loopback address of its own. The system gives its port to
/// no connection of another test, as it would on the usual loopback address.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let [_, high, low, _] = std::process::id().to_be_bytes();
    let [.., count_high, count_low] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let second = 128 + (low ^ high ^ count_high) % 64;
    let process = std::process::id().to_be_bytes()[3];
    let listener = TcpListener::bind((Ipv4Addr::new(127, second, process, count_low), 0));
    listener.unwrap().local_addr().unwrap()
}

/// Polls `condition` until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold in time; `what` describes it.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let interval = Duration::from_millis(5);
    for _ in 0..EVENTUALLY_TIMEOUT.as_millis() / interval.as_millis() {
        if condition() {
            return;
        }
        sleep(interval).await;
    }
    panic!("condition not met in time: {what}");
}

pub fn options(peer: Option<SocketAddr>, seeds: Vec<SocketAddr>) -> Options {
    Options {
        name: "instance".into(),
        listen: LOOPBACK_ANY_PORT.parse().unwrap(),
        ready_listen: LOOPBACK_ANY_PORT.parse().unwrap(),
        ready_path: "/ready".into(),
        admin_listen: None,
        peer_listen: peer,
        seeds,
        failure_domain: "a".into(),
        regions: BTreeMap::from([("a".into(), "r".into())]),
        instances: 2,
        // Each request adds more than one token, so that the budget is never exhausted.
        extra_ratio: 2.0,
        extra_fixed: 100.0,
        first_start: false,
        grace: Duration::from_secs(10),
        caller_round_trip: Duration::ZERO,
        names: Names::default(),
        capacity: Capacity::default(),
    }
}

pub fn entry(server: &Server, service: &str) -> Entry {
    entry_at(server.id(), service, server.address())
}

pub fn entry_at(id: &str, service: &str, address: SocketAddr) -> Entry {
    Entry {
        id: id.into(),
        service: service.into(),
        address,
        failure_domain: "a".into(),
        slots: 3,
        state: State::Ready,
        cold: Duration::ZERO,
        started_ms: 1,
        sequence: 1,
    }
}

pub fn route(prefix: &str, idempotent: bool, target: Target) -> Route {
    Route {
        name: prefix.trim_matches('/').into(),
        host: "db.example".into(),
        prefix: prefix.into(),
        idempotent,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_secs(1),
        rank: 0,
        attempts_max: 2,
        target,
    }
}

/// Returns a configuration whose routes `/read/` and `/write/` lead to `service` and whose route
/// `/all/` gathers two records over `shards`.
pub fn config(version: u64, service: &str, shards: &[&str]) -> Config {
    let single = || Target::Split(vec![(SmolStr::new(service), 1.0)]);
    let services = shards.iter().map(SmolStr::new).collect();
    let gather = Target::Gather { services, top: 2, coverage_min: 0.6 };
    Config {
        version,
        routes: vec![
            route("/read/", true, single()),
            route("/write/", false, single()),
            route("/all/", true, gather),
        ],
        services: BTreeMap::from([(SmolStr::new(service), Service { connections_max: 16 })]),
        limits: Limits { body_bytes: 1_024, ..Limits::default() },
    }
}

/// Starts a gateway whose catalog holds `config` and lists `servers` with their services. Waits
/// until the gateway knows both.
pub async fn start(config: Config, servers: &[(&Server, &str)]) -> (Instance, Arc<Catalog>) {
    let catalog = Arc::new(Catalog::new());
    catalog.put_config(config);
    for (server, service) in servers {
        catalog.put_leaf(entry(server, service));
    }
    let instance = Instance::start(options(None, Vec::new()), catalog.clone()).await.unwrap();
    let gateway = instance.gateway().clone();
    eventually("routes and leafs", || gateway.directory().is_complete()).await;
    (instance, catalog)
}

/// Starts two instances that know each other and reach `leaf` over links of their own.
pub async fn start_pair(config: Config, leaf: &Server, service: &str) -> Vec<(Instance, Link)> {
    let peers = [free_address(), free_address()];
    let mut pair = Vec::new();
    for (index, peer) in peers.into_iter().enumerate() {
        let link = Link::start(leaf.address()).await.unwrap();
        let catalog = Arc::new(Catalog::new());
        catalog.put_config(config.clone());
        catalog.put_leaf(Entry { address: link.address(), ..entry(leaf, service) });
        let mut options = options(Some(peer), peers.to_vec());
        // Instances of one failure domain would share the addresses of leafs.
        options.failure_domain = format!("domain-{index}").into();
        options.regions =
            (0..2).map(|domain| (format!("domain-{domain}").into(), "r".into())).collect();
        let instance = Instance::start(options, catalog).await.unwrap();
        let gateway = instance.gateway().clone();
        eventually("routes and leafs", || gateway.directory().is_complete()).await;
        pair.push((instance, link));
    }
    pair
}

/// Sends a request on a new connection and returns the response.
pub async fn call(address: SocketAddr, request: &str) -> Response {
    let mut stream = TcpStream::connect(address).await.unwrap();
    exchange(&mut stream, request).await.expect("a response")
}

/// Sends a request as [`call`] does, from the address `caller`.
pub async fn call_from(caller: Ipv4Addr, address: SocketAddr, request: &str) -> Response {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((caller, 0).into()).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    exchange(&mut stream, request).await.expect("a response")
}

/// Returns a GET request with an id and a deadline of 3 s.
pub fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: db.example\r\nx-request-id: {id}\r\nx-deadline-ms: 3000\r\n\r\n"
    )
}
