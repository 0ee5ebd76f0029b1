//! Tests of requests that have just arrived when a listener closes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jaycrank_gateway::answer::Reply;
use jaycrank_gateway::server;
use jaycrank_gateway::server::Handler;
use jaycrank_gateway::server::Origin;
use jaycrank_gateway::server::Phase;
use tokio::sync::watch;
use tokio::task::spawn_blocking;

const CONNECTIONS: usize = 40;
/// Longest time for which a test waits for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Handler that answers each request after a moment.
struct Answerer;

#[async_trait]
impl Handler for Answerer {
    async fn handle(&self, _request: Request<Incoming>, _origin: Origin) -> Reply {
        tokio::time::sleep(Duration::from_millis(5)).await;
        Response::new(Full::new(Bytes::from_static(b"answered")))
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIME)).unwrap();
    stream
}

fn send(stream: &mut TcpStream) {
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
}

/// Reads until the body of one answer is complete; returns whether it was.
fn is_answered(stream: &mut TcpStream) -> bool {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 1_024]);
    while !bytes.ends_with(b"answered") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return false,
        }
    }
    true
}

async fn count_answered(mut streams: Vec<TcpStream>) -> (usize, Vec<TcpStream>) {
    let reading = spawn_blocking(move || {
        let answered = streams.iter_mut().filter_map(|stream| is_answered(stream).then_some(()));
        (answered.count(), streams)
    });
    reading.await.unwrap()
}

/// Guards against a planned stop that resets connections which the system has accepted for the process,
/// with the requests on them.
#[tokio::test]
async fn requests_on_connections_that_wait_to_be_accepted_are_answered() {
    let (phase, phases) = watch::channel(Phase::Serving);
    let any = "127.0.0.1:0".parse().unwrap();
    let (address, _) = server::listen(any, Arc::new(Answerer), phases).await.unwrap();
    let mut streams: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    streams.iter_mut().for_each(send);
    phase.send_replace(Phase::Closing);
    assert_eq!(count_answered(streams).await.0, CONNECTIONS);
}

/// Guards against a planned stop that closes kept connections on which a request has arrived that is
/// not read yet.
#[tokio::test]
async fn requests_that_have_arrived_on_kept_connections_are_answered() {
    let (phase, phases) = watch::channel(Phase::Serving);
    let any = "127.0.0.1:0".parse().unwrap();
    let (address, _) = server::listen(any, Arc::new(Answerer), phases).await.unwrap();
    let mut streams: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    streams.iter_mut().for_each(send);
    let (answered, mut streams) = count_answered(streams).await;
    assert_eq!(answered, CONNECTIONS);
    phase.send_replace(Phase::Leaving);
    streams.iter_mut().for_each(send);
    phase.send_replace(Phase::Closing);
    assert_eq!(count_answered(streams).await.0, CONNECTIONS);
}
