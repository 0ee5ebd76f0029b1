//! Tests of what requests and answers count that pass through another instance.

mod common;

use std::time::Duration;

use common::Response;
use common::call;
use common::config;
use common::eventually;
use common::get;
use common::start_pair;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_standin::Link;
use jaycrank_standin::Server;
use jaycrank_standin::link::State;
use jaycrank_standin::server::Reaction;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Size of a body, in bytes, which is more than a request takes otherwise.
const BODY_BYTES: usize = 64 << 10;
/// Size of an answer, in bytes, which exceeds the buffers of the system.
const ANSWER_BYTES: usize = 7 << 20;

/// Starts two instances; the first one is cut off from the leaf, so that the second one runs its
/// requests.
async fn start(leaf: &Server) -> Vec<(Instance, Link)> {
    let mut config = config(1, "db", &[]);
    config.limits.body_bytes = BODY_BYTES;
    let pair = start_pair(config, leaf, "db").await;
    pair[0].1.set_state(State::Hang);
    eventually_delegated(&pair[0].0).await;
    pair
}

/// Sends requests until one is answered through the other instance.
async fn eventually_delegated(instance: &Instance) {
    for _ in 0..40 {
        if call(instance.address(), &get("/read/", "first")).await.status == 200 {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("no request was answered through the other instance");
}

fn send(instance: &Instance, body: &str) -> JoinHandle<Response> {
    let address = instance.address();
    let request = format!(
        "POST /read/ HTTP/1.1\r\nhost: db.example\r\nx-request-id: r\r\nx-deadline-ms: 3000\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    tokio::spawn(async move { call(address, &request).await })
}

/// Guards against bodies of requests that are run for another instance and don't count there, nor the
/// copies that are on their way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delegated_requests_count_at_both_instances() {
    let leaf = Server::start("one").await.unwrap();
    let pair = start(&leaf).await;
    leaf.set_reaction(Reaction::Hang);
    let runs = leaf.executed().len();
    let running = send(&pair[0].0, &"x".repeat(BODY_BYTES));
    eventually("the request runs", || leaf.executed().len() > runs).await;
    let bytes = |index: usize| pair[index].0.gateway().request_memory().bytes();
    assert!(bytes(0) >= 2 * BODY_BYTES, "{} bytes at the sender", bytes(0));
    assert!(bytes(1) >= BODY_BYTES, "{} bytes at the helper", bytes(1));
    running.abort();
    eventually("nothing counts", || bytes(0) == 0 && bytes(1) == 0).await;
}

/// Guards against answers that pass through another instance and don't count while the caller does not
/// read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delegated_answers_count_until_they_are_sent() {
    let leaf = Server::start("one").await.unwrap();
    let pair = start(&leaf).await;
    leaf.set_reaction(Reaction::Answer(vec![7; ANSWER_BYTES], Duration::ZERO));
    let bytes = |index: usize| pair[index].0.gateway().answer_memory().bytes();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(pair[0].0.address()).await.unwrap();
    let request = get("/read/", "unread");
    tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await.unwrap();
    eventually("the answer waits", || bytes(0) >= ANSWER_BYTES).await;
    eventually("the helper has sent it", || bytes(1) == 0).await;
    drop(stream);
    eventually("nothing counts", || bytes(0) == 0).await;
}

/// Guards against memory that is refused without a trace in the metrics and the dump.
#[tokio::test]
async fn use_of_memory_is_shown() {
    let leaf = Server::start("one").await.unwrap();
    let (instance, _) = common::start(config(1, "db", &[]), &[(&leaf, "db")]).await;
    let memory = instance.gateway().request_memory();
    let mut reservation = memory.reserve();
    let now = std::time::Instant::now();
    assert!(reservation.grow(1_000, now).is_ok());
    assert!(reservation.grow(usize::MAX / 2, now).is_err());
    let usage = instance.gateway().memory_usage();
    assert_eq!((usage["requests"].bytes, usage["requests"].refused), (1_000, 1));
    assert_eq!((usage["answers"].bytes, usage["messages"].bytes), (0, 0));
    let text = instance.gateway().metrics().scrape().unwrap();
    let values: Vec<&str> =
        text.lines().filter(|line| line.starts_with("jaycrank_memory")).collect();
    let value = |start: &str, name: &str| {
        let is_wanted = |line: &&&str| line.starts_with(start) && line.contains(name);
        values.iter().find(is_wanted).and_then(|line| line.rsplit(' ').next()).map(str::to_owned)
    };
    assert_eq!(value("jaycrank_memory_bytes", "requests").as_deref(), Some("1000"), "{values:?}");
    assert_eq!(value("jaycrank_memory_refused", "requests").as_deref(), Some("1"), "{values:?}");
    assert_eq!(value("jaycrank_memory_bytes", "answers").as_deref(), Some("0"), "{values:?}");
}
