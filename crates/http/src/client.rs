//! HTTP/1.1 client with a connection pool for one address.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use jaycrank_policy::memory::Memory;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body;
use crate::connection;
use crate::meter::Content;
use crate::meter::Meter;
use crate::socket::set_tcp_options;

/// Maximum number of idle connections in the pool.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Default maximum size of a reply body; see [`Client::with_reply_bytes_max`].
const REPLY_BYTES_MAX: usize = 16 << 20;

/// Open connection.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    meter: Arc<Meter>,
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection could be opened; the request was not sent.
    NotSent(SmolStr),
    /// The call failed or timed out when the request may already have been sent.
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

/// Client for the server at one address, with a pool of idle connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    reply_bytes_max: usize,
    memory: Arc<Memory>,
    connect_timeout: Option<Duration>,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            reply_bytes_max: REPLY_BYTES_MAX,
            memory: Arc::new(Memory::new(usize::MAX)),
            connect_timeout: None,
            idle: Mutex::default(),
        }
    }

    /// Sets the maximum size of a reply body, in bytes.
    pub fn with_reply_bytes_max(mut self, bytes: usize) -> Self {
        self.reply_bytes_max = bytes;
        self
    }

    /// Sets the memory in which reply bodies count until they are dropped.
    pub fn with_memory(mut self, memory: Arc<Memory>) -> Self {
        self.memory = memory;
        self
    }

    /// Sets the time within which a connection must be opened. Without it, only the time limit of the
    /// call applies.
    pub fn with_connect_timeout(mut self, time: Duration) -> Self {
        self.connect_timeout = Some(time);
        self
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the idle connections. A caller that got the reply to another request can't trust what they
    /// still hold.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    /// Sends a request and reads the whole reply within `time_limit`.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if the request was not sent, [`Error::Lost`] if the server may have
    /// received it.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let (connection, response) = match timeout(time_limit, self.exchange(request)).await {
            Ok(exchanged) => exchanged?,
            Err(_) => return Err(Error::Lost("timed out".into())),
        };
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
        Ok(response)
    }

    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<Bytes>), Error> {
        // If the server has closed an idle connection, the unsent request is returned and the next
        // connection is tried.
        while let Some(mut connection) = self.take_idle_connection() {
            connection.meter.reset();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.read(connection, response).await,
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(reply_lost(failure.into_error())),
                },
            }
        }
        let mut connection = self.connect().await?;
        let response = connection.sender.send_request(request).await.map_err(reply_lost)?;
        self.read(connection, response).await
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let connect = TcpStream::connect(self.address);
        let stream = match self.connect_timeout {
            Some(time) => timeout(time, connect).await.map_err(not_sent)?,
            None => connect.await,
        };
        let stream = stream.map_err(not_sent)?;
        set_tcp_options(&stream).map_err(not_sent)?;
        let (sender, driver, meter) = connection::handshake(stream).await.map_err(not_sent)?;
        tokio::spawn(driver);
        Ok(Connection { sender, meter })
    }

    async fn read(
        &self,
        connection: Connection,
        response: Response<hyper::body::Incoming>,
    ) -> Result<(Connection, Response<Bytes>), Error> {
        let (head, body) = response.into_parts();
        let body = Content::new(body, &connection.meter);
        let body = body::read(body, self.reply_bytes_max, &self.memory).await;
        Ok((connection, Response::from_parts(head, body.map_err(reply_lost)?)))
    }

    fn take_idle_connection(&self) -> Option<Connection> {
        let mut idle = self.lock();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
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
