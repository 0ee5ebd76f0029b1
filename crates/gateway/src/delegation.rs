//! Passes requests to another instance while this one is cut off from all leafs.
//!
//! A request is passed on once: the instance that receives it runs it or declines it. It gets the
//! caller's address, the time that is left, and whether a leaf may already have the request. Only
//! other instances reach the path, which is served by their listener.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use jaycrank_http::Client;
use jaycrank_policy::memory::Exhausted;
use jaycrank_policy::memory::Memory;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::answer::Refusal;
use crate::answer::Reply;
use crate::attempt::Outgoing;
use crate::attempt::is_final;
use crate::call;
use crate::call::Service;
use crate::config::Version;
use crate::gateway::Gateway;
use crate::leaf::LeafKey;
use crate::peer::Peers;
use crate::query;
use crate::sent::LeafsByService;
use crate::server::Phase;
use crate::traffic::Counter;
use crate::traffic::Kind;
use crate::traffic::Traffic;

/// HTTP path at which other instances pass requests to this one.
pub(crate) const DELEGATION_PATH: &str = "/delegation";
/// Header of a reply to another instance, with the start and the id of a leaf that leaves: an answer
/// by which a leaf leaves counts at both instances.
const LEAVING_LEAF: HeaderName = HeaderName::from_static("x-leaving-leaf");
/// Most requests of other instances that are run at a time.
const REQUESTS_MAX: usize = 64;
/// Largest answer, in bytes; answers of leafs are smaller.
const ANSWER_BYTES_MAX: usize = 9 << 20;
/// Time within which a connection to an instance must be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a question about the state of an instance.
const STATUS_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which instances are asked for their state during a cut.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of instances that are asked for their state at a time.
const STATUS_PEERS: usize = 8;
/// Time for which the known state of an instance holds.
const STATUS_LIFETIME: Duration = Duration::from_millis(1_500);
/// Most instances that a request is offered to.
const OFFERS_MAX: usize = 4;
/// Part of the time left that is kept for the way of the answer back.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// Request as one instance passes it to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) method: SmolStr,
    pub(crate) uri: String,
    pub(crate) headers: Vec<(SmolStr, Bytes)>,
    pub(crate) body: Bytes,
    pub(crate) id: SmolStr,
    pub(crate) caller: IpAddr,
    pub(crate) host: SmolStr,
    /// Milliseconds until the caller or the route gives up.
    pub(crate) deadline_ms: u64,
    /// Milliseconds until the answer should be there to meet the target latency.
    pub(crate) answer_in_ms: u64,
    /// Version of the configuration at the sender; an older one must not be applied.
    pub(crate) version: Version,
    /// Leafs that the sender has sent the request to, by service.
    pub(crate) sent: LeafsByService,
}

