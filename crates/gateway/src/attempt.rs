//! One attempt: a request sent to one leaf, and its outcome.

use std::error::Error;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::response;
use hyper::http::uri::PathAndQuery;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_http::body;
use jaycrank_http::connection;
use jaycrank_http::meter::Content;
use jaycrank_policy::deadline::Deadline;
use jaycrank_policy::hold::Hold;
use jaycrank_policy::load_report;
use jaycrank_policy::memory::Memory;
use jaycrank_policy::placement::Ticket;
use jaycrank_policy::quarantine;
use jaycrank_policy::quarantine::Fingerprint;
use jaycrank_policy::rate_limit;
use jaycrank_policy::rest;
use jaycrank_policy::rest::Ended;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::header::Names;
use crate::header::number;
use crate::header::text;
use crate::leaf::Leaf;
use crate::leaf::Pass;
use crate::pool;
use crate::pool::Lease;
use crate::rate_limit::RateLimits;
use crate::reachability::Reachability;
use crate::rest::Rests;
use crate::round_trip::Estimator;
use crate::sent::SentLeafs;
use crate::witness::Verdict;

/// Largest answer of a leaf, in bytes.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// Value of the header by which a leaf says that it leaves.
const LEAVING: &str = "1";

/// Statuses that tell a caller that its request was not run.
const REFUSAL_STATUSES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Request as it is forwarded.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers, except those of the connection and those that the gateway sets.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Request id of the caller; empty if there is none.
    pub id: SmolStr,
    /// Address of the caller.
    pub caller: IpAddr,
}

/// Hashes what identifies a request at the leafs that run it. They do not see the caller's address,
/// and the id differs each time that the request is sent.
impl Hash for Outgoing {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.host().to_ascii_lowercase(), &self.method, self.target(), &self.body).hash(state);
    }
}

impl Outgoing {
    fn host(&self) -> &[u8] {
        self.headers.get(header::HOST).map(HeaderValue::as_bytes).unwrap_or_default()
    }

    fn target(&self) -> &str {
        self.uri.path_and_query().map_or("/", PathAndQuery::as_str)
    }

    /// Returns a hash of the host, the method and the target, to compare requests in logs.
    pub(crate) fn target_hash(&self) -> Fingerprint {
        let host = self.host().to_ascii_lowercase();
        let method = self.method.as_str().as_bytes();
        quarantine::fingerprint_of(&[&host, method, self.target().as_bytes()])
    }

    /// Returns a hash of the body, to compare requests in logs.
    pub(crate) fn body_hash(&self) -> Fingerprint {
        quarantine::fingerprint_of(&[&self.body])
    }

    /// Returns the hash by which the same request is known again, whoever sends it: a hash of what
    /// its leafs run. A caller may come from any address, so the address would hide that it is the
    /// same one.
    pub fn fingerprint(&self) -> Fingerprint {
        let host = self.host().to_ascii_lowercase();
        quarantine::fingerprint_of(&[
            &host,
            self.method.as_str().as_bytes(),
            self.target().as_bytes(),
            &self.body,
        ])
    }
}

/// Complete answer of a leaf.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers, except those of the connection.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Signature header of the leaf.
    pub signature: Option<HeaderValue>,
}

/// Outcome of a request to a leaf.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The leaf answered.
    Answered(Answer),
    /// The leaf stated that it did not run the request.
    NotRun(SmolStr),
    /// The request was not sent: the leaf may not get it now.
    Held(Hold),
    /// No byte of the request was sent.
    NotSent(SmolStr),
    /// The request was sent without a usable answer; it may have run.
    Lost(SmolStr),
    /// The connection broke with the request in flight, and nothing shows whether the leaf ended.
    Broken(SmolStr),
    /// The connection broke with the request in flight because the leaf's process ended.
    Crashed(SmolStr),
}

/// Guard that keeps a request counted as in flight at a leaf until the attempt ends or is dropped.
struct Observation {
    leaf: Arc<Leaf>,
    ticket: Option<Ticket>,
}

impl Observation {
    fn new(leaf: &Arc<Leaf>, now: std::time::Instant) -> Self {
        let ticket = leaf.stats().start(now);
        Self { leaf: leaf.clone(), ticket: Some(ticket) }
    }

    fn answer(mut self, round_trip: Duration) -> Option<Duration> {
        let ticket = self.ticket.take()?;
        Some(self.leaf.stats().record_answer(ticket, round_trip, now()))
    }

    fn fail(mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.leaf.stats().record_failure(ticket, now());
        }
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.leaf.stats().discard(ticket);
        }
    }
}

