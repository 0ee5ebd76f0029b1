//! Client for JSON APIs that require a bearer token.

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

/// Decoded reply: the body of status 200, or any other status with its body.
pub type Reply<T, R> = Result<T, (u16, R)>;

/// Client for one server.
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

    /// Sends a GET request and decodes the reply, all within `time_limit`.
    ///
    /// # Errors
    ///
    /// See [`send`](Self::send).
    pub async fn get<T: DeserializeOwned, R: DeserializeOwned>(
        &self,
        path: &str,
        time_limit: Duration,
    ) -> Result<Reply<T, R>, Error> {
        self.call(Method::GET, path, Vec::new(), time_limit).await
    }

    /// Sends a request with a JSON body and decodes the reply, all within `time_limit`.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if the request was not sent, [`Error::Lost`] if the server may have
    /// received it or if the reply can't be decoded.
    pub async fn send<T: DeserializeOwned, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl Serialize,
        time_limit: Duration,
    ) -> Result<Reply<T, R>, Error> {
        let body = serde_json::to_vec(body).map_err(not_sent)?;
        self.call(method, path, body, time_limit).await
    }

    async fn call<T: DeserializeOwned, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        time_limit: Duration,
    ) -> Result<Reply<T, R>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "jaycrank")
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .map_err(not_sent)?;
        let response = self.http.call(request, time_limit).await?;
        let (status, body) = (response.status(), response.body());
        if status == StatusCode::OK {
            return serde_json::from_slice(body).map(Ok).map_err(reply_lost);
        }
        serde_json::from_slice(body)
            .map(|refusal| Err((status.as_u16(), refusal)))
            .map_err(reply_lost)
    }
}