impl Request {
    /// Takes the request to forward, whose body counts in `memory`, out of the message.
    /// Returns `None` if a part is not valid or there is no memory.
    pub(crate) fn outgoing(&mut self, memory: &Arc<Memory>) -> Option<Outgoing> {
        let mut reservation = memory.reserve();
        reservation.grow(self.body.len(), now()).ok()?;
        Some(Outgoing {
            method: self.method.parse().ok()?,
            uri: self.uri.parse().ok()?,
            headers: decode_headers(&self.headers)?,
            body: Bytes::from_owner(reservation.hold(std::mem::take(&mut self.body).into())),
            id: self.id.clone(),
            caller: self.caller,
        })
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    /// Asks whether the instance could run requests.
    Status,
    Run(Box<Request>),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Answer {
    Status(Status),
    /// The instance has not run the request and will not run it.
    Declined(Status),
    Answered {
        status: u16,
        headers: Vec<(SmolStr, Bytes)>,
        body: Bytes,
        load: u32,
    },
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Status {
    /// Whether it runs requests of other instances: it reaches leafs and knows its routes.
    helps: bool,
    /// Requests in progress.
    load: u32,
}

/// Outcome of a request that was to be passed on.
pub(crate) enum Outcome {
    /// An instance answered it.
    Answered(SocketAddr, Reply),
    /// No instance ran it.
    Declined,
    /// An instance may have run it; its answer is lost.
    Lost,
}

/// What is known of another instance.
#[derive(Debug)]
struct Helper {
    client: Arc<Client>,
    /// Last state and its time; `None` for an instance that did not answer.
    status: Option<Status>,
    at: Option<Instant>,
    /// Requests of this instance that it runs.
    outstanding: u32,
}

impl Helper {
    fn new(address: SocketAddr, answers: Arc<Memory>) -> Self {
        let client = call::client(address)
            .with_memory(answers)
            .with_reply_bytes_max(ANSWER_BYTES_MAX)
            .with_connect_timeout(CONNECT_TIMEOUT);
        Self { client: Arc::new(client), status: None, at: None, outstanding: 0 }
    }

    fn is_known(&self) -> bool {
        self.at.is_some_and(|at| at.elapsed() < STATUS_LIFETIME)
    }

    /// Returns whether it may run a request: it has not declined or failed lately.
    fn may_help(&self) -> bool {
        !self.is_known() || self.status.is_some_and(|status| status.helps)
    }

    fn load(&self) -> u32 {
        self.outstanding + self.status.map_or(0, |status| status.load)
    }
}

/// Other instances, as helpers of this one.
#[derive(Debug)]
pub struct Delegator {
    peers: Arc<Peers>,
    traffic: Arc<Traffic>,
    /// Memory for answers until they are sent.
    answers: Arc<Memory>,
    helpers: Mutex<BTreeMap<SocketAddr, Helper>>,
}

/// Guard that counts a request as run by a helper.
struct Outstanding<'a>(&'a Delegator, SocketAddr);

impl<'a> Outstanding<'a> {
    fn new(delegator: &'a Delegator, helper: SocketAddr) -> Self {
        if let Some(helper) = delegator.lock().get_mut(&helper) {
            helper.outstanding += 1;
        }
        Self(delegator, helper)
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        if let Some(helper) = self.0.lock().get_mut(&self.1) {
            helper.outstanding -= 1;
        }
    }
}

impl Delegator {
    /// Creates a delegator that passes requests to `peers`.
    pub(crate) fn new(peers: Arc<Peers>, traffic: Arc<Traffic>, answers: Arc<Memory>) -> Self {
        Self { peers, traffic, answers, helpers: Mutex::default() }
    }

    /// Returns a new helper, about which nothing is known.
    fn helper(&self, address: SocketAddr) -> Helper {
        Helper::new(address, self.answers.clone())
    }

    /// Returns whether another instance is known.
    pub(crate) fn has_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Returns whether all instances that answered lately say that they can't help either. Then no
    /// other instance serves callers better.
    pub(crate) fn is_pointless(&self) -> bool {
        let helpers = self.lock();
        let mut answered = helpers.values().filter(|helper| helper.is_known()).peekable();
        answered.peek().is_some()
            && answered.all(|helper| helper.status.is_some_and(|status| !status.helps))
    }

    /// Passes a request to an instance that reaches leafs.
    pub(crate) async fn run(&self, request: Request, idempotent: bool, end: Instant) -> Outcome {
        let mut request = request;
        let mut offered = Vec::new();
        while offered.len() < OFFERS_MAX
            && let Some((peer, client)) = self.choose(&offered)
        {
            offered.push(peer);
            let _outstanding = Outstanding::new(self, peer);
            // A pooled connection may be closed at this moment, so that it would be unknown whether
            // a request that may run only once was received.
            let client = if idempotent { client } else { self.helper(peer).client };
            let mut time = end.saturating_duration_since(Instant::now());
            if idempotent {
                // The instance may be frozen; the caller then still has time for another one.
                time /= 2;
            }
            request.deadline_ms = millis_until(end);
            let message = Message::Run(Box::new(request.clone()));
            match call::call(&client, DELEGATION_PATH, &message, time, self.counter(peer)).await {
                Ok(Answer::Answered { status, headers, body, load }) => {
                    self.record(peer, Some(Status { helps: true, load }));
                    return match reply(status, &headers, body, &self.answers) {
                        Some(reply) => Outcome::Answered(peer, reply),
                        None => Outcome::Lost,
                    };
                }
                Ok(Answer::Declined(status) | Answer::Status(status)) => {
                    self.record(peer, Some(status));
                }
                Err(call::Error::NotSent(_) | call::Error::Rejected(_)) => self.record(peer, None),
                Err(call::Error::Lost(_) | call::Error::Invalid(_)) => {
                    // It is unknown which leafs got the request, so the limit on them could be
                    // exceeded by another instance.
                    self.record(peer, None);
                    return Outcome::Lost;
                }
            }
        }
        Outcome::Declined
    }

    /// Asks instances for their state at an interval while this one is cut off, until it is aborted.
    pub(crate) async fn watch(self: Arc<Self>, gateway: Arc<Gateway>) {
        loop {
            gateway.reachability().wait_for_cut().await;
            self.ask_for_status().await;
            sleep(STATUS_INTERVAL).await;
        }
    }

    async fn ask_for_status(&self) {
        let sample =
            |peers: Vec<SocketAddr>| peers.into_iter().sample(&mut rand::rng(), STATUS_PEERS);
        let nearest_first = self.peers.by_distance().into_iter().flat_map(sample);
        let calls = nearest_first.take(STATUS_PEERS).map(|peer| async move {
            let client = self.client(peer);
            let (message, counter) = (Message::Status, self.counter(peer));
            let answer =
                call::call(&client, DELEGATION_PATH, &message, STATUS_TIMEOUT, counter).await;
            match answer {
                Ok(Answer::Status(status)) => self.record(peer, Some(status)),
                _ => self.record(peer, None),
            }
        });
        join_all(calls).await;
        let known = self.peers.addresses();
        self.lock().retain(|peer, helper| helper.outstanding > 0 || known.contains(peer));
    }

    /// Chooses the less loaded of two instances, of the nearest ones that may help.
    fn choose(&self, offered: &[SocketAddr]) -> Option<(SocketAddr, Arc<Client>)> {
        let mut helpers = self.lock();
        for peers in self.peers.by_distance() {
            let candidates = peers.into_iter().filter(|peer| !offered.contains(peer));
            let candidates =
                candidates.filter(|peer| helpers.get(peer).is_none_or(Helper::may_help));
            let two = candidates.sample(&mut rand::rng(), 2);
            let load = |peer: &SocketAddr| helpers.get(peer).map_or(0, Helper::load);
            if let Some(peer) = two.into_iter().min_by_key(load) {
                let helper = helpers.entry(peer).or_insert_with(|| self.helper(peer));
                return Some((peer, helper.client.clone()));
            }
        }
        None
    }

    fn counter(&self, peer: SocketAddr) -> &Counter {
        self.traffic.counter(Kind::Delegated, self.peers.distance(peer))
    }

    fn client(&self, peer: SocketAddr) -> Arc<Client> {
        self.lock().entry(peer).or_insert_with(|| self.helper(peer)).client.clone()
    }

    fn record(&self, peer: SocketAddr, status: Option<Status>) {
        let mut helpers = self.lock();
        let helper = helpers.entry(peer).or_insert_with(|| self.helper(peer));
        helper.status = status;
        helper.at = Some(Instant::now());
        // A client of an instance that failed may hold broken connections.
        if status.is_none() {
            helper.client = self.helper(peer).client;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Helper>> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names the leafs that leave in the reply to another instance.
pub(crate) fn set_leaving(reply: &mut Reply, leaving: Vec<LeafKey>) {
    for (id, started_ms) in leaving {
        if let Ok(value) = HeaderValue::from_str(&format!("{started_ms} {id}")) {
            reply.headers_mut().append(LEAVING_LEAF, value);
        }
    }
}

/// Removes the names of the leafs that leave from the reply of another instance and returns them.
pub(crate) fn take_leaving(reply: &mut Reply) -> Vec<LeafKey> {
    let parse = |value: &HeaderValue| {
        let (started_ms, id) = value.to_str().ok()?.split_once(' ')?;
        Some((id.into(), started_ms.parse().ok()?))
    };
    let leaving = reply.headers().get_all(LEAVING_LEAF).iter().filter_map(parse).collect();
    reply.headers_mut().remove(LEAVING_LEAF);
    leaving
}

/// Returns headers as they are sent to another instance.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(SmolStr, Bytes)> {
    let encoded = headers.iter().map(|(name, value)| {
        (SmolStr::new(name.as_str()), Bytes::copy_from_slice(value.as_bytes()))
    });
    encoded.collect()
}

/// Returns headers that another instance sent, or `None` if one is not valid.
fn decode_headers(encoded: &[(SmolStr, Bytes)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(encoded.len());
    for (name, value) in encoded {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Returns the reply to a caller. Its body counts in `memory` until it is sent.
fn reply(
    status: u16,
    headers: &[(SmolStr, Bytes)],
    body: Bytes,
    memory: &Arc<Memory>,
) -> Option<Reply> {
    let mut reservation = memory.reserve();
    reservation.grow(body.len(), now()).ok()?;
    let body = Bytes::from_owner(reservation.hold(body.into()));
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = StatusCode::from_u16(status).ok().filter(|status| is_final(*status))?;
    *reply.headers_mut() = decode_headers(headers)?;
    Some(reply)
}

/// Runs the requests that other instances pass on.
pub(crate) struct Responder {
    gateway: Arc<Gateway>,
    phase: watch::Receiver<Phase>,
    running: Arc<AtomicUsize>,
}

/// Guard that counts a request of another instance as running.
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    /// Returns `None` if as many as possible are running.
    fn new(running: &'a AtomicUsize) -> Option<Self> {
        let guard = (running.fetch_add(1, Ordering::Relaxed), Self(running));
        (guard.0 < REQUESTS_MAX).then_some(guard.1)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Responder {
    /// Creates a responder that runs requests by the routes of `gateway`.
    pub(crate) fn new(gateway: Arc<Gateway>, phase: watch::Receiver<Phase>) -> Self {
        Self { gateway, phase, running: Arc::default() }
    }

    /// Returns the number of requests of other instances in progress.
    pub(crate) fn running(&self) -> Arc<AtomicUsize> {
        self.running.clone()
    }

    fn status(&self) -> Status {
        let load = u32::try_from(self.gateway.shedder().admitted()).unwrap_or(u32::MAX);
        let helps = *self.phase.borrow() == Phase::Serving
            && !self.gateway.reachability().is_cut_off()
            && self.gateway.directory().is_complete();
        Status { helps, load }
    }

    /// Returns the answer to a request whose answer by a leaf is lost.
    fn lost(&self) -> Answer {
        let status = Refusal::Lost.status().as_u16();
        let load = self.status().load;
        Answer::Answered { status, headers: Vec::new(), body: Bytes::new(), load }
    }

    async fn run(&self, request: Request) -> Answer {
        let status = self.status();
        let busy = Status { helps: false, ..status };
        let Some(_running) = Running::new(&self.running) else { return Answer::Declined(busy) };
        if !status.helps {
            return Answer::Declined(status);
        }
        let Some(reply) = query::answer_delegated(&self.gateway, request).await else {
            return Answer::Declined(status);
        };
        let (head, body) = reply.into_parts();
        let Ok(body) = body.collect().await;
        Answer::Answered {
            status: head.status.as_u16(),
            headers: encode_headers(&head.headers),
            body: body.to_bytes(),
            load: self.status().load,
        }
    }
}

#[async_trait]
impl Service for Responder {
    async fn respond(&self, message: Bytes) -> Result<Bytes, call::Error> {
        let decoded = call::decode(&message)?;
        // The decoded request holds a copy of what it needs.
        drop(message);
        let mut answer = match decoded {
            Message::Status => Answer::Status(self.status()),
            Message::Run(request) => self.run(*request).await,
        };
        let mut memory = self.gateway.answer_memory().reserve();
        if let Answer::Answered { body, .. } = &answer
            && memory.grow(body.len(), now()) == Err(Exhausted)
        {
            // The request has run, so it must not look as if it had been declined.
            answer = self.lost();
        }
        let encoded = call::encode(&answer)?;
        Ok(Bytes::from_owner(memory.hold(encoded)))
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Returns the milliseconds until `end`, less what the answer takes on its way back.
pub(crate) fn millis_until(end: Instant) -> u64 {
    let left = end.saturating_duration_since(Instant::now()).saturating_sub(RETURN_MARGIN);
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}
