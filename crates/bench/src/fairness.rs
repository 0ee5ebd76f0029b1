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
use crate::outcome::Measured;
use crate::outcome::Plot;
use crate::record::Kind;
use crate::record::Record;
use crate::stat;
use crate::stat::ratio;
use crate::tier;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(1);
const TIME: Duration = Duration::from_secs(18);
const MEMBERS: usize = 8;

/// Load of the ordinary members as a fraction of capacity, above the equal share of 1/8. At a
/// total of three times capacity they would stay below it and only one member would be saturated.
const ORDINARY: f64 = 0.15;

/// Load of the large member, 20 times an ordinary one.
const LARGE: f64 = 20.0 * ORDINARY;

/// Load of the small member, within its share.
const SMALL: f64 = 0.06;

/// Number of the large member; it uses two of the six instances.
const LARGE_MEMBER: usize = 0;

/// Number of the small member.
const SMALL_MEMBER: usize = MEMBERS - 1;

/// Time between publications of the tallies, short so that a trial sees the last one.
const PUBLISH: Duration = Duration::from_millis(500);

fn sources() -> Vec<Source> {
    let capacity = tier::capacity(SERVICE_TIME);
    let source = |member| {
        let load = match member {
            LARGE_MEMBER => LARGE,
            SMALL_MEMBER => SMALL,
            _ => ORDINARY,
        };
        let mut source = tier::source(Rank::Middle, member, load * capacity, DEADLINE);
        if member == LARGE_MEMBER {
            source.instances = vec![0, 1];
        }
        source
    };
    (0..MEMBERS).map(source).collect()
}

/// Result of one run: the measured calls and the members whose published counts differ.
struct Run {
    record: Record,
    mismatches: f64,
}

async fn measure(mut policy: Value, seed: u64) -> io::Result<Run> {
    policy["publish_ms"] = (PUBLISH.as_millis() as u64).into();
    let local = tier::start(policy, SERVICE_TIME, MEMBERS, seed).await?;
    let record = load::run(&local, &sources(), TIME, seed).await?;
    sleep(PUBLISH * 4).await;
    let mismatches = mismatches(&local, &record).await;
    local.shutdown().await;
    Ok(Run { record: record.after(tier::WARM_UP), mismatches })
}

/// Counts the members whose published counts differ from what they saw.
async fn mismatches(local: &LocalTier, record: &Record) -> f64 {
    let mut count = 0.0;
    for number in 0..MEMBERS {
        let member = tier::member(number);
        let token = local.token(&member).unwrap_or_default();
        let published = Client::new(local.caller_addresses()[0], token).fairness().await;
        let seen = record.source(number);
        let is_equal = published.is_ok_and(|published| {
            let ranks = published.services.get(tier::SERVICE);
            let members = ranks.and_then(|ranks| ranks.get(Rank::Middle.to_string().as_str()));
            members.and_then(|members| members.get(&member)).is_some_and(|service| {
                let tally = service.tally;
                tally.complete as f64 == seen.complete()
                    && tally.partial as f64 == seen.count_of(|call| call.kind == Kind::Partial)
                    && tally.refused as f64 == seen.count_of(|call| call.kind == Kind::NotRun)
                    && tally.offered as f64 == seen.count()
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
        (0..SMALL_MEMBER).map(|member| record.source(member).complete()).collect();
    let complete = |member| {
        let answered = record.source(member);
        let answers = answered.count_of(|call| matches!(call.kind, Kind::Complete | Kind::Partial));
        ratio(answered.complete(), answers)
    };
    Figures::from([
        ("jain_of_saturated", stat::jain(&served)),
        ("small_member_served", record.source(SMALL_MEMBER).complete_fraction()),
        ("worst_coverage_difference", complete(LARGE_MEMBER) - complete(SMALL_MEMBER)),
        ("tally_mismatches", run.mismatches),
    ])
}

/// Measures the product, then the baseline: together they would need too much CPU.
pub fn run(seed: u64) -> io::Result<Measured> {
    let runs = async {
        let product = measure(tier::product(), seed).await?;
        Ok((product, measure(tier::plain(), seed).await?))
    };
    let ((product, baseline), cpu_cores) = tier::block_on(runs)?;
    let mut product_figures = figures(&product);
    tier::add_machine(&mut product_figures, cpu_cores, &product.record);
    let names: BTreeMap<usize, SmolStr> = (0..MEMBERS).map(|n| (n, tier::member(n))).collect();
    let by_member = |run: &Run| {
        let series = |(number, name): (&usize, &SmolStr)| {
            run.record.source(*number).served_over_time(name.as_str())
        };
        names.iter().map(series).collect()
    };
    Ok(Measured {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::PLAIN,
        plots: vec![
            Plot::served("fairness: service by member, product", by_member(&product)),
            Plot::served("fairness: service by member, baseline", by_member(&baseline)),
        ],
    })
}
