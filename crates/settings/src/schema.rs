//! Typed forms of the branches.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Rank of work, most urgent first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Rank {
    /// A person waits for the answer.
    Urgent,
    /// Served after urgent work.
    Middle,
    /// Bulk work.
    Least,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Middle, Self::Least];

    /// Position in [`Self::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A backend service: what the tier must know about its leafs, and how its capacity is shared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that a leaf runs at a time.
    pub slots: u32,
    /// Connections that a leaf accepts from all instances together.
    pub connections: u32,
    /// Fraction of capacity that each rank keeps whatever the others offer; the sum is at most 1.
    pub floors: BTreeMap<Rank, f64>,
    /// Longest deadline that a caller may ask for, in milliseconds.
    #[serde(default = "Service::default_deadline_max_ms")]
    pub deadline_max_ms: u64,
    /// Queries that may wait for admission at one instance.
    #[serde(default = "Service::default_queue_max")]
    pub queue_max: u32,
    /// Weights of members that differ from the weight of their own branch.
    #[serde(default)]
    pub weights: BTreeMap<SmolStr, f64>,
}

impl Service {
    fn default_deadline_max_ms() -> u64 {
        30_000
    }

    fn default_queue_max() -> u32 {
        256
    }

    /// Floor of a rank, as a fraction of capacity.
    pub fn floor(&self, rank: Rank) -> f64 {
        self.floors.get(&rank).copied().unwrap_or(0.0)
    }

    /// Longest deadline that a caller may ask for.
    pub fn deadline_max(&self) -> Duration {
        Duration::from_millis(self.deadline_max_ms)
    }
}

/// A member: a firm whose callers share the tier with others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Weight of the member's share under contention, relative to the other members.
    pub weight: f64,
    /// SHA-256 digests of the member's tokens, lower-case hexadecimal.
    #[serde(default)]
    pub tokens: Vec<SmolStr>,
}

/// An operator, who edits branches of the tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Teams of the operator; it may edit the branches that these own.
    pub teams: Vec<SmolStr>,
    /// SHA-256 digests of the operator's tokens, lower-case hexadecimal.
    pub tokens: Vec<SmolStr>,
}

/// How replicas are chosen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ReplicaSelection {
    /// Own observations first, the server's report second.
    #[default]
    Observed,
    /// The server's report alone (baseline).
    Reported,
    /// One after the other (baseline).
    RoundRobin,
}

/// How queries are admitted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum QueueDiscipline {
    /// Ranks with floors, fair shares of members.
    #[default]
    Fair,
    /// First in, first out (baseline).
    Fifo,
}

/// Tier-wide policy. Every field has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How replicas are chosen.
    pub replicas: ReplicaSelection,
    /// How queries are admitted.
    pub admission: QueueDiscipline,
    /// Hedged requests allowed, as a fraction of all sub-requests; 0 turns hedging off.
    pub hedge_budget: f64,
    /// Retries allowed, as a fraction of all sub-requests.
    pub retry_budget: f64,
    /// Whether requests suspected of crashing servers are isolated and refused.
    pub quarantine: bool,
    /// Whether the slots of leafs are shared among instances and limited.
    pub limit: bool,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Partitions of the claims of non-idempotent requests.
    pub claim_partitions: u32,
    /// Time between the starts of two writes of a claim partition, in milliseconds.
    pub claim_interval_ms: u64,
    /// Time between two publications of the tallies to the other instances, in milliseconds; the
    /// store gets every fifth.
    pub publish_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            replicas: ReplicaSelection::Observed,
            admission: QueueDiscipline::Fair,
            hedge_budget: 0.04,
            retry_budget: 0.1,
            quarantine: true,
            limit: true,
            heartbeat_ms: 250,
            claim_partitions: 4,
            claim_interval_ms: 20,
            publish_ms: 1_000,
        }
    }
}
