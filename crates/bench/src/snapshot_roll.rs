//! Rollout of index versions to the leafs while groups are split and merged.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_policy::ShardMap;
use jaycrank_policy::snapshot::Group;
use jaycrank_policy::snapshot::Replica;
use jaycrank_policy::snapshot::Version;
use jaycrank_settings::Rank;
use serde_json::Value;
use smol_str::format_smolstr;
use tokio::time::sleep;

use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::record::AnswerError;
use crate::record::Record;
use crate::tier;
use crate::tier::LoadTest;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load as a fraction of capacity, low enough that one leaf of three can serve a group
/// while it is the only one that holds the newest version.
const OFFERED_LOAD: f64 = 0.25;

const LOAD_DURATION: Duration = Duration::from_secs(32);
const DEADLINE: Duration = Duration::from_secs(1);

/// Version after the last rollout; the first version is 1.
const LAST_VERSION: Version = 5;

/// Duration of a rollout, in which the leafs load a version one after the other, and of the
/// subsequent removal of the old version.
const ROLL_DURATION: Duration = Duration::from_secs(2);

/// Time for which all leafs hold both the old and the new version.
const OVERLAP_DURATION: Duration = Duration::from_secs(2);

/// Returns the groups of a version. Even versions split the first group and merge the second and
/// third.
fn groups(
    replicas: &BTreeMap<Group, Vec<Replica>>,
    version: Version,
) -> BTreeMap<Group, Vec<Replica>> {
    let mut groups = replicas.clone();
    if version.is_multiple_of(2) {
        let mut names = replicas.keys();
        if let (Some(first), Some(second), Some(third)) = (names.next(), names.next(), names.next())
        {
            let split = groups.remove(first).unwrap_or_default();
            groups.insert(format_smolstr!("{first}-a"), split.clone());
            groups.insert(format_smolstr!("{first}-b"), split);
            // The leafs of the second group also load the data of the third.
            let merged = groups.remove(second).unwrap_or_default();
            groups.remove(third);
            groups.insert(format_smolstr!("{second}-{third}"), merged);
        }
    }
    groups
}

async fn roll_versions(local: Arc<LocalTier>) -> io::Result<()> {
    let service = &local.services()[tier::SERVICE];
    let replicas = service.replicas();
    let leafs: Vec<_> = service.leafs().collect();
    let leaf_interval = ROLL_DURATION / leafs.len() as u32;
    sleep(tier::WARM_UP).await;
    for version in 2..=LAST_VERSION {
        let old = version - 1;
        let both = ShardMap::new()
            .with_version(old, groups(&replicas, old))
            .with_version(version, groups(&replicas, version));
        local.put_map(tier::SERVICE, &both).await?;
        // The replicas of a group have adjacent numbers. A stride of 7 visits the 30 leafs in an
        // order that alternates between groups.
        for number in 0..leafs.len() {
            leafs[number * 7 % leafs.len()].update(|leaf| {
                leaf.versions.insert(version);
            });
            sleep(leaf_interval).await;
        }
        sleep(OVERLAP_DURATION).await;
        for number in 0..leafs.len() {
            leafs[number * 7 % leafs.len()].update(|leaf| {
                leaf.versions.remove(&old);
            });
            sleep(leaf_interval).await;
        }
        local.put_map(tier::SERVICE, &both.without_version(old)).await?;
    }
    Ok(())
}

async fn measure(policy: Value, seed: u64) -> io::Result<(Record, f64)> {
    let rate = OFFERED_LOAD * tier::capacity(SERVICE_TIME);
    let sources = vec![tier::source(Rank::Urgent, 0, rate, DEADLINE)];
    let (service_time, time) = (SERVICE_TIME, LOAD_DURATION);
    let load_test = LoadTest { policy, service_time, sources, members: 1, time, seed };
    let (record, local) = load_test.run(roll_versions).await?;
    tier::stop(&local).await;
    let replicas = local.services()[tier::SERVICE].replicas();
    let group_count = |version| groups(&replicas, version).len();
    // Coverage with another number of groups than its version has is wrong too.
    let wrong_coverage = record.count_where(|sample| {
        sample.answer_error == Some(AnswerError::CoverageMismatch)
            || sample
                .answer
                .as_ref()
                .is_some_and(|metadata| metadata.groups != group_count(metadata.snapshot))
    });
    Ok((record.after(tier::WARM_UP), wrong_coverage))
}

fn figures((record, wrong_coverage): &(Record, f64)) -> Figures {
    Figures::from([
        (
            "mixed_answers",
            record.answer_error_count(AnswerError::SnapshotMismatch)
                + record.answer_error_count(AnswerError::ForeignResult),
        ),
        ("untrue_coverage", *wrong_coverage),
        ("complete_fraction", record.complete_fraction()),
        ("p99_ms", record.quantile_ms(0.99)),
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
    tier::add_machine_figures(&mut product_figures, cpu_cores, &product.0);
    Ok(Measurement {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: Vec::new(),
    })
}
