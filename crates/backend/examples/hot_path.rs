//! Compares the CPU time of a sub-request with that of a request by a plain hyper client.
//!
//! Stand-in leafs run in a separate runtime; only the CPU time of the client thread is measured.
//! Usage: `cargo run --release -p jaycrank-backend --example hot_path [QUERIES] [GROUPS] [LEAFS]`.

use std::fs;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jaycrank_backend::Fleet;
use jaycrank_backend::Options;
use jaycrank_backend::Plan;
use jaycrank_backend::leaf::now;
use jaycrank_settings::schema;
use jaycrank_settings::schema::Rank;
use jaycrank_standin::deployment::Service;
use jaycrank_standin::deployment::Shape;
use jaycrank_standin::leaf::Behavior;
use tokio::net::TcpStream;
use tokio::runtime::Builder;

const CLIENT_THREAD: &str = "hot-client";
const ROUNDS: usize = 6;
const SEED: u64 = 1;
/// Number of queries in flight at the same time.
const CONCURRENCY: usize = 4;

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|argument| argument.parse().ok());
    let queries: usize = arguments.next().unwrap_or(500);
    let groups: usize = arguments.next().unwrap_or(56);
    let replicas: usize = arguments.next().unwrap_or(3);
    let leafs = Builder::new_multi_thread()
        .worker_threads(4)
        .thread_name("hot-leaf")
        .enable_all()
        .build()
        .unwrap();
    let shape =
        Shape { name: "hot", groups, leafs: replicas, slots: 64, connections: 64, connect_ms: 0 };
    let behavior = Behavior { slots: 64, service_time: Duration::ZERO, ..Behavior::default() };
    let service = leafs.block_on(Service::start(shape, &behavior, SEED)).unwrap();
    std::thread::Builder::new()
        .name(CLIENT_THREAD.into())
        .spawn(move || client(&service, queries))
        .unwrap()
        .join()
        .unwrap();
}

fn client(service: &Service, queries: usize) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut bare_senders = Vec::new();
        for _ in 0..CONCURRENCY {
            bare_senders.push(open_connections(service).await);
        }
        let fleet = Fleet::new(Options::default());
        let settings = schema::Service {
            slots: 64,
            connections: 64,
            floors: Default::default(),
            deadline_max_ms: 30_000,
            queue_max: 256,
            weights: Default::default(),
        };
        fleet.set_service("hot", service.shard_map(), &settings, 1);
        bare_queries(&mut bare_senders, queries / 4).await;
        fleet_queries(&fleet, queries / 4).await;
        let requests = (queries / CONCURRENCY * CONCURRENCY * service.shape().groups) as f64;
        let (mut bare_us, mut fleet_us) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let started_at = cpu_time();
            bare_queries(&mut bare_senders, queries).await;
            let bare_ended_at = cpu_time();
            fleet_queries(&fleet, queries).await;
            let ended_at = cpu_time();
            bare_us.push((bare_ended_at - started_at).as_secs_f64() * 1e6 / requests);
            fleet_us.push((ended_at - bare_ended_at).as_secs_f64() * 1e6 / requests);
        }
        let (bare_median, fleet_median) = (median(&mut bare_us), median(&mut fleet_us));
        println!("bare hyper client: {bare_median:.2} us a sub-request (median of {ROUNDS})");
        println!("fleet:             {fleet_median:.2} us a sub-request (median of {ROUNDS})");
        println!("ratio:             {:.2}", fleet_median / bare_median);
        let dump = fleet.dump();
        println!("hedges {} cancels {} silent {}", dump.hedges, dump.cancels, dump.silent);
    });
}

type Sender = SendRequest<Full<Bytes>>;

async fn open_connections(service: &Service) -> Vec<Sender> {
    let mut senders = Vec::new();
    for leaf in service.groups().values().filter_map(|leafs| leafs.first()) {
        let stream = TcpStream::connect(leaf.address()).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(driver);
        senders.push(sender);
    }
    senders
}

/// Sends each query to one leaf of each group with the headers of the leaf protocol, without a
/// fleet.
async fn bare_queries(connections: &mut [Vec<Sender>], queries: usize) {
    let queries_per_client = queries / connections.len();
    let clients = connections.iter_mut().map(async |senders| {
        for _ in 0..queries_per_client {
            let mut pending: FuturesUnordered<_> = senders.iter_mut().map(bare_request).collect();
            while pending.next().await.is_some() {}
        }
    });
    futures_util::future::join_all(clients).await;
}

async fn bare_request(sender: &mut Sender) {
    let request = Request::post("/search/g00")
        .header("host", "leaf")
        .header("x-request-id", 1)
        .header("x-deadline-ms", 1_000)
        .header("x-snapshot", 1)
        .body(Full::new(Bytes::from_static(b"{}")))
        .unwrap();
    sender.ready().await.unwrap();
    let response = sender.send_request(request).await.unwrap();
    response.into_body().collect().await.unwrap();
}

async fn fleet_queries(fleet: &Fleet, queries: usize) {
    let clients = (0..CONCURRENCY).map(async |_| {
        for _ in 0..queries / CONCURRENCY {
            let plan = Plan {
                service: "hot".into(),
                group: None,
                body: Bytes::from_static(b"{}"),
                deadline: now() + Duration::from_secs(10),
                rank: Rank::Urgent,
                within_floor: false,
                fingerprint: 1,
                hedge: true,
                retry_broken: true,
            };
            let replies = fleet.scatter(&plan).await.unwrap();
            assert!(replies.coverage.is_complete());
        }
    });
    futures_util::future::join_all(clients).await;
}

/// Returns the CPU time that the client thread has used so far.
fn cpu_time() -> Duration {
    let mut sum = 0;
    for task in fs::read_dir("/proc/self/task").unwrap().flatten() {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if name.trim() == CLIENT_THREAD {
            let stat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            sum += stat.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0_u64);
        }
    }
    Duration::from_nanos(sum)
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
