//! JSON messages between callers and the tier.

use std::collections::BTreeMap;
use std::time::Duration;

use jaycrank_http::request;
use jaycrank_policy::Coverage;
use jaycrank_policy::Tally;
use jaycrank_policy::share_average::Shares;
use jaycrank_policy::snapshot::Group;
use jaycrank_policy::snapshot::Version;
use jaycrank_policy::tally::Aggregate;
use jaycrank_policy::tally::Key;
use jaycrank_settings::Rank;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use strum::Display;
use strum::EnumString;

/// Time after which a request that found no memory may be sent again, in milliseconds.
const NO_MEMORY_RETRY_MS: u64 = 250;

/// Longest request id or key.
const ID_MAX_BYTES: usize = 128;

/// Body of `POST /query`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// Service to query.
    pub service: SmolStr,
    /// Priority class of the query: `urgent`, `middle` or `least`.
    pub rank: SmolStr,
    /// Deadline for the answer, in milliseconds after the query arrives at the tier.
    pub deadline_ms: u64,
    /// Body, which the leafs get unchanged.
    pub body: Box<RawValue>,
    /// Identifier of a non-idempotent request; its presence marks the request as such.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// Number of the attempt, 1 for the first; the caller increments it with every retry.
    #[serde(default = "first_attempt")]
    pub attempt: u32,
    /// Time after which a non-idempotent request must not run, in Unix milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_unix_ms: Option<u64>,
    /// Key that selects the group of a non-idempotent request; the request id by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<SmolStr>,
}

fn first_attempt() -> u32 {
    1
}

impl Query {
    /// Decodes a body and checks the ranges that do not depend on settings.
    ///
    /// # Errors
    ///
    /// Returns an invalid refusal that names the field and the accepted range.
    pub fn decode(body: &[u8]) -> Result<Self, Refusal> {
        let query: Self = serde_json::from_slice(body).map_err(|error| {
            Refusal::invalid(400, "malformed", format!("the body is not a valid query: {error}"))
        })?;
        if query.deadline_ms == 0 {
            return Err(out_of_range("deadline_ms is 0; accepted: at least 1"));
        }
        if query.attempt == 0 {
            return Err(out_of_range("attempt is 0; accepted: at least 1"));
        }
        for (name, text) in [("request_id", &query.request_id), ("key", &query.key)] {
            let bytes = text.as_ref().map_or(1, |text| text.len());
            if !(1..=ID_MAX_BYTES).contains(&bytes) {
                let message =
                    format!("{name} has {bytes} bytes; accepted: 1 to {ID_MAX_BYTES} bytes");
                return Err(out_of_range(message));
            }
        }
        Ok(query)
    }

    /// Returns the rank of the query.
    ///
    /// # Errors
    ///
    /// Returns an invalid refusal if there is no such rank.
    pub fn parse_rank(&self) -> Result<Rank, Refusal> {
        self.rank.parse().map_err(|_| {
            let message = "the rank is unknown; accepted: urgent, middle or least";
            Refusal::invalid(400, "unknown-rank", message)
        })
    }

    /// Returns the deadline for the answer, relative to the arrival of the query.
    ///
    /// # Errors
    ///
    /// Returns an invalid refusal if it exceeds `max`, the longest deadline of the service.
    pub fn deadline(&self, max: Duration) -> Result<Duration, Refusal> {
        let deadline = Duration::from_millis(self.deadline_ms);
        if deadline > max {
            let (value, max) = (self.deadline_ms, max.as_millis());
            let message = format!("deadline_ms is {value}; accepted for this service: 1 to {max}");
            return Err(out_of_range(message));
        }
        Ok(deadline)
    }
}

#[cold]
fn out_of_range(message: impl Into<String>) -> Refusal {
    Refusal::invalid(400, "out-of-range", message)
}

/// Result of one group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupResult {
    /// Name of the group.
    pub group: Group,
    /// Body of the leaf's reply.
    pub body: Box<RawValue>,
}

/// Answer to a query, which may be partial and then lists the missing groups.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Index version that all results come from.
    pub snapshot: Version,
    /// Whether the results cover every group.
    pub complete: bool,
    /// Covered and missing groups.
    pub coverage: Coverage,
    /// Outcome of a non-idempotent request: `done`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<SmolStr>,
    /// Results by group.
    pub results: Vec<GroupResult>,
    /// The member's running tally at the answering instance, this answer included.
    pub tally: RunningTally,
}

/// A member's running tally at one instance, for one service and rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTally {
    /// Instance that answered.
    pub instance: SmolStr,
    /// Incarnation of the instance; the counts of a new incarnation start at 0.
    pub incarnation: u64,
    /// Member that sent the query.
    pub member: SmolStr,
    /// Service of the query.
    pub service: SmolStr,
    /// Rank of the query.
    pub rank: SmolStr,
    /// Counts of the member's queries up to this answer, which is included.
    #[serde(flatten)]
    pub tally: Tally,
}

