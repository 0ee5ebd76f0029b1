//! Trial tiers at the size of the deployments.

use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jaycrank::local::LocalTier;
use jaycrank::local::TierOptions;
use jaycrank_settings::Rank;
use jaycrank_standin::deployment::Shape;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::runtime::Builder;

use crate::cpu;
use crate::load;
use crate::load::Source;
use crate::outcome::Figures;
use crate::record::Record;

/// Entry instances of a trial tier.
pub const INSTANCES: usize = 6;

/// Service that the scenarios query unless another fits better.
pub const SERVICE: &str = "quote-desk";

/// Time at the start of a load that is not measured: connections open, observations settle.
pub const WARM_UP: Duration = Duration::from_secs(2);

/// Name of the plain baseline in the results.
pub const BASELINE_DESCRIPTION: &str =
    "replicas round-robin, admission fifo, no hedging, retries, quarantine or limit";

/// Policy of the plain baseline.
pub fn baseline_policy() -> Value {
    json!({
        "replicas": "round-robin",
        "admission": "fifo",
        "hedge_budget": 0.0,
        "retry_budget": 0.0,
        "quarantine": false,
        "limit": false,
    })
}

/// Policy of the product: all defaults.
pub fn product_policy() -> Value {
    json!({})
}

/// Name of a member by its number.
pub fn member_name(number: usize) -> SmolStr {
    format_smolstr!("member-{number}")
}

/// Starts a tier with one service and `members` members.
///
/// # Errors
///
/// Fails if the tier can't be started.
pub async fn start(
    policy: Value,
    service_time: Duration,
    members: usize,
    seed: u64,
) -> io::Result<LocalTier> {
    start_at(INSTANCES, policy, service_time, members, seed).await
}

async fn start_at(
    instances: usize,
    policy: Value,
    service_time: Duration,
    members: usize,
    seed: u64,
) -> io::Result<LocalTier> {
    let tier_options = TierOptions {
        instances,
        service_time,
        seed,
        services: Shape::find(SERVICE).into_iter().collect(),
        members: (0..members).map(member_name).collect(),
        policy,
        grace: Duration::from_secs(5),
        ..TierOptions::default()
    };
    LocalTier::start(&tier_options).await
}

/// One load on one tier.
#[derive(Clone, Debug)]
pub struct LoadTest {
    /// Value of the settings branch `policy`.
    pub policy: Value,
    /// Mean service time.
    pub service_time: Duration,
    /// Load; member numbers count from 0.
    pub sources: Vec<Source>,
    /// Members.
    pub members: usize,
    /// Length of the load, the warm-up included.
    pub time: Duration,
    /// Seed of load and stand-ins.
    pub seed: u64,
}

impl LoadTest {
    /// Starts the tier and puts the load on it while `disturb` runs, which gets the tier at the
    /// start of the load. The tier still runs afterwards, so that its counts can be read.
    ///
    /// # Errors
    ///
    /// Fails if the tier can't be started or `disturb` fails.
    pub async fn run<F: Future<Output = io::Result<()>>>(
        self,
        disturb: impl FnOnce(Arc<LocalTier>) -> F,
    ) -> io::Result<(Record, Arc<LocalTier>)> {
        let used = self.sources.iter().flat_map(|source| &source.instances).max();
        let instances = used.map_or(INSTANCES, |last| INSTANCES.max(last + 1));
        let (policy, service_time) = (self.policy, self.service_time);
        let local = start_at(instances, policy, service_time, self.members, self.seed).await?;
        let local = Arc::new(local);
        let load = load::run(&local, &self.sources, self.time, self.seed);
        let (record, ()) = tokio::try_join!(load, disturb(local.clone()))?;
        Ok((record, local))
    }
}

/// Stops all instances gracefully.
pub async fn stop(local: &LocalTier) {
    for number in 0..local.caller_addresses().len() {
        local.stop(number).await;
    }
}

/// Queries a second that the leafs of the service can run: slots of a group over service time.
pub fn capacity(service_time: Duration) -> f64 {
    let slots = Shape::find(SERVICE).map_or(0, |shape| shape.leafs * shape.slots);
    slots as f64 / service_time.as_secs_f64()
}

/// Load of one member and rank through all instances.
pub fn source(rank: Rank, member_number: usize, rate: f64, deadline: Duration) -> Source {
    Source {
        service: SERVICE.into(),
        rank,
        member: member_name(member_number),
        instances: (0..INSTANCES).collect(),
        rate,
        deadline,
        retries_refusals: false,
        fails_over: false,
        mark: SmolStr::default(),
        unique_bodies: true,
        has_request_ids: false,
    }
}

/// Numbers of the calls that leafs ran, from the bodies that they recorded.
pub fn executed_calls(local: &LocalTier) -> BTreeSet<usize> {
    let leafs = local.services().values().flat_map(|service| service.leafs());
    let number = |body: Bytes| {
        let body: Value = serde_json::from_slice(&body).ok()?;
        usize::try_from(body["n"].as_u64()?).ok()
    };
    leafs.flat_map(|leaf| leaf.runs_by_body().into_keys()).filter_map(number).collect()
}

/// Sub-requests that all leafs of the service received.
pub fn received_sub_requests(local: &LocalTier) -> f64 {
    let leafs = local.services().values().flat_map(|service| service.leafs());
    leafs.map(|leaf| leaf.counts().received() as f64).sum()
}

/// Runs a scenario on a runtime of its own and adds `cpu_cores`, the process's use of CPU.
///
/// # Errors
///
/// Fails if the runtime can't be started or the scenario fails.
pub fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<(T, f64)> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let (start, used) = (Instant::now(), cpu::thread_time("")?);
        let result = future.await?;
        let used = cpu::thread_time("")?.saturating_sub(used);
        Ok((result, used.as_secs_f64() / start.elapsed().as_secs_f64()))
    })
}

/// Adds the figures that show whether the machine was the bottleneck.
pub fn add_machine_figures(figures: &mut Figures, cpu_cores: f64, record: &Record) {
    figures.insert("cpu_cores", cpu_cores);
    figures.insert("start_delay_p99_ms", record.start_delay_p99_ms());
    figures.insert("queries", record.count());
}