/// Settings of an attempt.
#[derive(Debug)]
pub struct Context {
    /// Names of headers.
    pub names: Arc<Names>,
    /// Estimated round-trip times to failure domains.
    pub round_trips: Arc<Estimator>,
    /// Deadline of the request.
    pub deadline: Deadline,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Permission to send the request to the leaf.
    pub pass: Pass,
    /// Leafs that may run the request.
    pub sent: Arc<SentLeafs>,
    /// Whether this instance reaches leafs.
    pub reachability: Arc<Reachability>,
    /// Limits that leafs state.
    pub rate_limits: Arc<RateLimits>,
    /// Rests that leafs ask for.
    pub rests: Arc<Rests>,
    /// Memory for answers until they are sent.
    pub answer_memory: Arc<Memory>,
}

/// Outcome of an attempt, with the service time if the leaf answered.
pub type Completion = (Outcome, Option<Duration>);

/// Sends a request to a leaf and reads the complete answer. Dropping the future closes the
/// connection, on which the leaf cancels the request.
pub async fn send_request(
    leaf: Arc<Leaf>,
    outgoing: Arc<Outgoing>,
    context: Context,
) -> Completion {
    let started = now();
    let observation = Observation::new(&leaf, started);
    // A pooled connection may hold a late response to another request, or be closed by the leaf at
    // this moment, so a request that may run only once gets a new connection.
    let fresh = !context.idempotent;
    context.reachability.record_send(started);
    let mut lease = match acquire(&leaf, &context, fresh).await {
        Ok(lease) => lease,
        Err(error) => {
            observation.fail();
            return (Outcome::NotSent(format_smolstr!("{error}")), None);
        }
    };
    if let Some(time) = lease.connect_time {
        let domain = leaf.with_entry(|entry| entry.failure_domain.clone());
        context.round_trips.record(&domain, time);
    }
    if let Err(hold) = leaf.confirm(&context.pass) {
        leaf.pool().release_unused(lease);
        return (Outcome::Held(hold), None);
    }
    let sent = leaf.rate_limit().is_limited().then(now);
    context.sent.insert(&leaf);
    leaf.pool().record_request();
    let mut request = build_request(&leaf, &outgoing, &context);
    let response = loop {
        lease.connection.meter.reset();
        match lease.connection.sender.try_send_request(request).await {
            Ok(response) => break response,
            Err(mut failure) => match failure.take_message() {
                // The leaf had closed the pooled connection; nothing was sent.
                Some(unsent) if lease.connect_time.is_none() => {
                    drop(lease);
                    lease = match acquire(&leaf, &context, true).await {
                        Ok(lease) => lease,
                        Err(error) => {
                            observation.fail();
                            return (Outcome::NotSent(format_smolstr!("{error}")), None);
                        }
                    };
                    if let Err(hold) = leaf.confirm(&context.pass) {
                        leaf.pool().release_unused(lease);
                        return (Outcome::Held(hold), None);
                    }
                    // Waiting for the connection took time, so the deadline header is set again.
                    request = unsent;
                    set_deadline(&mut request, &context);
                }
                Some(_) => {
                    observation.fail();
                    return (Outcome::NotSent("connection closed".into()), None);
                }
                None => {
                    observation.fail();
                    if lease.connect_time.is_some() {
                        leaf.pool().record_reset();
                    }
                    let outcome = if connection::is_invalid(failure.error()) {
                        Outcome::Lost(invalid_answer(failure.error()))
                    } else {
                        let detail = format_smolstr!("{}", failure.error());
                        broken_or_crashed(&leaf, lease, detail).await
                    };
                    return (outcome, None);
                }
            },
        }
    };
    read_response(&leaf, &outgoing, &context, observation, lease, response, sent).await
}

/// Obtains a connection and records whether one could be opened.
async fn acquire(leaf: &Leaf, context: &Context, fresh: bool) -> Result<Lease, pool::Error> {
    let acquired = leaf.pool().acquire(fresh).await;
    let is_new = acquired.as_ref().map_or(true, |lease| lease.connect_time.is_some());
    // Without a socket nothing shows whether the leaf is reachable.
    if is_new && !matches!(acquired, Err(pool::Error::NoSocket)) {
        context.reachability.record_connect(acquired.is_ok());
    }
    acquired
}

