//! Routes, authentication and refusals of the administration API.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use jaycrank_http::Bounds;
use jaycrank_http::Server;
use jaycrank_operator::Account;
use jaycrank_operator::Client;
use jaycrank_operator::Handler;
use jaycrank_operator::Refusal;
use jaycrank_operator::client::Error;
use jaycrank_operator::server;
use jaycrank_operator::wire::Category;
use jaycrank_operator::wire::EditReply;
use jaycrank_operator::wire::EditRequest;
use jaycrank_operator::wire::Log;
use jaycrank_operator::wire::LogEntry;
use jaycrank_operator::wire::Status;
use jaycrank_operator::wire::ValidationReply;
use jaycrank_settings::Branch;
use jaycrank_settings::Config;
use jaycrank_settings::Conflict;
use jaycrank_settings::Edit;
use jaycrank_settings::Tree;
use serde_json::Value;
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Handler with fixed replies.
struct StubHandler;

#[async_trait]
impl Handler for StubHandler {
    fn operator(&self, token: &str) -> Option<Account> {
        let account = Account { name: "ada".into(), teams: vec!["search".into()] };
        (token == "secret").then_some(account)
    }

    fn config(&self) -> Arc<Tree> {
        Arc::new(Tree::new().with_branch("", Branch::new("search", json!({}))).with_revision(3))
    }

    async fn edit(&self, account: Account, edit: Edit) -> Result<EditReply, Refusal> {
        if edit.base == 0 {
            return Ok(EditReply { revision: 4, repeated: edit.path.is_empty() });
        }
        Err(Refusal::conflict(Conflict {
            path: edit.path,
            refused: edit.id,
            accepted: Some("edit-b".into()),
            revision: 4,
            operator: Some(account.name),
        }))
    }

    async fn log(&self) -> Result<Log, Refusal> {
        let (id, operator, path) = ("edit-b".into(), "ada".into(), "policy".into());
        Ok(Log { entries: vec![LogEntry { revision: 4, id, operator, path, unix_s: 9 }] })
    }

    fn validate(&self, tree: &Tree) -> Result<ValidationReply, Refusal> {
        match Config::from_tree(tree) {
            Ok(_) => Ok(ValidationReply { branches: tree.branches().len() }),
            Err(error) => Err(Refusal::invalid(422, "not-accepted", error.to_string())),
        }
    }

    fn status(&self) -> Status {
        Status { name: "n0".into(), ..Status::default() }
    }

    async fn dump(&self) -> Value {
        json!({ "a": 1 })
    }

    async fn fairness(&self) -> Value {
        json!({ "services": {} })
    }

    fn metrics(&self) -> String {
        "a 1\n".into()
    }

    fn is_healthy(&self) -> bool {
        true
    }

    fn is_ready(&self) -> bool {
        false
    }
}

async fn start_server() -> Server {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let bounds = Bounds { body_bytes: 1_000, ..Bounds::default() };
    server::bind(any_port, Arc::new(StubHandler), bounds).await.unwrap()
}

fn edit_request(base: u64) -> EditRequest {
    EditRequest { id: "edit-a".into(), base, owner: None, value: Some(json!({})) }
}

/// Guards against a client and a server that differ in a path or in the form of a message.
#[tokio::test]
async fn client_reaches_every_route() {
    let server = start_server().await;
    let client = Client::new(server.address(), "secret");
    assert_eq!(client.config().await.unwrap().revision(), 3);
    let accepted = |repeated| EditReply { revision: 4, repeated };
    assert_eq!(client.put("services/a", &edit_request(0)).await, Ok(accepted(false)));
    assert_eq!(client.put("config", &edit_request(0)).await, Ok(accepted(false)));
    assert_eq!(client.put("", &edit_request(0)).await, Ok(accepted(true)));
    assert_eq!(client.log().await.unwrap().entries[0].id, "edit-b");
    assert_eq!(client.validate(&StubHandler.config()).await, Ok(ValidationReply { branches: 1 }));
    assert_eq!(client.status().await.unwrap().name, "n0");
    assert_eq!(client.dump().await, Ok(json!({ "a": 1 })));
    assert_eq!(client.fairness().await, Ok(json!({ "services": {} })));
}

/// Guards against a client that drops the two edit ids of a conflict, or that reports a category
/// that is wrong about the effect of the request.
#[tokio::test]
async fn client_returns_refusals_with_category_and_conflict() {
    let server = start_server().await;
    let client = Client::new(server.address(), "secret");
    let Err(Error::Refused(refusal)) = client.put("policy", &edit_request(2)).await else {
        panic!()
    };
    assert_eq!((refusal.status, refusal.category), (409, Category::NotRun));
    let conflict = refusal.conflict.unwrap();
    assert_eq!(
        (conflict.refused.as_str(), conflict.accepted.as_deref()),
        ("edit-a", Some("edit-b"))
    );
    let wrong = Client::new(server.address(), "other").status().await.unwrap_err();
    assert_eq!(wrong.to_string(), "invalid: the token belongs to no operator (wrong-token)");
    let tree = Tree::new().with_branch("policy", Branch::new("a", json!({ "hedge_budget": 2 })));
    let invalid = client.validate(&tree).await.unwrap_err();
    assert_eq!(invalid.category(), Category::Invalid, "{invalid}");
    let unused_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let unsent =
        Client::new(unused_address, "secret").put("policy", &edit_request(0)).await.unwrap_err();
    assert_eq!(unsent.category(), Category::NotRun);
}

/// Guards against routes that need no token but should, invalid input that gets a 5xx status, and
/// refusals whose message does not name the cause.
#[tokio::test]
async fn invalid_requests_are_refused_with_a_clear_message() {
    let server = start_server().await;
    let http = jaycrank_http::Client::new(server.address());
    let large = "x".repeat(2_000);
    let cases = [
        ("GET", "/healthz", "", ""),
        ("GET", "/readyz", "", ""),
        ("GET", "/metrics", "", ""),
        ("POST", "/metrics", "secret", ""),
        ("GET", "/config", "", ""),
        ("GET", "/dump", "wrong", ""),
        ("GET", "/", "secret", ""),
        ("DELETE", "/config/policy", "secret", ""),
        ("PUT", "/config/policy", "secret", "{"),
        ("PUT", "/config/policy", "secret", "{\"id\":\"a\",\"base\":-1,\"value\":1}"),
        ("PUT", "/config/policy", "secret", "{\"id\":\"a\",\"base\":0,\"value\":1,\"vlaue\":1}"),
        ("PUT", "/config/policy", "secret", "{\"id\":\"a\",\"base\":0}"),
        ("PUT", "/config/policy", "secret", &large),
        ("POST", "/config/validate", "secret", "[]"),
    ];
    let mut lines = Vec::new();
    for (method, path, token, body) in cases {
        let mut request = Request::builder().method(method).uri(path).header("host", "jaycrank");
        if !token.is_empty() {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).unwrap();
        let reply = http.call(request, CALL_TIMEOUT).await.unwrap();
        let text = String::from_utf8_lossy(reply.body());
        lines.push(format!("{method} {path}: {} {}", reply.status().as_u16(), text.trim_end()));
    }
    let request = Request::get("/status").header("host", "jaycrank");
    let request = request.header("authorization", "Bearer a").header("authorization", "Bearer b");
    let reply = http.call(request.body(Full::default()).unwrap(), CALL_TIMEOUT).await.unwrap();
    lines.push(format!(
        "twice: {} {}",
        reply.status().as_u16(),
        String::from_utf8_lossy(reply.body())
    ));
    insta::assert_snapshot!(lines.join("\n"));
}
