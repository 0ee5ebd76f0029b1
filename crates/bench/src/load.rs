//! Open-loop load: arrivals are drawn in advance and never wait for answers of earlier calls.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use jaycrank::local::LocalTier;
use jaycrank_caller::Answer;
use jaycrank_caller::Client;
use jaycrank_caller::Query;
use jaycrank_caller::client::Error;
use jaycrank_caller::wire::Category;
use jaycrank_settings::Rank;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::record::AnswerError;
use crate::record::Metadata;
use crate::record::Record;
use crate::record::Sample;
use crate::record::Status;

/// Round trip between a caller and an instance: 3 ms one way in the Lakeshore deployment. A caller
/// that retries without backoff still waits this long.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(6);

/// A stream of queries with Poisson arrivals.
#[derive(Clone, Debug)]
pub struct Source {
    /// Service to query.
    pub service: SmolStr,
    /// Rank of the queries.
    pub rank: Rank,
    /// Member that sends the queries.
    pub member: SmolStr,
    /// Numbers of the instances; each query goes to one of them at random.
    pub instances: Vec<usize>,
    /// Queries per second.
    pub rate: f64,
    /// Deadline of each query.
    pub deadline: Duration,
    /// Whether a refused query is retried without backoff until its deadline.
    pub retries_refusals: bool,
    /// Whether a query whose connection could not be opened is sent to the next instance, as a load
    /// balancer does.
    pub fails_over: bool,
    /// Text in the body that leafs can be made to react to.
    pub mark: SmolStr,
    /// Whether each body holds the number of its call; otherwise all bodies are equal.
    pub unique_bodies: bool,
    /// Whether the queries are non-idempotent requests, which have a request ID.
    pub has_request_ids: bool,
}

/// A drawn arrival of a query.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    source: usize,
    instance: usize,
}