async fn read_response(
    leaf: &Arc<Leaf>,
    outgoing: &Outgoing,
    context: &Context,
    observation: Observation,
    lease: Lease,
    response: Response<Incoming>,
    sent: Option<std::time::Instant>,
) -> Completion {
    context.reachability.record_answer(now());
    let (head, body) = response.into_parts();
    let names = &context.names;
    if !is_own_response(leaf, outgoing, context, &head, lease.connect_time.is_none()) {
        // The connection is dropped: what it still holds belongs to another request.
        return (Outcome::Lost("response to another request".into()), None);
    }
    if !is_final(head.status) {
        // The connection is dropped: it is not known what follows such an answer.
        observation.fail();
        let detail = format_smolstr!("status {}, which is not final", head.status.as_u16());
        return (Outcome::Lost(detail), None);
    }
    record_limit(leaf, context, &head, sent);
    record_leaving(leaf, context, &head);
    let rests = record_rest(leaf, context, &head);
    let content = Content::new(body, &lease.connection.meter);
    let body = match body::read(content, ANSWER_BYTES_MAX, &context.answer_memory).await {
        Ok(body) => body,
        Err(body::Error::TooLarge) => {
            observation.fail();
            return (Outcome::Lost("response body too large".into()), None);
        }
        Err(body::Error::Exhausted) => {
            // The leaf is not broken.
            drop(observation);
            return (Outcome::Lost("no memory for the response body".into()), None);
        }
        Err(body::Error::Incomplete(error)) if connection::is_invalid(&error) => {
            observation.fail();
            return (Outcome::Lost(invalid_answer(&error)), None);
        }
        Err(body::Error::Incomplete(error)) => {
            observation.fail();
            let detail = format_smolstr!("response body incomplete: {error}");
            return (broken_or_crashed(leaf, lease, detail).await, None);
        }
    };
    let mut headers = head.headers;
    if head.status.is_success() && !headers.contains_key(&names.signature) {
        // A leaf signs each success. A body without a length that ends when the leaf ends looks
        // complete.
        observation.fail();
        return (broken_or_crashed(leaf, lease, "success without a signature".into()).await, None);
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        record_load(leaf, context, &headers);
    }
    leaf.pool().release(lease, keep_alive_timeout(&headers));
    crate::header::strip_hop_by_hop(&mut headers);
    let refused =
        head.status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&names.not_run);
    if rests {
        // The leaf is not broken.
        drop(observation);
        let detail = format_smolstr!("status {}, asks for rest", head.status.as_u16());
        return (if refused { Outcome::NotRun(detail) } else { Outcome::Lost(detail) }, None);
    }
    if refused {
        observation.fail();
        return (Outcome::NotRun(format_smolstr!("status {}", head.status.as_u16())), None);
    }
    if REFUSAL_STATUSES.contains(&head.status) {
        // These statuses would tell the caller that the request was not run, which the leaf did not
        // state.
        observation.fail();
        return (
            Outcome::Lost(format_smolstr!(
                "status {} without the not-run header",
                head.status.as_u16()
            )),
            None,
        );
    }
    let time = if head.status.is_server_error() {
        observation.fail();
        None
    } else {
        let domain = leaf.with_entry(|entry| entry.failure_domain.clone());
        observation.answer(context.round_trips.estimate(&domain))
    };
    let signature = headers.get(&names.signature).cloned();
    (Outcome::Answered(Answer { status: head.status, headers, body, signature }), time)
}

/// Returns whether a status is one of a final answer in HTTP, which may be passed to a caller. The HTTP
/// library takes any of three digits.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response is one to this request. On a connection that is `reused`, a success
/// without an id may be a late copy of an earlier answer if the leaf states the id otherwise.
fn is_own_response(
    leaf: &Leaf,
    outgoing: &Outgoing,
    context: &Context,
    head: &response::Parts,
    reused: bool,
) -> bool {
    match text(&head.headers, &context.names.request_id) {
        Some(echoed) => {
            let is_own = echoed == outgoing.id;
            if is_own && head.status.is_success() {
                leaf.record_echo();
            }
            is_own
        }
        None => !(reused && head.status.is_success() && leaf.echoes_ids()),
    }
}

/// Logs a header of a leaf whose value is not defined.
#[cold]
fn log_invalid(leaf: &Leaf, name: &HeaderName, value: &HeaderValue) {
    let (id, service) = leaf.with_entry(|entry| (entry.id.clone(), entry.service.clone()));
    let value = String::from_utf8_lossy(value.as_bytes());
    event!(Event::LeafHeaderInvalid, leaf = id, service = service, header = name, value = value);
}

/// Records the load that an answer of the leaf reports.
fn record_load(leaf: &Leaf, context: &Context, headers: &HeaderMap) {
    let name = &context.names.load;
    let Some(value) = headers.get(name) else { return };
    let parsed = value.to_str().map(load_report::parse).unwrap_or_default();
    let mut stats = leaf.stats();
    if let Some(load) = parsed.load {
        stats.record_report(load, now());
    }
    if let Some(pace) = parsed.pace {
        stats.record_pace(pace, now());
    }
    drop(stats);
    if parsed.is_malformed || value.to_str().is_err() {
        log_invalid(leaf, name, value);
    }
}

