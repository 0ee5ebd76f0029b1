//! Growth of a node's control cost with peers, members, leafs, settings branches and claims.
//!
//! Each size runs a cell of real instances that exchange heartbeats once a second and answer no
//! queries. A line through at least three sizes gives the slope, and the slopes give the cost of a
//! node at full size, which no run reaches.

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
use crate::extrapolate::BASE;
use crate::extrapolate::CELL;
use crate::extrapolate::HEARTBEAT;
use crate::extrapolate::Point;
use crate::extrapolate::Size;
use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::stat::Line;
use crate::tier;

const SERVICE: &str = "slopes";
const KEY: &[u8] = b"key of the bench";

/// Time from the start of a cell until its memory is read.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Time over which the CPU time and the bytes of all cells are taken.
const WINDOW: Duration = Duration::from_secs(8);

/// Time between two queries that a member is made to have offered at an instance.
const OFFER: Duration = Duration::from_millis(200);

/// Settings edits of each cell.
const EDITS: usize = 5;

/// Membership changes of each cell.
const CHANGES: usize = 6;

/// Port at which nobody listens.
const CLOSED: u16 = 1;

/// Region of the instances of a trial, and the instances of a region that read the store.
const REGION: &str = "local";
const READERS: usize = 2;

/// Claims of the claim runs.
const CLAIMS: [usize; 4] = [10_000, 20_000, 40_000, 80_000];

/// Claims of a run before, which takes the first growth of the heap on itself.
const CLAIMS_BEFORE: usize = 5_000;

/// All sizes; each axis has at least three, the base among them.
const SIZES: [Size; 10] = [
    BASE,
    Size { instances: 3, ..BASE },
    Size { instances: 9, ..BASE },
    Size { instances: 15, ..BASE },
    Size { members: 50, branches: 204, ..BASE },
    Size { members: 200, branches: 204, ..BASE },
    Size { leafs: 180, ..BASE },
    Size { leafs: 321, ..BASE },
    Size { branches: 500, ..BASE },
    Size { branches: 2_000, ..BASE },
];

/// A running cell and the prefix of the names of its threads.
struct Cell {
    size: Size,
    prefix: String,
    runtime: Runtime,
    local: LocalTier,
    nodes: Vec<Node>,
    memory: f64,
    start_reads: f64,
}

/// Resident memory of the process, in bytes.
fn resident() -> io::Result<f64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    Ok(pages * 4_096.0)
}

impl Cell {
    /// Starts a cell; its instances run on threads of their own, the leafs on the caller's.
    async fn start(number: usize, size: Size, seed: u64) -> io::Result<Self> {
        let shape = Shape {
            name: SERVICE,
            groups: size.leafs / 3,
            leafs: 3,
            slots: 2,
            connections: 25,
            connect_ms: 0,
        };
        // Besides members there are the root, the policy, the operator and the service.
        let members = size.members.max(size.branches.saturating_sub(4));
        let tier_options = TierOptions {
            instances: 0,
            seed,
            services: vec![shape],
            members: (0..members).map(tier::member_name).collect(),
            policy: json!({ "heartbeat_ms": HEARTBEAT.as_millis() as u64 }),
            ..TierOptions::default()
        };
        let local = LocalTier::start(&tier_options).await?;
        let prefix = format!("slope-{number:02}");
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name(&prefix)
            .enable_all()
            .build()?;
        let (before, reads) = (resident()?, local.store().calls().reads());
        let mut nodes: Vec<Node> = Vec::new();
        for place in 0..size.instances {
            let mut options = Options::loopback(format_smolstr!("cell-{number}-{place}"), KEY);
            options.instances_max = CELL as usize;
            options.seeds = nodes.iter().map(Node::instance_address).collect();
            let platform = Platform { store: local.store().clone(), list: local.list().clone() };
            nodes.push(runtime.spawn(Node::start(options, platform)).await??);
        }
        let (memory, start_reads) = (0.0, 0.0);
        let mut cell = Self { size, prefix, runtime, local, nodes, memory, start_reads };
        // Counters of members hold histograms, so they exist before the memory is read.
        cell.offer();
        sleep(SETTLE).await;
        cell.memory = (resident()? - before) / size.instances as f64;
        let reads = cell.local.store().calls().reads() - reads;
        cell.start_reads = reads as f64 / size.instances as f64;
        Ok(cell)
    }

    /// Makes members offer a query at each instance.
    fn offer(&self) {
        let now = Instant::now().into_std();
        for node in &self.nodes {
            for number in 0..self.size.members {
                let key = tally::Key::new(SERVICE, Rank::Middle, tier::member_name(number));
                node.parts().admissions.counters().counter(&key).count_offered(now);
            }
        }
    }

