//! Invalid, oversized, truncated and slow requests over loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bolero::generator::bolero_generator::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use jaycrank_caller::Answer;
use jaycrank_caller::Client;
use jaycrank_caller::Handler;
use jaycrank_caller::Query;
use jaycrank_caller::Refusal;
use jaycrank_caller::wire::Fairness;
use jaycrank_caller::wire::RunningTally;
use jaycrank_http::Bounds;
use jaycrank_http::Server;
use jaycrank_policy::Coverage;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const BODY: &str = r#"{"service":"reel-history","rank":"middle","deadline_ms":100,"body":1}"#;
const BODY_MAX_BYTES: usize = 4_096;
const TOKEN_HEADER: &str = "authorization: Bearer t\r\n";

/// Handler that accepts any valid query of the service `reel-history`.
struct StubHandler;

#[async_trait]
impl Handler for StubHandler {
    fn member(&self, token: &str) -> Option<SmolStr> {
        (token == "t").then(|| "tunis".into())
    }

    async fn query(&self, _member: SmolStr, query: Query) -> Result<Answer, Refusal> {
        query.parse_rank()?;
        query.deadline(Duration::from_secs(30))?;
        if query.service != "reel-history" {
            return Err(Refusal::invalid(404, "unknown-service", "there is no such service"));
        }
        Ok(Answer {
            snapshot: 1,
            complete: true,
            coverage: Coverage::default(),
            outcome: None,
            results: Vec::new(),
            tally: RunningTally::default(),
        })
    }

    async fn fairness(&self) -> Fairness {
        Fairness::default()
    }
}

async fn start_server(receive_timeout: Duration) -> Server {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let bounds = Bounds { body_bytes: BODY_MAX_BYTES, receive_timeout, ..Bounds::default() };
    jaycrank_caller::server::bind(address, Arc::new(StubHandler), bounds).await.unwrap()
}

/// Sends `request`, shuts down the write half if `close` is set, and returns status line and body.
async fn send_raw(server: &Server, request: &str, close: bool) -> String {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    if close {
        stream.shutdown().await.unwrap();
    }
    let mut reply = Vec::new();
    let mut chunk = [0; 1_024];
    // The reply ends with a JSON body, or without one if the connection is closed or fails.
    while !reply.ends_with(b"}") {
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(bytes) => reply.extend_from_slice(&chunk[..bytes]),
        }
    }
    let reply = String::from_utf8(reply).unwrap();
    let (head, body) = reply.split_once("\r\n\r\n").unwrap_or((&reply, ""));
    format!("{}\n{body}", head.lines().next().unwrap_or("closed"))
}

fn request(headers: &str, body: &str) -> String {
    let bytes = body.len();
    format!("POST /query HTTP/1.1\r\nhost: a\r\n{headers}content-length: {bytes}\r\n\r\n{body}")
}

async fn assert_serves_queries(server: &Server) {
    let query = Query::decode(BODY.as_bytes()).unwrap();
    let answer = Client::new(server.address(), "t").query(&query).await.unwrap();
    assert!(answer.complete);
}

