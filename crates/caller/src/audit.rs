//! Verification of the published counts from the answers and refusals that a member received.

use std::collections::BTreeMap;
use std::fmt;

use jaycrank_policy::Tally;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::wire::Answer;
use crate::wire::Fairness;
use crate::wire::Refusal;
use crate::wire::RunningTally;

/// Service, rank, member, and instance with incarnation; each combination is counted separately.
type Source = (SmolStr, SmolStr, SmolStr, SmolStr);

/// A contradiction between the published counts and a member's own requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// Instance and incarnation that published the counts, as `NAME#INCARNATION`.
    pub instance: SmolStr,
    /// Service of the requests.
    pub service: SmolStr,
    /// Rank of the requests.
    pub rank: SmolStr,
    /// The contradiction.
    pub kind: MismatchKind,
}

/// Kind of a contradiction in the counts of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MismatchKind {
    /// Two running tallies have the same position, so one of their requests was not counted.
    DuplicatePosition {
        /// The position.
        position: u64,
    },
    /// A running tally has a lower count than one at a lower position.
    CountDecreased {
        /// Position of the tally with the lower count.
        position: u64,
    },
    /// The published count is lower than the member's requests imply.
    CountTooLow {
        /// Name of the count.
        count: &'static str,
        /// Lowest value that is consistent with the requests.
        expected: u64,
        /// Published value.
        published: u64,
    },
    /// The published count is higher than the number of the member's requests.
    CountTooHigh {
        /// Name of the count.
        count: &'static str,
        /// Number of the requests.
        expected: u64,
        /// Published value.
        published: u64,
    },
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}: ", self.instance, self.service, self.rank)?;
        match self.kind {
            MismatchKind::DuplicatePosition { position } => {
                write!(f, "two requests have the same position {position}")
            }
            MismatchKind::CountDecreased { position } => {
                write!(f, "a count decreases at position {position}")
            }
            MismatchKind::CountTooLow { count, expected, published } => {
                write!(f, "{count} is {published}, expected at least {expected}")
            }
            MismatchKind::CountTooHigh { count, expected, published } => {
                write!(f, "{count} is {published}, expected at most {expected}")
            }
        }
    }
}

/// What the member observed of one [`Source`].
#[derive(Clone, Debug, Default)]
struct Observations {
    /// Counts of the member's own requests.
    own: Tally,
    /// Running tallies by position.
    tallies: BTreeMap<u64, Tally>,
    /// Positions that occur more than once.
    duplicates: Vec<u64>,
}

/// Collects the running tallies of a member's requests and compares them with the published counts.
///
/// The counts must have been published after the last request. An instance that is killed may lose
/// the counts since its last heartbeat, which the audit reports as too low.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    observed: BTreeMap<Source, Observations>,
    has_all_requests: bool,
    uncounted: u64,
}

impl Audit {
    /// Creates an audit of some of a member's requests. The published counts may be higher, because
    /// they include the requests of the member's other callers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an audit of all of a member's requests, so that published counts above their number
    /// are a mismatch too.
    pub fn with_all_requests() -> Self {
        Self { has_all_requests: true, ..Self::default() }
    }

    /// Adds an answer.
    pub fn add_answer(&mut self, answer: &Answer) {
        let complete = answer.complete;
        self.add(&answer.tally, |own| {
            *(if complete { &mut own.complete } else { &mut own.partial }) += 1;
        });
    }

    /// Adds a refusal.
    pub fn add_refusal(&mut self, refusal: &Refusal) {
        match &refusal.tally {
            Some(running) => self.add(running, |own| own.refused += 1),
            None => self.uncounted += 1,
        }
    }

    /// Returns the number of refusals without a running tally, which the counts do not include.
    pub fn uncounted(&self) -> u64 {
        self.uncounted
    }

    fn add(&mut self, running: &RunningTally, count: impl FnOnce(&mut Tally)) {
        let instance = format_smolstr!("{}#{}", running.instance, running.incarnation);
        let (service, rank) = (running.service.clone(), running.rank.clone());
        let source = (service, rank, running.member.clone(), instance);
        let observations = self.observed.entry(source).or_default();
        count(&mut observations.own);
        let position = running.tally.position();
        if observations.tallies.insert(position, running.tally).is_some() {
            observations.duplicates.push(position);
        }
    }

    /// Compares the requests with the published counts and returns all contradictions.
    pub fn compare(&self, fairness: &Fairness) -> Vec<Mismatch> {
        let mut mismatches = Vec::new();
        for (source, observations) in &self.observed {
            let (service, rank, member, instance) = source;
            let published = fairness.statistics(service, rank, member);
            let published = published.and_then(|statistics| statistics.instances.get(instance));
            let published = published.copied().unwrap_or_default();
            let kinds = observations.contradictions(&published, self.has_all_requests);
            mismatches.extend(kinds.into_iter().map(|kind| Mismatch {
                instance: instance.clone(),
                service: service.clone(),
                rank: rank.clone(),
                kind,
            }));
        }
        mismatches
    }
}

impl Observations {
    fn contradictions(&self, published: &Tally, has_all_requests: bool) -> Vec<MismatchKind> {
        let duplicates = self
            .duplicates
            .iter()
            .map(|position| MismatchKind::DuplicatePosition { position: *position });
        let mut kinds: Vec<_> = duplicates.collect();
        let mut last = Tally::default();
        for (position, tally) in &self.tallies {
            let pairs = named_counts(&last).into_iter().zip(named_counts(tally));
            if pairs.into_iter().any(|((_, before), (_, after))| after < before) {
                kinds.push(MismatchKind::CountDecreased { position: *position });
            }
            last = *tally;
        }
        let observed = named_counts(&last).into_iter().zip(named_counts(&self.own));
        for ((last, own), (name, value)) in observed.zip(named_counts(published)) {
            let expected = last.1.max(own.1);
            if value < expected {
                kinds.push(MismatchKind::CountTooLow { count: name, expected, published: value });
            } else if has_all_requests && value > own.1 && OUTCOME_COUNTS.contains(&name) {
                kinds.push(MismatchKind::CountTooHigh {
                    count: name,
                    expected: own.1,
                    published: value,
                });
            }
        }
        kinds
    }
}

/// Counts of outcomes. Each request increments exactly one of them.
const OUTCOME_COUNTS: [&str; 3] = ["refused", "complete", "partial"];

/// Returns the counts of a tally with their names.
fn named_counts(tally: &Tally) -> [(&'static str, u64); 5] {
    [
        ("offered", tally.offered),
        ("admitted", tally.admitted),
        ("refused", tally.refused),
        ("complete", tally.complete),
        ("partial", tally.partial),
    ]
}
