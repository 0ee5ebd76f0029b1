//! Tests of answers that break off halfway, of leafs and of other instances.

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

/// How an answer breaks off.
#[derive(Clone, Copy, Debug)]
enum Break {
    /// Within a body with a length.
    Length,
    /// Before the last chunk.
    LastChunk,
    /// Within a chunk.
    Chunk,
    /// Within the size of a chunk.
    ChunkSize,
    /// Within a body that ends with its connection, which is reset.
    Reset,
    /// Within the head.
    Head,
}

const BREAKS: [Break; 6] =
    [Break::Length, Break::LastChunk, Break::Chunk, Break::ChunkSize, Break::Reset, Break::Head];

/// Returns the bytes of an answer up to where it breaks off.
fn broken_answer(headers: &str, body: &[u8], manner: Break) -> Vec<u8> {
    let half = &body[..body.len() / 2];
    let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n").into_bytes();
    let chunked = head("transfer-encoding: chunked\r\n");
    let size = format!("{:x}\r\n", body.len()).into_bytes();
    match manner {
        Break::Length => [&head(&format!("content-length: {}\r\n", body.len())), half].concat(),
        Break::LastChunk => [&chunked, &size, body, b"\r\n"].concat(),
        Break::Chunk => [&chunked, &size, half].concat(),
        Break::ChunkSize => [&chunked, &size[..1]].concat(),
        Break::Reset => [&head("connection: close\r\n"), half].concat(),
        Break::Head => b"HTTP/1.1 200 OK\r\nx-signature: s".to_vec(),
    }
}

/// Starts a server whose answers to all requests break off, and returns its address.
async fn breaking_server(headers: String, body: Vec<u8>, manner: Break) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = broken_answer(&headers, &body, manner);
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let _ = stream.read(&mut buffer).await;
                let _ = stream.write_all(&answer).await;
                if matches!(manner, Break::Reset) {
                    // Half of the body arrives before the reset.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    stream.set_zero_linger().unwrap();
                }
            });
        }
    });
    address
}

/// Guards against an answer of a leaf that breaks off and reaches the caller as a success, whatever
/// marks its end.
#[tokio::test]
async fn broken_answers_of_leafs_are_no_success() {
    for manner in BREAKS {
        for path in ["/read/", "/write/"] {
            let headers = "x-request-id: r1\r\nx-signature: s/r1\r\n".to_owned();
            let address = breaking_server(headers, vec![b'a'; 64], manner).await;
            let catalog = Arc::new(Catalog::new());
            catalog.put_config(config(1, "db", &[]));
            catalog.put_leaf(entry_at("breaking", "db", address));
            let instance = Instance::start(options(None, Vec::new()), catalog).await.unwrap();
            let gateway = instance.gateway().clone();
            common::eventually("leafs", || gateway.directory().is_complete()).await;
            let reply = call(instance.address(), &get(path, "r1")).await;
            assert_eq!(reply.status, 502, "{manner:?} {path}");
        }
    }
}

/// Guards against half a reply of another instance that is applied: half a list of leafs would remove
/// the others.
#[tokio::test]
async fn broken_replies_of_peers_are_not_applied() {
    let update =
        Update { current: true, config: None, leafs: None, revision: 7, peers: Vec::new() };
    let body = rmp_serde::to_vec(&update).unwrap();
    let poll = Poll {
        from: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        version: Wanted::Nothing,
        revision: Wanted::All,
        wait_ms: 0,
        peers: false,
    };
    for manner in BREAKS {
        let client = Client::new(breaking_server(String::new(), body.clone(), manner).await);
        let reply = peer::poll(&client, &poll, &Traffic::default(), Distance::Domain).await;
        assert!(reply.is_err(), "{manner:?}: {reply:?}");
    }
}
