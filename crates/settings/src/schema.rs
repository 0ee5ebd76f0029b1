//! Typed forms of the values of branches.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Priority class of a query, most urgent first.
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
    /// A user waits for the answer.
    Urgent,
    /// Served after urgent work.
    Middle,
    /// Bulk work.
    Least,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Middle, Self::Least];

    /// Returns the position in [`Self::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A backend service: the limits of its leafs, and how its capacity is shared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that a leaf runs concurrently.
    pub slots: u32,
    /// Connections that a leaf accepts from all instances together.
    pub connections: u32,
    /// Fraction of the capacity that is guaranteed to each rank under load from the others; the sum
    /// is at most 1.
    pub floors: BTreeMap<Rank, f64>,
    /// Longest deadline that a caller may ask for, in milliseconds.
    #[serde(default = "Service::default_deadline_max_ms")]
    pub deadline_max_ms: u64,
    /// Queries that may wait for admission at one instance.
    #[serde(default = "Service::default_queue_max")]
    pub queue_max: u32,
    /// Weights of members at this service, which override the weights in the members' branches.
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

    /// Returns the fraction of the capacity that is guaranteed to a rank.
    pub fn floor(&self, rank: Rank) -> f64 {
        self.floors.get(&rank).copied().unwrap_or(0.0)
    }

    /// Returns the longest deadline that a caller may ask for.
    pub fn deadline_max(&self) -> Duration {
        Duration::from_millis(self.deadline_max_ms)
    }
}

/// A member: a customer whose callers share the tier with those of other members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Weight of the member's share of the capacity under contention, relative to other members.
    pub weight: f64,
    /// SHA-256 digests of the member's tokens, lower-case hexadecimal.
    #[serde(default)]
    pub tokens: Vec<SmolStr>,
}

/// An operator, who edits branches of the tree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Teams of the operator, who may edit the branches that these teams own.
    pub teams: Vec<SmolStr>,
    /// SHA-256 digests of the operator's tokens, lower-case hexadecimal.
    pub tokens: Vec<SmolStr>,
}

/// Method of selecting the replica for a sub-request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ReplicaSelection {
    /// By the latency and in-flight requests that the instance observes, and with less effect by
    /// the load that the backend servers report.
    #[default]
    Observed,
    /// By the load that the backend servers report (baseline).
    Reported,
    /// In turn (baseline).
    RoundRobin,
}

/// Order in which queued queries are admitted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum QueueDiscipline {
    /// By rank, with a guaranteed share for each, and weighted fair queueing among members.
    #[default]
    Fair,
    /// First in, first out (baseline).
    Fifo,
}

/// Policy that applies to the whole tier. Every field has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Method of selecting replicas.
    pub replicas: ReplicaSelection,
    /// Order in which queued queries are admitted.
    pub admission: QueueDiscipline,
    /// Hedged requests allowed, as a fraction of all sub-requests; 0 turns hedging off.
    pub hedge_budget: f64,
    /// Retries allowed, as a fraction of all sub-requests.
    pub retry_budget: f64,
    /// Whether requests that are suspected of crashing backend servers are isolated and refused.
    pub quarantine: bool,
    /// Whether each instance limits its in-flight requests to its share of the leafs' slots.
    pub limit: bool,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of partitions of the claims that make non-idempotent requests run at most once.
    pub claim_partitions: u32,
    /// Minimum time between the starts of two writes of a claim partition, in milliseconds.
    pub claim_interval_ms: u64,
    /// Time between two publications of the tallies to the other instances, in milliseconds; every
    /// fifth one also goes to the store.
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
