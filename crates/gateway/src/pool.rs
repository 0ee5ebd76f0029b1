//! Connection pool of one leaf.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use jaycrank_http::connection;
use jaycrank_http::meter::Meter;
use jaycrank_http::socket::set_tcp_options;
use jaycrank_policy::connections;
use jaycrank_policy::connections::Bounds;
use jaycrank_policy::connections::ConnectionLimit;
use jaycrank_policy::connections::FleetSize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::sockets::Sockets;
use crate::traffic::Counted;
use crate::traffic::Counter;
use crate::witness::Registration;
use crate::witness::Verdict;
use crate::witness::Witnesses;

/// Timeout for opening a connection. A lost SYN packet is retransmitted only after one second; by
/// then another leaf should have been tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for finding out whether a leaf whose connection broke has ended. The request waits for it
/// before it is sent again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Margin below the idle timeout of the leaf. A connection that is reused later could be closed by
/// the leaf while the request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Time after which all connections of a process that has ended are seen to be broken.
const WITNESS_DELAY: Duration = Duration::from_millis(5);

type Sender = http1::SendRequest<Full<Bytes>>;

/// Open connection. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: Sender,
    pub(crate) meter: Arc<Meter>,
    driver: AbortHandle,
    registration: Registration,
    opened: Instant,
    idle_since: Instant,
    /// Time until which the connection may be used again.
    idle_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connection in use, with its permit from the pool.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) connection: Connection,
    /// Time that opening the connection took; `None` for a reused connection.
    pub(crate) connect_time: Option<Duration>,
    permit: OwnedSemaphorePermit,
}

/// Guard that counts a request as waiting for a permit until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Failure to obtain a connection; no byte of the request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The process has as many connections to leafs as it may have.
    NoSocket,
    /// The connection could not be opened.
    Failed(SmolStr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSocket => write!(f, "cannot connect: too many connections to leafs"),
            Self::Failed(cause) => write!(f, "cannot connect: {cause}"),
        }
    }
}

/// Idle connections to one leaf, and the permits that bound the connections in use.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    semaphore: Arc<Semaphore>,
    capacity: Mutex<Capacity>,
    idle: Mutex<Vec<Connection>>,
    witnesses: Arc<Witnesses>,
    counter: Arc<Counter>,
    sockets: Arc<Sockets>,
    /// Number of requests that wait for a permit.
    waiting: AtomicUsize,
    /// Start of the last probe, and whether the leaf refused the connection.
    probe: tokio::sync::Mutex<Option<(Instant, bool)>>,
}

/// Connection limit of a pool, and the number of permits issued for it.
#[derive(Debug)]
struct Capacity {
    limit: ConnectionLimit,
    /// Permits of the semaphore, acquired ones included.
    permits: usize,
}

impl Capacity {
    /// Adjusts the permits to the limit. If the limit has fallen, only free permits are removed:
    /// connections in use stay open until their requests end.
    fn apply(&mut self, semaphore: &Semaphore) {
        let target = self.limit.value();
        if target > self.permits {
            semaphore.add_permits(target - self.permits);
            self.permits = target;
        } else {
            self.permits -= semaphore.forget_permits(self.permits - target);
        }
    }
}

impl Pool {
    /// Creates an empty pool that is bounded by `limit`.
    pub fn new(address: SocketAddr, limit: ConnectionLimit) -> Self {
        let permits = limit.value();
        Self {
            address,
            semaphore: Arc::new(Semaphore::new(permits)),
            capacity: Mutex::new(Capacity { limit, permits }),
            idle: Mutex::default(),
            witnesses: Arc::default(),
            counter: Arc::default(),
            sockets: Arc::default(),
            waiting: AtomicUsize::new(0),
            probe: tokio::sync::Mutex::default(),
        }
    }

    /// Sets the counter of the bytes of all connections.
    pub fn with_counter(mut self, counter: Arc<Counter>) -> Self {
        self.counter = counter;
        self
    }

    /// Sets the permits of the connections to all leafs.
    pub fn with_sockets(mut self, sockets: Arc<Sockets>) -> Self {
        self.sockets = sockets;
        self
    }

