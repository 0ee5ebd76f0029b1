//! Sends a claimed request to one leaf, and encodes its answer for the record of the claim.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_backend::Category;
use jaycrank_backend::Plan;
use jaycrank_caller::Answer;
use jaycrank_caller::Query;
use jaycrank_caller::Refusal;
use jaycrank_caller::wire::GroupResult;
use jaycrank_caller::wire::RunningTally;
use jaycrank_claim::Runner;
use jaycrank_claim::Submission;
use jaycrank_policy::Coverage;
use jaycrank_policy::quarantine;
use jaycrank_policy::rendezvous;
use jaycrank_policy::snapshot::Group;
use jaycrank_settings::Rank;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::query;
use crate::shared::Shared;

/// Answer of a leaf as it is recorded with the claim.
#[derive(Serialize, Deserialize)]
struct RecordedAnswer {
    snapshot: u64,
    group: Group,
    body: Box<RawValue>,
}

/// Runner that sends a claimed request to one leaf.
pub struct Dispatch {
    shared: Arc<Shared>,
    service: SmolStr,
    rank: Rank,
    key: SmolStr,
    deadline: Instant,
}

impl Dispatch {
    /// Creates the dispatch of a query that must end by `deadline`. The key of the query, or else
    /// its request id, selects the group.
    pub fn new(shared: Arc<Shared>, query: &Query, deadline: Instant) -> Self {
        let key = query.key.clone().or_else(|| query.request_id.clone()).unwrap_or_default();
        let rank = query.rank.parse().unwrap_or(Rank::Least);
        Self { shared, service: query.service.clone(), rank, key, deadline }
    }

    /// Returns the group that the key belongs to in the newest version of the shard map.
    fn group(&self) -> Option<Group> {
        let map = self.shared.partition_map(&self.service)?;
        let (_, groups) = map.versions().last_key_value()?;
        rendezvous::owner(&self.key, groups.keys())
    }
}

#[async_trait]
impl Runner for Dispatch {
    async fn run(&self, submission: &Submission) -> jaycrank_claim::Outcome {
        let Some(group) = self.group() else {
            return jaycrank_claim::Outcome::NotSent("the service has no partition map".into());
        };
        let plan = Plan {
            service: self.service.clone(),
            group: Some(group.clone()),
            body: submission.payload().clone(),
            deadline: self.deadline.into_std(),
            rank: self.rank,
            within_floor: true,
            fingerprint: quarantine::fingerprint(&self.service, submission.payload()),
            hedge: false,
            retry_broken: false,
        };
        match self.shared.fleet().send_once(&plan, submission.attempt_id()).await {
            Ok(reply) => encode_answer(group, reply),
            Err(error) if error.category() == Category::NotRun => {
                jaycrank_claim::Outcome::NotSent(format_smolstr!("{error}"))
            }
            Err(error) => jaycrank_claim::Outcome::Unknown(format_smolstr!("{error}")),
        }
    }
}

/// Encodes the reply of a leaf as the outcome to record.
fn encode_answer(group: Group, reply: jaycrank_backend::wire::Reply) -> jaycrank_claim::Outcome {
    let recorded = RecordedAnswer {
        snapshot: reply.snapshot.unwrap_or_default(),
        group,
        body: query::to_raw_json(reply.body),
    };
    match serde_json::to_vec(&recorded) {
        Ok(bytes) => jaycrank_claim::Outcome::Done(bytes.into()),
        Err(error) => jaycrank_claim::Outcome::Unknown(format_smolstr!("{error}")),
    }
}

/// Decodes a recorded answer. The instance that received the query sets its tally.
///
/// # Errors
///
/// A refusal of category `may have run` if the record can't be decoded.
pub fn decode_answer(answer: &Bytes) -> Result<Answer, Refusal> {
    let recorded: RecordedAnswer = serde_json::from_slice(answer).map_err(|error| {
        let message = format!("the recorded answer can't be decoded: {error}");
        Refusal::may_have_run(500, "record", message)
    })?;
    let outcomes = BTreeMap::from([(recorded.group.clone(), None)]);
    Ok(Answer {
        snapshot: recorded.snapshot,
        complete: true,
        coverage: Coverage::new(&outcomes),
        outcome: Some("done".into()),
        results: vec![GroupResult { group: recorded.group, body: recorded.body }],
        tally: RunningTally::default(),
    })
}
