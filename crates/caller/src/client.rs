//! A client of the tier, for programs and benchmarks.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use smol_str::SmolStr;

use crate::wire::Answer;
use crate::wire::Category;
use crate::wire::Fairness;
use crate::wire::Query;
use crate::wire::Refusal;

/// Timeout of a reply, counted from the query's deadline if there is one.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Failure of a call, by what it says about the execution of the request.
#[derive(Clone, Debug)]
pub enum Error {
    /// The tier refused the request.
    Refused(Refusal),
    /// No connection could be opened; the request was not run.
    NotSent(SmolStr),
    /// The connection broke, or the reply timed out or could not be decoded; the request may have
    /// run.
    Lost(SmolStr),
}

impl Error {
    /// Returns what is known about the execution of the request.
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
            Self::Refused(refusal) => {
                write!(f, "{}: {} ({})", refusal.category, refusal.message, refusal.reason)
            }
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

/// Client of one instance that authenticates with the token of one member.
#[derive(Debug)]
pub struct Client {
    http: jaycrank_http::json::Client,
}

impl Client {
    /// Creates a client, which connects with its first call.
    pub fn new(address: SocketAddr, token: impl Into<SmolStr>) -> Self {
        Self { http: jaycrank_http::json::Client::new(address, token) }
    }

    /// Sends a query and waits for the answer.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its category tells whether the request may have run.
    pub async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let timeout = Duration::from_millis(query.deadline_ms).saturating_add(REPLY_TIMEOUT);
        self.http.send(Method::POST, "/query", query, timeout).await?.map_err(with_status)
    }

    /// Reads the fairness statistics of all members.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn fairness(&self) -> Result<Fairness, Error> {
        self.http.get("/fairness", REPLY_TIMEOUT).await?.map_err(with_status)
    }
}
