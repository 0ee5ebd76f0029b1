//! The store is down and then slow under idempotent and non-idempotent load, with settings edits.
//!
//! An instance is restarted in the middle of the outage.

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
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::record::Record;
use crate::record::Status;
use crate::tier;
use crate::tier::LoadTest;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Offered load of each source as a fraction of capacity.
const OFFERED_LOAD: f64 = 0.3;

/// Duration of the outage and of the slow phase after it; with 20 s each, the scenario would exceed
/// its time limit.
const PHASE_DURATION: Duration = Duration::from_secs(14);

/// Time from the start of the load, the warm-up included, until the outage.
const OUTAGE_START: Duration = Duration::from_secs(4);

const LOAD_DURATION: Duration = Duration::from_secs(35);
const DEADLINE: Duration = Duration::from_secs(1);

/// Duration of a store call while the store is slow.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(500);

/// Number of the instance that is restarted in the middle of the outage.
const RESTARTED_INSTANCE: usize = 2;

/// Time between two reads of the revisions in force.
const REVISION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two settings edits of the same branch.
const EDIT_INTERVAL: Duration = Duration::from_millis(400);

/// Time at the end of the load without edits, in which the last edit reaches all instances.
const EDIT_FREE_TAIL: Duration = Duration::from_secs(2);

/// Settings branch that is edited; no policy depends on it.
const EDITED_BRANCH: &str = "members/edited";

/// Team that owns the edited branch.
const OWNING_TEAM: &str = "platform";

/// Number of the source of idempotent queries, and of its member.
const QUERY_SOURCE: usize = 0;

/// Number of the source of non-idempotent requests, and of its member.
const REQUEST_SOURCE: usize = 1;

/// Makes the store fail and then slow, and restarts an instance during the outage.
async fn inject_faults(local: &LocalTier) -> io::Result<()> {
    sleep(OUTAGE_START).await;
    local.store().update_fault(|fault| fault.outage = true);
    sleep(PHASE_DURATION / 2).await;
    local.stop(RESTARTED_INSTANCE).await;
    local.restart(RESTARTED_INSTANCE).await?;
    sleep(PHASE_DURATION / 2).await;
    local.store().update_fault(|fault| {
        fault.outage = false;
        (fault.read_delay, fault.write_delay) = (SLOW_STORE_DELAY, SLOW_STORE_DELAY);
    });
    sleep(PHASE_DURATION).await;
    local.store().update_fault(|fault| {
        (fault.read_delay, fault.write_delay) = (Duration::ZERO, Duration::ZERO);
    });
    Ok(())
}

/// Counts and outcomes of the settings edits.
#[derive(Clone, Copy, Debug, Default)]
struct Edits {
    sent: f64,
    accepted: f64,
    accepted_while_down: f64,
    /// Revision of the last accepted edit.
    last_revision: u64,
    /// Number of times that the revision in force at an instance fell, that a conflict reported a
    /// lower revision of the branch than was known before, or that an instance lacked the last
    /// accepted edit at the end.
    reverts: f64,
}

/// Edits a branch repeatedly, each time through the next instance.
async fn run_edits(local: &LocalTier) -> Edits {
    let start = Instant::now();
    let clients: Vec<Client> = local
        .operator_addresses()
        .iter()
        .map(|address| Client::new(*address, local.operator_token()))
        .collect();
    let mut edits = Edits::default();
    let (mut base, mut weight) = (0, 1.0);
    // Values that may be in force: that of the last accepted edit and those of later edits with
    // unknown outcomes.
    let mut possible: Vec<f64> = Vec::new();
    for number in 0usize.. {
        if start.elapsed() > LOAD_DURATION - EDIT_FREE_TAIL {
            break;
        }
        weight += 1.0;
        let edit = EditRequest {
            id: format_smolstr!("edit-{number}"),
            base,
            owner: Some(OWNING_TEAM.into()),
            value: Some(json!({ "weight": weight, "tokens": [] })),
        };
        let client = &clients[number % clients.len()];
        edits.sent += 1.0;
        let at = start.elapsed();
        match client.put(EDITED_BRANCH, &edit).await {
            Ok(accepted) => {
                edits.accepted += 1.0;
                if at > OUTAGE_START && start.elapsed() < OUTAGE_START + PHASE_DURATION {
                    edits.accepted_while_down += 1.0;
                }
                (base, edits.last_revision, possible) =
                    (accepted.revision, accepted.revision, vec![weight]);
            }
            Err(error) => {
                if error.category() == Category::MayHaveRun {
                    possible.push(weight);
                }
                // Nobody else edits the branch, so a conflict means that an edit with an unknown
                // outcome was applied or, with a lower revision, that an accepted one was reverted.
                let conflict =
                    if let Error::Refused(refusal) = error { refusal.conflict } else { None };
                if let Some(conflict) = conflict {
                    edits.reverts += f64::from(u8::from(conflict.revision < base));
                    base = conflict.revision;
                }
            }
        }
        sleep(EDIT_INTERVAL).await;
    }
    sleep((start + LOAD_DURATION).saturating_duration_since(Instant::now())).await;
    for client in &clients {
        let Ok(tree) = client.config().await else { continue };
        let found = tree.branch(EDITED_BRANCH).and_then(|branch| branch.value()["weight"].as_f64());
        let is_kept = found.is_some_and(|found| possible.contains(&found));
        edits.reverts += f64::from(u8::from(!is_kept || tree.revision() < edits.last_revision));
    }
    edits
}