/// Guards against invalid requests that reach the handler, that get an unclear message or that stop
/// the server.
#[tokio::test]
async fn invalid_requests_are_refused_with_one_sentence() {
    let server = start_server(Duration::from_secs(10)).await;
    let with = |from: &str, to: &str| request(TOKEN_HEADER, &BODY.replace(from, to));
    let chunk = "x".repeat(BODY_MAX_BYTES + 1);
    let bytes = chunk.len();
    let chunked = format!(
        "POST /query HTTP/1.1\r\nhost: a\r\n{TOKEN_HEADER}transfer-encoding: chunked\r\n\r\n{bytes:x}\r\n{chunk}\r\n0\r\n\r\n"
    );
    let cases = [
        ("declared_too_large", request(TOKEN_HEADER, &"x".repeat(BODY_MAX_BYTES + 1))),
        ("chunked_too_large", chunked),
        ("not_json", request(TOKEN_HEADER, "{]")),
        ("empty", request(TOKEN_HEADER, "")),
        ("not_utf8_escape", with("middle", "\\ud800")),
        ("missing_field", with(r#""rank":"middle","#, "")),
        ("unknown_field", with("\"body\"", "\"color\":1,\"body\"")),
        ("repeated_field", with("\"body\"", "\"rank\":\"least\",\"body\"")),
        ("unknown_rank", with("middle", "top")),
        ("unknown_service", with("reel-history", "attic")),
        ("deadline_0", with("100", "0")),
        ("deadline_negative", with("100", "-1")),
        ("deadline_above_max", with("100", "30001")),
        ("attempt_0", with("\"body\"", "\"attempt\":0,\"body\"")),
        ("request_id_empty", with("\"body\"", "\"request_id\":\"\",\"body\"")),
        ("no_token", request("", BODY)),
        ("wrong_token", request("authorization: Bearer u\r\n", BODY)),
        ("other_scheme", request("authorization: Basic t\r\n", BODY)),
        ("two_tokens", request(&format!("{TOKEN_HEADER}{TOKEN_HEADER}"), BODY)),
        ("unknown_route", request(TOKEN_HEADER, BODY).replace("/query", "/queries")),
        ("wrong_method", request(TOKEN_HEADER, BODY).replace("POST", "PUT")),
    ];
    let mut replies = Vec::new();
    for (name, request) in cases {
        let reply = send_raw(&server, &request, false).await;
        replies.push(format!("{name}: {reply}"));
        assert_serves_queries(&server).await;
    }
    insta::assert_snapshot!("wrong_requests", replies.join("\n"));
    server.abort().await;
}

/// Guards against a truncated body that is treated as complete. The client shuts down its write
/// half 5 bytes before the end.
#[tokio::test]
async fn truncated_body_is_refused() {
    let server = start_server(Duration::from_secs(10)).await;
    let whole = request(TOKEN_HEADER, BODY);
    let reply = send_raw(&server, &whole[..whole.len() - 5], true).await;
    assert!(!reply.contains("200 OK"), "{reply}");
    insta::assert_snapshot!("cut_off_body", reply);
    assert_serves_queries(&server).await;
    server.abort().await;
}

/// Guards against a client that occupies a connection without completing its request, in the body
/// or in the headers.
#[tokio::test]
async fn slow_request_times_out() {
    let server = start_server(Duration::from_millis(200)).await;
    let whole = request(TOKEN_HEADER, BODY);
    let reply = send_raw(&server, &whole[..whole.len() - 5], false).await;
    insta::assert_snapshot!("slow_body", reply);
    let reply = send_raw(&server, "POST /query HTTP/1.1\r\nhost", false).await;
    assert!(!reply.contains("200 OK"), "{reply}");
    assert_serves_queries(&server).await;
    server.abort().await;
}

const SEED: u64 = 13;
const INPUTS: usize = 20_000;

/// Checks that a body that is accepted is in range and stays the same when encoded again.
fn check_decoding(body: &[u8]) {
    if let Ok(query) = Query::decode(body) {
        assert!(query.deadline_ms > 0 && query.attempt > 0);
        let encoded = serde_json::to_vec(&query).unwrap();
        let again = Query::decode(&encoded).unwrap();
        assert_eq!(serde_json::to_vec(&again).unwrap(), encoded);
    }
}

/// Guards against input that makes the decoder panic, that is accepted although out of range, or
/// that changes when it is encoded again.
///
/// The inputs are generated from seeded random bytes, because the inputs of bolero's own test
/// engine differ from run to run.
#[test]
fn arbitrary_queries_are_decoded_or_refused() {
    let mut random = StdRng::seed_from_u64(SEED);
    let options = Options::default();
    let mut accepted = 0;
    for _ in 0..INPUTS {
        let mut bytes = [0; 512];
        random.fill(&mut bytes[..]);
        let mut driver = ByteSliceDriver::new(&bytes, &options);
        if let Some(input) = Vec::<u8>::generate(&mut driver) {
            check_decoding(&input);
        }
        let Some((service, deadline, attempt, id, changes)) =
            <(String, u64, u32, Option<String>, Vec<(u8, u8)>)>::generate(&mut driver)
        else {
            continue;
        };
        let query = serde_json::json!({
            "service": service, "rank": "least", "deadline_ms": deadline, "attempt": attempt,
            "request_id": id, "body": [service],
        });
        let mut body = serde_json::to_vec(&query).unwrap();
        accepted += usize::from(Query::decode(&body).is_ok());
        check_decoding(&body);
        for (index, value) in changes.iter().take(3) {
            let index = usize::from(*index) % body.len();
            body[index] = *value;
        }
        check_decoding(&body);
    }
    assert!(accepted > INPUTS / 100, "only {accepted} inputs reached the checks of values");
}
