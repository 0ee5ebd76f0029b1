//! Loss of replicas: leafs are killed and restart cold, then a failure domain is unreachable.

use std::io;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_backend::wire::State;
use jaycrank_settings::Rank;
use serde_json::Value;
use tokio::time::sleep;

use crate::load;
use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::record::Record;
use crate::stat::ratio;
use crate::tier;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load as a fraction of capacity; a failure domain holds a third of the capacity.
const OFFERED_LOAD: f64 = 0.45;

const LOAD_DURATION: Duration = Duration::from_secs(32);
const DEADLINE: Duration = Duration::from_secs(1);

/// Duration of each failure and of the fault-free phase after it.
const PHASE_DURATION: Duration = Duration::from_secs(5);

/// Time for which a restarted leaf is cold.
const COLD_DURATION: Duration = Duration::from_secs(2);

/// Factor on the service times of a cold leaf.
const COLD_SLOWDOWN: f64 = 3.0;

/// Number of groups that lose a leaf.
const LOST_GROUPS: usize = 3;

async fn inject_faults(local: &LocalTier) -> io::Result<()> {
    let groups: Vec<_> = local.services()[tier::SERVICE].groups().values().collect();
    sleep(tier::WARM_UP + PHASE_DURATION).await;
    for leafs in groups.iter().take(LOST_GROUPS) {
        leafs[0].stop().await;
    }
    sleep(PHASE_DURATION).await;
    for leafs in groups.iter().take(LOST_GROUPS) {
        leafs[0].update(|behavior| {
            behavior.state = State::Cold;
            behavior.slowdown = COLD_SLOWDOWN;
        });
        leafs[0].restart().await?;
    }
    sleep(COLD_DURATION).await;
    for leafs in groups.iter().take(LOST_GROUPS) {
        leafs[0].update(|behavior| {
            behavior.state = State::Ok;
            behavior.slowdown = 1.0;
        });
    }
    sleep(PHASE_DURATION).await;
    for leafs in &groups {
        leafs[1].update(|behavior| behavior.unreachable = true);
    }
    sleep(PHASE_DURATION).await;
    for leafs in &groups {
        leafs[1].update(|behavior| behavior.unreachable = false);
    }
    Ok(())
}

async fn measure(policy: Value, with_faults: bool, seed: u64) -> io::Result<Record> {
    let local = tier::start(policy, SERVICE_TIME, 1, seed).await?;
    let rate = OFFERED_LOAD * tier::capacity(SERVICE_TIME);
    let sources = [tier::source(Rank::Urgent, 0, rate, DEADLINE)];
    let load = load::run(&local, &sources, LOAD_DURATION, seed);
    let record =
        if with_faults { tokio::try_join!(load, inject_faults(&local))?.0 } else { load.await? };
    local.shutdown().await;
    Ok(record.after(tier::WARM_UP))
}

/// Measures the baseline with faults, and the product without and with faults, all at the same
/// time.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let runs = async {
        let baseline = tokio::spawn(measure(tier::baseline_policy(), true, seed));
        let fault_free = tokio::spawn(measure(tier::product_policy(), false, seed));
        let product = tokio::spawn(measure(tier::product_policy(), true, seed));
        Ok((baseline.await??, fault_free.await??, product.await??))
    };
    let ((baseline, fault_free, product), cpu_cores) = tier::block_on(runs)?;
    let (p99, fault_free_p99) = (product.quantile_ms(0.99), fault_free.quantile_ms(0.99));
    let mut figures = Figures::from([
        ("p99_ms", p99),
        ("p99_over_calm", ratio(p99, fault_free_p99)),
        ("complete_fraction", product.complete_fraction()),
    ]);
    tier::add_machine_figures(&mut figures, cpu_cores, &product);
    let series = vec![
        baseline.distribution("baseline"),
        product.distribution("product"),
        fault_free.distribution("product, no failures"),
    ];
    let served = vec![baseline.goodput_over_time("baseline"), product.goodput_over_time("product")];
    Ok(Measurement {
        figures,
        baseline: Figures::from([
            ("p99_ms", baseline.quantile_ms(0.99)),
            ("p99_over_calm", ratio(baseline.quantile_ms(0.99), fault_free_p99)),
            ("complete_fraction", baseline.complete_fraction()),
        ]),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: vec![
            Plot::latency("replica-loss", series),
            Plot::goodput("replica-loss: complete answers", served),
        ],
    })
}
