//! HTTP listeners for callers, for other instances, and for readiness checks and metrics.

use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::FutureExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use jaycrank_http::socket::set_tcp_options;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::answer::Reply;
use crate::config::Limits;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Address of the peer that sent it.
    pub peer: IpAddr,
    /// Whether it is the first request on its connection.
    pub first: bool,
}

/// Handles the requests of a listener.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Responds to a request. The future is dropped when the caller disconnects.
    async fn handle(&self, request: Request<Incoming>, origin: Origin) -> Reply;

    /// Returns the limits that apply to a new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Counter of the open connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<AtomicUsize>);

impl Connections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Guard that counts a connection as open until it is dropped.
struct OpenGuard(Connections);

impl OpenGuard {
    fn new(connections: &Connections) -> Self {
        connections.0.fetch_add(1, Ordering::Relaxed);
        Self(connections.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listens on `address` and serves requests until the phase is [`Phase::Closing`]. Returns the
/// bound address and the counter of open connections.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    phase: watch::Receiver<Phase>,
) -> io::Result<(SocketAddr, Connections)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let connections = Connections::default();
    tokio::spawn(accept(listener, handler, phase, connections.clone()));
    Ok((address, connections))
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut phase: watch::Receiver<Phase>,
    connections: Connections,
) {
    let phases = phase.clone();
    let start = |stream| {
        let open = OpenGuard::new(&connections);
        tokio::spawn(serve(stream, handler.clone(), phases.clone(), open));
    };
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => start(stream),
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
    _open: OpenGuard,
) {
    let Ok((peer, ())) = stream.peer_addr().and_then(|peer| Ok((peer, set_tcp_options(&stream)?)))
    else {
        // The peer has already closed the connection.
        return;
    };
    let limits = handler.limits();
    let current = phase.clone();
    let is_unused = AtomicBool::new(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let origin = Origin { peer: peer.ip(), first: is_unused.swap(false, Ordering::Relaxed) };
        let handler = handler.clone();
        let current = current.clone();
        async move {
            let mut reply = handler.handle(request, origin).await;
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
            .serve_connection(TokioIo::new(stream), service)
    );
    // Errors are ignored: the caller closed the connection or violated the protocol. A request that
    // has arrived but is not read yet would be cut off, so the connection is polled once more before
    // it is closed.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = async { wait_for_closing(&mut phase).await; yield_now().await } => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Waits until the phase is [`Phase::Closing`] or the instance is dropped.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the sender was dropped, together with the instance.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
