//! Stand-in for a leaf: slots, a short queue, the id that a request expects, and its answers.

use std::io::ErrorKind;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::http::Message;
use crate::http::Reader;
use crate::http::respond;
use crate::record::Record;

/// Requests that wait for a slot; a leaf rejects further ones.
const QUEUE: usize = 12;
/// Interval at which a waiting or running request checks whether its connection is still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a leaf looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which a leaf is down after a crash, unless the case says otherwise.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Unix millisecond of the first start of each leaf.
const BORN_MS: u64 = 1_790_000_000_000;

/// Arrival of a request at a leaf.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub leaf: String,
    pub id: String,
}

/// Properties of a leaf.
#[derive(Clone, Debug)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub connections_max: usize,
    /// End of the paths of requests that crash the leaf when they begin to run.
    pub deadly: Option<&'static str>,
}

struct Shared {
    config: Config,
    work_ms: AtomicU64,
    connections: AtomicUsize,
    /// Running and waiting requests.
    load: Mutex<(usize, usize)>,
    changed: Condvar,
    /// Open connections, which a crash breaks.
    streams: Mutex<Vec<TcpStream>>,
    crashed: AtomicBool,
    downtime_ms: AtomicU64,
    /// Rejected requests of each 100.
    rejected_percent: AtomicU64,
    /// Requests of each 100 whose connection the leaf closes instead of an answer.
    dropped_percent: AtomicU64,
    /// Number of starts after crashes.
    restarts: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    record: Arc<Record>,
}

/// Leaf at a loopback address.
pub struct Leaf {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Leaf {
    /// Starts a leaf whose requests take `work_ms`.
    pub fn start(config: Config, work_ms: u64, record: Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            config,
            work_ms: AtomicU64::new(work_ms),
            connections: AtomicUsize::new(0),
            load: Mutex::default(),
            changed: Condvar::new(),
            streams: Mutex::default(),
            crashed: AtomicBool::new(false),
            downtime_ms: AtomicU64::new(DOWNTIME.as_millis() as u64),
            rejected_percent: AtomicU64::new(0),
            dropped_percent: AtomicU64::new(0),
            restarts: AtomicU64::new(0),
            arrivals: Mutex::default(),
            record,
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(listener, address, &accepting));
        Self { address, shared }
    }

