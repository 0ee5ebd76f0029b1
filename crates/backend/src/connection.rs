//! One HTTP connection to a leaf.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use jaycrank_http::body;
use jaycrank_http::connection;
use jaycrank_http::meter::Content;
use jaycrank_http::meter::Meter;
use jaycrank_policy::memory::Memory;
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

/// Timeout for opening a connection: a few times the round trip between regions plus the 6 ms that
/// a leaf takes to accept it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

const ID: HeaderName = HeaderName::from_static(ID_HEADER);
const DEADLINE: HeaderName = HeaderName::from_static(DEADLINE_HEADER);
const SNAPSHOT: HeaderName = HeaderName::from_static(SNAPSHOT_HEADER);
const ATTEMPT: HeaderName = HeaderName::from_static(ATTEMPT_HEADER);
const HOST_VALUE: HeaderValue = HeaderValue::from_static("leaf");

/// Handle to a connection in use, which identifies its sub-request and can close it.
#[derive(Debug)]
pub struct Handle {
    opened_at: Instant,
    id: AtomicU64,
    sent_at_us: AtomicU64,
    checked_at_us: AtomicU64,
    fingerprint: AtomicU64,
    silent: AtomicBool,
    close: Notify,
}

impl Handle {
    fn new() -> Self {
        Self {
            opened_at: Instant::now(),
            id: AtomicU64::new(0),
            sent_at_us: AtomicU64::new(0),
            checked_at_us: AtomicU64::new(0),
            fingerprint: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            close: Notify::new(),
        }
    }

    /// Returns the sub-request in flight and the time since it was sent or last checked.
    pub fn pending_request(&self) -> Option<(Id, Duration)> {
        let id = self.id.load(Ordering::Acquire);
        let checked_at = Duration::from_micros(self.checked_at_us.load(Ordering::Acquire));
        (id != 0).then(|| (id, self.opened_at.elapsed().saturating_sub(checked_at)))
    }

    /// Returns the time since the sub-request in flight was sent.
    pub fn in_flight_for(&self) -> Duration {
        let sent_at = Duration::from_micros(self.sent_at_us.load(Ordering::Acquire));
        self.opened_at.elapsed().saturating_sub(sent_at)
    }

    /// Resets the time that [`Self::pending_request`] returns.
    pub fn mark_checked(&self) {
        self.checked_at_us.store(self.opened_at.elapsed().as_micros() as u64, Ordering::Release);
    }

    /// Returns the fingerprint of the sub-request in flight.
    pub fn fingerprint(&self) -> Option<u64> {
        let is_in_use = self.id.load(Ordering::Acquire) != 0;
        is_in_use.then(|| self.fingerprint.load(Ordering::Acquire))
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

    /// Returns whether the connection was closed because it went silent.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }

    fn begin_request(&self, frame: &Frame) {
        self.fingerprint.store(frame.fingerprint, Ordering::Release);
        self.mark_checked();
        self.sent_at_us.store(self.checked_at_us.load(Ordering::Relaxed), Ordering::Release);
        self.id.store(frame.id, Ordering::Release);
    }

    fn end_request(&self) {
        self.id.store(0, Ordering::Release);
    }
}

/// An HTTP/1.1 connection that carries one sub-request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    meter: Arc<Meter>,
    handle: Arc<Handle>,
    /// Memory of the reply, which is bounded by its size alone.
    memory: Arc<Memory>,
}

impl Connection {
    /// Opens a connection to a leaf.
    ///
    /// A spawned task drives the connection and calls `on_close` after the socket is closed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the leaf can't be reached.
    pub async fn open(
        address: SocketAddr,
        on_close: impl FnOnce(&Arc<Handle>) + Send + 'static,
    ) -> Result<Self> {
        let stream =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(not_sent_error)?;
        let stream = stream.map_err(not_sent_error)?;
        stream.set_nodelay(true).map_err(not_sent_error)?;
        let (sender, driver, meter) =
            connection::handshake(stream).await.map_err(not_sent_error)?;
        let handle = Arc::new(Handle::new());
        let driver_handle = handle.clone();
        tokio::spawn(async move {
            // An error of the driver is also returned to the sub-request in flight.
            tokio::select! {
                _ = driver => {}
                () = driver_handle.close.notified() => {}
            }
            on_close(&driver_handle);
        });
        Ok(Self { sender, meter, handle, memory: Arc::new(Memory::new(usize::MAX)) })
    }

    /// Returns whether the connection is still open.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.handle.is_silent()
    }

    /// Returns the handle that others can use while the connection is in use.
    pub fn handle(&self) -> &Arc<Handle> {
        &self.handle
    }

    /// Sends a sub-request and reads the reply.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if no byte was sent, [`Error::Broken`] or [`Error::Silent`] if
    /// the connection broke, and [`Error::Mismatched`] if the reply belongs to another sub-request
    /// or index version. The connection must not be used again after an error.
    pub async fn exchange(&mut self, frame: &Frame) -> Result<Reply> {
        self.sender.ready().await.map_err(not_sent_error)?;
        self.handle.begin_request(frame);
        let reply = self.send(request(frame)).await;
        if reply.is_err() && self.handle.is_silent() {
            return Err(Error::Silent);
        }
        let reply = reply?;
        self.handle.end_request();
        let has_version = reply.status != 200 || reply.snapshot == Some(frame.snapshot);
        if reply.id == Some(frame.id) && has_version { Ok(reply) } else { Err(Error::Mismatched) }
    }

    /// Sends a control request (ping, cancellation or status) and reads the reply.
    ///
    /// # Errors
    ///
    /// As [`Self::exchange`].
    pub async fn send_control(
        &mut self,
        method: Method,
        path: &'static str,
        id: Id,
    ) -> Result<Reply> {
        self.sender.ready().await.map_err(not_sent_error)?;
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static(path);
        request.headers_mut().insert(HOST, HOST_VALUE);
        request.headers_mut().insert(ID, HeaderValue::from(id));
        let reply = self.send(request).await?;
        if reply.id == Some(id) { Ok(reply) } else { Err(Error::Mismatched) }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Reply> {
        self.meter.reset();
        let response = self.sender.try_send_request(request).await.map_err(|mut error| {
            // hyper returns the request only if it has not written any byte of it.
            if error.take_message().is_some() {
                not_sent_error(error.error())
            } else {
                broken_error(error.error())
            }
        })?;
        let mut reply = Reply::decode(response.status().as_u16(), response.headers());
        let body = Content::new(response.into_body(), &self.meter);
        let body = body::read(body, REPLY_BYTES_MAX, &self.memory).await;
        reply.body = body.map_err(malformed_error)?;
        Ok(reply)
    }
}

fn request(frame: &Frame) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(frame.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = frame.path.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, HOST_VALUE);
    headers.insert(ID, HeaderValue::from(frame.id));
    headers.insert(DEADLINE, HeaderValue::from(frame.timeout.as_millis() as u64));
    headers.insert(SNAPSHOT, HeaderValue::from(frame.snapshot));
    if let Some(attempt_id) = frame.attempt_id {
        headers.insert(ATTEMPT, HeaderValue::from(attempt_id));
    }
    request
}

#[cold]
fn not_sent_error(error: impl std::fmt::Display) -> Error {
    Error::NotSent(format_smolstr!("{error}"))
}

#[cold]
fn broken_error(error: impl std::fmt::Display) -> Error {
    Error::Broken(format_smolstr!("{error}"))
}

#[cold]
fn malformed_error(error: impl std::fmt::Display) -> Error {
    Error::Malformed(format_smolstr!("{error}"))
}
