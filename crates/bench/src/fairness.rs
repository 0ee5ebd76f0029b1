//! Fairness across members of equal weight under overload.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_caller::Client;
use jaycrank_settings::Rank;
use serde_json::Value;
use smol_str::SmolStr;
use tokio::time::sleep;

use crate::load;
use crate::load::Source;
use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::record::Record;
use crate::record::Status;
use crate::stat;
use crate::stat::ratio;
use crate::tier;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(1);
const LOAD_DURATION: Duration = Duration::from_secs(18);
const MEMBERS: usize = 8;

/// Offered load of each ordinary member as a fraction of capacity. It exceeds the equal share of
/// 1/8, so that these members are saturated; at a total load of three times capacity it would not,
/// and only the large member would be saturated.
const ORDINARY_LOAD: f64 = 0.15;

/// Offered load of the large member as a fraction of capacity, 20 times that of an ordinary one.
const LARGE_LOAD: f64 = 20.0 * ORDINARY_LOAD;

/// Offered load of the small member as a fraction of capacity, below its share.
const SMALL_LOAD: f64 = 0.06;

/// Number of the large member, which uses two of the six instances.
const LARGE_MEMBER: usize = 0;

/// Number of the small member.
const SMALL_MEMBER: usize = MEMBERS - 1;

/// Time between publications of the tallies, short so that the final counts are soon published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

fn sources() -> Vec<Source> {
    let capacity = tier::capacity(SERVICE_TIME);
    let source = |member| {
        let load = match member {
            LARGE_MEMBER => LARGE_LOAD,
            SMALL_MEMBER => SMALL_LOAD,
            _ => ORDINARY_LOAD,
        };
        let mut source = tier::source(Rank::Middle, member, load * capacity, DEADLINE);
        if member == LARGE_MEMBER {
            source.instances = vec![0, 1];
        }
        source
    };
    (0..MEMBERS).map(source).collect()
}

/// Result of one run: the measured calls, and the number of members whose published counts differ
/// from those of their callers.
struct Run {
    record: Record,
    mismatches: f64,
}

async fn measure(mut policy: Value, seed: u64) -> io::Result<Run> {
    policy["publish_ms"] = (PUBLISH_INTERVAL.as_millis() as u64).into();
    let local = tier::start(policy, SERVICE_TIME, MEMBERS, seed).await?;
    let record = load::run(&local, &sources(), LOAD_DURATION, seed).await?;
    sleep(PUBLISH_INTERVAL * 4).await;
    let mismatches = count_mismatches(&local, &record).await;
    local.shutdown().await;
    Ok(Run { record: record.after(tier::WARM_UP), mismatches })
}

/// Counts the members whose published counts differ from those of their callers.
async fn count_mismatches(local: &LocalTier, record: &Record) -> f64 {
    let mut count = 0.0;
    for number in 0..MEMBERS {
        let member = tier::member_name(number);
        let token = local.token(&member).unwrap_or_default();
        let published = Client::new(local.caller_addresses()[0], token).fairness().await;
        let observed = record.of_source(number);
        let is_equal = published.is_ok_and(|published| {
            let ranks = published.services.get(tier::SERVICE);
            let members = ranks.and_then(|ranks| ranks.get(Rank::Middle.to_string().as_str()));
            members.and_then(|members| members.get(&member)).is_some_and(|service| {
                let tally = service.tally;
                tally.complete as f64 == observed.complete_count()
                    && tally.partial as f64
                        == observed.count_where(|call| call.status == Status::Partial)
                    && tally.refused as f64
                        == observed.count_where(|call| call.status == Status::NotRun)
                    && tally.offered as f64 == observed.count()
            })
        });
        if !is_equal {
            count += 1.0;
        }
    }
    count
}

fn figures(run: &Run) -> Figures {
    let record = &run.record;
    let served: Vec<f64> =
        (0..SMALL_MEMBER).map(|member| record.of_source(member).complete_count()).collect();
    let complete_ratio = |member| {
        let calls = record.of_source(member);
        let answers =
            calls.count_where(|call| matches!(call.status, Status::Complete | Status::Partial));
        ratio(calls.complete_count(), answers)
    };
    Figures::from([
        ("jain_of_saturated", stat::jain_index(&served)),
        ("small_member_served", record.of_source(SMALL_MEMBER).complete_fraction()),
        ("worst_coverage_difference", complete_ratio(LARGE_MEMBER) - complete_ratio(SMALL_MEMBER)),
        ("tally_mismatches", run.mismatches),
    ])
}

/// Measures the product, then the baseline: both at once would need too much CPU.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let runs = async {
        let product = measure(tier::product_policy(), seed).await?;
        Ok((product, measure(tier::baseline_policy(), seed).await?))
    };
    let ((product, baseline), cpu_cores) = tier::block_on(runs)?;
    let mut product_figures = figures(&product);
    tier::add_machine_figures(&mut product_figures, cpu_cores, &product.record);
    let names: BTreeMap<usize, SmolStr> = (0..MEMBERS).map(|n| (n, tier::member_name(n))).collect();
    let by_member = |run: &Run| {
        let series = |(number, name): (&usize, &SmolStr)| {
            run.record.of_source(*number).goodput_over_time(name.as_str())
        };
        names.iter().map(series).collect()
    };
    Ok(Measurement {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: vec![
            Plot::goodput("fairness: service by member, product", by_member(&product)),
            Plot::goodput("fairness: service by member, baseline", by_member(&baseline)),
        ],
    })
}
