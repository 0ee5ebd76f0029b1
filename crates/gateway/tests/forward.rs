//! Tests of requests that are forwarded to one leaf.

mod common;

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
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_standin::Catalog;
use jaycrank_standin::Link;
use jaycrank_standin::Server;
use jaycrank_standin::link;
use jaycrank_standin::server::Reaction;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Guards against a request or response that is modified in transit, hop-by-hop headers that are
/// forwarded, and a deadline that exceeds the one of the caller.
#[tokio::test]
async fn requests_and_responses_are_forwarded_unchanged() {
    let server = Server::start("one").await.unwrap();
    let (instance, _) = start(config(1, "db", &[]), &[(&server, "db")]).await;
    let request = "POST /write/a%20b/?q=%2F&r HTTP/1.1\r\nhost: db.example\r\nx-request-id: id-1\r\n\
                   x-deadline-ms: 3000\r\nx-own: kept\r\nconnection: x-hop\r\nx-hop: 1\r\n\
                   transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let response = call(instance.address(), request).await;
    assert_eq!((response.status, response.body.as_slice()), (200, b"one".as_slice()));
    assert_eq!(response.header("x-signature"), Some("one/id-1"));
    let seen = server.executed();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].target, "POST /write/a%20b/?q=%2F&r");
    assert_eq!(seen[0].body, b"abcde");
    let header = |name: &str| seen[0].headers.get(name).map(String::as_str);
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!(header("x-hop"), None);
    assert_eq!(header("x-expected-leaf"), Some("one"));
    assert!(header("x-deadline-ms").unwrap().parse::<u64>().unwrap() <= 3_000);
}

/// Faults of one leaf, with the expected status of an idempotent and of a non-idempotent request. A
/// non-idempotent request that goes to the other leaf gets 200.
const FAULTS: [(&str, Reaction, u16, u16); 9] = [
    ("close", Reaction::Close, 200, 502),
    ("truncate", Reaction::Truncate, 200, 502),
    ("garbage", Reaction::Garbage, 200, 502),
    ("wrong id", Reaction::WrongId, 200, 502),
    ("failure", Reaction::Status(500), 200, 500),
    ("503 without a not-run header", Reaction::Status(503), 200, 502),
    ("reject", Reaction::Reject(503), 200, 200),
    ("reject early", Reaction::Reject(429), 200, 200),
    ("other leaf", Reaction::Reject(421), 200, 200),
];

/// Guards against a non-idempotent request that runs twice, a response that belongs to another
/// request, and an error where another leaf could answer.
#[tokio::test]
async fn requests_to_faulty_leafs_get_the_expected_status() {
    for (name, reaction, read, write) in FAULTS {
        let faulty = Server::start("faulty").await.unwrap();
        let sound = Server::start("sound").await.unwrap();
        let servers = [(&faulty, "db"), (&sound, "db")];
        let (instance, _) = start(config(1, "db", &[]), &servers).await;
        faulty.set_reaction(reaction);
        // Without statistics both leafs are alike, so some of these requests go to the faulty one.
        for index in 0..12 {
            let response = call(instance.address(), &get("/read/", &format!("r{index}"))).await;
            assert_eq!(response.status, read, "{name}: idempotent request {index}");
            assert_eq!(response.body, b"sound", "{name}");
        }
        for index in 0..12 {
            let id = format!("w{index}");
            let response = call(instance.address(), &get("/write/", &id)).await;
            let runs = [&faulty, &sound].map(|server| {
                server.executed().iter().filter(|seen| seen.headers["x-request-id"] == id).count()
            });
            assert!(runs[0] + runs[1] <= 1, "{name}: request {id} ran {runs:?} times");
            assert!([200, write].contains(&response.status), "{name}: status {}", response.status);
            assert_eq!(
                response.status == 200,
                runs[1] == 1,
                "{name}: 200 if and only if the sound leaf ran it"
            );
            if response.status == 503 {
                assert_eq!(runs, [0, 0], "{name}: 503 for a request that ran");
            }
        }
    }
}

/// Guards against a surplus response on a reused connection that is taken for the response to the
/// next request.
#[tokio::test]
async fn surplus_responses_are_discarded() {
    let server = Server::start("one").await.unwrap();
    let (instance, _) = start(config(1, "db", &[]), &[(&server, "db")]).await;
    server.set_reaction(Reaction::Extra(b"own".to_vec()));
    let mut stream = TcpStream::connect(instance.address()).await.unwrap();
    for index in 0..20 {
        let response = exchange(&mut stream, &get("/read/", &format!("r{index}"))).await.unwrap();
        assert_ne!(response.body, b"foreign", "request {index}");
    }
}