    /// Counts a request to the leaf.
    pub(crate) fn record_request(&self) {
        self.counter.record_message();
    }

    /// Updates this instance's share of the connections that the leaf accepts.
    pub fn set_share(&self, bounds: Bounds, fleet: FleetSize) {
        let mut capacity = self.capacity();
        capacity.limit.set_share(bounds, fleet);
        capacity.apply(&self.semaphore);
    }

    /// Returns whether a request can be sent without waiting for a permit. Raises the limit by one
    /// connection if it is reached and may grow.
    pub fn has_capacity(&self) -> bool {
        if self.semaphore.available_permits() > 0 {
            return true;
        }
        let mut capacity = self.capacity();
        capacity.limit.try_grow(Instant::now().into_std()) && {
            capacity.apply(&self.semaphore);
            true
        }
    }

    /// Returns the time that a request would wait for a permit, if each one holds it for
    /// `service_time`.
    pub(crate) fn expected_wait(&self, service_time: Duration) -> Duration {
        let waiting = self.waiting.load(Ordering::Relaxed);
        if waiting == 0 {
            return Duration::ZERO;
        }
        let permits = self.capacity().permits.max(1);
        service_time.mul_f64((waiting + 1) as f64 / permits as f64)
    }

    /// Records that the leaf reset a new connection without an answer, which lowers the limit.
    pub(crate) fn record_reset(&self) {
        let mut capacity = self.capacity();
        capacity.limit.record_reset(Instant::now().into_std());
        capacity.apply(&self.semaphore);
    }

    fn capacity(&self) -> MutexGuard<'_, Capacity> {
        self.capacity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a permit and takes an idle connection, or opens one if there is none or `fresh` is
    /// set.
    pub(crate) async fn acquire(&self, fresh: bool) -> Result<Lease, Error> {
        let permit = {
            let _waiting = Waiting::new(&self.waiting);
            self.semaphore.clone().acquire_owned().await.map_err(connect_error)?
        };
        if !fresh && let Some(connection) = self.take_idle() {
            return Ok(Lease { connection, connect_time: None, permit });
        }
        let Ok(Some(socket)) = timeout(CONNECT_TIMEOUT, self.sockets.acquire()).await else {
            return Err(Error::NoSocket);
        };
        let started = Instant::now();
        let connection = match timeout(CONNECT_TIMEOUT, self.open(socket)).await {
            Ok(opened) => opened?,
            Err(_) => return Err(Error::Failed("connect timeout".into())),
        };
        Ok(Lease { connection, connect_time: Some(started.elapsed()), permit })
    }

    /// Returns a connection to the pool after a complete answer. `idle_time` is the idle timeout
    /// that the leaf states.
    pub(crate) fn release(&self, lease: Lease, idle_time: Option<Duration>) {
        let Lease { mut connection, permit, .. } = lease;
        let idle_time = idle_time.map(|time| time.saturating_sub(IDLE_MARGIN));
        connection.idle_since = Instant::now();
        connection.idle_until = connection.idle_since
            + idle_time.unwrap_or(connections::IDLE_TIMEOUT).min(connections::IDLE_TIMEOUT);
        self.keep_idle(connection, 1);
        drop(permit);
    }

    /// Returns a connection on which no request was sent.
    pub(crate) fn release_unused(&self, lease: Lease) {
        let Lease { connection, permit, .. } = lease;
        self.keep_idle(connection, 1);
        drop(permit);
    }

    /// Takes the idle connections that were opened at `opened` or before.
    fn take_opened_until(&self, opened: Instant) -> Vec<Connection> {
        self.lock().extract_if(.., |connection| connection.opened <= opened).collect()
    }

