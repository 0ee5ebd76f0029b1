//! Control cost of an instance by number of peers, members, leafs, settings branches and claims.
//!
//! A cell is a group of instances that all exchange heartbeats with each other and share the
//! capacity of the services. For each size, a cell of real instances exchanges heartbeats once per
//! second and answers no queries. A line fitted to at least three sizes gives the slope, and the
//! slopes give the cost of an instance at full size, which is too large to run.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank::local::LocalTier;
use jaycrank::local::TierOptions;
use jaycrank::node::Node;
use jaycrank::node::Options;
use jaycrank::node::Platform;
use jaycrank_claim::Digest;
use jaycrank_claim::GroupCommit;
use jaycrank_claim::Owner;
use jaycrank_claim::Submission;
use jaycrank_instance::Key;
use jaycrank_instance::wire::State;
use jaycrank_operator::Client;
use jaycrank_operator::wire::EditRequest;
use jaycrank_policy::rendezvous;
use jaycrank_policy::tally;
use jaycrank_settings::Rank;
use jaycrank_standin::Store;
use jaycrank_standin::deployment::Shape;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cpu;
use crate::extrapolate;
use crate::extrapolate::BASE_SIZE;
use crate::extrapolate::CELL_INSTANCES;
use crate::extrapolate::HEARTBEAT_INTERVAL;
use crate::extrapolate::Point;
use crate::extrapolate::Size;
use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::stat::Line;
use crate::tier;

const SERVICE: &str = "slopes";
const INSTANCE_KEY: &[u8] = b"key of the bench";

/// Time from the start of a cell until its memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time over which the CPU time and the heartbeat bytes of all cells are measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);

/// Time between two queries that are counted as offered for a member at an instance.
const OFFER_INTERVAL: Duration = Duration::from_millis(200);

/// Settings edits in each cell.
const EDITS_PER_CELL: usize = 5;

/// Membership changes in each cell.
const CHANGES_PER_CELL: usize = 6;

/// Port without a listener.
const CLOSED_PORT: u16 = 1;

/// Region of the instances.
const REGION: &str = "local";

/// Instances of a region that read the store.
const REGION_READERS: usize = 2;

/// Numbers of claims that are measured.
const CLAIM_COUNTS: [usize; 4] = [10_000, 20_000, 40_000, 80_000];

/// Claims of a run before the measured ones, which absorbs the initial growth of the heap.
const WARM_UP_CLAIMS: usize = 5_000;

/// Measured sizes. Each axis has at least three, including the base. The sizes with more members
/// have 204 branches, because each of up to 200 members has a settings branch.
const SIZES: [Size; 10] = [
    BASE_SIZE,
    Size { instances: 3, ..BASE_SIZE },
    Size { instances: 9, ..BASE_SIZE },
    Size { instances: 15, ..BASE_SIZE },
    Size { members: 50, branches: 204, ..BASE_SIZE },
    Size { members: 200, branches: 204, ..BASE_SIZE },
    Size { leafs: 180, ..BASE_SIZE },
    Size { leafs: 321, ..BASE_SIZE },
    Size { branches: 500, ..BASE_SIZE },
    Size { branches: 2_000, ..BASE_SIZE },
];

/// A running cell.
struct Cell {
    size: Size,
    /// Prefix of the names of the threads that run the instances.
    thread_prefix: String,
    runtime: Runtime,
    local: LocalTier,
    nodes: Vec<Node>,
    /// Memory per instance.
    memory_bytes: f64,
    /// Store reads per instance for its start.
    start_reads: f64,
}

/// Returns the resident memory of the process.
fn resident_bytes() -> io::Result<f64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    Ok(pages * 4_096.0)
}

