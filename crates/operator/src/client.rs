//! A client of the administration API, for the command line.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use jaycrank_settings::Tree;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

use crate::wire::Category;
use crate::wire::EditReply;
use crate::wire::EditRequest;
use crate::wire::Log;
use crate::wire::Refusal;
use crate::wire::Status;
use crate::wire::ValidationReply;

/// Timeout of a call. Determining the outcome of an edit whose reply is lost takes up to 4 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Failure of a call, by what it says about the effect of the request.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The tier refused the request.
    Refused(Refusal),
    /// No connection could be opened; the request had no effect.
    NotSent(SmolStr),
    /// The connection broke, or the reply timed out or could not be decoded; an edit may have been
    /// applied.
    Lost(SmolStr),
}

impl Error {
    /// Returns what is known about the effect of the request.
    pub fn category(&self) -> Category {
        match self {
            Self::Refused(refusal) => refusal.category,
            Self::NotSent(_) => Category::NotRun,
            Self::Lost(_) => Category::MayHaveRun,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::NotSent(cause) => write!(f, "not run: {cause}"),
            Self::Lost(cause) => write!(f, "may have run: {cause}"),
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

/// Adds the HTTP status to a refusal, whose body does not contain it.
fn with_status((status, refusal): (u16, Refusal)) -> Error {
    Error::Refused(Refusal { status, ..refusal })
}

/// Client of one instance that authenticates with the token of one operator.
#[derive(Debug)]
pub struct Client {
    http: jaycrank_http::json::Client,
}

impl Client {
    /// Creates a client, which connects with its first call.
    pub fn new(address: SocketAddr, token: impl Into<SmolStr>) -> Self {
        Self { http: jaycrank_http::json::Client::new(address, token) }
    }

    /// Reads the settings that the instance applies.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn config(&self) -> Result<Tree, Error> {
        self.get("/config").await
    }

    /// Sends an edit of the branch at a path; the empty path is the root.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its category tells whether the edit may have been applied.
    pub async fn put(&self, path: &str, request: &EditRequest) -> Result<EditReply, Error> {
        let uri = if path.is_empty() { "/config".to_owned() } else { format!("/config/{path}") };
        self.http.send(Method::PUT, &uri, request, CALL_TIMEOUT).await?.map_err(with_status)
    }

    /// Reads the log of the most recently accepted edits.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn log(&self) -> Result<Log, Error> {
        self.get("/config/log").await
    }

    /// Validates a whole tree without applying it.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn validate(&self, tree: &Tree) -> Result<ValidationReply, Error> {
        self.http
            .send(Method::POST, "/config/validate", tree, CALL_TIMEOUT)
            .await?
            .map_err(with_status)
    }

    /// Reads the state of the instance and its peers.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn status(&self) -> Result<Status, Error> {
        self.get("/status").await
    }

    /// Reads the dump of the instance's internal state.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn dump(&self) -> Result<Value, Error> {
        self.get("/dump").await
    }

    /// Reads the fairness statistics of all members.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn fairness(&self) -> Result<Value, Error> {
        self.get("/fairness").await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.http.get(path, CALL_TIMEOUT).await?.map_err(with_status)
    }
}
