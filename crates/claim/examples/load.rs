//! Measures the rate of store writes and the latency of submissions, also during an outage.
//!
//! Usage: `cargo run --release -p jaycrank-claim --example load [SECONDS [SEED [paused]]]`
//!
//! With `paused`, tokio's clock is paused, so that the figures show the protocol alone and do not
//! depend on the load of the machine.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_claim::Digest;
use jaycrank_claim::GroupCommit;
use jaycrank_claim::Outcome;
use jaycrank_claim::Owner;
use jaycrank_claim::Runner;
use jaycrank_claim::Submission;
use jaycrank_claim::Verdict;
use jaycrank_claim::partition;
use jaycrank_standin::Fault;
use jaycrank_standin::Store;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

const PARTITIONS: u32 = 4;
/// Rate of submissions over all partitions.
const SUBMISSIONS_PER_S: f64 = 2000.0;
const STORE_WRITE_DELAY: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_millis(5);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of the phase with the outage, which starts after one second.
const OUTAGE_PHASE: Duration = Duration::from_secs(10);

struct Leaf;

#[async_trait]
impl Runner for Leaf {
    async fn run(&self, submission: &Submission) -> Outcome {
        sleep(RUN_TIME).await;
        Outcome::Done(submission.payload().clone())
    }
}

/// Latencies of the submissions with one kind of verdict, in microseconds.
#[derive(Default)]
struct Latencies(Vec<u128>);

impl Latencies {
    fn quantile_ms(&mut self, quantile: f64) -> f64 {
        self.0.sort_unstable();
        let last = self.0.len().saturating_sub(1);
        let index = (last as f64 * quantile).round() as usize;
        self.0.get(index).copied().unwrap_or(0) as f64 / 1000.0
    }

    fn print(&mut self, name: &str) {
        let (p50, p99, max) =
            (self.quantile_ms(0.5), self.quantile_ms(0.99), self.quantile_ms(1.0));
        println!(
            "{name}: {} submissions, p50 {p50:.1} ms, p99 {p99:.1} ms, max {max:.1} ms",
            self.0.len()
        );
    }
}

/// Submits at exponential intervals for `duration`. Returns the latencies of the submissions that
/// are done, not run and others.
async fn load(owners: &[Arc<Owner>], duration: Duration, seed: u64) -> [Latencies; 3] {
    let mut random = StdRng::seed_from_u64(seed);
    let (start, mut next) = (Instant::now(), Instant::now());
    let mut tasks = JoinSet::new();
    let mut count = 0;
    while start.elapsed() < duration {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / SUBMISSIONS_PER_S);
        sleep_until(next).await;
        count += 1;
        let id = format!("order-{seed}-{count}");
        let owner = owners[partition(&id, PARTITIONS) as usize].clone();
        let body = Bytes::from(vec![b'x'; 200]);
        let submission = Submission::new(id, count, Digest::new("orders", &body), 1, body);
        tasks.spawn(async move {
            let start = Instant::now();
            let verdict = owner.submit(submission, Arc::new(Leaf), start + SUBMIT_TIMEOUT).await;
            (verdict, start.elapsed())
        });
    }
    let mut latencies = [Latencies::default(), Latencies::default(), Latencies::default()];
    for (verdict, latency) in tasks.join_all().await {
        let kind = match verdict {
            Verdict::Done { .. } => 0,
            Verdict::NotRun { .. } => 1,
            _ => 2,
        };
        latencies[kind].0.push(latency.as_micros());
    }
    latencies
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default| {
        arguments.get(index).map_or(default, |text| text.parse().expect("a number"))
    };
    let duration = Duration::from_secs(number(0, 30));
    let seed = number(1, 1);
    let mut runtime = match arguments.get(2).map(String::as_str) {
        Some("paused") => Builder::new_current_thread(),
        Some(_) => panic!("the third argument is `paused` or absent"),
        None => Builder::new_multi_thread(),
    };
    runtime.enable_all().start_paused(arguments.len() > 2);
    runtime.build().expect("a runtime").block_on(measure(duration, seed));
}

async fn measure(duration: Duration, seed: u64) {
    let store = Arc::new(Store::new(seed));
    store.set_fault(Fault { write_delay: STORE_WRITE_DELAY, ..Fault::default() });
    let mut owners = Vec::new();
    for partition in 0..PARTITIONS {
        let owner = Owner::new(partition, "a", store.clone(), GroupCommit::new());
        owner.acquire().await.expect("the store is up");
        owners.push(Arc::new(owner));
    }

    let (writes, start) = (store.calls().writes(), Instant::now());
    let [mut done, not_run, other] = load(&owners, duration, seed).await;
    let rate = (store.calls().writes() - writes) as f64 / start.elapsed().as_secs_f64();
    println!(
        "{duration:?} at {SUBMISSIONS_PER_S} submissions/s, {PARTITIONS} partitions, seed {seed}"
    );
    println!("store writes: {rate:.1}/s");
    done.print("done");
    println!("not run: {}, other: {}", not_run.0.len(), other.0.len());
    let excess_ms = done.quantile_ms(0.99) - 2.0 * STORE_WRITE_DELAY.as_secs_f64() * 1000.0;
    println!("p99 beyond two store writes: {excess_ms:.1} ms, target at most 60 ms");

    let outage = tokio::spawn({
        let store = store.clone();
        async move {
            sleep(Duration::from_secs(1)).await;
            store.update_fault(|fault| fault.outage = true);
        }
    });
    let [mut done, mut not_run, mut other] = load(&owners, OUTAGE_PHASE, seed + 1).await;
    outage.await.expect("no panic");
    println!("{OUTAGE_PHASE:?} with an outage from the first second on");
    done.print("done");
    not_run.print("not run");
    other.print("may have run");
}
