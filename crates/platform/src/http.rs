//! HTTP client of the platform. [`crate::wire`] defines the messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::Error;
use crate::error::Result;
use crate::list::Entry;
use crate::list::List;
use crate::store::Change;
use crate::store::Expected;
use crate::store::Object;
use crate::store::Store;
use crate::store::VALUE_BYTES_MAX;
use crate::store::Version;
use crate::wire::Changes;
use crate::wire::Instances;
use crate::wire::Listing;
use crate::wire::VERSION_HEADER;

/// Client of the object store and the instance list over HTTP.
pub struct Client {
    http: jaycrank_http::Client,
    timeout: Duration,
    /// Longer than the time that the store keeps a watch open, about 10 s.
    watch_timeout: Duration,
}

/// Status, version header and body of a response.
struct Reply {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

impl Client {
    /// Creates a client of the platform at `address`. Calls other than watches time out after 2 s.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: jaycrank_http::Client::new(address),
            timeout: Duration::from_secs(2),
            watch_timeout: Duration::from_secs(15),
        }
    }

    /// Sets the timeout of calls other than watches.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        version: Option<Version>,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply> {
        let mut request = Request::builder().method(method).uri(path).header("host", "platform");
        if let Some(version) = version {
            request = request.header(VERSION_HEADER, version);
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| Error::Unavailable(format_smolstr!("invalid key: {error}")))?;
        let response = self.http.call(request, timeout).await?;
        let version = response
            .headers()
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok());
        Ok(Reply { status: response.status(), version, body: response.into_body() })
    }

    async fn read<T: DeserializeOwned>(&self, path: &str, timeout: Duration) -> Result<T> {
        let reply = self.call(Method::GET, path, None, Bytes::new(), timeout).await;
        let reply = reply.map_err(read_error)?;
        match reply.status {
            StatusCode::OK => serde_json::from_slice(&reply.body)
                .map_err(|error| Error::Malformed(format_smolstr!("{error}"))),
            status => Err(unexpected_status(status)),
        }
    }
}

#[async_trait]
impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Object>> {
        let path = format!("/objects/{key}");
        let reply = self.call(Method::GET, &path, None, Bytes::new(), self.timeout).await;
        let reply = reply.map_err(read_error)?;
        match reply.status {
            StatusCode::OK => {
                let version = reply.version.ok_or_else(missing_version)?;
                Ok(Some(Object { version, value: reply.body }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Version> {
        if value.len() > VALUE_BYTES_MAX {
            return Err(Error::TooLarge(value.len()));
        }
        let expected = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        let path = format!("/objects/{key}");
        let reply = self.call(Method::PUT, &path, expected, value, self.timeout).await?;
        match reply.status {
            StatusCode::OK => reply.version.ok_or_else(missing_version),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(key.into())),
            status => Err(unexpected_status(status)),
        }
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        let path = format!("/objects/{key}");
        let reply =
            self.call(Method::DELETE, &path, Some(version), Bytes::new(), self.timeout).await?;
        match reply.status {
            StatusCode::OK => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(key.into())),
            status => Err(unexpected_status(status)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<BTreeMap<SmolStr, Version>> {
        let path = format!("/list?prefix={prefix}");
        let listing: Listing = self.read(&path, self.timeout).await?;
        Ok(listing.keys)
    }

    async fn watch(&self, prefix: &str, after: Version) -> Result<Change> {
        let path = format!("/watch?prefix={prefix}&after={after}");
        let changes: Changes = self.read(&path, self.watch_timeout).await?;
        Ok(Change { revision: changes.revision, keys: changes.keys })
    }
}

#[async_trait]
impl List for Client {
    async fn entries(&self) -> Result<Vec<Entry>> {
        let instances: Instances = self.read("/instances", self.timeout).await?;
        Ok(instances.entries)
    }
}

impl From<jaycrank_http::Error> for Error {
    fn from(error: jaycrank_http::Error) -> Self {
        match error {
            jaycrank_http::Error::NotSent(cause) => Self::Unavailable(cause),
            jaycrank_http::Error::Lost(cause) => Self::Unknown(cause),
        }
    }
}

/// Returns the error of a failed read. A read has no effect, so a lost reply only means that the
/// platform is unavailable.
#[cold]
fn read_error(error: Error) -> Error {
    match error {
        Error::Unknown(cause) => Error::Unavailable(cause),
        other => other,
    }
}

#[cold]
fn unexpected_status(status: StatusCode) -> Error {
    Error::Unavailable(SmolStr::new(format!("unexpected status {status}")))
}

#[cold]
fn missing_version() -> Error {
    Error::Malformed("reply lacks a valid version header".into())
}
