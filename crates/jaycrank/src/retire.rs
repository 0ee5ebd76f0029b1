//! Merges the reports of stopped instances into one sum, so that the reports can be dropped.
//!
//! Each incarnation of an instance publishes its report as a document. The publisher of the
//! fairness page adds the reports of incarnations that were not live for an hour to the sum
//! document, which lists their keys. All instances then drop the listed reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use jaycrank_instance::Documents;
use jaycrank_policy::tally::Aggregate;
use jaycrank_policy::tally::Record;
use jaycrank_policy::tally::Report;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Prefix of the documents with the reports of instances.
pub const REPORT_PREFIX: &str = "tally/";

/// Key of the document with the summed counts. It has no `#`, so it is not the key of any report.
pub const RETIRED_KEY: &str = "tally/retired";

/// Time for which an incarnation must not be live before its report is added to the sum.
const RETIRE_AFTER: Duration = Duration::from_secs(3_600);

/// Keys that the sum document lists. If an instance was disconnected while more than this many
/// reports were added, it can send back a report whose key was evicted, which is then counted
/// twice.
const KEYS_MAX: usize = 1_024;

/// Sum of the reports of stopped incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredReports {
    /// Keys of the reports that were added last, oldest first.
    pub keys: Vec<SmolStr>,
    /// Sum of the reports.
    pub sum: Report,
}

impl RetiredReports {
    /// Decodes the sum document. Returns an empty sum if there is none or it is malformed.
    pub fn read(documents: &Documents) -> Self {
        let value = documents.get(RETIRED_KEY).map(|(_, value)| value);
        value.and_then(|value| serde_json::from_slice(&value).ok()).unwrap_or_default()
    }

    /// Returns whether the report with this key is part of the sum.
    pub fn contains(&self, key: &str) -> bool {
        self.keys.iter().any(|known| known == key)
    }

    /// Adds a report to the sum, and evicts the oldest key if there are too many.
    fn add(&mut self, key: SmolStr, report: Report) {
        self.sum.instance = SmolStr::new_static("retired");
        for (record_key, record) in report.records {
            match self.sum.records.iter_mut().find(|(known, _)| *known == record_key) {
                Some((_, record_sum)) => add(record_sum, &record),
                None => self.sum.records.push((record_key, record)),
            }
        }
        self.keys.push(key);
        let excess = self.keys.len().saturating_sub(KEYS_MAX);
        self.keys.drain(..excess);
    }
}

/// Adds the tally and the latency histogram of a record to a sum.
fn add(sum: &mut Record, record: &Record) {
    sum.tally.add(&record.tally);
    let mut latency: BTreeMap<_, _> = sum.latency.iter().copied().collect();
    for (value, count) in &record.latency {
        *latency.entry(*value).or_default() += count;
    }
    sum.latency = latency.into_iter().collect();
}

/// Merges the counts of all instances: the reports among the documents and the sum of the retired
/// ones.
pub fn aggregate(documents: &Documents) -> Aggregate {
    let mut aggregate = Aggregate::new();
    let retired = RetiredReports::read(documents);
    for key in report_keys(documents).filter(|key| !retired.contains(key)) {
        if let Some(report) = read_report(documents, &key) {
            aggregate.merge(report);
        }
    }
    aggregate.merge(retired.sum);
    aggregate
}

/// Decodes the report with a key. Returns `None` if there is none or it is malformed.
fn read_report(documents: &Documents, key: &str) -> Option<Report> {
    let (_, value) = documents.get(key)?;
    serde_json::from_slice(&value).ok()
}

/// Returns the keys of all reports among the documents.
fn report_keys(documents: &Documents) -> impl Iterator<Item = SmolStr> {
    let keys = documents.revisions().into_keys();
    keys.filter(|key| key.starts_with(REPORT_PREFIX) && key != RETIRED_KEY)
}

/// Tracker of the reports whose incarnations are no longer live.
#[derive(Debug, Default)]
pub struct Retirement {
    /// Time since which the incarnation of a report is not live, by the key of the report.
    not_live_since: BTreeMap<SmolStr, Instant>,
}

impl Retirement {
    /// Creates a tracker without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops the reports that are part of the sum. On the publisher, first adds the reports of
    /// incarnations that have not been live for an hour.
    ///
    /// `live_keys` holds the keys of the reports of live incarnations.
    pub fn update(
        &mut self,
        documents: &Documents,
        live_keys: &BTreeSet<SmolStr>,
        is_publisher: bool,
        now: Instant,
    ) {
        let mut retired = RetiredReports::read(documents);
        let keys: BTreeSet<SmolStr> = report_keys(documents).collect();
        self.not_live_since.retain(|key, _| keys.contains(key) && !live_keys.contains(key));
        let mut is_changed = false;
        for key in keys {
            if live_keys.contains(&key) {
                continue;
            }
            let since = *self.not_live_since.entry(key.clone()).or_insert(now);
            let is_due = now.saturating_duration_since(since) >= RETIRE_AFTER;
            if is_publisher && is_due && !retired.contains(&key) {
                retired.add(key.clone(), read_report(documents, &key).unwrap_or_default());
                is_changed = true;
            }
            if retired.contains(&key) {
                documents.delete(&key);
            }
        }
        if is_changed {
            let revision = documents.get(RETIRED_KEY).map_or(0, |(revision, _)| revision) + 1;
            // A sum is plain data with string keys, which always serializes.
            let value = serde_json::to_vec(&retired).unwrap_or_default();
            documents.apply(RETIRED_KEY, revision, value.into());
        }
    }
}
