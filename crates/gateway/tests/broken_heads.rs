//! Tests of answers that break off at any byte: of a leaf, through another instance, and of the
//! servers that instances call.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::call;
use common::config;
use common::entry;
use common::entry_at;
use common::eventually;
use common::exchange;
use common::free_address;
use common::get;
use common::options;
use http_body_util::Full;
use hyper::Request;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_http::Client;
use jaycrank_standin::Catalog;
use jaycrank_standin::Link;
use jaycrank_standin::Server;
use jaycrank_standin::link::State;
use jaycrank_standin::server::Reaction;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Body of the answers.
const BODY: &str = "0123456789abcdef";
/// Distance of the positions at which an answer of a leaf breaks off. A request whose connection broke
/// waits a quarter of a second, so that a run over all positions (1) takes four minutes.
const LEAF_CUT_STEP: usize = 29;
/// Deadline of a request whose leaf falls silent, in milliseconds.
const SHORT_DEADLINE_MS: &str = "300";

/// What a leaf does after the bytes that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
    Silence,
}

/// How an answer states the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    ConnectionEnd,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::ConnectionEnd];

/// Returns the whole answer to a request, and the length of its head.
fn answer(framing: Framing, id: &str) -> (String, usize) {
    let start = format!("HTTP/1.1 200 OK\r\nx-signature: raw/{id}\r\nx-request-id: {id}\r\n");
    let (end, body) = match framing {
        Framing::Length => ("content-length: 16\r\nkeep-alive: timeout=5\r\n\r\n", BODY.to_owned()),
        Framing::Chunks => {
            ("transfer-encoding: chunked\r\n\r\n", format!("10\r\n{BODY}\r\n0\r\n\r\n"))
        }
        Framing::ConnectionEnd => ("\r\n", BODY.to_owned()),
    };
    let head = start + end;
    let length = head.len();
    (head + &body, length)
}

/// Returns numbers of bytes after which an answer is not complete. An answer that ends with its
/// connection can't be told from a shorter one once its head is complete.
fn cuts(framing: Framing, id: &str, ending: Ending) -> Vec<usize> {
    let (text, head) = answer(framing, id);
    let end = match (framing, ending) {
        (Framing::ConnectionEnd, Ending::Close) => head,
        _ => text.len(),
    };
    let step = if ending == Ending::Silence { 23 } else { 1 };
    (0..end).step_by(step).collect()
}

/// Leaf that breaks off its answer to a request whose target is `/.../CUT`, and answers others whole.
async fn start_raw_leaf(framing: Framing, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind(common::LOOPBACK_ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, framing, ending));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, framing: Framing, ending: Ending) {
    let mut request = Vec::new();
    while let Ok(count) = stream.read_buf(&mut request).await
        && count > 0
    {
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8(std::mem::take(&mut request)).unwrap();
        let id = text.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or("");
        let target = text.split(' ').nth(1).unwrap();
        let (whole, _) = answer(framing, id);
        let cut = target.rsplit('/').next().and_then(|cut| cut.parse::<usize>().ok());
        let sent = &whole.as_bytes()[..cut.unwrap_or(whole.len())];
        if stream.write_all(sent).await.is_err() {
            return;
        }
        match (cut, ending) {
            (None, _) if framing != Framing::ConnectionEnd => continue,
            (None, _) | (_, Ending::Close) => return,
            // The bytes must arrive before the reset, which would discard them.
            (_, Ending::Reset) => {
                sleep(Duration::from_millis(3)).await;
                let _ = stream.set_zero_linger();
                return;
            }
            (_, Ending::Silence) => sleep(Duration::from_secs(60)).await,
        }
    }
}

/// Starts an instance whose service `db` and shard `s0` have only the raw leaf.
async fn start_instance(raw: SocketAddr, shards: &[Server]) -> Instance {
    let catalog = Arc::new(Catalog::new());
    let mut config = config(1, "db", &["s0", "s1", "s2"]);
    for route in &mut config.routes {
        route.attempts_max = 1;
        route.target_latency = Duration::from_millis(150);
    }
    catalog.put_config(config);
    catalog.put_leaf(entry_at("raw", "db", raw));
    catalog.put_leaf(entry_at("raw-s0", "s0", raw));
    shards.iter().zip(["s1", "s2"]).for_each(|(server, shard)| {
        catalog.put_leaf(entry(server, shard));
    });
    let instance = Instance::start(options(None, Vec::new()), catalog).await.unwrap();
    let gateway = instance.gateway().clone();
    eventually("routes and leafs", || gateway.directory().is_complete()).await;
    instance
}

async fn start_shards() -> Vec<Server> {
    let mut shards = Vec::new();
    for shard in ["s1", "s2"] {
        let server = Server::start(shard).await.unwrap();
        server.set_reaction(Reaction::Answer(vec![b'z'; 16], Duration::ZERO));
        shards.push(server);
    }
    shards
}

