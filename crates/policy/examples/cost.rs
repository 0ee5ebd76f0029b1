//! Measures the time of an allocation and of a refusal by a full queue.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::admission::Admission;
use jaycrank_policy::admission::Backpressure;
use jaycrank_policy::admission::Fair;
use jaycrank_policy::admission::Request;
use jaycrank_policy::share;
use jaycrank_policy::share::Demand;
use jaycrank_policy::share::Input;
use jaycrank_settings::Rank;
use jaycrank_settings::Service;
use smol_str::format_smolstr;
use tokio::sync::Notify;

const INSTANCES: u32 = 15;
const MEMBERS: u32 = 200;
const ALLOCATIONS: u32 = 200;
const TASKS: u32 = 8;
const REFUSALS_PER_TASK: u32 = 100_000;

/// Leafs that never accept a query.
struct Full(Arc<Notify>);

impl Backpressure for Full {
    fn can_accept(&self) -> bool {
        false
    }

    fn subscribe(&self) -> Arc<Notify> {
        self.0.clone()
    }
}

fn allocation_time() -> Duration {
    let mut input = Input { floors: [0.5, 0.3, 0.1], capacity: 5_000.0, ..Input::default() };
    for instance in 0..INSTANCES {
        let demand: Demand = [0, 1, 2].map(|rank| {
            let rate = |member| f64::from((member * 7 + rank * 3 + instance) % 11);
            (0..MEMBERS).map(|member| (format_smolstr!("member-{member}"), rate(member))).collect()
        });
        input = input.with_instance(format_smolstr!("entry-{instance}"), demand);
    }
    let start = Instant::now();
    for _ in 0..ALLOCATIONS {
        let allocation = share::allocate(std::hint::black_box(&input));
        std::hint::black_box(allocation.weights(&input, "entry-0"));
    }
    start.elapsed() / ALLOCATIONS
}

fn request(member: u32) -> Request {
    let member = format_smolstr!("member-{}", member % MEMBERS);
    Request { member, rank: Rank::Least, deadline: Instant::now() + Duration::from_secs(3_600) }
}

async fn refusal_time() -> Duration {
    let service = Service {
        slots: 3,
        connections: 30,
        floors: BTreeMap::from([(Rank::Urgent, 0.5), (Rank::Least, 0.1)]),
        deadline_max_ms: 30_000,
        queue_max: 256,
        weights: BTreeMap::new(),
    };
    let admission = Arc::new(Fair::new(&service, Arc::new(Full(Arc::new(Notify::new())))));
    for member in 0..MEMBERS {
        let admission = admission.clone();
        tokio::spawn(async move { admission.admit(request(member)).await.map(drop) });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let start = Instant::now();
    let tasks: Vec<_> = (0..TASKS)
        .map(|task| {
            let admission = admission.clone();
            tokio::spawn(async move {
                for round in 0..REFUSALS_PER_TASK {
                    // These members have a queued query each, so a new one displaces none.
                    let request = request(task + round % 80);
                    assert!(admission.admit(request).await.is_err());
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.expect("no refusal panics");
    }
    start.elapsed() / (TASKS * REFUSALS_PER_TASK)
}

#[tokio::main(worker_threads = 4)]
async fn main() {
    println!(
        "allocation ({INSTANCES} instances, {MEMBERS} members, 3 ranks): {:?}",
        allocation_time()
    );
    println!(
        "refusal by a full queue ({TASKS} tasks, 4 threads, time each): {:?}",
        refusal_time().await
    );
}
