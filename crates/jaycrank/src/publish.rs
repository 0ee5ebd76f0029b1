//! Publishes the counts of members' queries and builds the fairness page from them.
//!
//! Each instance publishes its report as a document, so that every instance can serve the page for
//! all instances. One instance also writes the page to the store, at a low rate.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jaycrank_caller::wire::Fairness;
use jaycrank_instance::membership::Liveness;
use jaycrank_platform::Expected;
use jaycrank_platform::Store;
use jaycrank_policy::rendezvous;
use jaycrank_policy::tally::Aggregate;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::node::Parts;
use crate::retire;
use crate::retire::REPORT_PREFIX;
use crate::retire::Retirement;

/// Key of the fairness page in the store.
pub const FAIRNESS_KEY: &str = "status/fairness";

/// Reports that this instance publishes for each write of the page to the store, whose write rate
/// is limited.
const REPORTS_PER_STORE_WRITE: u64 = 5;

/// Publishes this instance's report and the page regularly, until the task is aborted.
pub async fn run(parts: Arc<Parts>, store: Arc<dyn Store>) {
    let mut revision = 0;
    let mut retirement = Retirement::new();
    loop {
        let publish_ms = parts.shared.active().config().policy().publish_ms;
        sleep(Duration::from_millis(publish_ms)).await;
        revision += 1;
        report(&parts, revision);
        let (now, documents) = (Instant::now().into_std(), parts.shared.exchange().documents());
        retirement.update(documents, &live_keys(&parts), is_publisher(&parts), now);
        parts.admissions.update_shares(&aggregate(&parts), now);
        if revision % REPORTS_PER_STORE_WRITE == 0 && is_publisher(&parts) {
            // A failed write needs no action, because the page is written again later.
            let _ = write_page(&parts, store.as_ref()).await;
        }
    }
}

/// Publishes the counts of this instance to its peers, unless they are unchanged.
pub fn report(parts: &Parts, revision: u64) {
    let shared = &parts.shared;
    let report = parts.admissions.counters().report(shared.name().clone(), shared.incarnation());
    if report.records.is_empty() {
        return;
    }
    let key = report_key(shared.name(), shared.incarnation());
    // A report is plain data with string keys, which always serializes.
    let value = Bytes::from(serde_json::to_vec(&report).unwrap_or_default());
    // A new revision makes every peer pull the report again, so an equal one is not published.
    let known = shared.exchange().documents().get(&key);
    if known.is_none_or(|(_, known)| known != value) {
        shared.exchange().documents().apply(key, revision, value);
    }
}

/// Returns the page with the counts of all instances, including the current ones of this instance.
pub fn fairness(parts: &Parts) -> Fairness {
    Fairness::new(&aggregate(parts), &parts.admissions.shares())
}

/// Merges the reports of all instances with the current counts of this one.
fn aggregate(parts: &Parts) -> Aggregate {
    let shared = &parts.shared;
    let mut aggregate = retire::aggregate(shared.exchange().documents());
    let own = parts.admissions.counters().report(shared.name().clone(), shared.incarnation());
    aggregate.merge(own);
    aggregate
}

/// Returns the key of the document with the report of an incarnation of an instance.
fn report_key(name: &SmolStr, incarnation: u64) -> SmolStr {
    format_smolstr!("{REPORT_PREFIX}{name}#{incarnation}")
}

/// Returns the keys of the reports of all live incarnations, including this one.
fn live_keys(parts: &Parts) -> BTreeSet<SmolStr> {
    let (shared, now) = (&parts.shared, Instant::now().into_std());
    let peers = shared.exchange().membership().peers(now).into_iter();
    let live = peers.filter(|peer| matches!(peer.liveness, Liveness::Live | Liveness::Leaving));
    let keys = live.map(|peer| report_key(&peer.identity.name, peer.identity.incarnation));
    keys.chain([report_key(shared.name(), shared.incarnation())]).collect()
}

/// Returns whether this instance writes the page, by rendezvous hashing over the ready instances.
fn is_publisher(parts: &Parts) -> bool {
    let ready = parts.shared.exchange().membership().ready_instances(Instant::now().into_std());
    rendezvous::owner(FAIRNESS_KEY, &ready).as_ref() == Some(parts.shared.name())
}

/// Writes the page to the store.
async fn write_page(parts: &Parts, store: &dyn Store) -> Result<(), SmolStr> {
    let page = serde_json::to_vec(&fairness(parts)).map_err(|error| format_smolstr!("{error}"))?;
    let current = store.get(FAIRNESS_KEY).await.map_err(|error| format_smolstr!("{error}"))?;
    let expected = current.map_or(Expected::Absent, |object| Expected::Version(object.version));
    let written = store.put(FAIRNESS_KEY, page.into(), expected).await;
    written.map(|_| ()).map_err(|error| format_smolstr!("{error}"))
}
