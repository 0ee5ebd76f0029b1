//! Sums the counts of instances that are gone, so that their reports need not be kept.
//!
//! Each incarnation of an instance passes its own report on as a document. The instance that
//! publishes the page adds the reports of incarnations that were not heard for an hour to one
//! document and names them there; all instances then forget the reports that it names.

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

/// Key of the document with the summed counts. It has no `#`, so no instance has this key.
pub const RETIRED_KEY: &str = "tally/retired";

/// Time after which an incarnation that is not heard is taken to be gone.
const UNHEARD_MAX: Duration = Duration::from_secs(3_600);

/// Reports that the summed document names. An instance that was apart for so many restarts could
/// bring a report back.
const NAMED_MAX: usize = 1_024;

/// Sum of the reports of incarnations that are gone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retired {
    /// Keys of the reports that are part of the sum, the last ones.
    pub keys: Vec<SmolStr>,
    /// The sum.
    pub sum: Report,
}

impl Retired {
    /// Reads the sum among the documents; an empty one if there is none.
    pub fn read(documents: &Documents) -> Self {
        let value = documents.get(RETIRED_KEY).map(|(_, value)| value);
        value.and_then(|value| serde_json::from_slice(&value).ok()).unwrap_or_default()
    }

    /// Whether a report is part of the sum.
    pub fn contains(&self, key: &str) -> bool {
        self.keys.iter().any(|known| known == key)
    }

    fn add(&mut self, key: SmolStr, report: Report) {
        self.sum.instance = SmolStr::new_static("retired");
        for (counted, record) in report.records {
            match self.sum.records.iter_mut().find(|(known, _)| *known == counted) {
                Some((_, known)) => add(known, &record),
                None => self.sum.records.push((counted, record)),
            }
        }
        self.keys.push(key);
        let excess = self.keys.len().saturating_sub(NAMED_MAX);
        self.keys.drain(..excess);
    }
}

fn add(sum: &mut Record, record: &Record) {
    sum.tally.add(&record.tally);
    let mut latency: BTreeMap<_, _> = sum.latency.iter().copied().collect();
    for (value, count) in &record.latency {
        *latency.entry(*value).or_default() += count;
    }
    sum.latency = latency.into_iter().collect();
}

/// Counts of all instances among the documents, those that are gone as one.
pub fn aggregate(documents: &Documents) -> Aggregate {
    let mut aggregate = Aggregate::new();
    let retired = Retired::read(documents);
    for key in reports(documents).filter(|key| !retired.contains(key)) {
        if let Some(report) = report(documents, &key) {
            aggregate.merge(report);
        }
    }
    aggregate.merge(retired.sum);
    aggregate
}

fn report(documents: &Documents, key: &str) -> Option<Report> {
    let (_, value) = documents.get(key)?;
    serde_json::from_slice(&value).ok()
}

fn reports(documents: &Documents) -> impl Iterator<Item = SmolStr> {
    let keys = documents.revisions().into_keys();
    keys.filter(|key| key.starts_with(REPORT_PREFIX) && key != RETIRED_KEY)
}

/// Since when reports belong to incarnations that are not heard.
#[derive(Debug, Default)]
pub struct Retirement {
    unheard: BTreeMap<SmolStr, Instant>,
}

impl Retirement {
    /// Creates a retirement that has seen nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets the reports that are part of the sum, and adds others if this instance publishes.
    ///
    /// `heard` holds the keys of the reports of incarnations that are live.
    pub fn update(
        &mut self,
        documents: &Documents,
        heard: &BTreeSet<SmolStr>,
        is_publisher: bool,
        now: Instant,
    ) {
        let mut retired = Retired::read(documents);
        let keys: BTreeSet<SmolStr> = reports(documents).collect();
        self.unheard.retain(|key, _| keys.contains(key) && !heard.contains(key));
        let mut is_new = false;
        for key in keys {
            if heard.contains(&key) {
                continue;
            }
            let since = *self.unheard.entry(key.clone()).or_insert(now);
            let is_gone = now.saturating_duration_since(since) >= UNHEARD_MAX;
            if is_publisher && is_gone && !retired.contains(&key) {
                retired.add(key.clone(), report(documents, &key).unwrap_or_default());
                is_new = true;
            }
            if retired.contains(&key) {
                documents.delete(&key);
            }
        }
        if is_new {
            let revision = documents.get(RETIRED_KEY).map_or(0, |(revision, _)| revision) + 1;
            // A sum is plain data with string keys, which always serializes.
            let value = serde_json::to_vec(&retired).unwrap_or_default();
            documents.apply(RETIRED_KEY, revision, value.into());
        }
    }
}
