//! Tests of requests that are gathered from several shards.

mod common;

use std::time::Duration;

use common::call;
use common::config;
use common::get;
use common::start;
use jaycrank_standin::Server;
use jaycrank_standin::server::Reaction;

const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

fn records(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|value| [*value; 16]).collect()
}

/// Starts one server for each shard, with a record of its own and one that all shards have.
async fn shards() -> Vec<Server> {
    let mut servers = Vec::new();
    for (index, id) in ["l0", "l1", "l2"].iter().enumerate() {
        let server = Server::start(id).await.unwrap();
        let body = records(&[index as u8 + 1, 8]);
        server.set_reaction(Reaction::Answer(body, Duration::ZERO));
        servers.push(server);
    }
    servers
}

/// Guards against a merged response that lacks one of the greatest records of all shards, or that
/// lists signatures of other parts than it contains.
#[tokio::test]
async fn answers_hold_the_greatest_records_of_all_shards() {
    let servers = shards().await;
    let listed: Vec<(&Server, &str)> = servers.iter().zip(SHARDS).collect();
    let (instance, _) = start(config(1, "db", &SHARDS), &listed).await;
    let response = call(instance.address(), &get("/all/", "q")).await;
    assert_eq!((response.status, response.body), (200, records(&[8, 8])));
    assert_eq!(response.headers["x-missing-parts"], "0");
    let mut parts: Vec<&str> = response.headers["x-part-signatures"].split(", ").collect();
    parts.sort_unstable();
    assert_eq!(parts, ["l0/q", "l1/q", "l2/q"]);
}

/// Guards against a partial response that does not report the missing shard, waits for it beyond
/// the target latency, or is sent below the minimum coverage.
#[tokio::test]
async fn partial_responses_report_missing_parts_and_have_the_minimum_coverage() {
    let servers = shards().await;
    let listed: Vec<(&Server, &str)> = servers.iter().zip(SHARDS).collect();
    let mut config = config(1, "db", &SHARDS);
    config.routes[2].target_latency = Duration::from_millis(150);
    let (instance, _) = start(config, &listed).await;
    servers[2].set_reaction(Reaction::Hang);
    let response = call(instance.address(), &get("/all/", "q")).await;
    assert_eq!((response.status, response.body), (200, records(&[8, 8])));
    assert_eq!(response.headers["x-missing-parts"], "1");
    servers[1].set_reaction(Reaction::Status(500));
    let response = call(instance.address(), &get("/all/", "r")).await;
    assert_eq!(response.status, 502, "one shard of three is below 0.6");
}

/// Guards against an error response of a leaf that is merged as a part.
#[tokio::test]
async fn error_responses_are_not_merged() {
    let servers = shards().await;
    let listed: Vec<(&Server, &str)> = servers.iter().zip(SHARDS).collect();
    let (instance, _) = start(config(1, "db", &SHARDS), &listed).await;
    servers[0].set_reaction(Reaction::Status(404));
    let response = call(instance.address(), &get("/all/", "q")).await;
    assert_eq!(response.headers["x-missing-parts"], "1");
    assert!(!response.headers["x-part-signatures"].contains("l0"));
}
