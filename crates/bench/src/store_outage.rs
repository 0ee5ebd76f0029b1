//! The store down, then slow, under mixed load while an instance is restarted.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_operator::Client;
use jaycrank_operator::client::Error;
use jaycrank_operator::wire::Category;
use jaycrank_operator::wire::EditRequest;
use jaycrank_settings::Rank;
use serde_json::Value;
use serde_json::json;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::outcome::Figures;
use crate::outcome::Measured;
use crate::outcome::Plot;
use crate::record::Kind;
use crate::record::Record;
use crate::tier;
use crate::tier::Setup;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Load of each source as a fraction of capacity.
const LOAD: f64 = 0.3;

/// Length of the outage and of the slow time; 20 s of each would exceed the limit of a scenario.
const FAILURE: Duration = Duration::from_secs(14);

/// Time before the outage, the warm-up included.
const BEFORE: Duration = Duration::from_secs(4);

const TIME: Duration = Duration::from_secs(35);
const DEADLINE: Duration = Duration::from_secs(1);

/// Time that a store call takes while the store is slow.
const SLOW: Duration = Duration::from_millis(500);

/// Instance that is restarted in the middle of the outage.
const RESTARTED: usize = 2;

/// Time between two readings of the revisions in force.
const WATCH: Duration = Duration::from_millis(50);

/// Time between two settings edits of the same branch.
const EDIT: Duration = Duration::from_millis(400);

/// Time at the end of the load without edits, in which the last one spreads.
const SPREAD: Duration = Duration::from_secs(2);

/// Branch that is edited; no policy depends on it.
const EDITED: &str = "members/edited";

/// Team that owns the edited branch.
const OWNER: &str = "platform";

/// Number of the source of idempotent queries, and of its member.
const QUERIES: usize = 0;

/// Number of the source of non-idempotent requests, and of its member.
const REQUESTS: usize = 1;

async fn fail(local: &LocalTier) -> io::Result<()> {
    sleep(BEFORE).await;
    local.store().update_fault(|fault| fault.outage = true);
    sleep(FAILURE / 2).await;
    local.stop(RESTARTED).await;
    local.restart(RESTARTED).await?;
    sleep(FAILURE / 2).await;
    local.store().update_fault(|fault| {
        fault.outage = false;
        (fault.read_delay, fault.write_delay) = (SLOW, SLOW);
    });
    sleep(FAILURE).await;
    local.store().update_fault(|fault| {
        (fault.read_delay, fault.write_delay) = (Duration::ZERO, Duration::ZERO);
    });
    Ok(())
}

/// What came of the settings edits.
#[derive(Clone, Copy, Debug, Default)]
struct Edits {
    sent: f64,
    accepted: f64,
    accepted_while_down: f64,
    /// Revision of the last accepted edit.
    last: u64,
    /// Times that the revision in force at an instance fell, or that an accepted edit was missing
    /// from the settings after a later one had been accepted or at the end.
    reverts: f64,
}

/// Edits a branch again and again, each time through another instance.
async fn edit(local: &LocalTier) -> Edits {
    let start = Instant::now();
    let clients: Vec<Client> = local
        .operator_addresses()
        .iter()
        .map(|address| Client::new(*address, local.operator_token()))
        .collect();
    let mut edits = Edits::default();
    let (mut base, mut weight) = (0, 1.0);
    // Values that may be in force: of the last accepted edit and of unsettled later ones.
    let mut possible: Vec<f64> = Vec::new();
    for number in 0usize.. {
        if start.elapsed() > TIME - SPREAD {
            break;
        }
        weight += 1.0;
        let put = EditRequest {
            id: format_smolstr!("edit-{number}"),
            base,
            owner: Some(OWNER.into()),
            value: Some(json!({ "weight": weight, "tokens": [] })),
        };
        let client = &clients[number % clients.len()];
        edits.sent += 1.0;
        let at = start.elapsed();
        match client.put(EDITED, &put).await {
            Ok(accepted) => {
                edits.accepted += 1.0;
                if at > BEFORE && start.elapsed() < BEFORE + FAILURE {
                    edits.accepted_while_down += 1.0;
                }
                (base, edits.last, possible) = (accepted.revision, accepted.revision, vec![weight]);
            }
            Err(error) => {
                if error.category() == Category::MayHaveRun {
                    possible.push(weight);
                }
                // Nobody else edits the branch, so a conflict means that an edit with an unknown
                // outcome was applied, or, with a lower revision, that an accepted one was undone.
                let conflict =
                    if let Error::Refused(refusal) = error { refusal.conflict } else { None };
                if let Some(conflict) = conflict {
                    edits.reverts += f64::from(u8::from(conflict.revision < base));
                    base = conflict.revision;
                }
            }
        }
        sleep(EDIT).await;
    }
    sleep((start + TIME).saturating_duration_since(Instant::now())).await;
    for client in &clients {
        let Ok(tree) = client.config().await else { continue };
        let found = tree.branch(EDITED).and_then(|branch| branch.value()["weight"].as_f64());
        let is_kept = found.is_some_and(|found| possible.contains(&found));
        edits.reverts += f64::from(u8::from(!is_kept || tree.revision() < edits.last));
    }
    edits
}

