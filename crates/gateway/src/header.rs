//! Names of the headers that the gateway exchanges with callers and leafs, and helpers to read
//! headers.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

/// Configurable names of the gateway's headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// Id of one attempt of a caller. Leafs echo it in the response.
    pub request_id: HeaderName,
    /// Time that the sender waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Id of the only leaf that may run the request.
    pub expected_leaf: HeaderName,
    /// Signature of a response by the leaf.
    pub signature: HeaderName,
    /// Present if the leaf did not run the request.
    pub not_run: HeaderName,
    /// Load of the leaf, as `running,waiting,slots`.
    pub load: HeaderName,
    /// Requests a second that the leaf takes from all instances together, if it limits them.
    pub rate_limit: HeaderName,
    /// `1` if the leaf leaves and wants no new requests.
    pub leaving: HeaderName,
    /// Signatures of the parts in a merged response, separated by commas.
    pub part_signatures: HeaderName,
    /// Number of shards that a merged response lacks.
    pub missing_parts: HeaderName,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            deadline_ms: HeaderName::from_static("x-deadline-ms"),
            expected_leaf: HeaderName::from_static("x-expected-leaf"),
            signature: HeaderName::from_static("x-signature"),
            not_run: HeaderName::from_static("x-not-run"),
            load: HeaderName::from_static("x-load"),
            rate_limit: HeaderName::from_static("x-rate-limit"),
            leaving: HeaderName::from_static("x-leaving"),
            part_signatures: HeaderName::from_static("x-part-signatures"),
            missing_parts: HeaderName::from_static("x-missing-parts"),
        }
    }
}

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Returns the trimmed value of a header, or `None` if it is absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// Returns the value of a header as an integer, or `None` if it is absent or not an integer.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name).and_then(|value| value.parse().ok())
}
