//! Stand-in for a leaf, with slots, a queue, index versions and injected failures.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jaycrank_backend::wire::ATTEMPT_HEADER;
use jaycrank_backend::wire::CANCELLED_STATUS;
use jaycrank_backend::wire::DEADLINE_HEADER;
use jaycrank_backend::wire::ID_HEADER;
use jaycrank_backend::wire::LOAD_HEADER;
use jaycrank_backend::wire::RUNNING_HEADER;
use jaycrank_backend::wire::SNAPSHOT_HEADER;
use jaycrank_backend::wire::STATE_HEADER;
use jaycrank_backend::wire::State;
use jaycrank_backend::wire::VERSIONS_HEADER;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::counts::Counts;
use crate::misdelivery::Misdelivery;

/// Time between two checks whether an unreachable leaf is reachable again.
const REACHABILITY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Largest timer overrun that shortens later service times; more means that the machine was
/// overloaded.
const OVERRUN_MAX: Duration = Duration::from_millis(50);

/// Capacity, service times and injected failures of a leaf.
///
/// Every field except `slots` may change while the leaf runs.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Maximum number of requests that run at a time.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; more are shed with status 503.
    pub queue_max: usize,
    /// Mean service time.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time; 0 makes the time constant.
    pub service_time_sigma: f64,
    /// Factor applied to all service times.
    pub slowdown: f64,
    /// Fraction of requests that take `straggler_factor` times as long.
    pub straggler_fraction: f64,
    /// Factor applied to the service time of stragglers.
    pub straggler_factor: f64,
    /// Delay before the first request of a new connection is read.
    pub connect_delay: Duration,
    /// Maximum number of open connections; more are closed as soon as they are accepted.
    pub connections_max: usize,
    /// Load to report instead of the true one, as a fraction of the slots.
    pub reported_load: Option<f64>,
    /// Index versions that the leaf holds; requests for any other get status 409.
    pub versions: BTreeSet<u64>,
    /// State that the leaf reports.
    pub state: State,
    /// Whether the leaf sheds new requests while it reports that it is draining.
    pub refuses_draining: bool,
    /// Text that crashes the leaf if a request body contains it.
    pub crash_on: Option<SmolStr>,
    /// Fault injected into the replies to sub-requests.
    pub fault: Fault,
    /// Status that replaces the true one in all replies to sub-requests.
    pub status: Option<u16>,
    /// Fraction of replies that are replaced by the previous reply of this leaf.
    pub replaced_fraction: f64,
    /// Fraction of replies that are sent again in reply to the next request of their connection.
    /// All later replies of that connection are then one request late.
    pub duplicated_fraction: f64,
    /// Whether runs are counted by body for all requests, not only for those with an attempt id.
    pub records_bodies: bool,
    /// Whether the leaf is unreachable: it neither handles requests nor sends replies meanwhile.
    pub unreachable: bool,
}

/// Fault injected into the replies to sub-requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Replies carry the id of another sub-request.
    WrongId,
    /// Replies carry an index version that was not requested.
    WrongVersion,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            slots: 2,
            queue_max: 1_024,
            service_time: Duration::from_millis(4),
            service_time_sigma: 0.0,
            slowdown: 1.0,
            straggler_fraction: 0.0,
            straggler_factor: 1.0,
            connect_delay: Duration::ZERO,
            connections_max: 1_024,
            reported_load: None,
            versions: BTreeSet::from([1]),
            state: State::Ok,
            refuses_draining: true,
            crash_on: None,
            fault: Fault::None,
            status: None,
            replaced_fraction: 0.0,
            duplicated_fraction: 0.0,
            records_bodies: false,
            unreachable: false,
        }
    }
}

/// State shared by all connections of a leaf.
#[derive(Debug)]
struct Shared {
    name: SmolStr,
    behavior: Mutex<Behavior>,
    slots: Semaphore,
    in_flight: AtomicUsize,
    open_connections: AtomicUsize,
    accepted_connections: AtomicU64,
    /// Number of the last connection that [`Leaf::silence`] applies to.
    silent_up_to: AtomicU64,
    peak_connections: AtomicUsize,
    /// Number of the last connection that [`Leaf::silence_half`] applies to.
    half_silent_up_to: AtomicU64,
    last_received: Mutex<Option<Instant>>,
    counts: Counts,
    runs_by_attempt: Mutex<BTreeMap<u64, u64>>,
    runs_by_body: Mutex<BTreeMap<Bytes, u64>>,
    /// Time by which earlier sleeps exceeded their service times.
    overrun: Mutex<Duration>,
    misdelivery: Misdelivery,
    /// Cancellation signal of each queued or running request, by sub-request id.
    running: Mutex<BTreeMap<u64, Arc<Notify>>>,
    random: Mutex<StdRng>,
    crashed: Notify,
}