/// Guards against a response without a length, which ends with the connection, that is lost or
/// truncated.
#[tokio::test]
async fn responses_without_a_length_are_forwarded_whole() {
    let server = Server::start("one").await.unwrap();
    let (instance, _) = start(config(1, "db", &[]), &[(&server, "db")]).await;
    server.set_reaction(Reaction::CloseDelimited(vec![9; 3_000]));
    let response = call(instance.address(), &get("/read/", "r")).await;
    assert_eq!((response.status, response.body), (200, vec![9; 3_000]));
}

/// Guards against a leaf that continues a request after its caller has disconnected.
#[tokio::test]
async fn request_is_cancelled_when_the_caller_disconnects() {
    let server = Server::start("one").await.unwrap();
    let (instance, _) = start(config(1, "db", &[]), &[(&server, "db")]).await;
    server.set_reaction(Reaction::Hang);
    let mut stream = TcpStream::connect(instance.address()).await.unwrap();
    stream.write_all(get("/read/", "r").as_bytes()).await.unwrap();
    eventually("the request runs", || server.open_connections() == 1).await;
    drop(stream);
    eventually("the connection to the leaf closes", || server.open_connections() == 0).await;
}

/// Guards against a 503 without a `Retry-After` header, and against an invalid request that gets
/// another status than the one for its error.
#[tokio::test]
async fn each_refusal_has_the_status_of_its_error() {
    let (instance, catalog) = start(config(1, "db", &[]), &[]).await;
    let address = instance.address();
    let without_leaf = call(address, &get("/write/", "w")).await;
    assert_eq!(without_leaf.status, 503);
    let seconds: f64 = without_leaf.header("retry-after").unwrap().parse().unwrap();
    assert!((0.0..=1.0).contains(&seconds), "within a third of the deadline: {seconds}");
    assert_eq!(call(address, &get("/unknown/", "u")).await.status, 404);
    let long = format!(
        "POST /read/ HTTP/1.1\r\nhost: db.example\r\ncontent-length: 2000\r\n\r\n{}",
        "x".repeat(2_000)
    );
    assert_eq!(call(address, &long).await.status, 413);
    assert_eq!(call(address, "nonsense\r\n\r\n").await.status, 400);
    assert!(catalog.calls() > 0);
}

/// Guards against a slowly sent body that occupies its connection indefinitely, and against a
/// refusal of it that does not state that the request was not run.
#[tokio::test]
async fn slow_bodies_are_refused() {
    let server = Server::start("one").await.unwrap();
    let mut config = config(1, "db", &[]);
    config.limits.idle_time = Duration::from_millis(200);
    config.limits.header_time = Duration::from_millis(200);
    let (instance, _) = start(config, &[(&server, "db")]).await;
    let head = "POST /write/ HTTP/1.1\r\nhost: db.example\r\ncontent-length: 9\r\n\r\npart";
    assert_eq!(call(instance.address(), head).await.status, 408);
    assert!(server.executed().is_empty());
}

/// Guards against a request that runs longer than the timeout of its route.
#[tokio::test]
async fn requests_end_at_the_timeout_of_their_route() {
    let server = Server::start("one").await.unwrap();
    let mut config = config(1, "db", &[]);
    config.routes[0].timeout = Duration::from_millis(200);
    let (instance, _) = start(config, &[(&server, "db")]).await;
    server.set_reaction(Reaction::Hang);
    assert_eq!(call(instance.address(), &get("/read/", "r")).await.status, 504);
}

/// Guards against requests that only waited for a connection and are answered as if a leaf may have
/// run them, so that callers can't send them again.
#[tokio::test]
async fn requests_that_were_never_sent_are_answered_as_not_run() {
    let server = Server::start("leaf-0").await.unwrap();
    let link = Link::start(server.address()).await.unwrap();
    link.set_state(link::State::Hang);
    let catalog = Arc::new(Catalog::new());
    let mut config = config(1, "db", &["db", "other"]);
    for route in &mut config.routes {
        route.timeout = Duration::from_millis(250);
    }
    catalog.put_config(config);
    for service in ["db", "other"] {
        let id = format!("{service}-leaf").into();
        catalog.put_leaf(Entry { id, address: link.address(), ..entry(&server, service) });
    }
    let instance = Instance::start(options(None, Vec::new()), catalog).await.unwrap();
    eventually("routes and leafs", || instance.gateway().directory().is_complete()).await;
    for path in ["/read/", "/write/", "/all/"] {
        let response = call(instance.address(), &get(path, "r")).await;
        assert_eq!(response.status, 503, "{path}");
    }
    assert!(server.executed().is_empty());
}