impl Cell {
    /// Starts a cell. Its instances run on threads of their own, its leafs on those of the caller.
    async fn start(number: usize, size: Size, seed: u64) -> io::Result<Self> {
        let shape = Shape {
            name: SERVICE,
            groups: size.leafs / 3,
            leafs: 3,
            slots: 2,
            connections: 25,
            connect_ms: 0,
        };
        // The other four branches are the root, the policy, the operator and the service.
        let members = size.members.max(size.branches.saturating_sub(4));
        let tier_options = TierOptions {
            instances: 0,
            seed,
            services: vec![shape],
            members: (0..members).map(tier::member_name).collect(),
            policy: json!({ "heartbeat_ms": HEARTBEAT_INTERVAL.as_millis() as u64 }),
            ..TierOptions::default()
        };
        let local = LocalTier::start(&tier_options).await?;
        let thread_prefix = format!("slope-{number:02}");
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(&thread_prefix)
            .enable_all()
            .build()?;
        let (before, reads) = (resident_bytes()?, local.store().calls().reads());
        let mut nodes: Vec<Node> = Vec::new();
        for position in 0..size.instances {
            let mut options =
                Options::loopback(format_smolstr!("cell-{number}-{position}"), INSTANCE_KEY);
            options.instances_max = CELL_INSTANCES as usize;
            options.seeds = nodes.iter().map(Node::instance_address).collect();
            let platform = Platform { store: local.store().clone(), list: local.list().clone() };
            nodes.push(runtime.spawn(Node::start(options, platform)).await??);
        }
        let (memory_bytes, start_reads) = (0.0, 0.0);
        let mut cell =
            Self { size, thread_prefix, runtime, local, nodes, memory_bytes, start_reads };
        // Counters of members hold histograms, so they must exist before the memory is read.
        cell.count_offered_queries();
        sleep(SETTLE_TIME).await;
        cell.memory_bytes = (resident_bytes()? - before) / size.instances as f64;
        let reads = cell.local.store().calls().reads() - reads;
        cell.start_reads = reads as f64 / size.instances as f64;
        Ok(cell)
    }

    /// Counts a query as offered by each member at each instance.
    fn count_offered_queries(&self) {
        let now = Instant::now().into_std();
        for node in &self.nodes {
            for number in 0..self.size.members {
                let key = tally::Key::new(SERVICE, Rank::Middle, tier::member_name(number));
                node.parts().admissions.counters().counter(&key).count_offered(now);
            }
        }
    }

    /// Returns the number of heartbeats that the instances have composed, including replies.
    fn composed_heartbeats(&self) -> f64 {
        let (first, second) = (self.nodes[0].parts(), self.nodes[1].parts());
        let last_number = |node: &Node| {
            let peer = if node.instance_address() == self.nodes[0].instance_address() {
                second
            } else {
                first
            };
            node.parts().shared.exchange().compose_heartbeat(Some(peer.shared.name())).number as f64
        };
        self.nodes.iter().map(last_number).sum()
    }

    /// Returns the CPU time of the instances in seconds and the heartbeat bytes that they sent and
    /// received.
    fn usage(&self) -> io::Result<(f64, f64)> {
        let bytes = self.nodes.iter().map(|node| {
            let traffic = node.parts().shared.exchange().traffic();
            (traffic.sent_bytes() + traffic.received_bytes()) as f64
        });
        Ok((cpu::thread_time(&self.thread_prefix)?.as_secs_f64(), bytes.sum()))
    }

    /// Returns the size of the largest document whose key starts with `prefix`.
    fn document_bytes(&self, prefix: &str) -> f64 {
        let documents = self.nodes[0].parts().shared.exchange().documents();
        let keys = documents.revisions().into_keys().filter(|key| key.starts_with(prefix));
        let sizes = keys.filter_map(|key| Some(documents.get(&key)?.1.len() as f64));
        sizes.fold(0.0, f64::max)
    }

    /// Announces leaving instances, one per heartbeat interval. Returns the duration in seconds.
    async fn change_membership(&self) -> f64 {
        let start = Instant::now();
        let membership = self.nodes[0].parts().shared.exchange().membership();
        for number in 0..CHANGES_PER_CELL {
            let mut identity = membership.own();
            identity.name = format_smolstr!("{}-gone-{number}", self.thread_prefix);
            // A leaving instance is removed from the membership after a few heartbeat intervals.
            identity.state = State::Leaving;
            identity.address = SocketAddr::from((Ipv4Addr::LOCALHOST, CLOSED_PORT));
            membership.merge_peers(&[identity], Instant::now().into_std());
            sleep(HEARTBEAT_INTERVAL).await;
        }
        start.elapsed().as_secs_f64()
    }