impl Shared {
    /// Returns whether the connection with this number is silent.
    fn is_silent(&self, number: u64) -> bool {
        let half = self.half_silent_up_to.load(Ordering::Relaxed);
        number <= self.silent_up_to.load(Ordering::Relaxed)
            || (number <= half && number.is_multiple_of(2))
    }
}

/// A leaf that listens on a TCP port.
///
/// Dropping it or calling [`Leaf::stop`] closes its listener and all its connections.
#[derive(Debug)]
pub struct Leaf {
    shared: Arc<Shared>,
    address: SocketAddr,
    tasks: Mutex<JoinSet<()>>,
}

impl Leaf {
    /// Starts a leaf at `address`; port 0 selects any free port.
    ///
    /// Service times and injected failures are drawn from a generator with this seed.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(
        name: impl Into<SmolStr>,
        address: SocketAddr,
        behavior: Behavior,
        seed: u64,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            name: name.into(),
            slots: Semaphore::new(behavior.slots),
            behavior: Mutex::new(behavior),
            in_flight: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            accepted_connections: AtomicU64::new(0),
            silent_up_to: AtomicU64::new(0),
            peak_connections: AtomicUsize::new(0),
            half_silent_up_to: AtomicU64::new(0),
            last_received: Mutex::default(),
            counts: Counts::default(),
            runs_by_attempt: Mutex::default(),
            runs_by_body: Mutex::default(),
            overrun: Mutex::default(),
            misdelivery: Misdelivery::default(),
            running: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            crashed: Notify::new(),
        });
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let leaf = Self { shared, address, tasks: Mutex::default() };
        leaf.serve(listener);
        Ok(leaf)
    }

    /// Serves the same address again after [`Leaf::stop`] or a crash.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.stop().await;
        let listener = TcpListener::bind(self.address).await?;
        self.serve(listener);
        Ok(())
    }

    /// Closes the listener and all connections without a graceful shutdown, like a killed process.
    pub async fn stop(&self) {
        let mut tasks = std::mem::take(&mut *lock(&self.tasks));
        tasks.shutdown().await;
        self.shared.in_flight.store(0, Ordering::Relaxed);
        self.shared.open_connections.store(0, Ordering::Relaxed);
    }

    /// Silences all connections accepted so far: they stay open and never reply again.
    pub fn silence(&self) {
        let accepted = self.shared.accepted_connections.load(Ordering::Relaxed);
        self.shared.silent_up_to.store(accepted, Ordering::Relaxed);
    }

    /// Returns the number of queued and running requests.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the largest number of connections open at a time, including those above
    /// [`Behavior::connections_max`].
    pub fn peak_connections(&self) -> usize {
        self.shared.peak_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.shared.accepted_connections.load(Ordering::Relaxed)
    }

    /// Silences every second connection accepted so far; see [`Leaf::silence`].
    pub fn silence_half(&self) {
        let accepted = self.shared.accepted_connections.load(Ordering::Relaxed);
        self.shared.half_silent_up_to.store(accepted, Ordering::Relaxed);
    }

    /// Returns the time at which the last sub-request arrived, including cancelled and shed ones.
    pub fn last_received(&self) -> Option<Instant> {
        *lock(&self.shared.last_received)
    }

    /// Returns the address at which the leaf listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name of the leaf.
    pub fn name(&self) -> &SmolStr {
        &self.shared.name
    }

    /// Changes the behavior in place; later requests and replies follow it.
    pub fn update(&self, update: impl FnOnce(&mut Behavior)) {
        update(&mut lock(&self.shared.behavior));
    }

    /// Returns the counts of requests and crashes so far.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// Returns the number of runs of each attempt id.
    pub fn runs_by_attempt(&self) -> BTreeMap<u64, u64> {
        lock(&self.shared.runs_by_attempt).clone()
    }

    /// Returns the number of runs of each recorded body; see [`Behavior::records_bodies`].
    pub fn runs_by_body(&self) -> BTreeMap<Bytes, u64> {
        lock(&self.shared.runs_by_body).clone()
    }

    fn serve(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        lock(&self.tasks).spawn(accept(listener, shared));
    }
}

