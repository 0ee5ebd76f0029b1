//! Non-idempotent requests while instances are killed and paused and the store fails.
//!
//! The baseline runs without faults, the product first without and then with faults. Some requests
//! are submitted twice, through different instances, to check that each is run at most once
//! and that its answer and its refusals are consistent.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank::local::TierOptions;
use jaycrank::node::Options;
use jaycrank::node::Platform;
use jaycrank_caller::Client;
use jaycrank_caller::Query;
use jaycrank_caller::client::Error;
use jaycrank_caller::wire::Category;
use jaycrank_standin::deployment::Shape;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use smol_str::format_smolstr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::pausable::Instance;
use crate::pausable::RemoteStore;
use crate::stat::ratio;
use crate::tier;

const INSTANCES: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(2);

/// Duration of a store write.
const STORE_WRITE_DELAY: Duration = Duration::from_millis(20);

/// Time between the start of the instances and the load, in which they take over the partitions.
const TAKEOVER_WAIT: Duration = Duration::from_secs(3);

/// Requests per second until the end of the fault-free phase.
const FAULT_FREE_REQUESTS_PER_S: f64 = 2_000.0;

/// Requests per second while faults are injected; the whole load is about 20,000 requests.
const FAULT_PHASE_REQUESTS_PER_S: f64 = 320.0;

/// Start of the fault-free phase, after the warm-up.
const FAULT_FREE_FROM: Duration = Duration::from_secs(1);

/// End of the fault-free phase of the product.
const FAULT_FREE_UNTIL: Duration = Duration::from_secs(6);

/// End of the load of the product.
const LOAD_END: Duration = Duration::from_secs(31);

/// End of the fault-free phase and of the load of the baseline, which runs without faults.
const BASELINE_END: Duration = Duration::from_secs(4);

/// Fraction of writes whose reply is lost after the fault-free phase.
const LOST_REPLY_FRACTION: f64 = 0.02;

/// One request in this many is submitted twice: half of them concurrently, half after a delay.
const RESUBMIT_EVERY: usize = 3;

/// Time between the end of the first submission of a request and the second one.
const RESUBMIT_DELAY: Duration = Duration::from_millis(100);

/// Faults by time since the start of the load, in milliseconds.
const FAULT_SCHEDULE: [(u64, FaultEvent); 14] = [
    (6_000, FaultEvent::LoseReplies),
    (9_000, FaultEvent::Pause(1, 3_000)),
    (10_000, FaultEvent::Kill(2)),
    (11_000, FaultEvent::Restart(2)),
    (13_000, FaultEvent::StoreDown),
    (14_500, FaultEvent::Pause(3, 2_500)),
    (18_000, FaultEvent::StoreUp),
    (20_500, FaultEvent::Kill(4)),
    (20_600, FaultEvent::Pause(5, 2_500)),
    (21_500, FaultEvent::Restart(4)),
    (23_000, FaultEvent::StoreDown),
    (24_000, FaultEvent::Kill(0)),
    (25_000, FaultEvent::Restart(0)),
    (28_000, FaultEvent::StoreUp),
];

/// Arrivals that a kill, a pause or an outage may affect, and whose outcome may remain unknown:
/// from one deadline before the first such fault until 1.5 s after the last one ends.
const FAULT_WINDOW: Range<Duration> = Duration::from_millis(7_000)..Duration::from_millis(29_500);

/// Fault, or end of a fault; the first number is that of the instance.
#[derive(Clone, Copy, Debug)]
enum FaultEvent {
    LoseReplies,
    /// Pause of an instance for a time in milliseconds.
    Pause(usize, u64),
    Kill(usize),
    Restart(usize),
    StoreDown,
    StoreUp,
}

/// Result of a submission as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SubmissionStatus {
    Answered(String),
    NotRun,
    MayHaveRun,
    Invalid,
    /// The instance was not reached; other submissions of the request may have run.
    NotSent,
    /// The connection broke or the call timed out.
    Lost,
}

/// One submission of a request.
#[derive(Clone, Debug)]
struct Submission {
    number: usize,
    attempt: u32,
    at: Duration,
    latency: Duration,
    status: SubmissionStatus,
}

