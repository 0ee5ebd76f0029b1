//! A pooled HTTP/1.1 client for one address.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::socket::set_tcp_options;

/// Idle connections that are kept for later calls.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Largest reply that is read unless [`Client::with_reply_bytes_max`] says otherwise.
const REPLY_BYTES_MAX: usize = 16 << 20;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection could be opened; the request was not sent.
    NotSent(SmolStr),
    /// The connection broke or timed out after the request was sent.
    Lost(SmolStr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Lost(cause) => write!(f, "reply lost: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Client of the server at one address. It keeps idle connections and opens others on demand.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    reply_bytes_max: usize,
    idle: Mutex<Vec<Sender>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, reply_bytes_max: REPLY_BYTES_MAX, idle: Mutex::default() }
    }

    /// Sets the size of the largest reply that is read, in bytes.
    pub fn with_reply_bytes_max(mut self, bytes: usize) -> Self {
        self.reply_bytes_max = bytes;
        self
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole reply within `time`.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if the request never left, [`Error::Lost`] if it may have arrived.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        time: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let (sender, response) = match timeout(time, self.exchange(request)).await {
            Ok(exchanged) => exchanged?,
            Err(_) => return Err(Error::Lost("timed out".into())),
        };
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(sender);
        }
        Ok(response)
    }

    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<Bytes>), Error> {
        // An idle connection that the server closed gives the request back unsent.
        while let Some(mut sender) = self.take_idle_connection() {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, self.read(response).await?)),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(reply_lost(failure.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        let response = sender.send_request(request).await.map_err(reply_lost)?;
        let response = self.read(response).await?;
        Ok((sender, response))
    }

    async fn connect(&self) -> Result<Sender, Error> {
        let stream = TcpStream::connect(self.address).await.map_err(not_sent)?;
        set_tcp_options(&stream).map_err(not_sent)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(not_sent)?;
        tokio::spawn(driver);
        Ok(sender)
    }

    async fn read(
        &self,
        response: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, Error> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.reply_bytes_max).collect().await.map_err(reply_lost)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    fn take_idle_connection(&self) -> Option<Sender> {
        let mut idle = self.lock();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cold]
pub(crate) fn not_sent(error: impl fmt::Display) -> Error {
    Error::NotSent(format_smolstr!("{error}"))
}

#[cold]
pub(crate) fn reply_lost(error: impl fmt::Display) -> Error {
    Error::Lost(format_smolstr!("{error}"))
}
