//! Calls between instances: a listener that dispatches them by path, and the client side.
//!
//! Messages are encoded in MessagePack. Each module that talks to other instances registers a
//! `Service` for its path.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jaycrank_http::Client;
use jaycrank_http::body;
use jaycrank_policy::clients::Counts;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::answer::Reply;
use crate::gateway::Gateway;
use crate::server::Bounds;
use crate::server::Handler;
use crate::server::Origin;
use crate::traffic::Counter;

/// Largest message, in bytes.
const MESSAGE_BYTES_MAX: usize = 4 << 20;
/// Header with the id of a message, which its reply states too, so that a late copy of another reply
/// is not taken for it.
const CALL_ID_HEADER: &str = "x-call-id";
/// Timeout for receiving the body of a message.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message was not sent: the instance refuses connections.
    NotSent(SmolStr),
    /// There was no reply in time; the instance may have received the message.
    Lost(SmolStr),
    /// The instance answered with this status that it does not take the message.
    Rejected(u16),
    /// The message or the reply can't be decoded.
    Invalid(SmolStr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "message not sent: {cause}"),
            Self::Lost(cause) => write!(f, "reply lost: {cause}"),
            Self::Rejected(status) => write!(f, "message rejected with status {status}"),
            Self::Invalid(cause) => write!(f, "message is not valid: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<jaycrank_http::Error> for Error {
    fn from(error: jaycrank_http::Error) -> Self {
        match error {
            jaycrank_http::Error::NotSent(cause) => Self::NotSent(cause),
            jaycrank_http::Error::Lost(cause) => Self::Lost(cause),
        }
    }
}

/// Answers the messages that other instances send to one path.
#[async_trait]
pub(crate) trait Service: Send + Sync {
    /// Decodes a message and returns the encoded reply.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] if the message can't be decoded.
    async fn respond(&self, message: Bytes) -> Result<Bytes, Error>;
}

/// Service that answers each message at once, from the state of a gateway.
pub(crate) struct Answerer<M, R> {
    gateway: Arc<Gateway>,
    answer: fn(&Gateway, M) -> R,
}

impl<M, R> Answerer<M, R> {
    /// Creates a service that answers with what `answer` returns.
    pub(crate) fn new(gateway: Arc<Gateway>, answer: fn(&Gateway, M) -> R) -> Self {
        Self { gateway, answer }
    }
}

#[async_trait]
impl<M: DeserializeOwned, R: Serialize> Service for Answerer<M, R> {
    async fn respond(&self, message: Bytes) -> Result<Bytes, Error> {
        Ok(encode(&(self.answer)(&self.gateway, decode(&message)?))?.into())
    }
}

/// Handler of the listener for other instances.
pub(crate) struct Dispatcher {
    gateway: Arc<Gateway>,
    services: BTreeMap<&'static str, Arc<dyn Service>>,
}

impl Dispatcher {
    /// Creates a dispatcher without services, within the capacity of `gateway`.
    pub(crate) fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway, services: BTreeMap::new() }
    }

    /// Adds the service that answers at `path`.
    pub(crate) fn with_service(mut self, path: &'static str, service: Arc<dyn Service>) -> Self {
        self.services.insert(path, service);
        self
    }
}

#[async_trait]
impl Handler for Dispatcher {
    async fn handle(&self, request: Request<Incoming>, origin: Origin) -> Reply {
        let Some(service) = self.services.get(request.uri().path()).cloned() else {
            return reply(StatusCode::NOT_FOUND, Bytes::new());
        };
        let id = request.headers().get(CALL_ID_HEADER).cloned();
        let memory = self.gateway.message_memory();
        let body = body::receive(request.into_body(), MESSAGE_BYTES_MAX, memory);
        let body = tokio::select! {
            biased;
            body = timeout(BODY_TIMEOUT, body) => body,
            () = origin.client.closing() => return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        };
        let body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(body::Error::Exhausted)) => {
                return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            }
            _ => return reply(StatusCode::BAD_REQUEST, Bytes::new()),
        };
        origin.client.record_request(Instant::now().into_std());
        let mut reply = match service.respond(body).await {
            Ok(body) => reply(StatusCode::OK, body),
            Err(_) => reply(StatusCode::BAD_REQUEST, Bytes::new()),
        };
        if let Some(id) = id {
            reply.headers_mut().insert(CALL_ID_HEADER, id);
        }
        reply
    }

    fn bounds(&self) -> Bounds {
        Bounds { connections: self.gateway.capacity().peer_connections(), ..Bounds::default() }
    }

    fn record_closed(&self, counts: Counts) {
        self.gateway.record_closed("peer", counts);
    }
}

fn reply(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}

/// Creates a client for calls to one instance.
pub(crate) fn client(peer: SocketAddr) -> Client {
    Client::new(peer).with_reply_bytes_max(MESSAGE_BYTES_MAX)
}

/// Sends a message, counts its bytes and decodes the reply.
///
/// # Errors
///
/// [`Error`] if there is no valid reply within `time_limit`.
pub(crate) async fn call<M: Serialize, R: DeserializeOwned>(
    client: &Client,
    path: &str,
    message: &M,
    time_limit: Duration,
    counter: &Counter,
) -> Result<R, Error> {
    let message = encode(message)?;
    let sent = message.len();
    let id = format_smolstr!("{:016x}", rand::random::<u64>());
    let request = Request::post(path)
        .header("host", "peer")
        .header(CALL_ID_HEADER, id.as_str())
        .body(Full::new(Bytes::from(message)))
        .map_err(invalid)?;
    let response = client.call(request, time_limit).await;
    let received = response.as_ref().map_or(0, |response| response.body().len());
    counter.record(sent, received);
    let response = response?;
    // Instances of older versions don't state the id.
    if response.headers().get(CALL_ID_HEADER).is_some_and(|stated| stated != id.as_str()) {
        client.close_idle();
        return Err(Error::Lost("reply to another message".into()));
    }
    if response.status() != StatusCode::OK {
        return Err(Error::Rejected(response.status().as_u16()));
    }
    decode(response.body())
}

/// Encodes a message.
///
/// # Errors
///
/// [`Error::Invalid`] if a value can't be encoded.
pub(crate) fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec(message).map_err(invalid)
}

/// Decodes a message.
///
/// # Errors
///
/// [`Error::Invalid`] if the bytes are not such a message.
pub(crate) fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, Error> {
    rmp_serde::from_slice(bytes).map_err(invalid)
}

#[cold]
fn invalid(error: impl fmt::Display) -> Error {
    Error::Invalid(format_smolstr!("{error}"))
}
