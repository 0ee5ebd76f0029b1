//! Floods: one rank offers ten times capacity.

use std::io;
use std::time::Duration;

use jaycrank_settings::Rank;
use serde_json::Value;

use crate::load;
use crate::load::Source;
use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::outcome::Series;
use crate::record::Record;
use crate::record::Status;
use crate::stat::ratio;
use crate::tier;

/// Long enough that a flood of ten times capacity, 6,000 queries/s, does not saturate the CPU.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Ranks with their deadline, and their normal load and floor as fractions of capacity. The middle
/// and the least urgent rank offer more than their floor.
const RANKS: [(Rank, Duration, f64, f64); 3] = [
    (Rank::Urgent, Duration::from_millis(500), 0.4, 0.5),
    (Rank::Middle, Duration::from_secs(1), 0.25, 0.2),
    (Rank::Least, Duration::from_secs(1), 0.15, 0.1),
];

/// Offered load of the flooding rank as a multiple of capacity.
const FLOOD_LOAD: f64 = 10.0;

/// Duration of each of the three runs, the warm-up included; 10 s of the flood are 60,000 queries.
const LOAD_DURATION: Duration = Duration::from_secs(12);

fn sources(flood: Option<Rank>) -> Vec<Source> {
    let capacity = tier::capacity(SERVICE_TIME);
    let source = |(rank, deadline, load, _): &(Rank, Duration, f64, f64)| {
        let load = if flood == Some(*rank) { FLOOD_LOAD } else { *load };
        tier::source(*rank, rank.index(), load * capacity, *deadline)
    };
    RANKS.iter().map(source).collect()
}

async fn measure(policy: Value, flood: Option<Rank>, seed: u64) -> io::Result<Record> {
    let local = tier::start(policy, SERVICE_TIME, RANKS.len(), seed).await?;
    let record = load::run(&local, &sources(flood), LOAD_DURATION, seed).await?;
    local.shutdown().await;
    Ok(record.after(tier::WARM_UP))
}

/// Returns the fraction of a rank's calls that got a complete answer within the deadline.
fn on_time(record: &Record, rank: Rank) -> f64 {
    let record = record.of_source(rank.index());
    let deadline = RANKS[rank.index()].1;
    ratio(
        record.count_where(|call| call.status == Status::Complete && call.latency <= deadline),
        record.count(),
    )
}

/// Returns the rate of complete answers of a rank as a fraction of its floor.
fn kept_of_floor(record: &Record, rank: Rank) -> f64 {
    let floor = RANKS[rank.index()].3 * tier::capacity(SERVICE_TIME);
    record.of_source(rank.index()).complete_count()
        / (LOAD_DURATION - tier::WARM_UP).as_secs_f64()
        / floor
}

fn figures(record: &Record, no_flood: &Record) -> Figures {
    let p99 = |record: &Record| record.of_source(Rank::Urgent.index()).quantile_ms(0.99);
    let goodput = record.complete_count() / (LOAD_DURATION - tier::WARM_UP).as_secs_f64();
    Figures::from([
        ("urgent_on_time", on_time(record, Rank::Urgent)),
        ("urgent_p99_ms", p99(record)),
        ("urgent_p99_over_calm", ratio(p99(record), p99(no_flood))),
        ("middle_kept_of_floor", kept_of_floor(record, Rank::Middle)),
        ("least_kept_of_floor", kept_of_floor(record, Rank::Least)),
        ("goodput_of_capacity", goodput / tier::capacity(SERVICE_TIME)),
    ])
}

fn run(flood: Rank, seed: u64) -> io::Result<Measurement> {
    // Runs are sequential because the baseline admits the whole flood and needs all of the CPU.
    let runs = async {
        let no_flood = measure(tier::product_policy(), None, seed).await?;
        let product = measure(tier::product_policy(), Some(flood), seed).await?;
        let baseline = measure(tier::baseline_policy(), Some(flood), seed).await?;
        Ok((no_flood, product, baseline))
    };
    let ((no_flood, product, baseline), cpu_cores) = tier::block_on(runs)?;
    let mut product_figures = figures(&product, &no_flood);
    tier::add_machine_figures(&mut product_figures, cpu_cores, &product);
    let served = |record: &Record, policy: &str| -> Vec<Series> {
        let series = |rank: Rank| {
            record.of_source(rank.index()).goodput_over_time(format!("{rank}, {policy}"))
        };
        Rank::ALL.into_iter().map(series).collect()
    };
    let urgent = |record: &Record, name: &str| record.of_source(0).distribution(name);
    Ok(Measurement {
        figures: product_figures,
        baseline: figures(&baseline, &no_flood),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: vec![
            Plot::latency(
                "flood: latency of urgent work",
                vec![urgent(&baseline, "baseline"), urgent(&product, "product")],
            ),
            Plot::goodput("flood: service by rank, product", served(&product, "product")),
            Plot::goodput("flood: service by rank, baseline", served(&baseline, "baseline")),
        ],
    })
}

/// Measures a flood of the least urgent rank.
pub fn run_least(seed: u64) -> io::Result<Measurement> {
    run(Rank::Least, seed)
}

/// Measures a flood of the most urgent rank.
pub fn run_urgent(seed: u64) -> io::Result<Measurement> {
    run(Rank::Urgent, seed)
}
