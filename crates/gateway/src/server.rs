//! HTTP listeners for callers, for other instances, and for readiness checks and metrics.

use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::FutureExt;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jaycrank_http::socket::set_tcp_options;
use jaycrank_policy::clients::Client;
use jaycrank_policy::clients::Clients;
use jaycrank_policy::clients::Counts;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer::Reply;
use crate::config::Limits;
use crate::observed::Observed;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;

/// Time in which a connection that is closed for others may still send an answer.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// Interval at which connections are closed whose clients do not read.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Phase in the life cycle of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts connections and keeps them open between requests.
    #[default]
    Serving,
    /// Still serves requests, but closes each connection after its next response.
    Leaving,
    /// Closes idle connections and accepts no new ones.
    Closing,
}

/// Where a request came from.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Address of the peer that sent it.
    pub peer: IpAddr,
    /// Whether it is the first request on its connection.
    pub first: bool,
    /// Connection on which it came.
    pub client: Arc<Client>,
}

/// Bounds of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most open connections.
    pub connections: usize,
    /// Most bytes that the system holds of what a connection has received, if it is bounded.
    pub receive_buffer: Option<usize>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { connections: usize::MAX, receive_buffer: None }
    }
}

/// Handles the requests of a listener.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Responds to a request. The future is dropped when the caller disconnects. A handler that reads
    /// the body tells the client of the origin when it is complete.
    async fn handle(&self, request: Request<Incoming>, origin: Origin) -> Reply;

    /// Returns the limits that apply to a new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Returns the bounds of the listener.
    fn bounds(&self) -> Bounds {
        Bounds::default()
    }

    /// Records the connections that were closed or refused since the last call, if there are any.
    fn record_closed(&self, _counts: Counts) {}
}

/// Listens on `address` and serves requests until the phase is [`Phase::Closing`]. Returns the
/// bound address and the open connections.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    phase: watch::Receiver<Phase>,
) -> io::Result<(SocketAddr, Arc<Clients>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let bounds = handler.bounds();
    if let Some(bytes) = bounds.receive_buffer {
        // Connections inherit the size. Where it can't be set, that of the system holds.
        let _ = SockRef::from(&listener).set_recv_buffer_size(bytes);
    }
    let clients = Arc::new(Clients::new(bounds.connections));
    tokio::spawn(accept(listener, handler, phase, clients.clone()));
    Ok((address, clients))
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut phase: watch::Receiver<Phase>,
    clients: Arc<Clients>,
) {
    let phases = phase.clone();
    let start = |stream| {
        // A connection that is refused is closed before anything is read from it.
        let Some(client) = clients.open(now()) else { return };
        tokio::spawn(serve(stream, handler.clone(), phases.clone(), Arc::new(client)));
    };
    let mut check = interval(CHECK_INTERVAL);
    loop {
        tokio::select! {
            biased;
            _ = check.tick() => {
                clients.close_blocked(handler.limits().idle_time, now());
                let counts = clients.take_counts();
                if counts != Counts::default() {
                    handler.record_closed(counts);
                }
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    start(stream);
                    if clients.is_full() {
                        // Connections that must end do so before the next one is accepted.
                        yield_now().await;
                    }
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = wait_for_closing(&mut phase) => break,
        }
    }
    // Connections that the system has accepted would be reset together with their requests.
    yield_now().await;
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        start(stream);
    }
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    mut phase: watch::Receiver<Phase>,
    client: Arc<Client>,
) {
    let Ok((peer, ())) = stream.peer_addr().and_then(|peer| Ok((peer, set_tcp_options(&stream)?)))
    else {
        // The peer has already closed the connection.
        return;
    };
    let limits = handler.limits();
    let current = phase.clone();
    let is_unused = AtomicBool::new(true);
    let observed = Observed::new(stream, client.clone());
    let service = service_fn(|request: Request<Incoming>| {
        match request.body().is_end_stream() {
            true => client.record_request(now()),
            false => client.record_head(now()),
        }
        let first = is_unused.swap(false, Ordering::Relaxed);
        let origin = Origin { peer: peer.ip(), first, client: client.clone() };
        let handler = handler.clone();
        let current = current.clone();
        async move {
            let client = origin.client.clone();
            let mut reply = handler.handle(request, origin).await;
            client.record_answer(now());
            if *current.borrow() > Phase::Serving {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(reply)
        }
    });
    // The HTTP library has a single timeout for reading the headers and for the idle time before
    // them, so the longer of the two limits is set.
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_time.max(limits.header_time))
            .max_buf_size(limits.header_bytes.max(BUFFER_MIN_BYTES))
            .serve_connection(TokioIo::new(observed), service)
    );
    // Errors are ignored: the caller closed the connection or violated the protocol. A request that
    // has arrived but is not read yet would be cut off, so the connection is polled once more before
    // it is closed.
    let is_closed_for_others = tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = async { wait_for_closing(&mut phase).await; yield_now().await } => false,
        () = client.closing() => true,
    };
    connection.as_mut().graceful_shutdown();
    if !is_closed_for_others {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = client.closing() => {}
        }
    }
    let is_over = tokio::select! {
        biased;
        result = timeout(CLOSE_TIME, connection.as_mut()) => result.is_ok(),
        () = client.ended() => false,
    };
    if is_over {
        return;
    }
    // A request may have arrived after its connection was chosen to be closed.
    while client.is_in_use(now()) && timeout(CLOSE_TIME, connection.as_mut()).await.is_err() {}
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Waits until the phase is [`Phase::Closing`] or the instance is dropped.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the sender was dropped, together with the instance.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