/// Records the limit that an answer of the leaf states, or that it states none.
fn record_limit(
    leaf: &Arc<Leaf>,
    context: &Context,
    head: &response::Parts,
    sent: Option<std::time::Instant>,
) {
    let mut values = head.headers.get_all(&context.names.rate_limit).iter();
    let Some(value) = values.next() else {
        // Another process may answer at the address of a leaf that has ended.
        if let Some(sent) = sent.filter(|_| head.status != StatusCode::MISDIRECTED_REQUEST) {
            context.rate_limits.record_end(leaf, sent);
        }
        return;
    };
    let rate = value.to_str().ok().and_then(rate_limit::parse);
    match rate.filter(|_| values.all(|other| other == value)) {
        Some(rate) => context.rate_limits.record_limit(leaf, rate),
        None => event!(
            Event::LeafLimitInvalid,
            leaf = leaf.with_entry(|entry| entry.id.clone()),
            service = leaf.with_entry(|entry| entry.service.clone()),
            value = String::from_utf8_lossy(value.as_bytes())
        ),
    }
}

/// Records that the leaf leaves if its answer says so. Another process may answer at the address of
/// a leaf that has ended.
fn record_leaving(leaf: &Leaf, context: &Context, head: &response::Parts) {
    let name = &context.names.leaving;
    if head.status == StatusCode::MISDIRECTED_REQUEST || !head.headers.contains_key(name) {
        return;
    }
    if let Some(value) = head.headers.get_all(name).iter().find(|value| *value != LEAVING) {
        log_invalid(leaf, name, value);
    } else if leaf.mark_leaving(now()) {
        let (id, service) = leaf.with_entry(|entry| (entry.id.clone(), entry.service.clone()));
        event!(Event::LeafLeaving, leaf = id, service = service, source = "answer");
    }
}

/// Records the rest that the leaf asks for, or how it answered a trial; returns whether it asks for
/// rest.
fn record_rest(leaf: &Leaf, context: &Context, head: &response::Parts) -> bool {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            context.pass.record(Ended::Answered);
        }
        return false;
    }
    context.pass.record(Ended::Rejected);
    let mut values = head.headers.get_all(header::RETRY_AFTER).iter();
    let Some(value) = values.next() else { return false };
    let time = value.to_str().ok().and_then(rest::parse);
    match time.filter(|_| values.all(|other| other == value)) {
        Some(time) if time.is_zero() => false,
        Some(time) => {
            context.rests.record(leaf, time, now());
            true
        }
        None => {
            log_invalid(leaf, &header::RETRY_AFTER, value);
            false
        }
    }
}

/// Describes an answer that is not valid. The process that sends one has not ended.
#[cold]
fn invalid_answer(error: &hyper::Error) -> SmolStr {
    let cause = error.source().map_or_else(SmolStr::default, |cause| format_smolstr!(": {cause}"));
    format_smolstr!("answer is not valid: {error}{cause}")
}

/// Returns the outcome of a request whose connection broke.
async fn broken_or_crashed(leaf: &Leaf, lease: Lease, detail: SmolStr) -> Outcome {
    match leaf.pool().examine(lease).await {
        Verdict::Ended => Outcome::Crashed(detail),
        Verdict::Running => Outcome::Lost(detail),
        Verdict::Unknown => Outcome::Broken(detail),
    }
}

fn set_deadline(request: &mut Request<Full<Bytes>>, context: &Context) {
    let remaining = context.deadline.at().saturating_duration_since(Instant::now());
    let value = (remaining.as_millis() as u64).max(1).into();
    request.headers_mut().insert(context.names.deadline_ms.clone(), value);
}

fn build_request(leaf: &Leaf, outgoing: &Outgoing, context: &Context) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    set_deadline(&mut request, context);
    let headers = request.headers_mut();
    leaf.with_entry(|entry| insert_header(headers, &context.names.expected_leaf, &entry.id));
    // An empty body keeps the Content-Length that the caller sent, if any.
    if !outgoing.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, outgoing.body.len().into());
    }
    request
}

fn insert_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}

/// Returns the idle timeout of a `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, &HeaderName::from_static("keep-alive"))?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Returns the deadline that a caller sent, in milliseconds.
pub(crate) fn deadline_ms(headers: &HeaderMap, names: &Names) -> Option<u64> {
    number(headers, &names.deadline_ms)
}
