//! Half-open connections: half of the open connections stop carrying data, without a reset.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_settings::Rank;
use serde_json::Value;
use tokio::time::sleep;

use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::record::Record;
use crate::record::Sample;
use crate::record::Status;
use crate::tier;
use crate::tier::LoadTest;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load as a fraction of capacity.
const OFFERED_LOAD: f64 = 0.4;

const LOAD_DURATION: Duration = Duration::from_secs(32);
const DEADLINE: Duration = Duration::from_millis(500);

/// Times at which half of the open connections go silent for good.
const SILENCE_TIMES: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(20)];

/// Time after connections go silent in which answers may be late.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Span of arrivals over which the 99th percentile is computed, about 60 queries.
const P99_WINDOW: Duration = Duration::from_millis(250);

async fn silence_connections(local: Arc<LocalTier>) -> io::Result<()> {
    let mut now = Duration::ZERO;
    for silenced_at in SILENCE_TIMES {
        sleep(silenced_at - now).await;
        now = silenced_at;
        for leaf in local.services()[tier::SERVICE].leafs() {
            leaf.silence_half();
        }
    }
    Ok(())
}

async fn measure(policy: Value, seed: u64) -> io::Result<Record> {
    let rate = OFFERED_LOAD * tier::capacity(SERVICE_TIME);
    let sources = vec![tier::source(Rank::Urgent, 0, rate, DEADLINE)];
    let (service_time, time) = (SERVICE_TIME, LOAD_DURATION);
    let load_test = LoadTest { policy, service_time, sources, members: 1, time, seed };
    let (record, local) = load_test.run(silence_connections).await?;
    tier::stop(&local).await;
    Ok(record.after(tier::WARM_UP))
}

fn is_on_time(sample: &Sample) -> bool {
    sample.status == Status::Complete && sample.latency <= DEADLINE
}

/// Returns the time from `silenced_at` until the end of the last window in which over 1% of the
/// calls did not get a complete answer within the deadline.
fn late_after(record: &Record, silenced_at: Duration, end: Duration) -> Duration {
    let mut late = Duration::ZERO;
    let mut from = silenced_at;
    while from < end {
        let window =
            record.filter(|sample| sample.arrival >= from && sample.arrival < from + P99_WINDOW);
        if window.count_where(|sample| !is_on_time(sample)) > window.count() / 100.0 {
            late = from + P99_WINDOW - silenced_at;
        }
        from += P99_WINDOW;
    }
    late
}

fn figures(record: &Record) -> Figures {
    let late_after_first = late_after(record, SILENCE_TIMES[0], SILENCE_TIMES[1]);
    let late_after_second = late_after(record, SILENCE_TIMES[1], LOAD_DURATION);
    let outside_recovery = record.filter(|sample| {
        SILENCE_TIMES.iter().all(|silenced_at| {
            sample.arrival < *silenced_at || sample.arrival > *silenced_at + RECOVERY_TIME
        })
    });
    Figures::from([
        ("late_after_s", late_after_first.max(late_after_second).as_secs_f64()),
        ("complete_fraction", outside_recovery.complete_fraction()),
        ("p99_ms", outside_recovery.quantile_ms(0.99)),
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
    tier::add_machine_figures(&mut product_figures, cpu_cores, &product);
    let served = vec![baseline.goodput_over_time("baseline"), product.goodput_over_time("product")];
    Ok(Measurement {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: vec![Plot::goodput("silent: complete answers", served)],
    })
}