async fn submit(client: Arc<Client>, number: usize, attempt: u32) -> SubmissionStatus {
    let body = RawValue::from_string(format!(r#"{{"n":{number}}}"#));
    let query = Query {
        service: tier::SERVICE.into(),
        rank: "middle".into(),
        deadline_ms: DEADLINE.as_millis() as u64,
        body: body.unwrap_or_else(|_| RawValue::NULL.to_owned()),
        request_id: Some(format_smolstr!("request-{number}")),
        attempt,
        expires_unix_ms: None,
        key: None,
    };
    match client.query(&query).await {
        Ok(answer) => {
            let bodies = answer.results.iter().map(|part| part.body.get());
            SubmissionStatus::Answered(bodies.collect())
        }
        Err(Error::Lost(_)) => SubmissionStatus::Lost,
        Err(Error::NotSent(_)) => SubmissionStatus::NotSent,
        Err(error) => match error.category() {
            Category::NotRun => SubmissionStatus::NotRun,
            Category::MayHaveRun => SubmissionStatus::MayHaveRun,
            Category::Invalid => SubmissionStatus::Invalid,
        },
    }
}

/// Draws Poisson arrivals and, for each request, two different instances.
fn arrivals(end: Duration, fault_free_until: Duration, seed: u64) -> Vec<(Duration, [usize; 2])> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut arrivals, mut at) = (Vec::new(), 0.0);
    loop {
        let rate = if at < fault_free_until.as_secs_f64() {
            FAULT_FREE_REQUESTS_PER_S
        } else {
            FAULT_PHASE_REQUESTS_PER_S
        };
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= end.as_secs_f64() {
            return arrivals;
        }
        let first = random.random_range(0..INSTANCES);
        let second = (first + random.random_range(1..INSTANCES)) % INSTANCES;
        arrivals.push((Duration::from_secs_f64(at), [first, second]));
    }
}

/// Sends the requests at their arrival times and waits for the last result.
///
/// Returns the submissions, and the arrivals with the delay with which each was started.
async fn load(
    clients: &[Arc<Client>],
    arrivals: Vec<(Duration, [usize; 2])>,
    start: Instant,
) -> (Vec<Submission>, Vec<(Duration, Duration)>) {
    let mut calls = JoinSet::new();
    let (mut submissions, mut delays) = (Vec::new(), Vec::new());
    for (number, (at, instances)) in arrivals.into_iter().enumerate() {
        sleep_until(start + at).await;
        delays.push((at, start.elapsed().saturating_sub(at)));
        let [first, second] = instances.map(|instance| clients[instance].clone());
        let resubmits = number.is_multiple_of(RESUBMIT_EVERY);
        let concurrent = number.is_multiple_of(2 * RESUBMIT_EVERY);
        calls.spawn(async move {
            let timed_submit = async |client, attempt, at| {
                let status = submit(client, number, attempt).await;
                let latency = start.elapsed().saturating_sub(at);
                Submission { number, attempt, at, latency, status }
            };
            if concurrent {
                let (first, second) =
                    tokio::join!(timed_submit(first, 1, at), timed_submit(second, 2, at));
                return vec![first, second];
            }
            let mut sent = vec![timed_submit(first, 1, at).await];
            if resubmits {
                sleep(RESUBMIT_DELAY).await;
                sent.push(timed_submit(second, 2, start.elapsed()).await);
            }
            sent
        });
        while let Some(ended) = calls.try_join_next() {
            submissions.extend(ended.unwrap_or_default());
        }
    }
    while let Some(ended) = calls.join_next().await {
        submissions.extend(ended.unwrap_or_default());
    }
    (submissions, delays)
}

/// Tier whose instances run on threads of their own.
struct Tier {
    local: LocalTier,
    counted_store: Arc<RemoteStore>,
    instances: Vec<Instance>,
}

impl Tier {
    async fn start(policy: Value, seed: u64) -> io::Result<Self> {
        let tier_options = TierOptions {
            instances: 0,
            service_time: SERVICE_TIME,
            seed,
            services: Shape::find(tier::SERVICE).into_iter().collect(),
            members: vec![tier::member_name(0)],
            policy,
            ..TierOptions::default()
        };
        let local = LocalTier::start(&tier_options).await?;
        for leaf in local.services()[tier::SERVICE].leafs() {
            leaf.update(|behavior| behavior.service_time_sigma = 0.0);
        }
        local.store().update_fault(|fault| fault.write_delay = STORE_WRITE_DELAY);
        let counted_store = Arc::new(RemoteStore::new(local.store().clone(), "claims/"));
        let mut tier = Self { local, counted_store, instances: Vec::new() };
        for number in 0..INSTANCES {
            let name = format_smolstr!("entry-{number}");
            let mut options = Options::loopback(name, b"key of the bench");
            options.instances_max = INSTANCES;
            options.seeds =
                tier.instances.iter().map(|instance| instance.options().instance_address).collect();
            tier.instances.push(Instance::start(options, tier.platform()).await?);
        }
        sleep(TAKEOVER_WAIT).await;
        Ok(tier)
    }

