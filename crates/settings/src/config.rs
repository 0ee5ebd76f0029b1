//! The typed, validated form of a whole tree.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::branch::Branch;
use crate::check;
use crate::error::Error;
use crate::error::Result;
use crate::schema::Member;
use crate::schema::Operator;
use crate::schema::Policy;
use crate::schema::Rank;
use crate::schema::Service;
use crate::tree::Revision;
use crate::tree::Tree;

/// Paths that a tree may hold, for error messages.
const ACCEPTED_PATHS: &str =
    "the root (empty path), policy, services/NAME, members/NAME, operators/NAME or teams/PATH";

/// Validated settings of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    revision: Revision,
    policy: Policy,
    services: BTreeMap<SmolStr, Service>,
    members: BTreeMap<SmolStr, Member>,
    operators: BTreeMap<SmolStr, Operator>,
}

impl Config {
    /// Validates a tree and returns its typed form.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value that is not accepted, with its path and the accepted
    /// range.
    pub fn from_tree(tree: &Tree) -> Result<Self> {
        let mut config = Self { revision: tree.revision(), ..Self::default() };
        for (path, branch) in tree.branches() {
            config.add_branch(path, branch)?;
        }
        Ok(config)
    }

    /// Returns the revision of the tree.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the policy that applies to the whole tier.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the services by name.
    pub fn services(&self) -> &BTreeMap<SmolStr, Service> {
        &self.services
    }

    /// Returns the members by name.
    pub fn members(&self) -> &BTreeMap<SmolStr, Member> {
        &self.members
    }

    /// Returns the operators by name.
    pub fn operators(&self) -> &BTreeMap<SmolStr, Operator> {
        &self.operators
    }

    /// Returns the weight of a member at a service: the one in the service's branch if it names the
    /// member, otherwise the one in the member's branch, and 1 for a member without a branch.
    pub fn weight(&self, service: &str, member: &str) -> f64 {
        let own = self.members.get(member).map_or(1.0, |member| member.weight);
        let service = self.services.get(service);
        service.and_then(|service| service.weights.get(member)).copied().unwrap_or(own)
    }

    fn add_branch(&mut self, path: &str, branch: &Branch) -> Result<()> {
        if !branch.owner().is_empty() {
            check::name(&format!("{path}#owner"), branch.owner())?;
        }
        match path.split_once('/') {
            None if path.is_empty() => Ok(()),
            None if path == "policy" => self.add_policy(path, branch.value()),
            Some(("services", name)) => self.add_service(path, name, branch.value()),
            Some(("members", name)) => self.add_member(path, name, branch.value()),
            Some(("operators", name)) => self.add_operator(path, name, branch.value()),
            Some(("teams", below)) => below.split('/').try_for_each(|name| check::name(path, name)),
            _ => Err(Error::new(path, "this path", ACCEPTED_PATHS)),
        }
    }

    fn add_policy(&mut self, path: &str, value: &Value) -> Result<()> {
        let policy: Policy = parse(path, value)?;
        check::range(path, "hedge_budget", policy.hedge_budget, 0.0..=1.0)?;
        check::range(path, "retry_budget", policy.retry_budget, 0.0..=1.0)?;
        check::range(path, "heartbeat_ms", policy.heartbeat_ms, 20..=10_000)?;
        check::range(path, "claim_partitions", policy.claim_partitions, 1..=4_096)?;
        check::range(path, "claim_interval_ms", policy.claim_interval_ms, 1..=1_000)?;
        check::range(path, "publish_ms", policy.publish_ms, 100..=60_000)?;
        self.policy = policy;
        Ok(())
    }

    fn add_service(&mut self, path: &str, name: &str, value: &Value) -> Result<()> {
        check::name(path, name)?;
        let service: Service = parse(path, value)?;
        check::range(path, "slots", service.slots, 1..=1_024)?;
        check::range(path, "connections", service.connections, 1..=65_536)?;
        check::range(path, "deadline_max_ms", service.deadline_max_ms, 1..=600_000)?;
        check::range(path, "queue_max", service.queue_max, 1..=65_536)?;
        for (rank, floor) in &service.floors {
            check::range(path, &format!("floors/{rank}"), *floor, 0.0..=1.0)?;
        }
        let sum: f64 = Rank::ALL.iter().map(|rank| service.floor(*rank)).sum();
        check::range(path, "floors (sum)", sum, 0.0..=1.0)?;
        for (member, weight) in &service.weights {
            check::range(path, &format!("weights/{member}"), *weight, 0.001..=1_000.0)?;
        }
        self.services.insert(name.into(), service);
        Ok(())
    }

    fn add_member(&mut self, path: &str, name: &str, value: &Value) -> Result<()> {
        check::name(path, name)?;
        let member: Member = parse(path, value)?;
        check::range(path, "weight", member.weight, 0.001..=1_000.0)?;
        for token in &member.tokens {
            check::digest(path, "tokens", token)?;
        }
        self.members.insert(name.into(), member);
        Ok(())
    }

    fn add_operator(&mut self, path: &str, name: &str, value: &Value) -> Result<()> {
        check::name(path, name)?;
        let operator: Operator = parse(path, value)?;
        for token in &operator.tokens {
            check::digest(path, "tokens", token)?;
        }
        for team in &operator.teams {
            check::name(&format!("{path}/teams"), team)?;
        }
        self.operators.insert(name.into(), operator);
        Ok(())
    }
}

fn parse<T: DeserializeOwned>(path: &str, value: &Value) -> Result<T> {
    T::deserialize(value)
        .map_err(|error| Error::new(path, format_smolstr!("{value}"), format_smolstr!("{error}")))
}