    /// Closes connections that were idle for too long. The one used last may be idle for longer.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        let last = idle.pop();
        let is_kept = |connection: &Connection, last: bool| {
            let idle = now.saturating_duration_since(connection.idle_since);
            connection.idle_until > now && connections::is_kept(last, idle)
        };
        idle.retain(|spare| is_kept(spare, false));
        idle.extend(last.filter(|last| is_kept(last, true)));
    }

    /// Closes connections that have been idle for at least `time`.
    pub(crate) fn close_idle(&self, time: Duration) {
        let now = Instant::now();
        let idle = |connection: &Connection| now.saturating_duration_since(connection.idle_since);
        self.lock().retain(|connection| idle(connection) < time);
    }

    /// Finds out whether the process of the leaf has ended, after the connection of a lease broke:
    /// then the leaf refuses new connections, or all others broke too.
    pub(crate) async fn examine(&self, lease: Lease) -> Verdict {
        let broken_at = Instant::now();
        let broken = lease.connection.registration.id();
        // The older idle connections may be broken too, so they are not used while the leaf is probed.
        let held = self.take_opened_until(lease.connection.opened);
        drop(lease);
        let refused = self.is_refused().await;
        if refused {
            return Verdict::Ended;
        }
        if self.witnesses.verdict(broken, broken_at) == Verdict::Running {
            // The others may be about to break too.
            sleep(WITNESS_DELAY).await;
        }
        let verdict = self.witnesses.verdict(broken, broken_at);
        drop(held);
        verdict
    }

    /// Returns whether the leaf refuses connections. Calls at the same time share one probe. A
    /// connection that the probe opens replaces the broken one.
    async fn is_refused(&self) -> bool {
        let called = Instant::now();
        let mut last = self.probe.lock().await;
        if let Some((started, refused)) = *last
            && started >= called
        {
            return refused;
        }
        let started = Instant::now();
        let refused = match timeout(PROBE_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => {
                if let Some(socket) = self.sockets.try_acquire()
                    && let Ok(connection) = self.set_up(stream, socket).await
                {
                    self.keep_idle(connection, 0);
                }
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            // The leaf, or the network to it, is silent; nothing shows that the process has ended.
            Err(_) => false,
        };
        *last = Some((started, refused));
        refused
    }

    /// Returns whether the leaf accepts a new connection, which is kept for reuse.
    pub(crate) async fn try_open(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address).await else { return false };
        let Some(socket) = self.sockets.try_acquire() else { return true };
        match self.set_up(stream, socket).await {
            Ok(connection) => {
                self.keep_idle(connection, 0);
                true
            }
            Err(_) => false,
        }
    }

    /// Keeps a connection for reuse unless there are more idle connections than free permits, of
    /// which `reserved` are about to be released. Idle connections hold no permits, so this bounds
    /// the open connections.
    fn keep_idle(&self, connection: Connection, reserved: usize) {
        let mut idle = self.lock();
        if idle.len() < self.semaphore.available_permits() + reserved {
            idle.push(connection);
        }
    }

    async fn open(&self, socket: OwnedSemaphorePermit) -> Result<Connection, Error> {
        let stream = TcpStream::connect(self.address).await.map_err(connect_error)?;
        self.set_up(stream, socket).await
    }

    async fn set_up(
        &self,
        stream: TcpStream,
        socket: OwnedSemaphorePermit,
    ) -> Result<Connection, Error> {
        set_tcp_options(&stream).map_err(connect_error)?;
        let stream = Counted::new(stream, self.counter.clone());
        let (sender, driver, meter) = connection::handshake(stream).await.map_err(connect_error)?;
        let registration = self.witnesses.register();
        let (witnesses, id) = (self.witnesses.clone(), registration.id());
        // The result is ignored: an error of the connection is reported by the request that uses it.
        let driver = tokio::spawn(async move {
            // The permit is held for as long as the stream, which the driver owns.
            let _socket = socket;
            drop(driver.await);
            witnesses.record_close(id);
        });
        let now = Instant::now();
        Ok(Connection {
            sender,
            meter,
            driver: driver.abort_handle(),
            registration,
            opened: now,
            idle_since: now,
            idle_until: now + connections::IDLE_TIMEOUT,
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() && connection.idle_until > now {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cold]
fn connect_error(error: impl fmt::Display) -> Error {
    Error::Failed(format_smolstr!("{error}"))
}
