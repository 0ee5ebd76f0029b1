//! The leaf protocol: HTTP/1.1 with the headers named here.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Uri;
use jaycrank_policy::snapshot::Version;
use strum::Display;
use strum::EnumString;

/// Identifier of a sub-request, unique in an instance's lifetime and echoed by the leaf.
pub type Id = u64;

/// Request and reply header with the sub-request id, decimal.
pub const ID_HEADER: &str = "x-request-id";
/// Request header with the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request and reply header with the index version, decimal.
pub const SNAPSHOT_HEADER: &str = "x-snapshot";
/// Request header with the attempt id of a non-idempotent request.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Reply header with requests in flight and queued, as percent of the leaf's slots.
pub const LOAD_HEADER: &str = "x-load";
/// Reply header with the index versions held, comma separated.
pub const VERSIONS_HEADER: &str = "x-versions";
/// Reply header with the state of the leaf.
pub const STATE_HEADER: &str = "x-state";
/// Reply header of `/ping` with an `x-request-id`: 1 if the leaf has that request queued or
/// running, else 0.
pub const RUNNING_HEADER: &str = "x-running";

/// Status of a cancelled sub-request.
pub const CANCELLED_STATUS: u16 = 499;

/// Largest reply that is read from a leaf, in bytes.
pub const REPLY_BYTES_MAX: usize = 1 << 20;

/// State that a leaf reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// In service.
    #[default]
    Ok,
    /// Finishing its work; it gets no new requests.
    Draining,
    /// Started a short time ago; slower than usual.
    Cold,
}

/// One sub-request.
#[derive(Clone, Debug)]
pub struct Frame {
    /// Identifier echoed by the leaf.
    pub id: Id,
    /// Path, `/search/GROUP`.
    pub path: Uri,
    /// Index version to answer from.
    pub snapshot: Version,
    /// Time left for the answer.
    pub deadline: Duration,
    /// Attempt id of a non-idempotent request.
    pub attempt: Option<u64>,
    /// Hash of service and body; reported if the connection breaks.
    pub fingerprint: u64,
    /// Body, passed through.
    pub body: Bytes,
}

/// Reply to one sub-request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Sub-request id that the leaf echoed.
    pub id: Option<Id>,
    /// Index version that the leaf answered from.
    pub snapshot: Option<Version>,
    /// Reported load as a fraction of slots.
    pub load: Option<f64>,
    /// Index versions held, if reported.
    pub versions: Option<Vec<Version>>,
    /// Reported state.
    pub state: State,
    /// Whether the leaf has the request that a ping asked for.
    pub running: Option<bool>,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Decodes status and headers; the body is empty.
    ///
    /// A header that is absent or malformed is taken as not sent.
    pub fn decode(status: u16, headers: &HeaderMap) -> Self {
        let versions = headers.get(VERSIONS_HEADER).and_then(|value| value.to_str().ok());
        let load = parsed(headers, LOAD_HEADER).filter(|percent: &f64| percent.is_finite());
        Self {
            status,
            id: parsed(headers, ID_HEADER),
            snapshot: parsed(headers, SNAPSHOT_HEADER),
            load: load.map(|percent| percent.max(0.0) / 100.0),
            versions: versions
                .map(|list| list.split(',').filter_map(|item| item.trim().parse().ok()).collect()),
            state: parsed(headers, STATE_HEADER).unwrap_or_default(),
            running: parsed(headers, RUNNING_HEADER).map(|running: u8| running != 0),
            body: Bytes::new(),
        }
    }
}

fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
