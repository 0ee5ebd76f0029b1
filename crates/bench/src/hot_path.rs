//! CPU time of a sub-request on the query path, against a bare client.
//!
//! The tier is measured by calling `Fleet::scatter`, without the caller's HTTP exchange. Both sides
//! send the same sub-requests over persistent connections to the same leafs, in alternating rounds,
//! each on a runtime of its own whose threads are identified by name.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jaycrank_backend::Fleet;
use jaycrank_backend::Options;
use jaycrank_backend::Plan;
use jaycrank_backend::wire::DEADLINE_HEADER;
use jaycrank_backend::wire::ID_HEADER;
use jaycrank_backend::wire::SNAPSHOT_HEADER;
use jaycrank_settings as settings;
use jaycrank_settings::Rank;
use jaycrank_standin::deployment::FIRST_VERSION;
use jaycrank_standin::deployment::Service;
use jaycrank_standin::deployment::Shape;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::Instant;

use crate::cpu;
use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::stat::ratio;

/// One leaf in each of 56 groups, the number of leafs that a query reaches at full size.
const SHAPE: Shape =
    Shape { name: "hot-path", groups: 56, leafs: 1, slots: 64, connections: 64, connect_ms: 0 };

const SERVICE_TIME: Duration = Duration::from_millis(3);

/// Concurrent workers. Each has one query in flight, which uses one connection to each leaf.
const WORKERS: usize = 8;

/// Queries of a worker in a round.
const QUERIES_PER_ROUND: usize = 160;

/// Measured rounds of each side, which follow a warm-up round; 20,480 queries in all.
const ROUNDS: usize = 8;

const DEADLINE: Duration = Duration::from_secs(5);

const TIER_THREADS: &str = "hp-tier";
const BARE_THREADS: &str = "hp-bare";
const LEAF_THREADS: &str = "hp-leaf";

const BODY: &[u8] = br#"{"find":"rye sourdough","limit":20}"#;

fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name(name).enable_all().build()
}

/// Runs a round of the tier and returns the number of answered sub-requests.
async fn tier_round(fleet: Arc<Fleet>) -> io::Result<u64> {
    let worker = async |fleet: Arc<Fleet>| {
        let mut answered = 0;
        for _ in 0..QUERIES_PER_ROUND {
            let deadline = Instant::now().into_std() + DEADLINE;
            let body = Bytes::from_static(BODY);
            let plan = Plan {
                service: SHAPE.name.into(),
                group: None,
                body,
                deadline,
                rank: Rank::Middle,
                within_floor: false,
                fingerprint: 0,
                hedge: true,
                retry_broken: false,
            };
            let gathered = fleet.scatter(&plan).await;
            answered += gathered.map_or(0, |gathered| gathered.bodies.len() as u64);
        }
        answered
    };
    let mut workers = Vec::new();
    for _ in 0..WORKERS {
        let fleet = fleet.clone();
        workers.push(tokio::spawn(async move { worker(fleet).await }));
    }
    let mut answered = 0;
    for worker in workers {
        answered += worker.await?;
    }
    Ok(answered)
}

/// Connections of a bare worker, one to each leaf, with the group of the leaf.
type Connections = Vec<(String, SendRequest<Full<Bytes>>)>;

async fn connect(leafs: &[(String, SocketAddr)]) -> io::Result<Connections> {
    let mut connections = Vec::new();
    for (group, address) in leafs {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        tokio::spawn(driver);
        connections.push((group.clone(), sender));
    }
    Ok(connections)
}

async fn bare_call(
    id: u64,
    group: &str,
    sender: &mut SendRequest<Full<Bytes>>,
) -> Result<(), hyper::Error> {
    sender.ready().await?;
    let request = Request::post(format!("/search/{group}"))
        .header("host", "leaf")
        .header(ID_HEADER, id)
        .header(DEADLINE_HEADER, DEADLINE.as_millis() as u64)
        .header(SNAPSHOT_HEADER, FIRST_VERSION)
        .body(Full::new(Bytes::from_static(BODY)))
        .unwrap_or_default();
    let response = sender.send_request(request).await?;
    response.into_body().collect().await?;
    Ok(())
}

