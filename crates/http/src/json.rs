//! A client of an interface that takes and gives JSON, with a bearer token.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::client;
use crate::client::Error;
use crate::client::not_sent;
use crate::client::reply_lost;

/// Decoded reply: the answer with status 200, or the status and body of a refusal.
pub type Reply<T, R> = Result<T, (u16, R)>;

/// Client of one server.
#[derive(Debug)]
pub struct Client {
    http: client::Client,
    token: SmolStr,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, token: impl Into<SmolStr>) -> Self {
        Self { http: client::Client::new(address), token: token.into() }
    }

    /// Sends a request without a body and decodes the reply.
    ///
    /// # Errors
    ///
    /// See [`send`](Self::send).
    pub async fn get<T: DeserializeOwned, R: DeserializeOwned>(
        &self,
        path: &str,
        time: Duration,
    ) -> Result<Reply<T, R>, Error> {
        self.call(Method::GET, path, Vec::new(), time).await
    }

    /// Sends a request with a body and decodes the reply, all within `time`.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if the request never left, [`Error::Lost`] if it may have arrived,
    /// also if the reply can't be decoded.
    pub async fn send<T: DeserializeOwned, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        time: Duration,
    ) -> Result<Reply<T, R>, Error> {
        let body = serde_json::to_vec(body).map_err(not_sent)?;
        self.call(method, path, body, time).await
    }

    async fn call<T: DeserializeOwned, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        time: Duration,
    ) -> Result<Reply<T, R>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "jaycrank")
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(not_sent)?;
        let response = self.http.call(request, time).await?;
        let (status, body) = (response.status(), response.body());
        if status == StatusCode::OK {
            return serde_json::from_slice(body).map(Ok).map_err(reply_lost);
        }
        serde_json::from_slice(body)
            .map(|refusal| Err((status.as_u16(), refusal)))
            .map_err(reply_lost)
    }
}
