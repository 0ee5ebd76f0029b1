//! One request that crashes every leaf that runs it and is sent repeatedly.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_settings::Rank;
use jaycrank_standin::Leaf;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::record::Record;
use crate::tier;
use crate::tier::LoadTest;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load of the other requests as a fraction of capacity.
const OFFERED_LOAD: f64 = 0.4;

const LOAD_DURATION: Duration = Duration::from_secs(32);
const DEADLINE: Duration = Duration::from_secs(1);

/// Text in the body of the crashing request. Leafs of the first group crash on bodies that have it.
const CRASH_MARK: &str = "crash";

/// Rate at which the crashing request is sent: 200 times over the 32 s of the load.
const CRASHING_SENDS_PER_S: f64 = 200.0 / 32.0;

/// Time after which the platform restarts a crashed leaf.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time between two checks of a leaf for a crash.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of the source of the crashing request, and of its member.
const CRASHING_SOURCE: usize = 1;

/// Restarts a leaf after each crash, until the load ends.
async fn restart_after_crashes(leaf: Arc<Leaf>) -> io::Result<()> {
    let end = Instant::now() + LOAD_DURATION;
    let mut handled = 0;
    while Instant::now() < end {
        sleep(CRASH_CHECK_INTERVAL).await;
        let crashes = leaf.counts().crashes();
        if crashes > handled {
            handled = crashes;
            sleep(RESTART_DELAY).await;
            leaf.restart().await?;
        }
    }
    Ok(())
}

/// Makes the leafs of the first group crash on [`CRASH_MARK`], and restarts them after crashes.
async fn inject_crashes(local: Arc<LocalTier>) -> io::Result<()> {
    let leafs = local.services()[tier::SERVICE].groups().values().next();
    let mut tasks = Vec::new();
    for leaf in leafs.into_iter().flatten() {
        leaf.update(|behavior| behavior.crash_on = Some(CRASH_MARK.into()));
        tasks.push(tokio::spawn(restart_after_crashes(leaf.clone())));
    }
    for task in tasks {
        task.await??;
    }
    Ok(())
}

/// Result of one run.
struct Run {
    record: Record,
    crashes: f64,
}

async fn measure(policy: Value, seed: u64) -> io::Result<Run> {
    let rate = OFFERED_LOAD * tier::capacity(SERVICE_TIME);
    let mut crashing = tier::source(Rank::Middle, CRASHING_SOURCE, CRASHING_SENDS_PER_S, DEADLINE);
    crashing.mark = CRASH_MARK.into();
    // With a number in its body, each send would be a different request.
    crashing.unique_bodies = false;
    let sources = vec![tier::source(Rank::Middle, 0, rate, DEADLINE), crashing];
    let (service_time, time) = (SERVICE_TIME, LOAD_DURATION);
    let load_test = LoadTest { policy, service_time, sources, members: 2, time, seed };
    let (record, local) = load_test.run(inject_crashes).await?;
    let leafs = local.services().values().flat_map(|service| service.leafs());
    let crashes = leafs.map(|leaf| leaf.counts().crashes() as f64).sum();
    tier::stop(&local).await;
    Ok(Run { record: record.after(tier::WARM_UP), crashes })
}

fn figures(run: &Run) -> Figures {
    Figures::from([
        ("crashes", run.crashes),
        ("others_complete", run.record.of_source(0).complete_fraction()),
        ("crashing_sent", run.record.of_source(CRASHING_SOURCE).count()),
    ])
}

/// Measures the baseline and the product at the same time.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let runs = async {
        let baseline = tokio::spawn(measure(tier::baseline_policy(), seed));
        let product = tokio::spawn(measure(tier::product_policy(), seed));
        Ok((baseline.await??, product.await??))
    };
    let ((baseline, product), cpu_cores) = tier::block_on(runs)?;
    let mut product_figures = figures(&product);
    tier::add_machine_figures(&mut product_figures, cpu_cores, &product.record);
    let others = |run: &Run, name: &str| run.record.of_source(0).goodput_over_time(name);
    Ok(Measurement {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: vec![Plot::goodput(
            "crash-request: complete answers of others",
            vec![others(&baseline, "baseline"), others(&product, "product")],
        )],
    })
}