    /// Number of heartbeats that the instances composed so far, requests and replies.
    fn heartbeats(&self) -> f64 {
        let (first, second) = (self.nodes[0].parts(), self.nodes[1].parts());
        let composed = |node: &Node| {
            let to = if node.instance_address() == self.nodes[0].instance_address() {
                second
            } else {
                first
            };
            node.parts().shared.exchange().compose_heartbeat(Some(to.shared.name())).number as f64
        };
        self.nodes.iter().map(composed).sum()
    }

    /// CPU time of the instances in seconds and bytes of heartbeats that they sent and received.
    fn used(&self) -> io::Result<(f64, f64)> {
        let bytes = self.nodes.iter().map(|node| {
            let traffic = node.parts().shared.exchange().traffic();
            (traffic.sent_bytes() + traffic.received_bytes()) as f64
        });
        Ok((cpu::thread_time(&self.prefix)?.as_secs_f64(), bytes.sum()))
    }

    fn document(&self, prefix: &str) -> f64 {
        let documents = self.nodes[0].parts().shared.exchange().documents();
        let keys = documents.revisions().into_keys().filter(|key| key.starts_with(prefix));
        let sizes = keys.filter_map(|key| Some(documents.get(&key)?.1.len() as f64));
        sizes.fold(0.0, f64::max)
    }

    /// Makes instances of other names come and go; returns the time of all in seconds.
    async fn change(&self) -> f64 {
        let start = Instant::now();
        let membership = self.nodes[0].parts().shared.exchange().membership();
        for number in 0..CHANGES {
            let mut identity = membership.own();
            identity.name = format_smolstr!("{}-gone-{number}", self.prefix);
            // It is announced as leaving, so that it is forgotten after a few intervals.
            identity.state = State::Leaving;
            identity.address = SocketAddr::from((Ipv4Addr::LOCALHOST, CLOSED));
            membership.merge_peers(&[identity], Instant::now().into_std());
            sleep(HEARTBEAT).await;
        }
        start.elapsed().as_secs_f64()
    }

    /// Edits a branch several times through an instance that does not read the store; returns the
    /// longest spread and the time of all in seconds.
    async fn edit(&self) -> io::Result<(f64, f64)> {
        let name = |node: &Node| node.parts().shared.name().clone();
        let names: Vec<SmolStr> = self.nodes.iter().map(name).collect();
        let readers = rendezvous::readers(REGION, &names, READERS);
        let node = self.nodes.iter().find(|node| !readers.contains(&name(node)));
        let node = node.ok_or_else(|| io::Error::other("all instances are readers"))?;
        let client = Client::new(node.operator_address(), self.local.operator_token());
        let (start, mut base, mut longest) = (Instant::now(), 1, 0.0f64);
        for number in 0..EDITS {
            let value = json!({ "weight": 2.0 + number as f64, "tokens": [] });
            let id = format_smolstr!("{}-{number}", self.prefix);
            let put = EditRequest { id, base, owner: None, value: Some(value) };
            let path = format!("members/{}", tier::member_name(self.size.members - 1));
            let accepted = client.put(&path, &put).await.map_err(io::Error::other)?;
            base = accepted.revision;
            let at = Instant::now();
            let in_force =
                |node: &Node| node.parts().shared.active().config().revision() >= accepted.revision;
            while !self.nodes.iter().all(in_force) {
                sleep(Duration::from_millis(1)).await;
            }
            longest = longest.max(at.elapsed().as_secs_f64());
            sleep(HEARTBEAT / 2).await;
        }
        Ok((longest, start.elapsed().as_secs_f64()))
    }

    async fn measure(&self) -> io::Result<Point> {
        let (start, sent, before) = (Instant::now(), self.heartbeats(), self.used()?);
        sleep(WINDOW).await;
        let (after, time) = (self.used()?, start.elapsed().as_secs_f64());
        let instances = self.size.instances as f64;
        let cores = (after.0 - before.0) / time;
        // The reading itself composes one heartbeat at each instance.
        let heartbeats = (self.heartbeats() - sent - instances) / time / instances;
        let heartbeat_bytes = (after.1 - before.1) / time / instances;
        let (before, reads) = (self.used()?.0, self.local.store().calls().reads());
        let (spread, time) = self.edit().await?;
        let edit_reads = (self.local.store().calls().reads() - reads) as f64;
        let edit_cpu = ((self.used()?.0 - before) - cores * time) / EDITS as f64 / instances;
        let before = self.used()?.1;
        let time = self.change().await;
        let changed = (self.used()?.1 - before) / instances - heartbeat_bytes * time;
        Ok(Point {
            size: self.size,
            cores: cores / instances,
            heartbeat_bytes,
            heartbeats,
            report_bytes: self.document("tally/"),
            memory: self.memory,
            document: self.document(jaycrank_instance::documents::CONFIG_KEY),
            edit_cpu,
            spread,
            edit_reads,
            start_reads: self.start_reads,
            change_bytes: changed / CHANGES as f64,
        })
    }
}