/// Accepts and serves connections until a request crashes the leaf.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let number = shared.accepted_connections.fetch_add(1, Ordering::Relaxed) + 1;
                connections.spawn(serve_connection(stream, number, shared.clone()));
            }
            Some(_) = connections.join_next() => {}
            () = shared.crashed.notified() => return,
        }
    }
}

async fn serve_connection(stream: TcpStream, number: u64, shared: Arc<Shared>) {
    let behavior = lock(&shared.behavior).clone();
    let open = shared.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
    let _open = CountGuard(&shared.open_connections);
    shared.peak_connections.fetch_max(open, Ordering::Relaxed);
    if open > behavior.connections_max || stream.set_nodelay(true).is_err() {
        return;
    }
    if !behavior.connect_delay.is_zero() {
        sleep(behavior.connect_delay).await;
    }
    let misdelivery = Misdelivery::default();
    let service = service_fn(|request| {
        let shared = shared.clone();
        let misdelivery = &misdelivery;
        async move {
            if shared.is_silent(number) {
                std::future::pending::<()>().await;
            }
            wait_until_reachable(&shared).await;
            let response = handle(request, &shared).await;
            wait_until_reachable(&shared).await;
            let behavior = lock(&shared.behavior).clone();
            let (replace_draw, duplicate_draw) = lock(&shared.random).random::<(f64, f64)>();
            let response = shared.misdelivery.replace(response, &behavior, replace_draw);
            let response = misdelivery.duplicate(response, &behavior, duplicate_draw);
            if shared.is_silent(number) {
                std::future::pending::<()>().await;
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The caller handles a broken connection; the stand-in only stops serving it.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Waits until the leaf is reachable.
async fn wait_until_reachable(shared: &Shared) {
    while lock(&shared.behavior).unreachable {
        sleep(REACHABILITY_POLL_INTERVAL).await;
    }
}

async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Full<Bytes>> {
    let id = header_number(&request, ID_HEADER).unwrap_or(0);
    let status = match request.uri().path() {
        "/ping" => return ping(id, shared),
        "/status" => return reply(200, id, None, shared, Bytes::new()),
        "/cancel" => cancel(id, shared),
        _ => return search(request, id, shared).await,
    };
    reply(status, id, None, shared, Bytes::new())
}

fn ping(id: u64, shared: &Shared) -> Response<Full<Bytes>> {
    let running = lock(&shared.running).contains_key(&id);
    let mut response = reply(204, id, None, shared, Bytes::new());
    response.headers_mut().insert(RUNNING_HEADER, u64::from(running).into());
    response
}

fn cancel(id: u64, shared: &Shared) -> u16 {
    match lock(&shared.running).get(&id) {
        Some(running) => {
            running.notify_one();
            200
        }
        None => 404,
    }
}

/// Runs a sub-request within its deadline and builds the reply.
async fn search(request: Request<Incoming>, id: u64, shared: &Shared) -> Response<Full<Bytes>> {
    shared.counts.received.fetch_add(1, Ordering::Relaxed);
    *lock(&shared.last_received) = Some(Instant::now());
    let snapshot = header_number(&request, SNAPSHOT_HEADER);
    let attempt = header_number(&request, ATTEMPT_HEADER);
    let deadline =
        Duration::from_millis(header_number(&request, DEADLINE_HEADER).unwrap_or(60_000));
    let deadline = Instant::now() + deadline;
    let group: SmolStr = request.uri().path().trim_start_matches("/search/").into();
    let Ok(body) = request.into_body().collect().await else {
        return reply(400, id, None, shared, Bytes::new());
    };
    let body = body.to_bytes();
    let behavior = lock(&shared.behavior).clone();
    if snapshot.is_none_or(|snapshot| !behavior.versions.contains(&snapshot)) {
        return reply(409, id, None, shared, Bytes::new());
    }
    let in_flight = shared.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
    let _in_flight = CountGuard(&shared.in_flight);
    let refuses = behavior.state == State::Draining && behavior.refuses_draining;
    if refuses || in_flight > behavior.slots + behavior.queue_max {
        return reply(503, id, None, shared, Bytes::new());
    }
    let cancelled = Arc::new(Notify::new());
    lock(&shared.running).insert(id, cancelled.clone());
    let run = run_request(&behavior, &body, attempt, shared);
    let status = tokio::select! {
        ended = timeout_at(deadline, run) => ended.unwrap_or(504),
        () = cancelled.notified() => {
            shared.counts.cancelled.fetch_add(1, Ordering::Relaxed);
            CANCELLED_STATUS
        }
    };
    lock(&shared.running).remove(&id);
    let status = behavior.status.unwrap_or(status);
    let (id, snapshot) = match behavior.fault {
        Fault::None => (id, snapshot),
        Fault::WrongId => (id + 1, snapshot),
        Fault::WrongVersion => (id, snapshot.map(|version| version + 1)),
    };
    let text = match status {
        200 => format!(
            "{{\"leaf\":\"{}\",\"group\":\"{group}\",\"snapshot\":{},\"echo\":{}}}",
            shared.name,
            snapshot.unwrap_or(0),
            echo(&body),
        ),
        _ => String::new(),
    };
    reply(status, id, snapshot, shared, text.into())
}

/// Returns a body as JSON: unchanged if it is JSON, as a JSON string otherwise.
fn echo(body: &Bytes) -> String {
    let text = String::from_utf8_lossy(body);
    match serde_json::from_str::<&RawValue>(&text) {
        Ok(value) => value.get().to_owned(),
        Err(_) => serde_json::Value::from(text).to_string(),
    }
}

/// Waits for a slot and runs a request in it; returns the status.
async fn run_request(
    behavior: &Behavior,
    body: &Bytes,
    attempt: Option<u64>,
    shared: &Shared,
) -> u16 {
    let Ok(_slot) = shared.slots.acquire().await else { return 503 };
    if let Some(attempt) = attempt {
        *lock(&shared.runs_by_attempt).entry(attempt).or_default() += 1;
    }
    if attempt.is_some() || behavior.records_bodies {
        *lock(&shared.runs_by_body).entry(body.clone()).or_default() += 1;
    }
    if let Some(text) = &behavior.crash_on
        && body.windows(text.len()).any(|window| window == text.as_bytes())
    {
        shared.counts.crashes.fetch_add(1, Ordering::Relaxed);
        shared.crashed.notify_one();
        std::future::pending::<()>().await;
    }
    occupy_slot(draw_service_time(behavior, shared), shared).await;
    shared.counts.completed.fetch_add(1, Ordering::Relaxed);
    200
}

/// Occupies a slot for a service time.
///
/// Timers fire up to a millisecond late, and later on a busy machine. The overrun is subtracted
/// from the next service times, so that their mean and the capacity of the leaf stay as configured.
async fn occupy_slot(time: Duration, shared: &Shared) {
    let overrun = std::mem::take(&mut *lock(&shared.overrun));
    let wanted = time.saturating_sub(overrun);
    let start = Instant::now();
    if !wanted.is_zero() {
        sleep(wanted).await;
    }
    let overrun = (overrun + start.elapsed()).saturating_sub(time);
    let mut total = lock(&shared.overrun);
    *total = (*total + overrun).min(OVERRUN_MAX);
}

/// Draws a service time from a log-normal distribution; some requests are stragglers.
fn draw_service_time(behavior: &Behavior, shared: &Shared) -> Duration {
    let mut random = lock(&shared.random);
    let mut factor = behavior.slowdown;
    if behavior.service_time_sigma > 0.0 {
        // Box-Muller transform. Subtracting half of the variance keeps the mean of the log-normal
        // distribution at 1.
        let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
        factor *= (behavior.service_time_sigma * normal
            - behavior.service_time_sigma * behavior.service_time_sigma / 2.0)
            .exp();
    }
    if behavior.straggler_fraction > 0.0 && random.random_bool(behavior.straggler_fraction) {
        factor *= behavior.straggler_factor;
    }
    behavior.service_time.mul_f64(factor)
}

fn reply(
    status: u16,
    id: u64,
    snapshot: Option<u64>,
    shared: &Shared,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let behavior = lock(&shared.behavior);
    let in_flight = shared.in_flight.load(Ordering::Relaxed) as f64;
    let load = behavior.reported_load.unwrap_or(in_flight / behavior.slots as f64);
    let versions: Vec<String> = behavior.versions.iter().map(u64::to_string).collect();
    let mut response = Response::builder()
        .status(status)
        .header(ID_HEADER, id)
        .header(LOAD_HEADER, (load * 100.0) as u64)
        .header(VERSIONS_HEADER, versions.join(","))
        .header(STATE_HEADER, behavior.state.to_string());
    if let Some(snapshot) = snapshot {
        response = response.header(SNAPSHOT_HEADER, snapshot);
    }
    response.body(Full::new(body)).unwrap_or_default()
}

fn header_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Decrements a counter when it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        // Stopping the leaf resets its counters, so a later drop must not underflow them.
        let _ =
            self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| count.checked_sub(1));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
