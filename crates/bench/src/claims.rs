//! Non-idempotent requests while instances are killed and paused and the store fails.

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
use crate::outcome::Measured;
use crate::place::Place;
use crate::place::Remote;
use crate::stat::ratio;
use crate::tier;

const INSTANCES: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(2);

/// Time that a write of the store takes.
const WRITE: Duration = Duration::from_millis(20);

/// Time from the start of the instances until the load, for takeovers of the partitions.
const SETTLE: Duration = Duration::from_secs(3);

/// Requests a second up to the end of the calm time.
const CALM_RATE: f64 = 2_000.0;

/// Requests a second after the calm time, so that the whole load is about 20,000 requests.
const ROUGH_RATE: f64 = 320.0;

/// Start of the calm time, after the warm-up.
const CALM_FROM: Duration = Duration::from_secs(1);

/// End of the calm time of the product.
const CALM_UNTIL: Duration = Duration::from_secs(6);

/// End of the load of the product.
const END: Duration = Duration::from_secs(31);

/// End of the calm time and of the load of the baseline, which meets no failures.
const BASELINE_END: Duration = Duration::from_secs(4);

/// Fraction of writes whose reply is lost after the calm time.
const LOST_REPLIES: f64 = 0.02;

/// One request in this many is sent again, half of them at the same moment.
const AGAIN: usize = 3;

/// Time between the end of a submission and the next one of the same request.
const LATER: Duration = Duration::from_millis(100);

/// What is done to the tier, in order of time.
const FAILURES: [(u64, Failure); 14] = [
    (6_000, Failure::LoseReplies),
    (9_000, Failure::Pause(1, 3_000)),
    (10_000, Failure::Kill(2)),
    (11_000, Failure::Restart(2)),
    (13_000, Failure::StoreDown),
    (14_500, Failure::Pause(3, 2_500)),
    (18_000, Failure::StoreUp),
    (20_500, Failure::Kill(4)),
    (20_600, Failure::Pause(5, 2_500)),
    (21_500, Failure::Restart(4)),
    (23_000, Failure::StoreDown),
    (24_000, Failure::Kill(0)),
    (25_000, Failure::Restart(0)),
    (28_000, Failure::StoreUp),
];

/// Arrivals that may meet a kill, a pause or an outage, and may end with an unknown outcome: from
/// one deadline before the first failure until 1.5 s after the last.
const ROUGH: Range<Duration> = Duration::from_millis(7_000)..Duration::from_millis(29_500);

#[derive(Clone, Copy, Debug)]
enum Failure {
    LoseReplies,
    Pause(usize, u64),
    Kill(usize),
    Restart(usize),
    StoreDown,
    StoreUp,
}

/// End of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    Answered(String),
    NotRun,
    MayHaveRun,
    Invalid,
    /// The instance could not be reached; this says nothing about other submissions.
    NotSent,
    Lost,
}

#[derive(Clone, Debug)]
struct Submission {
    number: usize,
    attempt: u32,
    at: Duration,
    latency: Duration,
    end: End,
}

async fn submit(client: Arc<Client>, number: usize, attempt: u32) -> End {
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
            End::Answered(bodies.collect())
        }
        Err(Error::Lost(_)) => End::Lost,
        Err(Error::NotSent(_)) => End::NotSent,
        Err(error) => match error.category() {
            Category::NotRun => End::NotRun,
            Category::MayHaveRun => End::MayHaveRun,
            Category::Invalid => End::Invalid,
        },
    }
}