/// Counts how often the revision in force at an instance falls, restarts of the instance included.
async fn count_reverts(local: &LocalTier) -> f64 {
    let end = Instant::now() + LOAD_DURATION;
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
        sleep(REVISION_CHECK_INTERVAL).await;
    }
    reverts
}

/// Result of one run.
struct Run {
    record: Record,
    untrue_not_run: f64,
    edits: Edits,
}

async fn measure(policy: Value, seed: u64) -> io::Result<Run> {
    let rate = OFFERED_LOAD * tier::capacity(SERVICE_TIME);
    let mut queries = tier::source(Rank::Middle, QUERY_SOURCE, rate, DEADLINE);
    // The restarted instance has no listener for a short time.
    queries.fails_over = true;
    let mut requests = tier::source(Rank::Middle, REQUEST_SOURCE, rate, DEADLINE);
    requests.has_request_ids = true;
    let (sources, service_time, time) = (vec![queries, requests], SERVICE_TIME, LOAD_DURATION);
    let load_test = LoadTest { policy, service_time, sources, members: 2, time, seed };
    let edits = Arc::new(Mutex::new(Edits::default()));
    let shared_edits = edits.clone();
    let during_load = |local: Arc<LocalTier>| async move {
        for leaf in local.services()[tier::SERVICE].leafs() {
            leaf.update(|behavior| behavior.records_bodies = true);
        }
        let (fault_result, reverts, mut edits) =
            tokio::join!(inject_faults(&local), count_reverts(&local), run_edits(&local));
        edits.reverts += reverts;
        *shared_edits.lock().unwrap_or_else(PoisonError::into_inner) = edits;
        fault_result
    };
    let (record, local) = load_test.run(during_load).await?;
    tier::stop(&local).await;
    let executed = tier::executed_calls(&local);
    let untrue_not_run =
        record.count_where(|call| call.status == Status::NotRun && executed.contains(&call.number));
    let edits = *edits.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Run { record: record.after(tier::WARM_UP), untrue_not_run, edits })
}

fn figures(run: &Run) -> Figures {
    let during_outage = run.record.of_source(REQUEST_SOURCE).filter(|call| {
        call.arrival > OUTAGE_START
            && call.arrival < OUTAGE_START + PHASE_DURATION
            && call.status != Status::NotSent
    });
    let mut latencies_ms: Vec<f64> =
        during_outage.samples().iter().map(|call| call.latency.as_secs_f64() * 1e3).collect();
    latencies_ms.sort_by(f64::total_cmp);
    let p99 = latencies_ms.get(latencies_ms.len() * 99 / 100).copied();
    let refused = during_outage.count_where(|call| call.status == Status::NotRun);
    // Requests that arrive less than a deadline before the outage may be affected by it.
    let before_outage =
        run.record.of_source(REQUEST_SOURCE).filter(|call| call.arrival < OUTAGE_START - DEADLINE);
    let queries = run.record.of_source(QUERY_SOURCE);
    let count_queries = |kind| queries.count_where(|call| call.status == kind);
    let mut figures = Figures::from([
        ("idempotent_partial", count_queries(Status::Partial)),
        ("idempotent_not_run", count_queries(Status::NotRun)),
        ("idempotent_not_sent", count_queries(Status::NotSent)),
        ("idempotent_lost", count_queries(Status::Lost) + count_queries(Status::MayHaveRun)),
        ("idempotent_complete", queries.complete_fraction()),
        ("untrue_not_run", run.untrue_not_run),
        ("reverts", run.edits.reverts),
        ("edits_sent", run.edits.sent),
        ("edits_accepted", run.edits.accepted),
        ("edits_accepted_while_down", run.edits.accepted_while_down),
        ("refused_while_down", refused / during_outage.count().max(1.0)),
        ("requests_answered_while_up", before_outage.complete_fraction()),
    ]);
    // Without refusals there is no figure, and the target counts as missed.
    if let Some(p99) = p99.filter(|_| refused > 0.0) {
        figures.insert("refusal_p99_ms", p99);
    }
    figures
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
    let served = |run: &Run, name: &str| run.record.of_source(QUERY_SOURCE).goodput_over_time(name);
    Ok(Measurement {
        figures: product_figures,
        baseline: figures(&baseline),
        baseline_policy: tier::BASELINE_DESCRIPTION,
        plots: vec![Plot::goodput(
            "store-outage: complete answers to idempotent queries",
            vec![served(&baseline, "baseline"), served(&product, "product")],
        )],
    })
}