async fn bare_worker(first_id: u64, mut connections: Connections) -> (u64, Connections) {
    let (mut answered, mut id) = (0, first_id);
    for _ in 0..QUERIES_PER_ROUND {
        let calls = connections.iter_mut().map(|(group, sender)| {
            id += 1;
            bare_call(id, group, sender)
        });
        answered += join_all(calls).await.iter().filter(|reply| reply.is_ok()).count() as u64;
    }
    (answered, connections)
}

/// Runs a round of the bare client and returns the number of answered sub-requests.
async fn bare_round(worker_connections: &mut Vec<Connections>) -> io::Result<u64> {
    let mut workers = Vec::new();
    for (number, connections) in std::mem::take(worker_connections).into_iter().enumerate() {
        workers.push(tokio::spawn(bare_worker((number as u64) << 32, connections)));
    }
    let mut answered = 0;
    for worker in workers {
        let (count, connections) = worker.await?;
        answered += count;
        worker_connections.push(connections);
    }
    Ok(answered)
}

/// Measures the tier and the bare client in alternating rounds.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let leaf_runtime = runtime(LEAF_THREADS, 4)?;
    let tier_runtime = runtime(TIER_THREADS, 2)?;
    let bare_runtime = runtime(BARE_THREADS, 2)?;
    let behavior = SHAPE.behavior(SERVICE_TIME);
    let service = leaf_runtime.block_on(Service::start(SHAPE, &behavior, seed))?;
    let settings: settings::Service = serde_json::from_value(SHAPE.settings())?;
    let fleet = tier_runtime.block_on(async {
        let fleet = Arc::new(Fleet::new(Options::default()));
        fleet.set_service(SHAPE.name, service.shard_map(), &settings, 1);
        fleet
    });
    let leafs: Vec<(String, SocketAddr)> = service
        .groups()
        .iter()
        .flat_map(|(group, leafs)| leafs.iter().map(|leaf| (group.to_string(), leaf.address())))
        .collect();
    let mut bare_connections = bare_runtime.block_on(async {
        let mut worker_connections = Vec::new();
        for _ in 0..WORKERS {
            worker_connections.push(connect(&leafs).await?);
        }
        io::Result::Ok(worker_connections)
    })?;
    let (mut tier, mut bare) = ((0, Duration::ZERO), (0, Duration::ZERO));
    for round in 0..=ROUNDS {
        let cpu_before = cpu::thread_time(TIER_THREADS)?;
        let fleet = fleet.clone();
        let round_tier = tier_runtime.spawn(tier_round(fleet));
        let answered = tier_runtime.block_on(round_tier)??;
        let tier_cpu = cpu::thread_time(TIER_THREADS)?.saturating_sub(cpu_before);
        let cpu_before = cpu::thread_time(BARE_THREADS)?;
        let mut connections = std::mem::take(&mut bare_connections);
        let round_bare = bare_runtime.spawn(async move {
            let answered = bare_round(&mut connections).await?;
            io::Result::Ok((answered, connections))
        });
        let (bare_answered, connections) = bare_runtime.block_on(round_bare)??;
        bare_connections = connections;
        let bare_cpu = cpu::thread_time(BARE_THREADS)?.saturating_sub(cpu_before);
        if round > 0 {
            tier = (tier.0 + answered, tier.1 + tier_cpu);
            bare = (bare.0 + bare_answered, bare.1 + bare_cpu);
        }
    }
    let cpu_us = |(answered, cpu): (u64, Duration)| ratio(cpu.as_secs_f64() * 1e6, answered as f64);
    let sent = (ROUNDS * WORKERS * QUERIES_PER_ROUND * SHAPE.groups) as f64;
    Ok(Measurement {
        figures: Figures::from([
            ("cpu_over_bare", ratio(cpu_us(tier), cpu_us(bare))),
            ("cpu_us_per_sub_request", cpu_us(tier)),
            ("answered_fraction", tier.0 as f64 / sent),
            ("queries", 2.0 * sent / SHAPE.groups as f64),
        ]),
        baseline: Figures::from([
            ("cpu_us_per_sub_request", cpu_us(bare)),
            ("answered_fraction", bare.0 as f64 / sent),
        ]),
        baseline_policy: "bare hyper client, no decisions; the tier's side is Fleet::scatter",
        plots: Vec::new(),
    })
}
