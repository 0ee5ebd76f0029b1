//! Replies that are late, duplicated or swapped between requests of different members.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_settings::Rank;
use serde_json::Value;

use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::record::AnswerError;
use crate::record::Record;
use crate::tier;
use crate::tier::LoadTest;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load as a fraction of capacity.
const OFFERED_LOAD: f64 = 0.4;

const LOAD_DURATION: Duration = Duration::from_secs(32);

/// Short, so that replies of stragglers arrive after the deadline.
const DEADLINE: Duration = Duration::from_millis(250);

const MEMBERS: usize = 4;

async fn inject_reply_faults(local: Arc<LocalTier>) -> io::Result<()> {
    for leaf in local.services()[tier::SERVICE].leafs() {
        leaf.update(|behavior| {
            behavior.replaced_fraction = 0.01;
            behavior.duplicated_fraction = 0.01;
            behavior.straggler_fraction = 0.005;
            behavior.straggler_factor = 30.0;
        });
    }
    Ok(())
}

async fn measure(policy: Value, seed: u64) -> io::Result<Record> {
    let rate = OFFERED_LOAD * tier::capacity(SERVICE_TIME) / MEMBERS as f64;
    let source = |member| tier::source(Rank::Middle, member, rate, DEADLINE);
    let sources = (0..MEMBERS).map(source).collect();
    let (service_time, time) = (SERVICE_TIME, LOAD_DURATION);
    let load_test = LoadTest { policy, service_time, sources, members: MEMBERS, time, seed };
    let (record, local) = load_test.run(inject_reply_faults).await?;
    tier::stop(&local).await;
    Ok(record.after(tier::WARM_UP))
}

fn figures(record: &Record) -> Figures {
    let answer_errors =
        [AnswerError::ForeignResult, AnswerError::SnapshotMismatch, AnswerError::CoverageMismatch];
    Figures::from([
        (
            "wrong_answers",
            answer_errors
                .into_iter()
                .map(|answer_error| record.answer_error_count(answer_error))
                .sum(),
        ),
        ("complete_fraction", record.complete_fraction()),
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
    Ok(Measurement {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: Vec::new(),
    })
}