/// Bytes of HTTP headers of an exchange, both ways, counted by a relay.
async fn headers(cell: &Cell) -> io::Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let client = jaycrank_instance::Client::new(listener.local_addr()?, Key::new(KEY));
    let traffic = Arc::default();
    let client = client.with_traffic(Arc::clone(&traffic));
    let target = cell.nodes[1].instance_address();
    let relay = tokio::spawn(async move {
        let (mut near, _) = listener.accept().await?;
        copy_bidirectional(&mut near, &mut TcpStream::connect(target).await?).await
    });
    let heartbeat = cell.nodes[0].parts().shared.exchange().compose_heartbeat(None);
    client.heartbeat(&heartbeat, HEARTBEAT).await.map_err(io::Error::other)?;
    drop(client);
    let (up, down) = relay.await??;
    Ok((up + down - traffic.sent_bytes() - traffic.received_bytes()) as f64)
}

struct Leaf;

#[async_trait]
impl jaycrank_claim::Runner for Leaf {
    async fn run(&self, submission: &Submission) -> jaycrank_claim::Outcome {
        jaycrank_claim::Outcome::Done(submission.payload().clone())
    }
}

/// CPU time in microseconds and memory in bytes of a number of claims.
fn claims(number: usize, seed: u64) -> io::Result<(f64, f64)> {
    let prefix = format!("claims-{number:06}");
    let runtime =
        Builder::new_multi_thread().worker_threads(2).thread_name(&prefix).enable_all().build()?;
    let before = resident()?;
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
                submissions
                    .spawn(async move { owner.submit(submission, Arc::new(Leaf), deadline).await });
            }
            submissions.join_all().await;
        }
        io::Result::Ok(owner)
    });
    // The owner, with its index, is kept until the memory has been read.
    let owner = runtime.block_on(task)??;
    let used = cpu::thread_time(&prefix)?.as_secs_f64() * 1e6;
    let memory = resident()? - before;
    drop(owner);
    Ok((used, memory))
}

async fn measure(seed: u64) -> io::Result<(Vec<Point>, f64)> {
    let mut cells = Vec::new();
    for (number, size) in SIZES.into_iter().enumerate() {
        cells.push(Arc::new(Cell::start(number, size, seed).await?));
    }
    let headers = headers(&cells[0]).await?;
    let offered = cells.clone();
    let offers = tokio::spawn(async move {
        loop {
            offered.iter().for_each(|cell| cell.offer());
            sleep(OFFER).await;
        }
    });
    // The averages of the demand settle, and the reports get their full size.
    sleep(SETTLE).await;
    let measures = cells.iter().map(|cell| cell.measure());
    let points = futures_util::future::join_all(measures).await;
    offers.abort();
    // The task holds the cells until it has ended; a cancelled task ends with an error.
    let _ = offers.await;
    for cell in cells {
        if let Ok(cell) = Arc::try_unwrap(cell).map_err(|_| ()) {
            for node in cell.nodes {
                cell.runtime.spawn(node.abort()).await?;
            }
            cell.runtime.shutdown_background();
        }
    }
    Ok((points.into_iter().collect::<io::Result<_>>()?, headers))
}

/// Measures all sizes and extrapolates.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let process = resident()?;
    let (mut cpu_points, mut memory_points) = (Vec::new(), Vec::new());
    claims(CLAIMS_BEFORE, seed)?;
    for number in CLAIMS {
        let (used, memory) = claims(number, seed)?;
        cpu_points.push((number as f64, used));
        memory_points.push((number as f64, memory));
    }
    let nothing = Line { slope: f64::NAN, intercept: f64::NAN };
    let claim = [cpu_points, memory_points].map(|points| Line::fit(&points).unwrap_or(nothing));
    let ((points, headers), _) = tier::block_on(measure(seed))?;
    let figures = extrapolate::figures(&points, headers, claim, process);
    Ok(Measurement {
        figures,
        baseline: Figures::new(),
        baseline_policy: "none: the bounds are those of the design",
        plots: Vec::new(),
    })
}