/// Draws the arrivals of the requests and the two instances of each.
fn arrivals(end: Duration, calm_until: Duration, seed: u64) -> Vec<(Duration, [usize; 2])> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut arrivals, mut at) = (Vec::new(), 0.0);
    loop {
        let rate = if at < calm_until.as_secs_f64() { CALM_RATE } else { ROUGH_RATE };
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= end.as_secs_f64() {
            return arrivals;
        }
        let first = random.random_range(0..INSTANCES);
        let second = (first + random.random_range(1..INSTANCES)) % INSTANCES;
        arrivals.push((Duration::from_secs_f64(at), [first, second]));
    }
}

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
        let again = number.is_multiple_of(AGAIN);
        let at_once = number.is_multiple_of(2 * AGAIN);
        calls.spawn(async move {
            let one = async |client, attempt, at| {
                let end = submit(client, number, attempt).await;
                let latency = start.elapsed().saturating_sub(at);
                Submission { number, attempt, at, latency, end }
            };
            if at_once {
                let (first, second) = tokio::join!(one(first, 1, at), one(second, 2, at));
                return vec![first, second];
            }
            let mut sent = vec![one(first, 1, at).await];
            if again {
                sleep(LATER).await;
                sent.push(one(second, 2, start.elapsed()).await);
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

struct Tier {
    local: LocalTier,
    remote: Arc<Remote>,
    places: Vec<Place>,
}

impl Tier {
    async fn start(policy: Value, seed: u64) -> io::Result<Self> {
        let tier_options = TierOptions {
            instances: 0,
            service_time: SERVICE_TIME,
            seed,
            services: Shape::find(tier::SERVICE).into_iter().collect(),
            members: vec![tier::member(0)],
            policy,
            ..TierOptions::default()
        };
        let local = LocalTier::start(&tier_options).await?;
        for leaf in local.services()[tier::SERVICE].leafs() {
            leaf.update(|behavior| behavior.service_time_sigma = 0.0);
        }
        local.store().update_fault(|fault| fault.write_delay = WRITE);
        let remote = Arc::new(Remote::new(local.store().clone(), "claims/"));
        let mut tier = Self { local, remote, places: Vec::new() };
        for number in 0..INSTANCES {
            let name = format_smolstr!("entry-{number}");
            let mut options = Options::loopback(name, b"key of the bench");
            options.instances_max = INSTANCES;
            options.seeds =
                tier.places.iter().map(|place| place.options().instance_address).collect();
            tier.places.push(Place::start(options, tier.platform()).await?);
        }
        sleep(SETTLE).await;
        Ok(tier)
    }

    fn platform(&self) -> Platform {
        Platform { store: self.remote.clone(), list: self.local.list().clone() }
    }

    fn clients(&self) -> Vec<Arc<Client>> {
        let token = self.local.member_token();
        let client = |place: &Place| Arc::new(Client::new(place.options().caller_address, token));
        self.places.iter().map(client).collect()
    }

    async fn fail(&mut self, failure: Failure) -> io::Result<()> {
        let store = self.local.store();
        match failure {
            Failure::LoseReplies => {
                store.update_fault(|fault| fault.lost_reply_fraction = LOST_REPLIES)
            }
            Failure::StoreDown => store.update_fault(|fault| fault.outage = true),
            Failure::StoreUp => store.update_fault(|fault| fault.outage = false),
            Failure::Pause(number, ms) => {
                self.places[number].pause(Duration::from_millis(ms));
            }
            Failure::Kill(number) => self.places[number].kill().await?,
            Failure::Restart(number) => {
                let mut options = self.places[number].options().clone();
                options.seeds =
                    self.places.iter().map(|place| place.options().instance_address).collect();
                self.places[number] = Place::start(options, self.platform()).await?;
            }
        }
        Ok(())
    }

    /// Number of runs of each request, from the bodies that the leafs recorded.
    fn runs(&self) -> BTreeMap<usize, u64> {
        let mut runs = BTreeMap::new();
        let leafs = self.local.services().values().flat_map(|service| service.leafs());
        for (body, count) in leafs.flat_map(|leaf| leaf.runs_by_body()) {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            if let Some(number) = body["n"].as_u64() {
                *runs.entry(number as usize).or_default() += count;
            }
        }
        runs
    }
}

struct Run {
    submissions: Vec<Submission>,
    runs: BTreeMap<usize, u64>,
    calm_writes: f64,
    calm: Duration,
    /// 99th percentile of the delay with which the load was started in the calm time.
    delay_p99: Duration,
}

async fn measure(policy: Value, seed: u64, is_calm: bool) -> io::Result<Run> {
    let mut tier = Tier::start(policy, seed).await?;
    let (calm_until, end) = if is_calm { (BASELINE_END, BASELINE_END) } else { (CALM_UNTIL, END) };
    let (clients, remote) = (tier.clients(), tier.remote.clone());
    let start = Instant::now();
    let count = async {
        sleep_until(start + CALM_FROM).await;
        let before = remote.writes();
        sleep_until(start + calm_until).await;
        (remote.writes() - before) as f64
    };
    let disturb = async {
        let failures = if is_calm { &[][..] } else { &FAILURES[..] };
        for (at, failure) in failures {
            sleep_until(start + Duration::from_millis(*at)).await;
            tier.fail(*failure).await?;
        }
        io::Result::Ok(())
    };
    let load = load(&clients, arrivals(end, calm_until, seed), start);
    let ((submissions, delays), calm_writes, disturbed) = tokio::join!(load, count, disturb);
    disturbed?;
    for place in &mut tier.places {
        place.kill().await?;
    }
    let runs = tier.runs();
    let calm = delays.iter().filter(|(at, _)| (CALM_FROM..calm_until).contains(at));
    let mut delays: Vec<Duration> = calm.map(|(_, delay)| *delay).collect();
    delays.sort();
    let delay_p99 = delays.get(delays.len() * 99 / 100).copied().unwrap_or_default();
    Ok(Run { submissions, runs, calm_writes, calm: calm_until - CALM_FROM, delay_p99 })
}

/// Latency of first submissions in the calm time at a quantile, in store writes beyond two.
fn added(run: &Run, percent: usize) -> f64 {
    let calm = CALM_FROM..CALM_FROM + run.calm;
    let first = run.submissions.iter().filter(|one| one.attempt == 1 && calm.contains(&one.at));
    let mut latencies: Vec<Duration> = first.map(|one| one.latency).collect();
    latencies.sort();
    let latency = latencies.get(latencies.len() * percent / 100);
    latency.map_or(f64::NAN, |latency| latency.as_secs_f64() / WRITE.as_secs_f64() - 2.0)
}

fn figures(run: &Run) -> Figures {
    let mut requests: BTreeMap<usize, Vec<&Submission>> = BTreeMap::new();
    for one in &run.submissions {
        requests.entry(one.number).or_default().push(one);
    }
    let (mut untrue_first, mut untrue_again, mut changed) = (0.0, 0.0, 0.0);
    let (mut quiet, mut known) = (0.0, 0.0);
    for (number, sent) in &requests {
        let has_run = run.runs.contains_key(number);
        let is_refused =
            |one: &&&Submission| matches!(one.end, End::NotRun | End::Invalid | End::NotSent);
        let all_refused = sent.iter().filter(is_refused).count() == sent.len();
        // Attempt 2 is the last one, so nothing may run once it is refused as not run.
        let last_not_run = sent.iter().any(|one| one.attempt > 1 && one.end == End::NotRun);
        untrue_first += f64::from(u8::from(has_run && all_refused && !last_not_run));
        untrue_again += f64::from(u8::from(has_run && last_not_run));
        let mut answers: Vec<&End> =
            sent.iter().map(|one| &one.end).filter(|end| matches!(end, End::Answered(_))).collect();
        answers.dedup();
        changed += f64::from(u8::from(answers.len() > 1));
        let at = sent.iter().map(|one| one.at).min().unwrap_or_default();
        if at >= CALM_FROM && !ROUGH.contains(&at) {
            quiet += 1.0;
            let is_known = !answers.is_empty() || (all_refused && !has_run);
            known += f64::from(u8::from(is_known));
        }
    }
    let of = |end: End| run.submissions.iter().filter(|one| one.end == end).count() as f64;
    Figures::from([
        ("double_runs", run.runs.values().filter(|count| **count > 1).count() as f64),
        ("untrue_not_run", untrue_first + untrue_again),
        ("untrue_not_run_again", untrue_again),
        ("changed_answers", changed),
        ("answered_fraction", ratio(known, quiet)),
        ("store_writes_per_s", run.calm_writes / run.calm.as_secs_f64()),
        ("p99_added_over_store_write", added(run, 99)),
        ("p50_added_over_store_write", added(run, 50)),
        ("start_delay_p99_ms", run.delay_p99.as_secs_f64() * 1e3),
        ("requests", requests.len() as f64),
        ("submissions", run.submissions.len() as f64),
        ("requests_run", run.runs.len() as f64),
        ("not_run", of(End::NotRun)),
        ("may_have_run", of(End::MayHaveRun)),
        ("not_sent", of(End::NotSent)),
        ("lost", of(End::Lost)),
    ])
}

/// Measures the baseline in calm time, then the product under failures.
pub fn run(seed: u64) -> io::Result<Measured> {
    // With 64 partitions and no pause, a write holds few requests.
    let small_groups = json!({ "claim_interval_ms": 1, "claim_partitions": 64 });
    let runs = async {
        let baseline = measure(small_groups, seed, true).await?;
        let product = measure(tier::product(), seed, false).await?;
        Ok((baseline, product))
    };
    // The CPU time is left out: threads of instances that were killed are not counted.
    let ((baseline, product), _) = tier::block_on(runs)?;
    Ok(Measured {
        figures: figures(&product),
        baseline: figures(&baseline),
        baseline_policy: "claim_partitions 64, claim_interval_ms 1: nearly a write for each request; \
                          calm time only",
        plots: Vec::new(),
    })
}
