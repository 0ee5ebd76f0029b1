//! Tests of a listener whose connections are closed for others.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use jaycrank_gateway::answer::Reply;
use jaycrank_gateway::server;
use jaycrank_gateway::server::Bounds;
use jaycrank_gateway::server::Handler;
use jaycrank_gateway::server::Origin;
use jaycrank_gateway::server::Phase;
use tokio::sync::watch;
use tokio::time::sleep;

/// Most connections of the listener.
const CONNECTIONS_MAX: usize = 8;
/// Time after which a connection that holds still may be closed.
const STILL: Duration = Duration::from_millis(700);
/// Time that a request runs, longer than a connection that is closed for others stays open.
const SERVICE_TIME: Duration = Duration::from_millis(1_200);

/// Handler that takes its time, with the number of requests that it has begun to run.
#[derive(Default)]
struct SlowHandler(AtomicUsize);

#[async_trait]
impl Handler for SlowHandler {
    async fn handle(&self, _request: Request<Incoming>, _origin: Origin) -> Reply {
        self.0.fetch_add(1, Ordering::Relaxed);
        sleep(SERVICE_TIME).await;
        Response::new(Full::new(Bytes::from_static(b"answer")))
    }

    fn bounds(&self) -> Bounds {
        Bounds { connections: CONNECTIONS_MAX, ..Bounds::default() }
    }
}

/// Guards against a request that runs and is cut off, because it arrives at the moment at which its
/// connection is chosen to be closed for others.
#[tokio::test]
async fn request_that_crosses_the_close_of_its_connection_is_answered() {
    for newcomers in [1, 2, CONNECTIONS_MAX] {
        let (_phase, phases) = watch::channel(Phase::Serving);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Arc::new(SlowHandler::default());
        let (address, _) = server::listen(any, handler.clone(), phases).await.unwrap();
        let connect = || TcpStream::connect(address).unwrap();
        let mut oldest = connect();
        sleep(STILL / 10).await;
        let _others: Vec<TcpStream> = (0..CONNECTIONS_MAX - 2).map(|_| connect()).collect();
        sleep(STILL).await;
        // The listener sees the new connections first: nothing here waits.
        let _newcomers: Vec<TcpStream> = (0..newcomers).map(|_| connect()).collect();
        oldest.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        let read = move || {
            let mut response = Vec::new();
            // The connection may be reset after the response.
            let _ = oldest.read_to_end(&mut response);
            response
        };
        let response = tokio::task::spawn_blocking(read).await.unwrap();
        let response = String::from_utf8(response).unwrap();
        let is_read = handler.0.load(Ordering::Relaxed) > 0;
        assert_eq!(response.ends_with("answer"), is_read, "{newcomers} new connections");
    }
}
