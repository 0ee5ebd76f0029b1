//! A client of the tier, for programs and benches.

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

/// Time beyond a query's deadline after which the client gives up.
const GRACE: Duration = Duration::from_secs(5);

/// Failure of a call as a caller sees it.
#[derive(Clone, Debug)]
pub enum Error {
    /// The tier refused the request.
    Refused(Refusal),
    /// The tier could not be reached; the request was not run.
    NotSent(SmolStr),
    /// The connection broke or the reply was not understood; the request may have run.
    Lost(SmolStr),
}

impl Error {
    /// What is known about the request.
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

/// Adds the status, which is not part of its body, to a refusal.
fn refused((status, refusal): (u16, Refusal)) -> Error {
    Error::Refused(Refusal { status, ..refusal })
}

/// Client of one entry instance, with the token of one member.
#[derive(Debug)]
pub struct Client {
    http: jaycrank_http::json::Client,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, token: impl Into<SmolStr>) -> Self {
        Self { http: jaycrank_http::json::Client::new(address, token) }
    }

    /// Sends a query and waits for the answer.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its category tells whether the request may have run.
    pub async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let time = Duration::from_millis(query.deadline_ms).saturating_add(GRACE);
        self.http.send(Method::POST, "/query", query, time).await?.map_err(refused)
    }

    /// Reads the published counts of all members.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn fairness(&self) -> Result<Fairness, Error> {
        self.http.get("/fairness", GRACE).await?.map_err(refused)
    }
}
