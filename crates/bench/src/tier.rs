//! Test tiers with the shapes of the deployed services.

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

/// Number of instances of a test tier, unless a load uses more.
pub const INSTANCES: usize = 6;

/// Service that most scenarios query.
pub const SERVICE: &str = "quote-desk";

/// Time at the start of a load that is not measured: connections are opened and latency estimates
/// converge.
pub const WARM_UP: Duration = Duration::from_secs(2);

/// Description of the baseline policy in the results.
pub const BASELINE_DESCRIPTION: &str =
    "replicas round-robin, admission fifo, no hedging, retries, quarantine or limit";

/// Returns the baseline policy: round-robin, FIFO admission and none of the product's protections.
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

/// Returns the policy of the product, which has all defaults.
pub fn product_policy() -> Value {
    json!({})
}

/// Returns the name of a member.
pub fn member_name(number: usize) -> SmolStr {
    format_smolstr!("member-{number}")
}

/// Starts a tier with the service [`SERVICE`] and `members` members.
///
/// # Errors
///
/// Returns an error if the tier can't be started.
pub async fn start(
    policy: Value,
    service_time: Duration,
    members: usize,
    seed: u64,
) -> io::Result<LocalTier> {
    start_with_instances(INSTANCES, policy, service_time, members, seed).await
}

async fn start_with_instances(
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

/// A load on a tier of its own.
#[derive(Clone, Debug)]
pub struct LoadTest {
    /// Value of the settings branch `policy`.
    pub policy: Value,
    /// Mean service time.
    pub service_time: Duration,
    /// Sources of the load; member numbers count from 0.
    pub sources: Vec<Source>,
    /// Number of members.
    pub members: usize,
    /// Length of the load, including the warm-up.
    pub time: Duration,
    /// Seed of the load and of the stand-ins.
    pub seed: u64,
}

impl LoadTest {
    /// Starts the tier, then runs the load and `inject_failures` on it concurrently.
    ///
    /// The tier keeps running afterwards, so that its counters can be read.
    ///
    /// # Errors
    ///
    /// Returns an error if the tier can't be started or `inject_failures` fails.
    pub async fn run<F: Future<Output = io::Result<()>>>(
        self,
        inject_failures: impl FnOnce(Arc<LocalTier>) -> F,
    ) -> io::Result<(Record, Arc<LocalTier>)> {
        let last_instance = self.sources.iter().flat_map(|source| &source.instances).max();
        let instances = last_instance.map_or(INSTANCES, |last| INSTANCES.max(last + 1));
        let (policy, service_time) = (self.policy, self.service_time);
        let local =
            start_with_instances(instances, policy, service_time, self.members, self.seed).await?;
        let local = Arc::new(local);
        let load = load::run(&local, &self.sources, self.time, self.seed);
        let (record, ()) = tokio::try_join!(load, inject_failures(local.clone()))?;
        Ok((record, local))
    }
}

/// Stops all instances gracefully.
pub async fn stop(local: &LocalTier) {
    for number in 0..local.caller_addresses().len() {
        local.stop(number).await;
    }
}

/// Returns the queries per second that the leafs of the service can run: the slots of a group,
/// divided by the service time.
pub fn capacity(service_time: Duration) -> f64 {
    let slots = Shape::find(SERVICE).map_or(0, |shape| shape.leafs * shape.slots);
    slots as f64 / service_time.as_secs_f64()
}

/// Returns a source of queries from one member, with one rank, through all instances.
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

/// Returns the numbers of the calls that leafs ran, taken from the bodies that they recorded.
pub fn executed_calls(local: &LocalTier) -> BTreeSet<usize> {
    let leafs = local.services().values().flat_map(|service| service.leafs());
    let number = |body: Bytes| {
        let body: Value = serde_json::from_slice(&body).ok()?;
        usize::try_from(body["n"].as_u64()?).ok()
    };
    leafs.flat_map(|leaf| leaf.runs_by_body().into_keys()).filter_map(number).collect()
}

/// Returns the number of sub-requests that all leafs received.
pub fn received_sub_requests(local: &LocalTier) -> f64 {
    let leafs = local.services().values().flat_map(|service| service.leafs());
    leafs.map(|leaf| leaf.counts().received() as f64).sum()
}

/// Runs a scenario on a new runtime and returns its result with the number of CPU cores that the
/// process used.
///
/// # Errors
///
/// Returns an error if the runtime can't be started or the scenario fails.
pub fn block_on<T>(future: impl Future<Output = io::Result<T>>) -> io::Result<(T, f64)> {
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let (start, cpu_before) = (Instant::now(), cpu::thread_time("")?);
        let result = future.await?;
        let cpu_time = cpu::thread_time("")?.saturating_sub(cpu_before);
        Ok((result, cpu_time.as_secs_f64() / start.elapsed().as_secs_f64()))
    })
}

/// Adds the figures that show whether the machine was the bottleneck: used cores, late starts of
/// calls, and queries.
pub fn add_machine_figures(figures: &mut Figures, cpu_cores: f64, record: &Record) {
    figures.insert("cpu_cores", cpu_cores);
    figures.insert("start_delay_p99_ms", record.start_delay_p99_ms());
    figures.insert("queries", record.count());
}
