//! Random schedules of submissions and failures, checked against the specification.

use std::time::Duration;

use jaycrank_claim::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::START_UNIX_MS;

const SEEDS: u64 = 400;
const STEPS: usize = 150;

fn random_delivery(random: &mut StdRng) -> Delivery {
    match random.random_range(0..5) {
        0 => Delivery::Refused,
        1 => Delivery::ReplyLost,
        2 => Delivery::RequestLost,
        3 => Delivery::Delayed(Duration::from_millis(random.random_range(1..300))),
        _ => Delivery::Applied,
    }
}

async fn perform_step(fleet: &mut Fleet, random: &mut StdRng) {
    let mut index = random.random_range(0..3);
    match random.random_range(0..100) {
        0..50 => {
            // Most submissions go to an owner, as the instances route them.
            let owner = fleet.owners.iter().position(|owner| owner.is_owner());
            index = owner.filter(|_| random.random_bool(0.7)).unwrap_or(index);
            let id = format!("x{}", random.random_range(0..12));
            let body = ["done", "done", "not sent", "unknown", "slow"][random.random_range(0..5)];
            drop(fleet.spawn_submit(index, &id, random.random_range(1..4), body));
        }
        50..60 => {
            let owner = fleet.owners[index].clone();
            drop(fleet.spawn(index, async move { owner.acquire().await }));
        }
        60..66 => drop(fleet.clients[index].paused.send_replace(random.random_bool(0.5))),
        66..72 => drop(fleet.clients[index].outage.send_replace(random.random_bool(0.4))),
        72..90 => {
            fleet.clients[index].deliveries.lock().unwrap().push_back(random_delivery(random))
        }
        90..93 => fleet.kill(index),
        93..96 => {
            let owner = fleet.owners[index].clone();
            let now = START_UNIX_MS + random.random_range(29_000..31_000);
            drop(fleet.spawn(index, async move { owner.reclaim(now).await }));
        }
        96..98 => {
            let owner = fleet.owners[index].clone();
            drop(fleet.spawn(index, async move { owner.release().await }));
        }
        _ => fleet.store.update_fault(|fault| {
            fault.stale_read_fraction = if random.random_bool(0.5) { 0.3 } else { 0.0 };
        }),
    }
    sleep(Duration::from_millis(random.random_range(0..30))).await;
}

/// Guards against any step that the specification does not allow, under combined failures.
#[tokio::test(start_paused = true)]
async fn random_schedules_follow_the_specification() {
    let (mut events, mut runs, mut verdict_counts) = (0, 0, [0; 5]);
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(seed);
        for _ in 0..STEPS {
            perform_step(&mut fleet, &mut random).await;
        }
        for client in &fleet.clients {
            client.paused.send_replace(false);
            client.outage.send_replace(false);
        }
        sleep(Duration::from_secs(6)).await;
        runs += fleet.check_trace().values().sum::<usize>();
        events += fleet.trace.events().len();
        for (_, event) in fleet.trace.events() {
            let jaycrank_claim::trace::Event::Tell { verdict, .. } = event else { continue };
            verdict_counts[match verdict {
                Verdict::Done { .. } => 0,
                Verdict::Running => 1,
                Verdict::NotRun { .. } => 2,
                Verdict::MayHaveRun { .. } => 3,
                Verdict::Invalid { .. } => 4,
            }] += 1;
        }
    }
    println!("{SEEDS} seeds, {events} events, {runs} runs, verdicts {verdict_counts:?}");
    assert!(
        verdict_counts.iter().all(|count| *count > 0),
        "every verdict occurs: {verdict_counts:?}"
    );
}