/// Guards against an answer that breaks off in its head or its body and reaches the caller as a
/// complete one, of one leaf and as a part, on new connections and on ones used before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_answers_are_never_passed_on_as_complete() {
    let shards = start_shards().await;
    for framing in FRAMINGS {
        for ending in [Ending::Close, Ending::Reset, Ending::Silence] {
            let raw = start_raw_leaf(framing, ending).await;
            let instance = start_instance(raw, &shards).await;
            let address = instance.address();
            let all = cuts(framing, "r000", ending);
            let head_end = answer(framing, "r000").1;
            // Always also between the characters of the line ends that end the head.
            let is_played = |cut: &usize| {
                ending == Ending::Silence
                    || cut.is_multiple_of(LEAF_CUT_STEP)
                    || (head_end - 4..=head_end).contains(cut)
            };
            for cut in all.into_iter().filter(is_played) {
                let id = format!("r{cut:03}");
                let send = async |path: &str| {
                    let mut request = get(path, &id);
                    if ending == Ending::Silence {
                        request = request.replace("3000", SHORT_DEADLINE_MS);
                    }
                    call(address, &request).await
                };
                let what = format!("{framing:?}, {ending:?} after {cut} bytes");
                let warm = send("/read/").await;
                // After failures the leaf is avoided, not excluded.
                assert_eq!((warm.status, warm.body), (200, BODY.into()), "{what}");
                for path in ["/read", "/write"] {
                    let response = send(&format!("{path}/{cut}")).await;
                    assert!([502, 504].contains(&response.status), "{path}, {what}: {response:?}");
                }
                let response = send(&format!("/all/{cut}")).await;
                assert_eq!(response.status, 200, "{what}");
                assert_eq!(response.header("x-missing-parts"), Some("1"), "{what}");
                assert_eq!(response.body, [b'z'; 32], "{what}");
            }
        }
    }
}

/// Guards against a broken answer of a leaf that another instance passes on as a complete one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_answers_are_not_completed_by_another_instance() {
    for framing in FRAMINGS {
        let raw = start_raw_leaf(framing, Ending::Close).await;
        let link = Link::start(raw).await.unwrap();
        let peers = [free_address(), free_address()];
        let mut instances = Vec::new();
        for (index, leaf) in [link.address(), raw].into_iter().enumerate() {
            let catalog = Arc::new(Catalog::new());
            catalog.put_config(config(1, "db", &[]));
            catalog.put_leaf(entry_at("raw", "db", leaf));
            let mut options = options(Some(peers[index]), peers.to_vec());
            options.failure_domain = ["a", "b"][index].into();
            options.regions = [("a".into(), "r".into()), ("b".into(), "r".into())].into();
            let instance = Instance::start(options, catalog).await.unwrap();
            let gateway = instance.gateway().clone();
            eventually("routes and leafs", || gateway.directory().is_complete()).await;
            instances.push(instance);
        }
        link.set_state(State::Reset);
        let address = instances[0].address();
        let gateway = instances[0].gateway().clone();
        let mut count = 0;
        while !gateway.reachability().is_cut_off() {
            call(address, &get("/read/", &format!("c{count}"))).await;
            count += 1;
            sleep(Duration::from_millis(10)).await;
        }
        let whole = call(address, &get("/read/", "whole")).await;
        assert_eq!((whole.status, whole.body), (200, BODY.into()), "{framing:?}");
        for cut in cuts(framing, "r000", Ending::Close).into_iter().step_by(7) {
            for path in ["/read", "/write"] {
                let request = get(&format!("{path}/{cut}"), &format!("r{cut:03}"));
                let status = call(address, &request).await.status;
                assert!([502, 504].contains(&status), "{path}, {framing:?}, {cut}: {status}");
            }
        }
    }
}

/// Guards against a broken reply of the store or of another instance that is taken for a whole one.
#[tokio::test]
async fn broken_replies_to_calls_are_errors() {
    for framing in FRAMINGS {
        for ending in [Ending::Close, Ending::Reset, Ending::Silence] {
            let client = Client::new(start_raw_leaf(framing, ending).await);
            for cut in cuts(framing, "", ending) {
                let request = |target: String| {
                    let request = Request::get(target).header("host", "store");
                    request.body(Full::new(Bytes::new())).unwrap()
                };
                let whole = client.call(request("/whole".into()), Duration::from_secs(5)).await;
                assert_eq!(whole.unwrap().body(), BODY, "{framing:?}");
                let limit = Duration::from_millis(200);
                let broken = client.call(request(format!("/{cut}")), limit).await;
                assert!(broken.is_err(), "{framing:?}, {ending:?} after {cut} bytes: {broken:?}");
            }
        }
    }
}

/// Guards against a stand-in that never sends a whole answer, which would hold the tests above empty.
#[tokio::test]
async fn raw_leaf_answers_whole_requests() {
    for framing in FRAMINGS {
        let mut stream =
            TcpStream::connect(start_raw_leaf(framing, Ending::Close).await).await.unwrap();
        let response = exchange(&mut stream, &get("/read/", "r")).await;
        assert_eq!(response.map(|response| response.status), Some(200), "{framing:?}");
    }
}
