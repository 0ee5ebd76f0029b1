//! Verification of the published counts by a member.

use std::collections::BTreeMap;
use std::fmt;

use jaycrank_policy::Tally;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::wire::Answer;
use crate::wire::Fairness;
use crate::wire::Refusal;
use crate::wire::RunningTally;

/// What is counted separately: service, rank, member, and instance with incarnation.
type Source = (SmolStr, SmolStr, SmolStr, SmolStr);

/// A contradiction between the published counts and a member's own requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mismatch {
    /// Instance and incarnation, `NAME#INCARNATION`.
    pub instance: SmolStr,
    /// Service of the requests.
    pub service: SmolStr,
    /// Rank of the requests.
    pub rank: SmolStr,
    /// What is wrong.
    pub fault: Fault,
}

/// What is wrong with the counts of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Two requests got the same position, so one of them was not counted.
    Repeated {
        /// The position.
        position: u64,
    },
    /// A later running tally has a lower count than an earlier one.
    Backwards {
        /// Position of the later tally.
        position: u64,
    },
    /// The published count is below what the member's requests imply.
    Missing {
        /// Name of the count.
        count: &'static str,
        /// Lowest value that agrees with the requests.
        expected: u64,
        /// Value on the page.
        published: u64,
    },
    /// The published count is above the number of the member's requests.
    Excess {
        /// Name of the count.
        count: &'static str,
        /// Number of the requests.
        expected: u64,
        /// Value on the page.
        published: u64,
    },
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}: ", self.instance, self.service, self.rank)?;
        match self.fault {
            Fault::Repeated { position } => {
                write!(f, "two requests have the same position {position}")
            }
            Fault::Backwards { position } => {
                write!(f, "a count is lower at position {position} than before it")
            }
            Fault::Missing { count, expected, published } => {
                write!(f, "{count} is {published}, but at least {expected} are known")
            }
            Fault::Excess { count, expected, published } => {
                write!(f, "{count} is {published}, but only {expected} were sent")
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Seen {
    own: Tally,
    points: BTreeMap<u64, Tally>,
    repeated: Vec<u64>,
}

/// Collects the running tallies of a member's requests and compares them with the published counts.
///
/// The page must have been published after the last request; an instance that was killed may lose
/// the counts after its last heartbeat, which the audit reports as missing.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    seen: BTreeMap<Source, Seen>,
    exclusive: bool,
    uncounted: u64,
}

impl Audit {
    /// Creates an audit of a member that has other callers too: their requests may be in the
    /// counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an audit that is fed with every request of the member, so that counts above its
    /// own requests are a mismatch too.
    pub fn with_all_requests() -> Self {
        Self { exclusive: true, ..Self::default() }
    }

    /// Adds an answer.
    pub fn answer(&mut self, answer: &Answer) {
        let complete = answer.complete;
        self.add(&answer.tally, |own| {
            *(if complete { &mut own.complete } else { &mut own.partial }) += 1;
        });
    }

    /// Adds a refusal.
    pub fn refusal(&mut self, refusal: &Refusal) {
        match &refusal.tally {
            Some(running) => self.add(running, |own| own.refused += 1),
            None => self.uncounted += 1,
        }
    }

    /// Requests that were refused without a running tally, which are not in the counts.
    pub fn uncounted(&self) -> u64 {
        self.uncounted
    }

    fn add(&mut self, running: &RunningTally, count: impl FnOnce(&mut Tally)) {
        let instance = format_smolstr!("{}#{}", running.instance, running.incarnation);
        let (service, rank) = (running.service.clone(), running.rank.clone());
        let source = (service, rank, running.member.clone(), instance);
        let seen = self.seen.entry(source).or_default();
        count(&mut seen.own);
        let position = running.tally.position();
        if seen.points.insert(position, running.tally).is_some() {
            seen.repeated.push(position);
        }
    }

    /// Compares with a page and returns all contradictions, by instance.
    pub fn compare(&self, page: &Fairness) -> Vec<Mismatch> {
        let mut mismatches = Vec::new();
        for (source, seen) in &self.seen {
            let (service, rank, member, instance) = source;
            let published = page.statistics(service, rank, member);
            let published = published.and_then(|statistics| statistics.instances.get(instance));
            let published = published.copied().unwrap_or_default();
            let faults = seen.faults(&published, self.exclusive);
            mismatches.extend(faults.into_iter().map(|fault| Mismatch {
                instance: instance.clone(),
                service: service.clone(),
                rank: rank.clone(),
                fault,
            }));
        }
        mismatches
    }
}

impl Seen {
    fn faults(&self, published: &Tally, exclusive: bool) -> Vec<Fault> {
        let repeated = self.repeated.iter().map(|position| Fault::Repeated { position: *position });
        let mut faults: Vec<_> = repeated.collect();
        let mut last = Tally::default();
        for (position, tally) in &self.points {
            let pairs = counts(&last).into_iter().zip(counts(tally));
            if pairs.into_iter().any(|((_, before), (_, after))| after < before) {
                faults.push(Fault::Backwards { position: *position });
            }
            last = *tally;
        }
        let known = counts(&last).into_iter().zip(counts(&self.own));
        for ((known, own), (name, value)) in known.zip(counts(published)) {
            let expected = known.1.max(own.1);
            if value < expected {
                faults.push(Fault::Missing { count: name, expected, published: value });
            } else if exclusive && value > own.1 && ENDS.contains(&name) {
                faults.push(Fault::Excess { count: name, expected: own.1, published: value });
            }
        }
        faults
    }
}

/// Counts of which each request raises exactly one when it ends.
const ENDS: [&str; 3] = ["refused", "complete", "partial"];

fn counts(tally: &Tally) -> [(&'static str, u64); 5] {
    [
        ("offered", tally.offered),
        ("admitted", tally.admitted),
        ("refused", tally.refused),
        ("complete", tally.complete),
        ("partial", tally.partial),
    ]
}
