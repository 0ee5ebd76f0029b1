//! Merging of the reports of stopped instances.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jaycrank::retire;
use jaycrank::retire::RETIRED_KEY;
use jaycrank::retire::Retirement;
use jaycrank_instance::Documents;
use jaycrank_instance::wire::Pull;
use jaycrank_policy::tally::Counters;
use jaycrank_policy::tally::Key;
use jaycrank_policy::tally::Outcome;
use jaycrank_settings::Rank;
use smol_str::SmolStr;
use smol_str::format_smolstr;

const HOUR: Duration = Duration::from_secs(3_600);

fn record_key() -> Key {
    Key::new("quote-desk", Rank::Urgent, "sfax")
}

/// Key and value of the report of an incarnation that answered `answers` queries.
fn report(name: &str, incarnation: u64, answers: u64) -> (SmolStr, Bytes) {
    let counters = Counters::default();
    for _ in 0..answers {
        let counter = counters.counter(&record_key());
        counter.count_admitted();
        counter.count_outcome(Outcome::Complete, Duration::from_millis(answers));
    }
    let report = serde_json::to_vec(&counters.report(name, incarnation)).unwrap();
    (format_smolstr!("tally/{name}#{incarnation}"), report.into())
}

fn documents() -> Documents {
    let documents = Documents::new();
    for (name, incarnation, answers) in [("a", 1, 3), ("a", 2, 5), ("b", 1, 7), ("b", 2, 11)] {
        let (key, value) = report(name, incarnation, answers);
        documents.apply(key, 9, value);
    }
    documents
}

/// Copies the newer documents of `from` to `to`, as a pull does.
fn pull(from: &Documents, to: &Documents) {
    let reply = from.answer_pull(&Pull { above: to.revisions() });
    for document in reply.documents {
        to.apply(document.key, document.revision, document.value.0);
    }
}

fn complete(documents: &Documents) -> u64 {
    retire::aggregate(documents).total(&record_key()).complete
}

fn keys(documents: &Documents) -> Vec<SmolStr> {
    documents.revisions().into_keys().collect()
}

/// Guards against reports that accumulate with each restart, and against counts that are lost or
/// counted twice at the publisher, at an instance with older documents, or at a new one.
#[test]
fn reports_of_stopped_incarnations_are_summed_once() {
    let live_keys = BTreeSet::from([SmolStr::new("tally/a#2"), SmolStr::new("tally/b#2")]);
    let (publisher, other, behind) = (documents(), documents(), documents());
    let (mut publishing, mut following) = (Retirement::new(), Retirement::new());
    let start = Instant::now();
    let p99 = retire::aggregate(&publisher).quantile(&record_key(), 0.99);
    for now in [start, start + HOUR, start + HOUR * 2] {
        publishing.update(&publisher, &live_keys, true, now);
        following.update(&other, &live_keys, false, now);
        // A peer that still has the reports must not spread them again.
        pull(&behind, &publisher);
        pull(&publisher, &other);
        assert_eq!((complete(&publisher), complete(&other)), (26, 26));
    }
    assert_eq!(keys(&publisher), ["tally/a#2", "tally/b#2", RETIRED_KEY]);
    assert_eq!(keys(&other), keys(&publisher));
    assert!(!publisher.is_behind(&behind.revisions()));
    assert_eq!(retire::aggregate(&publisher).quantile(&record_key(), 0.99), p99);

    let late = Documents::new();
    pull(&behind, &late);
    pull(&publisher, &late);
    assert_eq!(complete(&late), 26);
    Retirement::new().update(&late, &live_keys, false, start + HOUR * 3);
    assert_eq!(keys(&late), keys(&publisher));
}

/// Guards against summing the report of an incarnation that is live or was live within the last
/// hour, and against summing by an instance that is not the publisher.
#[test]
fn live_or_recent_reports_are_not_summed() {
    let live_keys = BTreeSet::from([SmolStr::new("tally/a#2"), SmolStr::new("tally/b#2")]);
    let all: BTreeSet<SmolStr> = keys(&documents()).into_iter().collect();
    let start = Instant::now();
    let (documents, mut retirement) = (documents(), Retirement::new());
    retirement.update(&documents, &live_keys, true, start);
    retirement.update(&documents, &live_keys, true, start + HOUR - Duration::from_millis(1));
    // The hour starts again after the incarnations were live in between.
    retirement.update(&documents, &all, true, start + HOUR);
    retirement.update(&documents, &live_keys, true, start + HOUR * 2 - Duration::from_millis(1));
    retirement.update(&documents, &live_keys, false, start + HOUR * 9);
    assert_eq!(keys(&documents).len(), 4);
    assert!(documents.get(RETIRED_KEY).is_none());
}