impl RunningTally {
    /// Creates the running tally of an answer or refusal.
    pub fn new(instance: impl Into<SmolStr>, incarnation: u64, key: &Key, tally: Tally) -> Self {
        Self {
            instance: instance.into(),
            incarnation,
            member: key.member.clone(),
            service: key.service.clone(),
            rank: <&str>::from(key.rank).into(),
            tally,
        }
    }
}

/// What is known about a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
pub enum Category {
    /// The request was not run.
    #[serde(rename = "not run")]
    #[strum(serialize = "not run")]
    NotRun,
    /// The request may have run; its outcome is unknown.
    #[serde(rename = "may have run")]
    #[strum(serialize = "may have run")]
    MayHaveRun,
    /// The request is invalid and was not run.
    #[strum(serialize = "invalid")]
    Invalid,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known about the execution of the request.
    pub category: Category,
    /// Cause, as a code for programs.
    pub reason: SmolStr,
    /// Cause, as a sentence for people.
    pub message: String,
    /// Time to wait before a retry, in milliseconds; absent if a retry can't help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The member's running tally at the refusing instance, this refusal included; absent if the
    /// request was refused before its member, service and rank were known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tally: Option<Box<RunningTally>>,
    /// HTTP status; not part of the body.
    #[serde(skip)]
    pub status: u16,
}

impl Refusal {
    /// Creates the refusal of an invalid request.
    pub fn invalid(status: u16, reason: impl Into<SmolStr>, message: impl Into<String>) -> Self {
        Self::new(Category::Invalid, status, reason, message)
    }

    /// Creates the refusal of a request that was not run.
    pub fn not_run(status: u16, reason: impl Into<SmolStr>, message: impl Into<String>) -> Self {
        Self::new(Category::NotRun, status, reason, message)
    }

    /// Creates the refusal of a request whose outcome is unknown.
    pub fn may_have_run(
        status: u16,
        reason: impl Into<SmolStr>,
        message: impl Into<String>,
    ) -> Self {
        Self::new(Category::MayHaveRun, status, reason, message)
    }

    /// Sets the time to wait before a retry, in milliseconds.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds the member's running tally.
    pub fn with_tally(mut self, tally: RunningTally) -> Self {
        self.tally = Some(Box::new(tally));
        self
    }

    fn new(
        category: Category,
        status: u16,
        reason: impl Into<SmolStr>,
        message: impl Into<String>,
    ) -> Self {
        let (reason, message) = (reason.into(), message.into());
        Self { category, reason, message, retry_after_ms: None, tally: None, status }
    }
}

impl From<request::Error> for Refusal {
    fn from(error: request::Error) -> Self {
        let category = if error.is_invalid() { Category::Invalid } else { Category::NotRun };
        let refusal = Self::new(category, error.status(), error.reason(), error.to_string());
        match error {
            request::Error::NoMemory => refusal.with_retry_after_ms(NO_MEMORY_RETRY_MS),
            _ => refusal,
        }
    }
}

/// Statistics of the queries of one member, service and rank.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatistics {
    /// Counts over all instances.
    #[serde(flatten)]
    pub tally: Tally,
    /// Median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answers, in milliseconds.
    pub p99_ms: f64,
    /// Share of the service's answers over the last minute that was due to the member, 0 to 1.
    pub share_due: f64,
    /// Share of the service's answers over the last minute that the member received, 0 to 1.
    pub share_received: f64,
    /// Counts of each instance, keyed by `NAME#INCARNATION`.
    pub instances: BTreeMap<SmolStr, Tally>,
}

/// Reply to `GET /fairness`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fairness {
    /// Statistics by service, rank and member.
    pub services: BTreeMap<SmolStr, BTreeMap<SmolStr, BTreeMap<SmolStr, MemberStatistics>>>,
}

impl Fairness {
    /// Creates the reply from the merged counts and the shares over the last minute.
    pub fn new(aggregate: &Aggregate, shares: &Shares) -> Self {
        let mut fairness = Self::default();
        for key in aggregate.keys() {
            let tally = aggregate.total(key);
            let instances = aggregate.instances(key).map(|(name, incarnation, tally)| {
                (format_smolstr!("{name}#{incarnation}"), *tally)
            });
            let statistics = MemberStatistics {
                tally,
                p50_ms: aggregate.quantile(key, 0.5).as_secs_f64() * 1e3,
                p99_ms: aggregate.quantile(key, 0.99).as_secs_f64() * 1e3,
                share_due: shares.due(key),
                share_received: shares.received(key),
                instances: instances.collect(),
            };
            let ranks = fairness.services.entry(key.service.clone()).or_default();
            let members = ranks.entry(<&str>::from(key.rank).into()).or_default();
            members.insert(key.member.clone(), statistics);
        }
        fairness
    }

    /// Returns the statistics of a member at a service and rank.
    pub fn statistics(&self, service: &str, rank: &str, member: &str) -> Option<&MemberStatistics> {
        self.services.get(service)?.get(rank)?.get(member)
    }
}
