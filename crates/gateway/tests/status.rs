//! Tests of leafs whose answers have a first line that is none of a final answer.

mod common;

use std::time::Duration;

use common::call;
use common::config;
use common::get;
use common::start;
use common::start_pair;
use jaycrank_standin::Server;
use jaycrank_standin::link;
use jaycrank_standin::server::Reaction;

/// First lines that are no final answer: the status is not a number from 200 to 599, or the line is
/// not one of HTTP.
const FIRST_LINES: [&str; 19] = [
    "HTTP/1.1 000 Status",
    "HTTP/1.1 000",
    "HTTP/1.1 001 Status",
    "HTTP/1.1 099 Status",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 102 Processing",
    "HTTP/1.1 199 Status",
    "HTTP/1.1 600 Status",
    "HTTP/1.1 999 Status",
    "HTTP/1.1 20 Status",
    "HTTP/1.1 2000 Status",
    "HTTP/1.1 -20 Status",
    "HTTP/1.1 2e2 Status",
    "HTTP/1.1  Status",
    "HTTP/3.1 200 Status",
    "HTTP/0.9 200 Status",
    "200 Status",
    "ICY 200 Status",
];
/// Timeout of the routes. Some of these lines may be followed by a final answer.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Guards against a caller that gets the status of such an answer, or that is told that a request was
/// not run which a leaf has run.
#[tokio::test]
async fn answers_without_a_final_status_are_not_forwarded() {
    for line in FIRST_LINES {
        let leaf = Server::start("one").await.unwrap();
        let mut config = config(1, "db", &["db"]);
        config.routes.iter_mut().for_each(|route| route.timeout = ROUTE_TIMEOUT);
        let (instance, _) = start(config, &[(&leaf, "db")]).await;
        leaf.set_reaction(Reaction::FirstLine(line));
        for path in ["/read/", "/write/", "/all/"] {
            let response = call(instance.address(), &get(path, "r")).await;
            assert!([502, 504].contains(&response.status), "{line}: {path}: {}", response.status);
            assert_ne!(response.body, b"failure", "{line}: {path}");
            assert_eq!(response.header("x-signature"), None, "{line}: {path}");
        }
    }
}

/// Guards against such an answer that makes callers of another leaf's answers wait, or that reaches
/// them on a connection that is used again.
#[tokio::test]
async fn other_leafs_answer_beside_one_without_a_final_status() {
    for line in FIRST_LINES {
        let faulty = Server::start("faulty").await.unwrap();
        let sound = Server::start("sound").await.unwrap();
        let (instance, _) = start(config(1, "db", &[]), &[(&faulty, "db"), (&sound, "db")]).await;
        faulty.set_reaction(Reaction::FirstLine(line));
        for index in 0..8 {
            let response = call(instance.address(), &get("/read/", &format!("r{index}"))).await;
            assert_eq!((response.status, response.body), (200, b"sound".to_vec()), "{line}");
        }
    }
}

/// Guards against such an answer that reaches the caller through another instance.
#[tokio::test]
async fn answers_without_a_final_status_do_not_pass_through_a_helper() {
    let leaf = Server::start("one").await.unwrap();
    let pair = start_pair(config(1, "db", &["db"]), &leaf, "db").await;
    pair[0].1.set_state(link::State::Hang);
    let mut runs_before = 0;
    for line in ["HTTP/1.1 200 Status"].into_iter().chain(FIRST_LINES) {
        let is_final = line == "HTTP/1.1 200 Status";
        leaf.set_reaction(Reaction::FirstLine(line));
        let mut statuses = Vec::new();
        for _ in 0..20 {
            let response = call(pair[0].0.address(), &get("/read/", "r")).await;
            let expected: &[u16] = if is_final { &[200, 502, 503, 504] } else { &[502, 503, 504] };
            assert!(expected.contains(&response.status), "{line}: {}", response.status);
            statuses.push(response.status);
            if leaf.executed().len() > runs_before && (!is_final || response.status == 200) {
                break;
            }
        }
        assert!(leaf.executed().len() > runs_before, "{line}: no helper ran it: {statuses:?}");
        runs_before = leaf.executed().len();
    }
}
