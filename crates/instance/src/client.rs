//! Client for the calls to a peer.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::auth;
use crate::auth::Key;
use crate::auth::Nonce;
use crate::exchange::Traffic;
use crate::wire;
use crate::wire::Claim;
use crate::wire::Forward;
use crate::wire::Heartbeat;
use crate::wire::Message;
use crate::wire::Outcome;
use crate::wire::Pull;
use crate::wire::PullReply;

/// Path of the heartbeat call.
pub const HEARTBEAT_PATH: &str = "/instance/heartbeat";
/// Path of the pull call.
pub const PULL_PATH: &str = "/instance/pull";
/// Path of the claim call.
pub const CLAIM_PATH: &str = "/instance/claim";
/// Path of the forward call.
pub const FORWARD_PATH: &str = "/instance/forward";

/// Failure of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call was not sent, or the peer refused it in an authenticated reply, which counts as not
    /// run.
    NotSent(SmolStr),
    /// The connection failed or timed out after the call was sent, so the peer may have run it.
    Lost(SmolStr),
    /// The reply is not authentic, so the peer may have run the call.
    Reply(auth::Error),
    /// The reply can't be decoded.
    Malformed(wire::Error),
}

impl Error {
    /// Returns whether the peer has certainly not run the call.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "the peer did not run the call: {cause}"),
            Self::Lost(cause) => write!(f, "the reply of the peer was lost: {cause}"),
            Self::Reply(error) => write!(f, "the reply of the peer is not authentic: {error}"),
            Self::Malformed(error) => write!(f, "the reply of the peer can't be decoded: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Client for the peer at one address.
#[derive(Debug)]
pub struct Client {
    http: jaycrank_http::Client,
    key: Key,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, key: Key) -> Self {
        let http = jaycrank_http::Client::new(address);
        Self { http, key, traffic: Arc::default() }
    }

    /// Sets the counters to which the sizes of heartbeats are added.
    pub fn with_traffic(mut self, traffic: Arc<Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Sends a heartbeat and returns that of the peer.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn heartbeat(
        &self,
        heartbeat: &Heartbeat,
        time_limit: Duration,
    ) -> Result<Heartbeat, Error> {
        let body = wire::encode(heartbeat).map_err(not_sent)?;
        let sent = body.len();
        let reply = self.call(HEARTBEAT_PATH, body, time_limit).await?;
        self.traffic.add(sent, reply.len());
        wire::decode(&reply).map_err(Error::Malformed)
    }

    /// Fetches the documents above the revisions of the pull.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn pull(&self, pull: &Pull, time_limit: Duration) -> Result<PullReply, Error> {
        self.send(PULL_PATH, pull, time_limit).await
    }

    /// Sends a non-idempotent request to the owner of its partition.
    ///
    /// # Errors
    ///
    /// See [`Error`]. [`Error::is_not_run`] tells whether the peer has certainly not run the
    /// request.
    pub async fn claim(&self, claim: &Claim, time_limit: Duration) -> Result<Outcome, Error> {
        self.send(CLAIM_PATH, claim, time_limit).await
    }

    /// Sends a query to another cell.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn forward(&self, forward: &Forward, time_limit: Duration) -> Result<Outcome, Error> {
        self.send(FORWARD_PATH, forward, time_limit).await
    }

    async fn send<T: Message, R: Message>(
        &self,
        path: &str,
        message: &T,
        time_limit: Duration,
    ) -> Result<R, Error> {
        let reply = self.call(path, wire::encode(message).map_err(not_sent)?, time_limit).await?;
        wire::decode(&reply).map_err(Error::Malformed)
    }

    async fn call(&self, path: &str, body: Bytes, time_limit: Duration) -> Result<Bytes, Error> {
        let nonce: Nonce = rand::random();
        let time_ms = unix_ms();
        let code = self.key.sign_request(path, time_ms, nonce, &body);
        let request = Request::post(path)
            .header("host", "instance")
            .header(auth::TIME_HEADER, time_ms)
            .header(auth::NONCE_HEADER, format!("{nonce:032x}"))
            .header(auth::CODE_HEADER, auth::to_hex(&code))
            .body(Full::new(body))
            .map_err(not_sent)?;
        let response = self.http.call(request, time_limit).await.map_err(|error| match error {
            jaycrank_http::Error::NotSent(cause) => Error::NotSent(cause),
            jaycrank_http::Error::Lost(cause) => Error::Lost(cause),
        })?;
        let status = response.status().as_u16();
        let found = response.headers().get(auth::CODE_HEADER);
        let found = found.and_then(|value| auth::from_hex(value.to_str().ok()?));
        let found = found.ok_or(Error::Reply(auth::Error::Header(auth::CODE_HEADER)))?;
        let expected = self.key.sign_reply(nonce, status, response.body());
        auth::verify(&expected, &found).map_err(Error::Reply)?;
        if status == 200 {
            return Ok(response.into_body());
        }
        let cause = String::from_utf8_lossy(response.body());
        Err(Error::NotSent(format_smolstr!("status {status}: {cause}")))
    }
}

/// Returns the wall-clock time, in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

#[cold]
fn not_sent(error: impl fmt::Display) -> Error {
    Error::NotSent(format_smolstr!("{error}"))
}
