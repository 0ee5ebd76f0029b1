//! One HTTP connection to a leaf.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::error::Error;
use crate::error::Result;
use crate::wire::ATTEMPT_HEADER;
use crate::wire::DEADLINE_HEADER;
use crate::wire::Frame;
use crate::wire::ID_HEADER;
use crate::wire::Id;
use crate::wire::REPLY_BYTES_MAX;
use crate::wire::Reply;
use crate::wire::SNAPSHOT_HEADER;

/// Longest time to open a connection; a few times the round trip between regions and the 6 ms that
/// a leaf takes.
const OPEN_MAX: Duration = Duration::from_millis(300);

const ID: HeaderName = HeaderName::from_static(ID_HEADER);
const DEADLINE: HeaderName = HeaderName::from_static(DEADLINE_HEADER);
const SNAPSHOT: HeaderName = HeaderName::from_static(SNAPSHOT_HEADER);
const ATTEMPT: HeaderName = HeaderName::from_static(ATTEMPT_HEADER);
const LEAF: HeaderValue = HeaderValue::from_static("leaf");

/// What is known about a connection from outside: the sub-request that it carries.
#[derive(Debug)]
pub struct Link {
    opened: Instant,
    id: AtomicU64,
    begun_us: AtomicU64,
    since_us: AtomicU64,
    fingerprint: AtomicU64,
    silent: AtomicBool,
    close: Notify,
}

impl Link {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            id: AtomicU64::new(0),
            begun_us: AtomicU64::new(0),
            since_us: AtomicU64::new(0),
            fingerprint: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            close: Notify::new(),
        }
    }

    /// Sub-request in flight and the time since it was sent or last checked.
    pub fn waiting(&self) -> Option<(Id, Duration)> {
        let id = self.id.load(Ordering::Acquire);
        let since = Duration::from_micros(self.since_us.load(Ordering::Acquire));
        (id != 0).then(|| (id, self.opened.elapsed().saturating_sub(since)))
    }

    /// Time since the sub-request in flight was sent.
    pub fn in_flight_for(&self) -> Duration {
        let begun = Duration::from_micros(self.begun_us.load(Ordering::Acquire));
        self.opened.elapsed().saturating_sub(begun)
    }

    /// Starts the time of [`Self::waiting`] again.
    pub fn checked(&self) {
        self.since_us.store(self.opened.elapsed().as_micros() as u64, Ordering::Release);
    }

    /// Fingerprint of the sub-request in flight.
    pub fn fingerprint(&self) -> Option<u64> {
        let busy = self.id.load(Ordering::Acquire) != 0;
        busy.then(|| self.fingerprint.load(Ordering::Acquire))
    }

    /// Closes the connection; a sub-request in flight fails with [`Error::Silent`].
    pub fn close_silent(&self) {
        self.silent.store(true, Ordering::Release);
        self.close.notify_one();
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.close.notify_one();
    }

    /// Whether the connection was closed because it went silent.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }

    fn begin(&self, frame: &Frame) {
        self.fingerprint.store(frame.fingerprint, Ordering::Release);
        self.checked();
        self.begun_us.store(self.since_us.load(Ordering::Relaxed), Ordering::Release);
        self.id.store(frame.id, Ordering::Release);
    }

    fn end(&self) {
        self.id.store(0, Ordering::Release);
    }
}

/// An open connection that carries one sub-request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    link: Arc<Link>,
}

impl Connection {
    /// Opens a connection to a leaf; a task of its own drives it and calls `on_close` once the
    /// socket is closed.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the leaf can't be reached.
    pub async fn open(
        address: SocketAddr,
        on_close: impl FnOnce(&Arc<Link>) + Send + 'static,
    ) -> Result<Self> {
        let stream = timeout(OPEN_MAX, TcpStream::connect(address)).await.map_err(connect)?;
        let stream = stream.map_err(connect)?;
        stream.set_nodelay(true).map_err(connect)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(connect)?;
        let link = Arc::new(Link::new());
        let driven = link.clone();
        tokio::spawn(async move {
            // The result of the driver also reaches the sub-request in flight.
            tokio::select! {
                _ = driver => {}
                () = driven.close.notified() => {}
            }
            on_close(&driven);
        });
        Ok(Self { sender, link })
    }

    /// Whether the connection is still open.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.link.is_silent()
    }

    /// What is known about the connection from outside.
    pub fn link(&self) -> &Arc<Link> {
        &self.link
    }

    /// Sends a sub-request and reads the reply.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if no byte was sent, [`Error::Broken`] or [`Error::Silent`] if the
    /// connection broke and [`Error::Mismatched`] if the reply belongs to another sub-request or
    /// index version. The connection must not be used again after an error.
    pub async fn exchange(&mut self, frame: &Frame) -> Result<Reply> {
        self.sender.ready().await.map_err(connect)?;
        self.link.begin(frame);
        let reply = self.send(request(frame)).await;
        if reply.is_err() && self.link.is_silent() {
            return Err(Error::Silent);
        }
        let reply = reply?;
        self.link.end();
        let answered = reply.status != 200 || reply.snapshot == Some(frame.snapshot);
        if reply.id == Some(frame.id) && answered { Ok(reply) } else { Err(Error::Mismatched) }
    }

    /// Sends a request of the protocol other than a sub-request and reads the reply.
    ///
    /// # Errors
    ///
    /// As [`Self::exchange`].
    pub async fn control(&mut self, method: Method, path: &'static str, id: Id) -> Result<Reply> {
        self.sender.ready().await.map_err(connect)?;
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().insert(HOST, LEAF);
        request.headers_mut().insert(ID, HeaderValue::from(id));
        let reply = self.send(request).await?;
        if reply.id == Some(id) { Ok(reply) } else { Err(Error::Mismatched) }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Reply> {
        let response = self.sender.try_send_request(request).await.map_err(|mut error| {
            // hyper hands the request back only if it wrote no byte of it.
            if error.take_message().is_some() {
                connect(error.error())
            } else {
                broken(error.error())
            }
        })?;
        let mut reply = Reply::decode(response.status().as_u16(), response.headers());
        let body = Limited::new(response.into_body(), REPLY_BYTES_MAX).collect().await;
        reply.body = body.map_err(malformed)?.to_bytes();
        Ok(reply)
    }
}

fn request(frame: &Frame) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(frame.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = frame.path.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, LEAF);
    headers.insert(ID, HeaderValue::from(frame.id));
    headers.insert(DEADLINE, HeaderValue::from(frame.deadline.as_millis() as u64));
    headers.insert(SNAPSHOT, HeaderValue::from(frame.snapshot));
    if let Some(attempt) = frame.attempt {
        headers.insert(ATTEMPT, HeaderValue::from(attempt));
    }
    request
}

#[cold]
fn connect(error: impl std::fmt::Display) -> Error {
    Error::Connect(format_smolstr!("{error}"))
}

#[cold]
fn broken(error: impl std::fmt::Display) -> Error {
    Error::Broken(format_smolstr!("{error}"))
}

#[cold]
fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(format_smolstr!("{error}"))
}