    fn platform(&self) -> Platform {
        Platform { store: self.counted_store.clone(), list: self.local.list().clone() }
    }

    fn clients(&self) -> Vec<Arc<Client>> {
        let token = self.local.member_token();
        let client =
            |instance: &Instance| Arc::new(Client::new(instance.options().caller_address, token));
        self.instances.iter().map(client).collect()
    }

    async fn apply(&mut self, event: FaultEvent) -> io::Result<()> {
        let store = self.local.store();
        match event {
            FaultEvent::LoseReplies => {
                store.update_fault(|fault| fault.lost_reply_fraction = LOST_REPLY_FRACTION)
            }
            FaultEvent::StoreDown => store.update_fault(|fault| fault.outage = true),
            FaultEvent::StoreUp => store.update_fault(|fault| fault.outage = false),
            FaultEvent::Pause(number, ms) => {
                self.instances[number].pause(Duration::from_millis(ms));
            }
            FaultEvent::Kill(number) => self.instances[number].kill().await?,
            FaultEvent::Restart(number) => {
                let mut options = self.instances[number].options().clone();
                options.seeds = self
                    .instances
                    .iter()
                    .map(|instance| instance.options().instance_address)
                    .collect();
                self.instances[number] = Instance::start(options, self.platform()).await?;
            }
        }
        Ok(())
    }

    /// Returns the number of runs of each request, from the bodies that the leafs recorded.
    fn runs_by_request(&self) -> BTreeMap<usize, u64> {
        let mut counts = BTreeMap::new();
        let leafs = self.local.services().values().flat_map(|service| service.leafs());
        for (body, count) in leafs.flat_map(|leaf| leaf.runs_by_body()) {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            if let Some(number) = body["n"].as_u64() {
                *counts.entry(number as usize).or_default() += count;
            }
        }
        counts
    }
}

/// Observations of one run.
struct Run {
    submissions: Vec<Submission>,
    runs_by_request: BTreeMap<usize, u64>,
    fault_free_writes: f64,
    fault_free_time: Duration,
    /// 99th percentile of the delay with which submissions were started in the fault-free phase.
    delay_p99: Duration,
}

async fn measure(policy: Value, seed: u64, fault_free: bool) -> io::Result<Run> {
    let mut tier = Tier::start(policy, seed).await?;
    let (fault_free_until, end) =
        if fault_free { (BASELINE_END, BASELINE_END) } else { (FAULT_FREE_UNTIL, LOAD_END) };
    let (clients, counted_store) = (tier.clients(), tier.counted_store.clone());
    let start = Instant::now();
    let count_writes = async {
        sleep_until(start + FAULT_FREE_FROM).await;
        let before = counted_store.writes();
        sleep_until(start + fault_free_until).await;
        (counted_store.writes() - before) as f64
    };
    let inject_faults = async {
        let events = if fault_free { &[][..] } else { &FAULT_SCHEDULE[..] };
        for (at, event) in events {
            sleep_until(start + Duration::from_millis(*at)).await;
            tier.apply(*event).await?;
        }
        io::Result::Ok(())
    };
    let load = load(&clients, arrivals(end, fault_free_until, seed), start);
    let ((submissions, delays), fault_free_writes, injected) =
        tokio::join!(load, count_writes, inject_faults);
    injected?;
    for instance in &mut tier.instances {
        instance.kill().await?;
    }
    let runs_by_request = tier.runs_by_request();
    let fault_free_arrivals =
        delays.iter().filter(|(at, _)| (FAULT_FREE_FROM..fault_free_until).contains(at));
    let mut delays: Vec<Duration> = fault_free_arrivals.map(|(_, delay)| *delay).collect();
    delays.sort();
    let delay_p99 = delays.get(delays.len() * 99 / 100).copied().unwrap_or_default();
    Ok(Run {
        submissions,
        runs_by_request,
        fault_free_writes,
        fault_free_time: fault_free_until - FAULT_FREE_FROM,
        delay_p99,
    })
}

