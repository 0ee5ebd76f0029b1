//! Tests of a planned stop: each request that was read is answered before the process ends.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use common::Response;
use common::config;
use common::entry;
use common::eventually;
use common::exchange;
use common::get;
use common::options;
use jaycrank_gateway::config::Config;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use jaycrank_standin::server::Reaction;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Grace period: 1.2 s more than the time after which connections are closed.
const GRACE: Duration = Duration::from_millis(3_800);
/// Deadline of callers and timeout of routes, which are longer than the grace period.
const DEADLINE: Duration = Duration::from_secs(20);
/// Bound on a refusal that waits for nothing.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(200);

/// Instance on a thread and a runtime of its own. They end after the shutdown, which cuts off what
/// is in progress, as the end of a process does.
struct Process {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Process {
    async fn start(servers: &[(&Server, &str)], shards: &[&str]) -> Self {
        let catalog = Arc::new(Catalog::new());
        catalog.put_config(long_config(shards));
        servers.iter().for_each(|(server, service)| catalog.put_leaf(entry(server, service)));
        let (stop, stopped) = oneshot::channel();
        let (started, address) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.unwrap().block_on(async {
                let mut options = options(None, Vec::new());
                options.grace = GRACE;
                let instance = Instance::start(options, catalog).await.unwrap();
                let gateway = instance.gateway().clone();
                eventually("routes and leafs", || gateway.directory().is_complete()).await;
                started.send(instance.address()).unwrap();
                stopped.await.unwrap();
                instance.shutdown().await;
            });
        });
        Self { address: address.await.unwrap(), stop, thread }
    }

    /// Begins the planned stop and returns the thread, which ends with the process.
    fn stop(self) -> JoinHandle<()> {
        self.stop.send(()).unwrap();
        self.thread
    }
}

/// Returns a configuration whose routes allow more time than the grace period.
fn long_config(shards: &[&str]) -> Config {
    let mut config = config(1, "db", shards);
    for route in &mut config.routes {
        route.timeout = DEADLINE;
        route.target_latency = DEADLINE / 2;
    }
    config
}

fn long_get(path: &str, id: &str) -> String {
    get(path, id).replace("3000", &DEADLINE.as_millis().to_string())
}

/// Sends a request on a new connection; the response is `None` if it was cut off.
async fn send(address: SocketAddr, path: &str, id: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    exchange(&mut stream, &long_get(path, id)).await
}

fn has_arrived(server: &Server, id: &str) -> bool {
    let arrivals = server.arrivals();
    arrivals.iter().any(|request| request.headers.get("x-request-id").is_some_and(|own| own == id))
}

fn answer_after(time: Duration) -> Reaction {
    Reaction::Answer(b"answer".to_vec(), time)
}

/// Guards against a planned stop that cuts off requests which wait for a connection to a leaf: they
/// were dropped with the process, without an answer.
#[tokio::test]
async fn requests_that_wait_for_a_connection_are_refused() {
    let server = Server::start("one").await.unwrap();
    let process = Process::start(&[(&server, "db")], &[]).await;
    server.set_reaction(answer_after(Duration::from_millis(400)));
    let address = process.address;
    let mut requests = JoinSet::new();
    for number in 0..200 {
        let path = if number % 2 == 0 { "/read/" } else { "/write/" };
        let id = format!("r{number}");
        requests.spawn(async move { (send(address, path, &id).await, id) });
    }
    eventually("some requests run", || !server.executed().is_empty()).await;
    let thread = process.stop();
    let mut statuses = std::collections::BTreeMap::new();
    while let Some(ended) = requests.join_next().await {
        let (response, id) = ended.unwrap();
        let status = response.unwrap_or_else(|| panic!("{id} was cut off")).status;
        *statuses.entry(status).or_insert(0) += 1;
        match status {
            200 | 502 => assert!(has_arrived(&server, &id), "{id}: {status}"),
            status => assert_eq!((status, has_arrived(&server, &id)), (503, false), "{id}"),
        }
    }
    assert!(statuses[&200] > 0 && statuses[&503] > 0, "{statuses:?}");
    thread.join().unwrap();
}

