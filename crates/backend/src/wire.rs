//! The leaf protocol: headers, requests and replies over HTTP/1.1.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Uri;
use jaycrank_policy::snapshot::Version;
use strum::Display;
use strum::EnumString;

/// Identifier of a sub-request, unique in the lifetime of an instance and echoed by the leaf.
pub type Id = u64;

/// Request and reply header with the sub-request id, decimal.
pub const ID_HEADER: &str = "x-request-id";
/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request and reply header with the index version, decimal.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// Request header with the attempt id of a non-idempotent request.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Reply header with the load: requests running and queued, as a percentage of the leaf's slots.
pub const LOAD_HEADER: &str = "x-load";
/// Reply header with the index versions that the leaf holds, separated by commas.
pub const VERSIONS_HEADER: &str = "x-versions";
/// Reply header with the state of the leaf.
pub const STATE_HEADER: &str = "x-state";
/// Reply header of `/ping` with an `x-request-id`: 1 if the leaf has that request queued or
/// running, else 0.
pub const RUNNING_HEADER: &str = "x-running";

/// HTTP status of the reply to a cancelled sub-request.
pub const CANCELLED_STATUS: u16 = 499;

/// Maximum size of a reply body.
pub const REPLY_BYTES_MAX: usize = 1 << 20;

/// State that a leaf reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Serving requests.
    #[default]
    Ok,
    /// Finishing its requests; it must not get new ones.
    Draining,
    /// Started recently and slower than usual.
    Cold,
}

/// A sub-request.
#[derive(Clone, Debug)]
pub struct Frame {
    /// Identifier echoed by the leaf.
    pub id: Id,
    /// Path, `/search/GROUP`.
    pub path: Uri,
    /// Index version that the leaf must answer from.
    pub snapshot: Version,
    /// Time left until the deadline.
    pub timeout: Duration,
    /// Attempt id of a non-idempotent request.
    pub attempt_id: Option<u64>,
    /// Hash of service and body, reported to the observer if the connection breaks. Not sent.
    pub fingerprint: u64,
    /// Body, passed through unchanged.
    pub body: Bytes,
}

/// Reply to a sub-request or control request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Sub-request id echoed by the leaf.
    pub id: Option<Id>,
    /// Index version that the leaf answered from.
    pub snapshot: Option<Version>,
    /// Reported load, as a fraction of the leaf's slots.
    pub load: Option<f64>,
    /// Index versions held, if reported.
    pub versions: Option<Vec<Version>>,
    /// Reported state.
    pub state: State,
    /// Whether the leaf has the sub-request that a ping asked for, if reported.
    pub running: Option<bool>,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Decodes status and headers; the body is left empty.
    ///
    /// A malformed header is treated as absent.
    pub fn decode(status: u16, headers: &HeaderMap) -> Self {
        let versions = headers.get(VERSIONS_HEADER).and_then(|value| value.to_str().ok());
        let load = parse_header(headers, LOAD_HEADER).filter(|percent: &f64| percent.is_finite());
        Self {
            status,
            id: parse_header(headers, ID_HEADER),
            snapshot: parse_header(headers, SNAPSHOT_HEADER),
            load: load.map(|percent| percent.max(0.0) / 100.0),
            versions: versions
                .map(|list| list.split(',').filter_map(|item| item.trim().parse().ok()).collect()),
            state: parse_header(headers, STATE_HEADER).unwrap_or_default(),
            running: parse_header(headers, RUNNING_HEADER).map(|running: u8| running != 0),
            body: Bytes::new(),
        }
    }
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