/// Returns a percentile of the latency of first submissions in the fault-free phase, less two store
/// writes, as a multiple of the duration of a store write.
fn added_store_writes(run: &Run, percentile: usize) -> f64 {
    let fault_free_arrivals = FAULT_FREE_FROM..FAULT_FREE_FROM + run.fault_free_time;
    let first = run.submissions.iter().filter(|submission| {
        submission.attempt == 1 && fault_free_arrivals.contains(&submission.at)
    });
    let mut latencies: Vec<Duration> = first.map(|submission| submission.latency).collect();
    latencies.sort();
    let latency = latencies.get(latencies.len() * percentile / 100);
    latency
        .map_or(f64::NAN, |latency| latency.as_secs_f64() / STORE_WRITE_DELAY.as_secs_f64() - 2.0)
}

fn figures(run: &Run) -> Figures {
    let mut requests: BTreeMap<usize, Vec<&Submission>> = BTreeMap::new();
    for submission in &run.submissions {
        requests.entry(submission.number).or_default().push(submission);
    }
    let (mut false_not_run, mut false_final_not_run, mut changed_answers) = (0.0, 0.0, 0.0);
    let (mut outside_faults, mut known_outside_faults) = (0.0, 0.0);
    for (number, sent) in &requests {
        let has_run = run.runs_by_request.contains_key(number);
        let is_refused = |submission: &&&Submission| {
            matches!(
                submission.status,
                SubmissionStatus::NotRun | SubmissionStatus::Invalid | SubmissionStatus::NotSent
            )
        };
        let all_refused = sent.iter().filter(is_refused).count() == sent.len();
        // Attempt 2 is the last one: if it is refused as not run, the request may never run.
        let last_not_run = sent.iter().any(|submission| {
            submission.attempt > 1 && submission.status == SubmissionStatus::NotRun
        });
        false_not_run += f64::from(u8::from(has_run && all_refused && !last_not_run));
        false_final_not_run += f64::from(u8::from(has_run && last_not_run));
        let mut answers: Vec<&SubmissionStatus> = sent
            .iter()
            .map(|submission| &submission.status)
            .filter(|status| matches!(status, SubmissionStatus::Answered(_)))
            .collect();
        answers.dedup();
        changed_answers += f64::from(u8::from(answers.len() > 1));
        let at = sent.iter().map(|submission| submission.at).min().unwrap_or_default();
        if at >= FAULT_FREE_FROM && !FAULT_WINDOW.contains(&at) {
            outside_faults += 1.0;
            let is_known = !answers.is_empty() || (all_refused && !has_run);
            known_outside_faults += f64::from(u8::from(is_known));
        }
    }
    let count_of = |status: SubmissionStatus| {
        run.submissions.iter().filter(|submission| submission.status == status).count() as f64
    };
    Figures::from([
        ("double_runs", run.runs_by_request.values().filter(|count| **count > 1).count() as f64),
        ("untrue_not_run", false_not_run + false_final_not_run),
        ("untrue_not_run_again", false_final_not_run),
        ("changed_answers", changed_answers),
        ("answered_fraction", ratio(known_outside_faults, outside_faults)),
        ("store_writes_per_s", run.fault_free_writes / run.fault_free_time.as_secs_f64()),
        ("p99_added_over_store_write", added_store_writes(run, 99)),
        ("p50_added_over_store_write", added_store_writes(run, 50)),
        ("start_delay_p99_ms", run.delay_p99.as_secs_f64() * 1e3),
        ("requests", requests.len() as f64),
        ("submissions", run.submissions.len() as f64),
        ("requests_run", run.runs_by_request.len() as f64),
        ("not_run", count_of(SubmissionStatus::NotRun)),
        ("may_have_run", count_of(SubmissionStatus::MayHaveRun)),
        ("not_sent", count_of(SubmissionStatus::NotSent)),
        ("lost", count_of(SubmissionStatus::Lost)),
    ])
}

/// Measures the baseline without faults, then the product with them.
pub fn run(seed: u64) -> io::Result<Measurement> {
    // With 64 partitions and an interval of 1 ms, few requests share a store write.
    let small_batches = json!({ "claim_interval_ms": 1, "claim_partitions": 64 });
    let runs = async {
        let baseline = measure(small_batches, seed, true).await?;
        let product = measure(tier::product_policy(), seed, false).await?;
        Ok((baseline, product))
    };
    // The CPU time is not reported: it lacks that of the threads of killed instances.
    let ((baseline, product), _) = tier::block_on(runs)?;
    Ok(Measurement {
        figures: figures(&product),
        baseline: figures(&baseline),
        baseline_policy: "claim_partitions 64, claim_interval_ms 1: nearly a write for each \
                          request; calm time only",
        plots: Vec::new(),
    })
}
