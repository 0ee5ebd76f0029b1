//! Helpers for tests that run a small tier on loopback.

// Each test binary uses some of the helpers.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use jaycrank::local::LocalTier;
use jaycrank::local::TierOptions;
use jaycrank_caller::Client;
use jaycrank_caller::Query;
use jaycrank_caller::client::Error;
use jaycrank_caller::wire::Category;
use jaycrank_operator::Client as Operator;
use jaycrank_operator::wire::EditRequest;
use jaycrank_standin::deployment::Shape;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

pub const SEED: u64 = 41;

/// Longest wait for a condition or a reply.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Starts a tier with one service.
pub async fn start(instances: usize, service: &str) -> LocalTier {
    let tier_options = TierOptions {
        instances,
        seed: SEED,
        services: Shape::find(service).into_iter().collect(),
        grace: Duration::from_secs(10),
        ..TierOptions::default()
    };
    LocalTier::start(&tier_options).await.unwrap()
}

/// Returns an idempotent query to all groups.
pub fn query(service: &str, body: &str) -> Query {
    Query {
        service: service.into(),
        rank: "urgent".into(),
        deadline_ms: 20_000,
        body: RawValue::from_string(body.into()).unwrap(),
        request_id: None,
        attempt: 1,
        expires_unix_ms: None,
        key: None,
    }
}

/// Returns a non-idempotent request.
///
/// It states its expiry. Otherwise an owner that does not know the id could not tell a higher
/// attempt from a retry of an expired request.
pub fn non_idempotent(service: &str, id: &str, attempt: u32) -> Query {
    static EXPIRES: OnceLock<u64> = OnceLock::new();
    let expires = *EXPIRES.get_or_init(|| jaycrank::shared::unix_ms() + 3_600_000);
    let body = format!("{{\"id\":\"{id}\"}}");
    Query {
        request_id: Some(id.into()),
        attempt,
        expires_unix_ms: Some(expires),
        ..query(service, &body)
    }
}

/// Returns a client of the first member at an instance.
pub fn caller(local: &LocalTier, instance: usize) -> Client {
    Client::new(local.caller_addresses()[instance], local.member_token())
}

/// Returns an operator's client at an instance.
pub fn operator(local: &LocalTier, instance: usize) -> Operator {
    Operator::new(local.operator_addresses()[instance], local.operator_token())
}

/// Returns an edit that sets the weight of a new member.
pub fn edit_request(id: &str, weight: f64) -> EditRequest {
    let value = Some(json!({ "weight": weight, "tokens": [] }));
    EditRequest { id: id.into(), base: 0, owner: Some("platform".into()), value }
}

/// Returns the revision of the settings in force at an instance, 0 if it does not answer.
pub async fn revision(local: &LocalTier, instance: usize) -> u64 {
    operator(local, instance).status().await.map_or(0, |status| status.revision)
}

/// Waits until a condition holds, and fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, is_met: impl Fn() -> F) {
    let start = Instant::now();
    while !is_met().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not met: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Runs a test, and fails it if it does not end.
pub async fn with_timeout<T>(test: impl Future<Output = T>) -> T {
    timeout(WAIT_TIMEOUT * 2, test).await.expect("the test did not end")
}

/// Counts the runs of each request over all leafs, by body.
pub fn runs(local: &LocalTier) -> BTreeMap<Bytes, u64> {
    let mut runs = BTreeMap::new();
    for leaf in local.services().values().flat_map(|service| service.leafs()) {
        for (body, count) in leaf.runs_by_body() {
            *runs.entry(body).or_default() += count;
        }
    }
    runs
}

/// Resends a non-idempotent request with increasing attempts until it is answered.
///
/// Panics if a request that a leaf ran is refused as not run.
pub async fn resend_until_known(
    local: &LocalTier,
    client: &Client,
    service: &str,
    id: &str,
) -> String {
    let start = Instant::now();
    let mut attempt = 2;
    loop {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{id}: the outcome stayed unknown");
        let request = non_idempotent(service, id, attempt);
        match client.query(&request).await {
            Ok(answer) => return answer.results[0].body.get().to_owned(),
            Err(Error::Refused(refusal)) if refusal.category == Category::NotRun => {
                let body = Bytes::copy_from_slice(request.body.get().as_bytes());
                assert!(!runs(local).contains_key(&body), "{id}: {}", refusal.message);
            }
            Err(_) => {}
        }
        attempt += 1;
        sleep(Duration::from_millis(20)).await;
    }
}