/// Counts how often the revision in force at an instance falls; a restart counts too.
async fn watch_reverts(local: &LocalTier) -> f64 {
    let end = Instant::now() + TIME;
    let mut seen = vec![0; local.caller_addresses().len()];
    let mut reverts = 0.0;
    while Instant::now() < end {
        for (number, revision) in local.settings_revisions().into_iter().enumerate() {
            let Some(revision) = revision else { continue };
            if revision < seen[number] {
                reverts += 1.0;
            }
            seen[number] = revision;
        }
        sleep(WATCH).await;
    }
    reverts
}

struct Run {
    record: Record,
    untrue_not_run: f64,
    edits: Edits,
}

async fn measure(policy: Value, seed: u64) -> io::Result<Run> {
    let rate = LOAD * tier::capacity(SERVICE_TIME);
    let mut queries = tier::source(Rank::Middle, QUERIES, rate, DEADLINE);
    // The instance that is restarted has no listener for a moment.
    queries.balanced = true;
    let mut requests = tier::source(Rank::Middle, REQUESTS, rate, DEADLINE);
    requests.request_ids = true;
    let (sources, service_time, time) = (vec![queries, requests], SERVICE_TIME, TIME);
    let setup = Setup { policy, service_time, sources, members: 2, time, seed };
    let edits = Arc::new(Mutex::new(Edits::default()));
    let seen = edits.clone();
    let disturb = |local: Arc<LocalTier>| async move {
        for leaf in local.services()[tier::SERVICE].leafs() {
            leaf.update(|behavior| behavior.records_bodies = true);
        }
        let (failed, reverts, mut edits) =
            tokio::join!(fail(&local), watch_reverts(&local), edit(&local));
        edits.reverts += reverts;
        *seen.lock().unwrap_or_else(PoisonError::into_inner) = edits;
        failed
    };
    let (record, local) = setup.run(disturb).await?;
    tier::stop(&local).await;
    let run = tier::run_numbers(&local);
    let untrue_not_run =
        record.count_of(|call| call.kind == Kind::NotRun && run.contains(&call.number));
    let edits = *edits.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Run { record: record.after(tier::WARM_UP), untrue_not_run, edits })
}

fn figures(run: &Run) -> Figures {
    let down = run.record.source(REQUESTS).filter(|call| {
        call.at > BEFORE && call.at < BEFORE + FAILURE && call.kind != Kind::NotSent
    });
    let mut late: Vec<f64> =
        down.samples().iter().map(|call| call.latency.as_secs_f64() * 1e3).collect();
    late.sort_by(f64::total_cmp);
    let p99 = late.get(late.len() * 99 / 100).copied();
    let refused = down.count_of(|call| call.kind == Kind::NotRun);
    // The deadline before the outage is left out: its requests may meet the outage.
    let before = run.record.source(REQUESTS).filter(|call| call.at < BEFORE - DEADLINE);
    let queries = run.record.source(QUERIES);
    let queries_of = |kind| queries.count_of(|call| call.kind == kind);
    let mut figures = Figures::from([
        ("idempotent_partial", queries_of(Kind::Partial)),
        ("idempotent_not_run", queries_of(Kind::NotRun)),
        ("idempotent_not_sent", queries_of(Kind::NotSent)),
        ("idempotent_lost", queries_of(Kind::Lost) + queries_of(Kind::MayHaveRun)),
        ("idempotent_complete", queries.complete_fraction()),
        ("untrue_not_run", run.untrue_not_run),
        ("reverts", run.edits.reverts),
        ("edits_sent", run.edits.sent),
        ("edits_accepted", run.edits.accepted),
        ("edits_accepted_while_down", run.edits.accepted_while_down),
        ("refused_while_down", refused / down.count().max(1.0)),
        ("requests_answered_while_up", before.complete_fraction()),
    ]);
    // Without refusals there is no time of a refusal, and the target is missed.
    if let Some(p99) = p99.filter(|_| refused > 0.0) {
        figures.insert("refusal_p99_ms", p99);
    }
    figures
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
    tier::add_machine(&mut product_figures, cpu_cores, &product.record);
    let served = |run: &Run, name: &str| run.record.source(QUERIES).served_over_time(name);
    Ok(Measured {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::PLAIN,
        plots: vec![Plot::served(
            "store-outage: complete answers to idempotent queries",
            vec![served(&baseline, "baseline"), served(&product, "product")],
        )],
    })
}