/// Guards against requests that come late in the grace period and are passed on although their leaf
/// usually needs longer than what is left: they were cut off, also those that may run only once.
#[tokio::test]
async fn late_requests_whose_leaf_needs_longer_than_is_left_are_refused_at_once() {
    let server = Server::start("one").await.unwrap();
    let process = Process::start(&[(&server, "db")], &[]).await;
    server.set_reaction(answer_after(Duration::from_millis(2_500)));
    let address = process.address;
    let first = send(address, "/read/", "first").await.expect("an answer");
    assert_eq!(first.status, 200);
    let thread = process.stop();
    sleep(Duration::from_millis(1_500)).await;
    for (path, id) in [("/read/", "late-read"), ("/write/", "late-write")] {
        let sent = Instant::now();
        let response = send(address, path, id).await.expect("an answer");
        assert_eq!((response.status, has_arrived(&server, id)), (503, false), "{id}");
        assert!(sent.elapsed() < REFUSAL_TIME_MAX, "{id} was refused after {:?}", sent.elapsed());
        assert!(response.header("retry-after").is_some());
        assert_eq!(response.header("connection"), Some("close"));
    }
    server.set_reaction(answer_after(Duration::ZERO));
    thread.join().unwrap();
}

/// Guards against a planned stop that cuts off requests which a leaf runs for longer than the grace
/// period, and against one that says of them that they have not run.
#[tokio::test]
async fn requests_that_run_until_the_end_of_the_grace_period_are_answered() {
    let server = Server::start("one").await.unwrap();
    let process = Process::start(&[(&server, "db")], &[]).await;
    server.set_reaction(Reaction::Hang);
    let address = process.address;
    let read = tokio::spawn(async move { send(address, "/read/", "read").await });
    let write = tokio::spawn(async move { send(address, "/write/", "write").await });
    eventually("the write runs", || has_arrived(&server, "write")).await;
    eventually("the read runs", || has_arrived(&server, "read")).await;
    let thread = process.stop();
    for request in [read, write] {
        assert_eq!(request.await.unwrap().expect("an answer").status, 502);
    }
    thread.join().unwrap();
}

/// Guards against a planned stop that drops the parts of a gathered answer that are there while one
/// shard is silent.
#[tokio::test]
async fn gathered_request_is_answered_partially_before_the_end() {
    let mut servers = Vec::new();
    for shard in ["s0", "s1", "s2"] {
        servers.push(Server::start(shard).await.unwrap());
    }
    let listed: Vec<(&Server, &str)> =
        servers.iter().map(|server| (server, server.id().as_str())).collect();
    let process = Process::start(&listed, &["s0", "s1", "s2"]).await;
    for server in &servers[1..] {
        server.set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::ZERO));
    }
    servers[0].set_reaction(Reaction::Hang);
    let address = process.address;
    let request = tokio::spawn(async move { send(address, "/all/", "all").await });
    eventually("the silent shard runs it", || has_arrived(&servers[0], "all")).await;
    let thread = process.stop();
    let response = request.await.unwrap().expect("an answer");
    assert_eq!((response.status, response.header("x-missing-parts")), (200, Some("1")));
    thread.join().unwrap();
}

/// Guards against a planned stop that cuts off a caller whose body is still on its way.
#[tokio::test]
async fn request_whose_body_is_not_complete_is_refused() {
    let server = Server::start("one").await.unwrap();
    let process = Process::start(&[(&server, "db")], &[]).await;
    let mut stream = TcpStream::connect(process.address).await.unwrap();
    let head = long_get("/write/", "slow").replace("GET", "POST");
    let head = head.replace("\r\n\r\n", "\r\ncontent-length: 10\r\n\r\n12345");
    let request = tokio::spawn(async move { exchange(&mut stream, &head).await });
    sleep(Duration::from_millis(200)).await;
    let thread = process.stop();
    let response = request.await.unwrap().expect("an answer");
    assert_eq!((response.status, has_arrived(&server, "slow")), (503, false));
    thread.join().unwrap();
}
