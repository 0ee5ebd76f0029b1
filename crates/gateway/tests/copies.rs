//! Tests of second copies of an answer that arrive on a connection that is in use again.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::call;
use common::config;
use common::entry_at;
use common::get;
use common::options;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_gateway::peer;
use jaycrank_gateway::peer::Poll;
use jaycrank_gateway::peer::Update;
use jaycrank_gateway::peer::Wanted;
use jaycrank_gateway::topology::Distance;
use jaycrank_gateway::traffic::Traffic;
use jaycrank_http::Client;
use jaycrank_standin::Catalog;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time in which bytes of a server arrive before its next ones.
const ARRIVAL: Duration = Duration::from_millis(20);

/// When the second copy of the answer to the request before is sent.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// Before the next request.
    Idle,
    /// When the next request has arrived, before its own answer.
    InUse,
    /// Half before the next request, half when it has arrived.
    Split,
}

const MOMENTS: [Moment; 3] = [Moment::Idle, Moment::InUse, Moment::Split];

/// Starts a server that sends the answer to each request once more, and returns its address. `answer`
/// returns the bytes of an answer and those of its copy, from a request and its number.
async fn repeating_server(
    moment: Moment,
    answer: impl Fn(&str, usize) -> (Vec<u8>, Vec<u8>) + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            number += 100;
            tokio::spawn(repeat(stream, moment, answer.clone(), number));
        }
    });
    address
}

async fn repeat(
    mut stream: TcpStream,
    moment: Moment,
    answer: impl Fn(&str, usize) -> (Vec<u8>, Vec<u8>),
    first: usize,
) {
    let mut late = Vec::new();
    for number in first.. {
        let Some(request) = read_request(&mut stream).await else { return };
        if stream.write_all(&late).await.is_err() {
            return;
        }
        if !late.is_empty() {
            sleep(ARRIVAL).await;
        }
        let (own, copy) = answer(&request, number);
        if stream.write_all(&own).await.is_err() {
            return;
        }
        let early = match moment {
            Moment::Idle => copy.len(),
            Moment::InUse => 0,
            Moment::Split => copy.len() / 2,
        };
        if early > 0 {
            sleep(ARRIVAL).await;
        }
        if stream.write_all(&copy[..early]).await.is_err() {
            return;
        }
        late = copy[early..].to_vec();
    }
}

/// Reads the head and the body of a request with a length.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").map_or(0, |text| text.parse().unwrap());
            if bytes.len() >= end + 4 + length {
                return Some(text);
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = request.lines().take_while(|line| !line.is_empty());
    let line = lines.find(|line| line.to_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim())
}

fn response(headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Guards against a caller that gets the answer to the request before it, because a leaf sent that one
/// again: with its id, with another one, or without any.
#[tokio::test]
async fn copies_of_leafs_answers_reach_no_caller() {
    for moment in MOMENTS {
        for copied_id in [Some("same"), Some("other"), None] {
            let answer = move |request: &str, number| {
                let id = header(request, "x-request-id").unwrap();
                let headers = |id: &str| format!("x-request-id: {id}\r\nx-signature: s/{id}\r\n");
                let body = format!("{id} {number}");
                let copy = match copied_id {
                    Some("same") => headers(id),
                    Some(other) => headers(other),
                    None => format!("x-signature: s/{id}\r\n"),
                };
                (response(&headers(id), body.as_bytes()), response(&copy, body.as_bytes()))
            };
            let address = repeating_server(moment, answer).await;
            let catalog = Arc::new(Catalog::new());
            catalog.put_config(config(1, "db", &[]));
            catalog.put_leaf(entry_at("repeating", "db", address));
            let instance = Instance::start(options(None, Vec::new()), catalog).await.unwrap();
            let gateway = instance.gateway().clone();
            common::eventually("leafs", || gateway.directory().is_complete()).await;
            for index in 0..6 {
                let id = format!("r{index}");
                let reply = call(instance.address(), &get("/read/", &id)).await;
                let body = String::from_utf8_lossy(&reply.body).into_owned();
                let is_own = body.starts_with(&format!("{id} "));
                assert!(
                    reply.status != 200 || is_own,
                    "{moment:?} {copied_id:?}: {id} got {body:?}"
                );
            }
        }
    }
}

/// Guards against an instance that takes the reply to an earlier poll for the reply to the next one: it
/// would miss changes, or ask for what it has.
#[tokio::test]
async fn copies_of_replies_of_peers_are_not_taken_for_others() {
    for moment in MOMENTS {
        let answer = |request: &str, number: usize| {
            let update = Update {
                current: true,
                config: None,
                leafs: None,
                revision: number as u64,
                peers: Vec::new(),
            };
            let id = header(request, "x-call-id").map(|id| format!("x-call-id: {id}\r\n"));
            let body = rmp_serde::to_vec(&update).unwrap();
            let bytes = response(&id.unwrap_or_default(), &body);
            (bytes.clone(), bytes)
        };
        let client = Client::new(repeating_server(moment, answer).await);
        let traffic = Traffic::default();
        let poll = Poll {
            from: "127.0.0.1:1".parse().unwrap(),
            failure_domain: "a".into(),
            version: Wanted::Nothing,
            revision: Wanted::Nothing,
            wait_ms: 0,
            peers: false,
        };
        let mut known = Vec::new();
        for _ in 0..6 {
            if let Ok(update) = peer::poll(&client, &poll, &traffic, Distance::Domain).await {
                assert!(!known.contains(&update.revision), "{moment:?}: {known:?}");
                known.push(update.revision);
            }
        }
        assert!(!known.is_empty(), "{moment:?}: no poll was answered");
    }
}
