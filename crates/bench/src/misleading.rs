//! False load reports: slow leafs report that they are idle, a fast one that it is full.

use std::io;
use std::time::Duration;

use jaycrank_settings::Rank;
use serde_json::Value;
use serde_json::json;

use crate::load;
use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::record::Record;
use crate::stat::ratio;
use crate::tier;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load as a fraction of capacity. With a third of the leafs 10 times slower, 0.7 of the
/// capacity is left.
const OFFERED_LOAD: f64 = 0.4;

const LOAD_DURATION: Duration = Duration::from_secs(32);
const DEADLINE: Duration = Duration::from_secs(1);

async fn measure(policy: Value, seed: u64) -> io::Result<Record> {
    let local = tier::start(policy, SERVICE_TIME, 1, seed).await?;
    let service = &local.services()[tier::SERVICE];
    for leafs in service.groups().values() {
        leafs[0].update(|behavior| {
            behavior.slowdown = 10.0;
            behavior.reported_load = Some(0.0);
        });
    }
    if let Some(leafs) = service.groups().values().next() {
        leafs[1].update(|behavior| behavior.reported_load = Some(1.0));
    }
    let rate = OFFERED_LOAD * tier::capacity(SERVICE_TIME);
    let sources = [tier::source(Rank::Urgent, 0, rate, DEADLINE)];
    let record = load::run(&local, &sources, LOAD_DURATION, seed).await?;
    local.shutdown().await;
    Ok(record.after(tier::WARM_UP))
}

/// Measures a baseline that selects replicas by load reports alone, and the product, at the same
/// time.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let mut policy = tier::baseline_policy();
    policy["replicas"] = json!("reported");
    let runs = async {
        let baseline = tokio::spawn(measure(policy, seed));
        let product = tokio::spawn(measure(tier::product_policy(), seed));
        Ok((baseline.await??, product.await??))
    };
    let ((baseline, product), cpu_cores) = tier::block_on(runs)?;
    let (baseline_p99, p99) = (baseline.quantile_ms(0.99), product.quantile_ms(0.99));
    let mut figures = Figures::from([
        ("p99_ms", p99),
        ("p99_over_baseline", ratio(p99, baseline_p99)),
        ("complete_fraction", product.complete_fraction()),
    ]);
    tier::add_machine_figures(&mut figures, cpu_cores, &product);
    let series = vec![baseline.distribution("baseline"), product.distribution("product")];
    Ok(Measurement {
        figures,
        baseline: Figures::from([
            ("p99_ms", baseline_p99),
            ("complete_fraction", baseline.complete_fraction()),
        ]),
        baseline_policy: "replicas reported, admission fifo, no hedging, retries or limit",
        plots: vec![Plot::latency("misleading", series)],
    })
}
