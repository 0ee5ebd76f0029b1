//! Lost replicas: killed leafs that restart cold, and a failure domain that is cut off.

use std::io;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_backend::wire::State;
use jaycrank_settings::Rank;
use serde_json::Value;
use tokio::time::sleep;

use crate::load;
use crate::outcome::Figures;
use crate::outcome::Measured;
use crate::outcome::Plot;
use crate::record::Record;
use crate::stat::ratio;
use crate::tier;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load as a fraction of capacity; a failure domain holds a third of it.
const LOAD: f64 = 0.45;

const TIME: Duration = Duration::from_secs(32);
const DEADLINE: Duration = Duration::from_secs(1);

/// Length of each failure and of the calm time after it.
const FAILURE: Duration = Duration::from_secs(5);

/// Time that a restarted leaf is cold.
const COLD: Duration = Duration::from_secs(2);

/// Factor on the service times of a cold leaf.
const COLD_SLOWDOWN: f64 = 3.0;

/// Groups that lose a leaf.
const LOST_GROUPS: usize = 3;

async fn disturb(local: &LocalTier) -> io::Result<()> {
    let groups: Vec<_> = local.services()[tier::SERVICE].groups().values().collect();
    sleep(tier::WARM_UP + FAILURE).await;
    for leafs in groups.iter().take(LOST_GROUPS) {
        leafs[0].stop().await;
    }
    sleep(FAILURE).await;
    for leafs in groups.iter().take(LOST_GROUPS) {
        leafs[0].update(|behavior| {
            behavior.state = State::Cold;
            behavior.slowdown = COLD_SLOWDOWN;
        });
        leafs[0].restart().await?;
    }
    sleep(COLD).await;
    for leafs in groups.iter().take(LOST_GROUPS) {
        leafs[0].update(|behavior| {
            behavior.state = State::Ok;
            behavior.slowdown = 1.0;
        });
    }
    sleep(FAILURE).await;
    for leafs in &groups {
        leafs[1].update(|behavior| behavior.unreachable = true);
    }
    sleep(FAILURE).await;
    for leafs in &groups {
        leafs[1].update(|behavior| behavior.unreachable = false);
    }
    Ok(())
}

async fn measure(policy: Value, failures: bool, seed: u64) -> io::Result<Record> {
    let local = tier::start(policy, SERVICE_TIME, 1, seed).await?;
    let rate = LOAD * tier::capacity(SERVICE_TIME);
    let sources = [tier::source(Rank::Urgent, 0, rate, DEADLINE)];
    let load = load::run(&local, &sources, TIME, seed);
    let record = if failures { tokio::try_join!(load, disturb(&local))?.0 } else { load.await? };
    local.shutdown().await;
    Ok(record.after(tier::WARM_UP))
}

/// Measures the baseline, the product without failures and the product, all at the same time.
pub fn run(seed: u64) -> io::Result<Measured> {
    let runs = async {
        let baseline = tokio::spawn(measure(tier::plain(), true, seed));
        let calm = tokio::spawn(measure(tier::product(), false, seed));
        let product = tokio::spawn(measure(tier::product(), true, seed));
        Ok((baseline.await??, calm.await??, product.await??))
    };
    let ((baseline, calm, product), cpu_cores) = tier::block_on(runs)?;
    let (p99, calm_p99) = (product.quantile_ms(0.99), calm.quantile_ms(0.99));
    let mut figures = Figures::from([
        ("p99_ms", p99),
        ("p99_over_calm", ratio(p99, calm_p99)),
        ("complete_fraction", product.complete_fraction()),
    ]);
    tier::add_machine(&mut figures, cpu_cores, &product);
    let series = vec![
        baseline.distribution("baseline"),
        product.distribution("product"),
        calm.distribution("product, no failures"),
    ];
    let served = vec![baseline.served_over_time("baseline"), product.served_over_time("product")];
    Ok(Measured {
        figures,
        baseline: Figures::from([
            ("p99_ms", baseline.quantile_ms(0.99)),
            ("p99_over_calm", ratio(baseline.quantile_ms(0.99), calm_p99)),
            ("complete_fraction", baseline.complete_fraction()),
        ]),
        baseline_policy: tier::PLAIN,
        plots: vec![
            Plot::latency("replica-loss", series),
            Plot::served("replica-loss: complete answers", served),
        ],
    })
}