/// Draws the Poisson arrivals of all sources over `time`, in order of time.
fn draw_arrivals(sources: &[Source], time: Duration, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (number, source) in sources.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) + number as u64);
        let mut at = 0.0;
        while source.rate > 0.0 && !source.instances.is_empty() {
            at += -(1.0 - random.random::<f64>()).ln() / source.rate;
            if at >= time.as_secs_f64() {
                break;
            }
            let instance = source.instances[random.random_range(0..source.instances.len())];
            arrivals.push(Arrival { at: Duration::from_secs_f64(at), source: number, instance });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Sends the queries of all sources over `time` and waits for the last answer.
///
/// The latency of a call counts from its drawn arrival, so it includes a late start.
///
/// # Errors
///
/// Returns an error if the member of a source has no token.
pub async fn run(
    local: &LocalTier,
    sources: &[Source],
    time: Duration,
    seed: u64,
) -> io::Result<Record> {
    let mut clients = BTreeMap::new();
    for source in sources {
        let token = local
            .token(&source.member)
            .ok_or_else(|| io::Error::other("the member of a source has no token"))?;
        for instance in &source.instances {
            let address = local.caller_addresses()[*instance];
            clients
                .entry((*instance, source.member.clone()))
                .or_insert_with(|| Arc::new(Client::new(address, token)));
        }
    }
    let samples = Arc::new(Mutex::new(Vec::new()));
    let mut calls = JoinSet::new();
    let mut start_delays = Vec::new();
    let start = Instant::now();
    for (number, arrival) in draw_arrivals(sources, time, seed).into_iter().enumerate() {
        sleep_until(start + arrival.at).await;
        start_delays.push(start.elapsed().saturating_sub(arrival.at));
        let source = sources[arrival.source].clone();
        let client = clients[&(arrival.instance, source.member.clone())].clone();
        let next = source.instances.iter().position(|instance| *instance == arrival.instance);
        let next = next.map_or(0, |position| (position + 1) % source.instances.len());
        let next = clients[&(source.instances[next], source.member.clone())].clone();
        let samples = samples.clone();
        calls.spawn(async move {
            let sample = send([&client, &next], &source, arrival, number, start).await;
            samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let samples = std::mem::take(&mut *samples.lock().unwrap_or_else(PoisonError::into_inner));
    Ok(Record::new(samples, start_delays))
}

/// Sends one query, with the retries that its source allows, and checks the answer.
async fn send(
    [mut client, next]: [&Client; 2],
    source: &Source,
    arrival: Arrival,
    number: usize,
    start: Instant,
) -> Sample {
    let body_number = if source.unique_bodies { number } else { 0 };
    let echo = format!(r#"{{"n":{body_number},"m":"{}","mark":"{}"}}"#, source.member, source.mark);
    let body = RawValue::from_string(echo.clone()).unwrap_or_else(|_| RawValue::NULL.to_owned());
    let mut query = Query {
        service: source.service.clone(),
        rank: <&'static str>::from(source.rank).into(),
        deadline_ms: source.deadline.as_millis() as u64,
        body,
        request_id: source.has_request_ids.then(|| format_smolstr!("request-{number}")),
        attempt: 1,
        expires_unix_ms: None,
        key: None,
    };
    let end = start + arrival.at + source.deadline;
    let mut attempts = 0;
    let (status, answer_error, answer) = loop {
        attempts += 1;
        match client.query(&query).await {
            Ok(answer) => {
                let status = if answer.complete { Status::Complete } else { Status::Partial };
                let groups = answer.coverage.covered.len() + answer.coverage.missing.len();
                let answer_error = find_answer_error(&answer, &echo);
                let metadata = Metadata { snapshot: answer.snapshot, groups, tally: answer.tally };
                break (status, answer_error, Some(metadata));
            }
            Err(error) => {
                let remaining = end.saturating_duration_since(Instant::now());
                if source.fails_over && attempts == 1 && matches!(&error, Error::NotSent(_)) {
                    client = next;
                    query.deadline_ms = remaining.as_millis().max(1) as u64;
                    continue;
                }
                let is_refusal = matches!(&error, Error::Refused(_));
                if source.retries_refusals && is_refusal && remaining > CALLER_ROUND_TRIP * 2 {
                    sleep(CALLER_ROUND_TRIP).await;
                    let remaining = end.saturating_duration_since(Instant::now());
                    query.deadline_ms = remaining.as_millis() as u64;
                    continue;
                }
                break (status(&error), None, None);
            }
        }
    };
    let latency = start.elapsed().saturating_sub(arrival.at);
    let (source, instance) = (arrival.source, arrival.instance);
    Sample {
        arrival: arrival.at,
        latency,
        status,
        answer_error,
        source,
        instance,
        attempts,
        answer,
        number,
    }
}

fn status(error: &Error) -> Status {
    match error {
        Error::Refused(_) => match error.category() {
            Category::NotRun => Status::NotRun,
            Category::MayHaveRun => Status::MayHaveRun,
            Category::Invalid => Status::Invalid,
        },
        Error::NotSent(_) => Status::NotSent,
        Error::Lost(_) => Status::Lost,
    }
}

/// Returns an error unless all results belong to this request and come from one snapshot, and the
/// coverage names exactly their groups.
fn find_answer_error(answer: &Answer, echo: &str) -> Option<AnswerError> {
    let echo = format!("\"echo\":{echo}");
    let snapshot = format!("\"snapshot\":{},", answer.snapshot);
    for part in &answer.results {
        let group = format!("\"group\":\"{}\"", part.group);
        if !part.body.get().contains(&echo) || !part.body.get().contains(&group) {
            return Some(AnswerError::ForeignResult);
        }
        if !part.body.get().contains(&snapshot) {
            return Some(AnswerError::SnapshotMismatch);
        }
    }
    let covered = answer.results.iter().map(|part| &part.group);
    let is_accurate = covered.eq(answer.coverage.covered.iter())
        && answer.complete == answer.coverage.missing.is_empty();
    if is_accurate { None } else { Some(AnswerError::CoverageMismatch) }
}
