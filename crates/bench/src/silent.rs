//! Open connections that go silent for good, without a reset.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_settings::Rank;
use serde_json::Value;
use tokio::time::sleep;

use crate::outcome::Figures;
use crate::outcome::Measured;
use crate::outcome::Plot;
use crate::record::Kind;
use crate::record::Record;
use crate::record::Sample;
use crate::tier;
use crate::tier::Setup;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load as a fraction of capacity.
const LOAD: f64 = 0.4;

const TIME: Duration = Duration::from_secs(32);
const DEADLINE: Duration = Duration::from_millis(500);

/// Times at which half of the open connections go silent.
const SILENCES: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(20)];

/// Time after a silence in which answers may be late.
const RECOVERY: Duration = Duration::from_secs(1);

/// Span of arrivals over which the 99th percentile is taken, about 60 queries.
const WINDOW: Duration = Duration::from_millis(250);

async fn disturb(local: Arc<LocalTier>) -> io::Result<()> {
    let mut now = Duration::ZERO;
    for silence in SILENCES {
        sleep(silence - now).await;
        now = silence;
        for leaf in local.services()[tier::SERVICE].leafs() {
            leaf.silence_half();
        }
    }
    Ok(())
}

async fn measure(policy: Value, seed: u64) -> io::Result<Record> {
    let rate = LOAD * tier::capacity(SERVICE_TIME);
    let sources = vec![tier::source(Rank::Urgent, 0, rate, DEADLINE)];
    let (service_time, time) = (SERVICE_TIME, TIME);
    let setup = Setup { policy, service_time, sources, members: 1, time, seed };
    let (record, local) = setup.run(disturb).await?;
    tier::stop(&local).await;
    Ok(record.after(tier::WARM_UP))
}

fn is_on_time(sample: &Sample) -> bool {
    sample.kind == Kind::Complete && sample.latency <= DEADLINE
}

/// Time from a silence until the end of the last window whose 99th percentile is late.
fn late_after(record: &Record, silence: Duration, end: Duration) -> Duration {
    let mut late = Duration::ZERO;
    let mut from = silence;
    while from < end {
        let window = record.filter(|sample| sample.at >= from && sample.at < from + WINDOW);
        if window.count_of(|sample| !is_on_time(sample)) > window.count() / 100.0 {
            late = from + WINDOW - silence;
        }
        from += WINDOW;
    }
    late
}

fn figures(record: &Record) -> Figures {
    let first = late_after(record, SILENCES[0], SILENCES[1]);
    let second = late_after(record, SILENCES[1], TIME);
    let outside = record.filter(|sample| {
        SILENCES.iter().all(|silence| sample.at < *silence || sample.at > *silence + RECOVERY)
    });
    Figures::from([
        ("late_after_s", first.max(second).as_secs_f64()),
        ("complete_fraction", outside.complete_fraction()),
        ("p99_ms", outside.quantile_ms(0.99)),
    ])
}

/// Measures the baseline and the product at the same time.
pub fn run(seed: u64) -> io::Result<Measured> {
    let runs = async {
        let baseline = tokio::spawn(measure(tier::plain(), seed));
        let product = tokio::spawn(measure(tier::product(), seed));
        Ok((baseline.await??, product.await??))
    };
    let ((baseline, product), cpu_cores) = tier::block_on(runs)?;
    let mut product_figures = figures(&product);
    tier::add_machine(&mut product_figures, cpu_cores, &product);
    let served = vec![baseline.served_over_time("baseline"), product.served_over_time("product")];
    Ok(Measured {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::PLAIN,
        plots: vec![Plot::served("silent: complete answers", served)],
    })
}