    /// Edits a branch several times through an instance that does not read the store.
    ///
    /// Returns, in seconds, the longest time until an edit was in force at all instances, and the
    /// duration of all edits.
    async fn edit_branch(&self) -> io::Result<(f64, f64)> {
        let name = |node: &Node| node.parts().shared.name().clone();
        let names: Vec<SmolStr> = self.nodes.iter().map(name).collect();
        let readers = rendezvous::readers(REGION, &names, REGION_READERS);
        let node = self.nodes.iter().find(|node| !readers.contains(&name(node)));
        let node = node.ok_or_else(|| io::Error::other("every instance reads the store"))?;
        let client = Client::new(node.operator_address(), self.local.operator_token());
        let (start, mut base, mut longest) = (Instant::now(), 1, 0.0f64);
        for number in 0..EDITS_PER_CELL {
            let value = json!({ "weight": 2.0 + number as f64, "tokens": [] });
            let id = format_smolstr!("{}-{number}", self.thread_prefix);
            let put = EditRequest { id, base, owner: None, value: Some(value) };
            let path = format!("members/{}", tier::member_name(self.size.members - 1));
            let accepted = client.put(&path, &put).await.map_err(io::Error::other)?;
            base = accepted.revision;
            let accepted_at = Instant::now();
            let in_force =
                |node: &Node| node.parts().shared.active().config().revision() >= accepted.revision;
            while !self.nodes.iter().all(in_force) {
                sleep(Duration::from_millis(1)).await;
            }
            longest = longest.max(accepted_at.elapsed().as_secs_f64());
            sleep(HEARTBEAT_INTERVAL / 2).await;
        }
        Ok((longest, start.elapsed().as_secs_f64()))
    }

    /// Measures the cell without changes, then during edits and during membership changes.
    async fn measure(&self) -> io::Result<Point> {
        let (start, sent, before) = (Instant::now(), self.composed_heartbeats(), self.usage()?);
        sleep(MEASURE_TIME).await;
        let (after, time) = (self.usage()?, start.elapsed().as_secs_f64());
        let instances = self.size.instances as f64;
        let cores = (after.0 - before.0) / time;
        // Reading the counter composes one heartbeat at each instance.
        let heartbeats_per_s = (self.composed_heartbeats() - sent - instances) / time / instances;
        let heartbeat_bytes_per_s = (after.1 - before.1) / time / instances;
        let (before, reads) = (self.usage()?.0, self.local.store().calls().reads());
        let (spread_s, time) = self.edit_branch().await?;
        let edit_reads = (self.local.store().calls().reads() - reads) as f64;
        let edit_cpu_s =
            ((self.usage()?.0 - before) - cores * time) / EDITS_PER_CELL as f64 / instances;
        let before = self.usage()?.1;
        let time = self.change_membership().await;
        let changed = (self.usage()?.1 - before) / instances - heartbeat_bytes_per_s * time;
        Ok(Point {
            size: self.size,
            cores: cores / instances,
            heartbeat_bytes_per_s,
            heartbeats_per_s,
            report_bytes: self.document_bytes("tally/"),
            memory_bytes: self.memory_bytes,
            document_bytes: self.document_bytes(jaycrank_instance::documents::CONFIG_KEY),
            edit_cpu_s,
            spread_s,
            edit_reads,
            start_reads: self.start_reads,
            change_bytes: changed / CHANGES_PER_CELL as f64,
        })
    }
}

/// Returns the size of the HTTP headers of a heartbeat exchange, in both directions.
///
/// A relay counts all bytes, and the client those of the messages.
async fn exchange_header_bytes(cell: &Cell) -> io::Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let client = jaycrank_instance::Client::new(listener.local_addr()?, Key::new(INSTANCE_KEY));
    let traffic = Arc::default();
    let client = client.with_traffic(Arc::clone(&traffic));
    let target = cell.nodes[1].instance_address();
    let relay = tokio::spawn(async move {
        let (mut inbound, _) = listener.accept().await?;
        copy_bidirectional(&mut inbound, &mut TcpStream::connect(target).await?).await
    });
    let heartbeat = cell.nodes[0].parts().shared.exchange().compose_heartbeat(None);
    client.heartbeat(&heartbeat, HEARTBEAT_INTERVAL).await.map_err(io::Error::other)?;
    drop(client);
    let (up, down) = relay.await??;
    Ok((up + down - traffic.sent_bytes() - traffic.received_bytes()) as f64)
}