    /// Sets the time that requests take from now on.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.shared.work_ms.store(work_ms, Ordering::SeqCst);
    }

    /// Sets the share of requests that the leaf rejects without running them, though it has room.
    pub fn set_rejected_percent(&self, percent: u64) {
        self.shared.rejected_percent.store(percent, Ordering::SeqCst);
    }

    /// Sets the share of requests whose connection the leaf closes instead of an answer.
    pub fn set_dropped_percent(&self, percent: u64) {
        self.shared.dropped_percent.store(percent, Ordering::SeqCst);
    }

    /// Ends the process of the leaf; it starts again under its id after `downtime`.
    pub fn crash(&self, downtime: Duration) {
        self.shared.downtime_ms.store(downtime.as_millis() as u64, Ordering::SeqCst);
        crash(&self.shared, "srv_crash");
    }

    /// Returns the entry that the leaf writes about itself.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        self.entry_born(state, sequence, BORN_MS + self.restarts() * 10_000)
    }

    /// Returns the entry of a leaf that started at this Unix millisecond by its own clock.
    pub fn entry_born(&self, state: &str, sequence: u64, born_ms: u64) -> String {
        let Config { service, zone, slots, .. } = &self.shared.config;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{sequence},\
             \"born\":{born_ms}}}",
            self.address
        )
    }

    /// Returns how often the leaf has started again.
    pub fn restarts(&self) -> u64 {
        self.shared.restarts.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> &str {
        &self.shared.config.id
    }

    /// Returns the requests that have arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

/// Accepts connections, and none while the leaf is down after a crash.
fn accept(listener: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(listener);
    loop {
        if shared.crashed.load(Ordering::SeqCst) {
            drop(listener.take());
            sleep(Duration::from_millis(shared.downtime_ms.load(Ordering::SeqCst)));
            shared.crashed.store(false, Ordering::SeqCst);
            shared.restarts.fetch_add(1, Ordering::SeqCst);
            shared.record.line(&format!("{}: starts again", shared.config.id));
        }
        let listening = listener.get_or_insert_with(|| TcpListener::bind(address).unwrap());
        listening.set_nonblocking(true).unwrap();
        let Ok((stream, _)) = listening.accept() else {
            sleep(ACCEPT_INTERVAL);
            continue;
        };
        stream.set_nonblocking(false).unwrap();
        if shared.connections.fetch_add(1, Ordering::SeqCst) >= shared.config.connections_max {
            shared.connections.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        shared.streams.lock().unwrap().extend(stream.try_clone());
        let shared = shared.clone();
        thread::spawn(move || {
            serve(&stream, &shared);
            shared.connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// Breaks all connections, as the end of the process does.
fn crash(shared: &Shared, id: &str) {
    shared.crashed.store(true, Ordering::SeqCst);
    shared.record.line(&format!("{}: crashed by {id}", shared.config.id));
    for stream in shared.streams.lock().unwrap().drain(..) {
        // The connection may be closed already.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn serve(stream: &TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = Reader::new(reading);
    while let Ok(Some(request)) = reader.next() {
        if handle(stream, shared, &request).is_none() {
            return;
        }
    }
}

/// Answers a request; `None` ends the connection.
fn handle(stream: &TcpStream, shared: &Shared, request: &Message) -> Option<()> {
    let config = &shared.config;
    let id = request.header("jaycrank-request-id").unwrap_or_default().to_owned();
    let at_ms = shared.record.now_ms();
    let expected = request.header("jaycrank-expect-instance");
    let is_expected = expected.is_none_or(|expected| expected == config.id);
    let is_dropped = is_expected && is_chosen(shared, &shared.dropped_percent);
    let is_rejected = is_chosen(shared, &shared.rejected_percent);
    let is_admitted = is_expected && !is_dropped && !is_rejected && enter(shared);
    shared.record.line(&format!(
        "{}: {id} arrives, deadline {} ms, {}",
        config.id,
        request.header("jaycrank-deadline-ms").unwrap_or("none"),
        match (is_dropped, is_admitted) {
            (true, _) => "connection closed",
            (false, true) => "accepted",
            (false, false) => "rejected",
        }
    ));
    let arrival = Arrival { at_ms, leaf: config.id.clone(), id: id.clone() };
    shared.arrivals.lock().unwrap().push(arrival);
    if is_dropped {
        // The front may have closed the connection already.
        let _ = stream.shutdown(Shutdown::Both);
        return None;
    }
    let echo = ("jaycrank-request-id", id.clone());
    if !is_expected {
        let own = ("jaycrank-instance-id", config.id.clone());
        return respond(stream, "421 Misdirected Request", &[own, echo], b"").ok();
    }
    let not_run = ("jaycrank-not-executed", "1".to_owned());
    if !is_admitted {
        let headers = [echo, not_run, load(shared)];
        return respond(stream, "503 Service Unavailable", &headers, b"").ok();
    }
    let path = request.target();
    let ended = run(stream, shared, &id, path);
    leave(shared);
    ended?;
    let stamp = ("jaycrank-response-stamp", format!("{}/{id}", config.id));
    let body = format!("{:-<16}", config.id);
    respond(stream, "200 OK", &[echo, stamp, load(shared)], body.as_bytes()).ok()
}

/// Returns whether the next request is one of the share that fails.
fn is_chosen(shared: &Shared, percent: &AtomicU64) -> bool {
    // 61 and 100 have no common factor, so the share holds for each 100 requests and is spread.
    let number = shared.arrivals.lock().unwrap().len() as u64;
    number * 61 % 100 < percent.load(Ordering::SeqCst)
}

/// Counts a request as waiting; returns whether there was room for it.
fn enter(shared: &Shared) -> bool {
    let mut load = shared.load.lock().unwrap();
    let has_room = load.0 < shared.config.slots || load.1 < QUEUE;
    if has_room {
        load.1 += 1;
    }
    has_room
}

/// Waits for a slot and works; `None` if the connection was closed meanwhile. The request counts
/// as running when this returns.
fn run(stream: &TcpStream, shared: &Shared, id: &str, path: &str) -> Option<()> {
    let mut load = shared.load.lock().unwrap();
    let mut is_open = true;
    while load.0 >= shared.config.slots && is_open {
        load = shared.changed.wait_timeout(load, CHECK_INTERVAL).unwrap().0;
        is_open = is_connected(stream);
    }
    *load = (load.0 + 1, load.1 - 1);
    drop(load);
    if !is_open {
        return None;
    }
    shared.record.line(&format!("{}: {id} runs", shared.config.id));
    if shared.config.deadly.is_some_and(|deadly| path.ends_with(deadly)) {
        crash(shared, id);
        return None;
    }
    let mut left = Duration::from_millis(shared.work_ms.load(Ordering::SeqCst));
    while !left.is_zero() {
        sleep(left.min(CHECK_INTERVAL));
        left = left.saturating_sub(CHECK_INTERVAL);
        if !is_connected(stream) {
            return None;
        }
    }
    Some(())
}

fn leave(shared: &Shared) {
    shared.load.lock().unwrap().0 -= 1;
    shared.changed.notify_all();
}

fn load(shared: &Shared) -> (&'static str, String) {
    let (running, waiting) = *shared.load.lock().unwrap();
    ("jaycrank-server-load", format!("{running},{waiting},{}", shared.config.slots))
}

fn is_connected(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(bytes) => bytes > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}
