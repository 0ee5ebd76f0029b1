//! Test of the listener for callers under a crowd whose bodies stop short of their end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_caller::Answer;
use jaycrank_caller::Handler;
use jaycrank_caller::Query;
use jaycrank_caller::Refusal;
use jaycrank_caller::wire::Fairness;
use jaycrank_caller::wire::RunningTally;
use jaycrank_http::Bounds;
use jaycrank_policy::Coverage;
use jaycrank_standin::raw::exchange;
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Memory of an instance, in bytes.
const MEMORY_BYTES: usize = 256 << 20;
/// Clients of the crowd, whose bodies take more than that.
const CLIENTS: usize = 600;
/// Largest legal body, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Time within which a client stops sending if the listener does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Attempts of an ordinary client.
const ATTEMPTS: usize = 40;
const BODY: &str = r#"{"service":"reel-history","rank":"middle","deadline_ms":100,"body":1}"#;

/// Handler that accepts any query.
struct StubHandler;

#[async_trait]
impl Handler for StubHandler {
    fn member(&self, _token: &str) -> Option<SmolStr> {
        Some("tunis".into())
    }

    async fn query(&self, _member: SmolStr, _query: Query) -> Result<Answer, Refusal> {
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

fn head(length: usize) -> String {
    format!(
        "POST /query HTTP/1.1\r\nhost: x\r\nauthorization: Bearer t\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Sends all but the last byte of a body; returns the connection if it is still open.
async fn send_unfinished(address: SocketAddr, body: Arc<Vec<u8>>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(head(body.len()).as_bytes()).await.ok()?;
    let sent = stream.write_all(&body[1..]);
    timeout(SEND_TIMEOUT, sent).await.ok()?.ok()?;
    Some(stream)
}

/// Returns the most memory that this process had resident at a time, in bytes.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    kilobytes.and_then(|kilobytes| kilobytes.parse::<usize>().ok()).unwrap() << 10
}

/// Guards against a process that runs out of memory because bodies stop short of their end, and
/// against a crowd of them that keeps others out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_are_borne() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = jaycrank_caller::server::bind(any, Arc::new(StubHandler), Bounds::default());
    let server = server.await.unwrap();
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let mut sending = JoinSet::new();
    for _ in 0..CLIENTS {
        sending.spawn(send_unfinished(server.address(), body.clone()));
    }
    let _crowd = sending.join_all().await;
    let request = format!("{}{BODY}", head(BODY.len()));
    let mut status = None;
    for _ in 0..ATTEMPTS {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let response = timeout(SEND_TIMEOUT, exchange(&mut stream, &request)).await;
        status = response.ok().flatten().map(|response| response.status);
        if status == Some(200) {
            break;
        }
        sleep(Duration::from_millis(250)).await;
    }
    let peak = peak_memory();
    println!("{} kB at most", peak >> 10);
    assert!(peak <= MEMORY_BYTES, "{} kB of memory", peak >> 10);
    assert_eq!(status, Some(200));
}