/// Runner that returns the payload of a request as its result.
struct EchoRunner;

#[async_trait]
impl jaycrank_claim::Runner for EchoRunner {
    async fn run(&self, submission: &Submission) -> jaycrank_claim::Outcome {
        jaycrank_claim::Outcome::Done(submission.payload().clone())
    }
}

/// Returns the CPU time in microseconds and the memory in bytes of a number of claims.
fn measure_claims(number: usize, seed: u64) -> io::Result<(f64, f64)> {
    let prefix = format!("claims-{number:06}");
    let runtime =
        Builder::new_multi_thread().worker_threads(2).thread_name(&prefix).enable_all().build()?;
    let before = resident_bytes()?;
    let store = Arc::new(Store::new(seed));
    let commit = GroupCommit::new().with_write_interval(Duration::from_millis(1));
    let owner = Arc::new(Owner::new(0, "claims", store, commit));
    let task = runtime.spawn(async move {
        owner.acquire().await.map_err(io::Error::other)?;
        for first in (0..number).step_by(500) {
            let mut submissions = tokio::task::JoinSet::new();
            for id in first..number.min(first + 500) {
                let owner = owner.clone();
                let body = Bytes::from(vec![b'x'; 200]);
                let digest = Digest::new(SERVICE, &body);
                let id_text = format!("request-{id}");
                let submission = Submission::new(id_text, id as u128 as _, digest, 1, body);
                let deadline = Instant::now() + Duration::from_secs(10);
                submissions.spawn(async move {
                    owner.submit(submission, Arc::new(EchoRunner), deadline).await
                });
            }
            submissions.join_all().await;
        }
        io::Result::Ok(owner)
    });
    // The owner holds the index of claims, so it is dropped only after the memory is read.
    let owner = runtime.block_on(task)??;
    let cpu_us = cpu::thread_time(&prefix)?.as_secs_f64() * 1e6;
    let memory = resident_bytes()? - before;
    drop(owner);
    Ok((cpu_us, memory))
}

async fn measure_cells(seed: u64) -> io::Result<(Vec<Point>, f64)> {
    let mut cells = Vec::new();
    for (number, size) in SIZES.into_iter().enumerate() {
        cells.push(Arc::new(Cell::start(number, size, seed).await?));
    }
    let header_bytes = exchange_header_bytes(&cells[0]).await?;
    let offer_cells = cells.clone();
    let offers = tokio::spawn(async move {
        loop {
            offer_cells.iter().for_each(|cell| cell.count_offered_queries());
            sleep(OFFER_INTERVAL).await;
        }
    });
    // The averages of demand converge, and the tally reports reach their full size.
    sleep(SETTLE_TIME).await;
    let measures = cells.iter().map(|cell| cell.measure());
    let points = futures_util::future::join_all(measures).await;
    offers.abort();
    // The task holds the cells until it ends; an aborted task returns an error.
    let _ = offers.await;
    for cell in cells {
        if let Ok(cell) = Arc::try_unwrap(cell).map_err(|_| ()) {
            for node in cell.nodes {
                cell.runtime.spawn(node.abort()).await?;
            }
            cell.runtime.shutdown_background();
        }
    }
    Ok((points.into_iter().collect::<io::Result<_>>()?, header_bytes))
}

/// Measures all sizes and extrapolates to full size.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let process_bytes = resident_bytes()?;
    let (mut cpu_points, mut memory_points) = (Vec::new(), Vec::new());
    measure_claims(WARM_UP_CLAIMS, seed)?;
    for number in CLAIM_COUNTS {
        let (cpu_us, memory) = measure_claims(number, seed)?;
        cpu_points.push((number as f64, cpu_us));
        memory_points.push((number as f64, memory));
    }
    let no_line = Line { slope: f64::NAN, intercept: f64::NAN };
    let claim_lines =
        [cpu_points, memory_points].map(|points| Line::fit(&points).unwrap_or(no_line));
    let ((points, header_bytes), _) = tier::block_on(measure_cells(seed))?;
    let figures = extrapolate::figures(&points, header_bytes, claim_lines, process_bytes);
    Ok(Measurement {
        figures,
        baseline: Figures::new(),
        baseline_policy: "none: the bounds are those of the design",
        plots: Vec::new(),
    })
}
