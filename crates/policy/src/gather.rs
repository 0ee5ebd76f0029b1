//! Collection of the sub-request outcomes of a query, and the coverage of its answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::snapshot::Group;
use crate::snapshot::Version;

/// Reason why a group is missing from an answer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No reply arrived before the deadline.
    Deadline,
    /// No leaf of the group could be reached.
    Unreachable,
    /// No leaf of the group holds the pinned version.
    Snapshot,
    /// The leafs of the group refused the sub-request.
    Shed,
    /// The leafs of the group failed the sub-request.
    Failed,
    /// The request was refused because it crashes the servers that run it.
    Quarantined,
}

/// A group that an answer does not cover.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Missing {
    /// Name of the group.
    pub group: Group,
    /// Reason why it is missing.
    pub reason: Reason,
}

/// Groups that an answer covers and those that it misses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Groups whose result is part of the answer.
    pub covered: BTreeSet<Group>,
    /// All other groups of the pinned version.
    pub missing: Vec<Missing>,
}

impl Coverage {
    /// Creates the coverage from the outcome of each group; `None` means covered.
    pub fn new(outcomes: &BTreeMap<Group, Option<Reason>>) -> Self {
        let mut coverage = Self::default();
        for (group, outcome) in outcomes {
            match outcome {
                None => {
                    coverage.covered.insert(group.clone());
                }
                Some(reason) => {
                    coverage.missing.push(Missing { group: group.clone(), reason: *reason });
                }
            }
        }
        coverage
    }

    /// Returns whether no group is missing.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && !self.covered.is_empty()
    }
}

/// Collects the outcomes of the sub-requests of one query, in any order.
///
/// Only the first outcome of a group counts, and replies of other index versions are ignored, so
/// late and duplicate replies have no effect.
#[derive(Clone, Debug)]
pub struct Gather<B> {
    snapshot: Version,
    outcomes: Vec<Option<Result<B, Reason>>>,
    pending: usize,
}

impl<B> Gather<B> {
    /// Creates a collection that expects the outcomes of `groups` groups at an index version.
    pub fn new(snapshot: Version, groups: usize) -> Self {
        let outcomes = std::iter::repeat_with(|| None).take(groups).collect();
        Self { snapshot, outcomes, pending: groups }
    }

    /// Returns the index version of the query.
    pub fn snapshot(&self) -> Version {
        self.snapshot
    }

    /// Returns the number of groups without an outcome.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Returns whether a group has no outcome yet.
    pub fn is_pending(&self, group: usize) -> bool {
        self.outcomes.get(group).is_some_and(Option::is_none)
    }

    /// Adds the body of a reply and returns whether it is used.
    pub fn add_reply(&mut self, group: usize, snapshot: Version, body: B) -> bool {
        snapshot == self.snapshot && self.set_outcome(group, Ok(body))
    }

    /// Marks a pending group as missing and returns whether it was pending.
    pub fn give_up(&mut self, group: usize, reason: Reason) -> bool {
        self.set_outcome(group, Err(reason))
    }

    /// Returns the coverage and the bodies.
    ///
    /// `names` are the names of the groups in order. `reason` returns why a pending group, given
    /// by its position, is missing.
    pub fn finish<'a>(
        self,
        names: impl Iterator<Item = &'a Group>,
        reason: impl Fn(usize) -> Reason,
    ) -> (Coverage, BTreeMap<Group, B>) {
        let mut outcomes = BTreeMap::new();
        let mut bodies = BTreeMap::new();
        for ((index, outcome), name) in self.outcomes.into_iter().enumerate().zip(names) {
            let missing = match outcome {
                Some(Ok(body)) => {
                    bodies.insert(name.clone(), body);
                    None
                }
                Some(Err(reason)) => Some(reason),
                None => Some(reason(index)),
            };
            outcomes.insert(name.clone(), missing);
        }
        (Coverage::new(&outcomes), bodies)
    }

    fn set_outcome(&mut self, group: usize, outcome: Result<B, Reason>) -> bool {
        let pending = self.is_pending(group);
        if pending {
            self.outcomes[group] = Some(outcome);
            self.pending -= 1;
        }
        pending
    }
}
