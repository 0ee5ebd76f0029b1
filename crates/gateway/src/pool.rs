//! Connections to one leaf.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jaycrank_http::socket::detect_silence;
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
use tokio::time::timeout;

/// Time in which a connection opens. A dropped opening packet is repeated after a second, when it
/// is better to have tried another leaf.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time kept from the leaf's own idle timeout, for the way there.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: Sender,
    driver: AbortHandle,
    opened: Instant,
    idle_since: Instant,
    idle_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection taken from the pool, with the right to hold it.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) connection: Connection,
    /// Time that opening took, if the connection is new.
    pub(crate) connect_time: Option<Duration>,
    permit: OwnedSemaphorePermit,
}

/// Why there is no connection; no request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(pub SmolStr);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no connection: {}", self.0)
    }
}

/// Idle connections of one leaf and the bound on all of them.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    room: Arc<Semaphore>,
    size: Mutex<Size>,
    idle: Mutex<Vec<Connection>>,
}

/// Permits of a pool and the limit that they follow.
#[derive(Debug)]
struct Size {
    limit: ConnectionLimit,
    permits: usize,
}

impl Size {
    /// Brings the permits to the limit; connections beyond a lower one end with their requests.
    fn apply(&mut self, room: &Semaphore) {
        let wanted = self.limit.value();
        if wanted > self.permits {
            room.add_permits(wanted - self.permits);
            self.permits = wanted;
        } else {
            self.permits -= room.forget_permits(self.permits - wanted);
        }
    }
}

impl Pool {
    /// Creates an empty pool of as many connections as `limit` says.
    pub fn new(address: SocketAddr, limit: ConnectionLimit) -> Self {
        let permits = limit.value();
        Self {
            address,
            room: Arc::new(Semaphore::new(permits)),
            size: Mutex::new(Size { limit, permits }),
            idle: Mutex::default(),
        }
    }

    /// Changes the share of this instance in the connections.
    pub fn set_share(&self, bounds: Bounds, fleet: FleetSize) {
        let mut size = self.size();
        size.limit.set_share(bounds, fleet);
        size.apply(&self.room);
    }

    /// Whether a request could be sent at once.
    pub fn has_capacity(&self) -> bool {
        if self.room.available_permits() > 0 {
            return true;
        }
        let mut size = self.size();
        size.limit.try_grow(Instant::now().into_std()) && {
            size.apply(&self.room);
            true
        }
    }

    /// Takes note that the leaf has reset a connection before it answered anything.
    pub(crate) fn record_reset(&self) {
        let mut size = self.size();
        size.limit.record_reset(Instant::now().into_std());
        size.apply(&self.room);
    }

    fn size(&self) -> MutexGuard<'_, Size> {
        self.size.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection or opens one; with `fresh` it always opens one.
    pub(crate) async fn acquire(&self, fresh: bool) -> Result<Lease, Error> {
        let permit = self.room.clone().acquire_owned().await.map_err(connect_error)?;
        if !fresh && let Some(connection) = self.take_idle() {
            return Ok(Lease { connection, connect_time: None, permit });
        }
        let started = Instant::now();
        let connection = match timeout(CONNECT_TIMEOUT, open(self.address)).await {
            Ok(opened) => opened?,
            Err(_) => return Err(Error("opening timed out".into())),
        };
        Ok(Lease { connection, connect_time: Some(started.elapsed()), permit })
    }

    /// Puts a connection back after a complete answer; `idle_time` is the leaf's idle timeout.
    pub(crate) fn release(&self, lease: Lease, idle_time: Option<Duration>) {
        let Lease { mut connection, permit, .. } = lease;
        let idle_time = idle_time.map(|time| time.saturating_sub(IDLE_MARGIN));
        connection.idle_since = Instant::now();
        connection.idle_until = connection.idle_since
            + idle_time.unwrap_or(connections::IDLE_TIMEOUT).min(connections::IDLE_TIMEOUT);
        let mut idle = self.lock();
        // Idle connections count towards the bound only through the permits of those in use, so
        // no more than the bound are kept.
        if idle.len() < self.room.available_permits() + 1 {
            idle.push(connection);
        }
        drop(idle);
        drop(permit);
    }

    /// Closes the idle connections that were opened up to `opened`.
    pub(crate) fn close_opened_until(&self, opened: Instant) {
        self.lock().retain(|connection| connection.opened > opened);
    }

    /// Closes idle connections whose time is over.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        let last = idle.pop();
        let kept = |connection: &Connection, last: bool| {
            let idle = now.saturating_duration_since(connection.idle_since);
            connection.idle_until > now && connections::is_kept(last, idle)
        };
        idle.retain(|spare| kept(spare, false));
        idle.extend(last.filter(|last| kept(last, true)));
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

impl Lease {
    /// When the connection was opened.
    pub(crate) fn opened(&self) -> Instant {
        self.connection.opened
    }
}

async fn open(address: SocketAddr) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address).await.map_err(connect_error)?;
    detect_silence(&stream).map_err(connect_error)?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(connect_error)?;
    // The outcome of the connection shows at the request that uses it.
    let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
    let now = Instant::now();
    Ok(Connection {
        sender,
        driver,
        opened: now,
        idle_since: now,
        idle_until: now + connections::IDLE_TIMEOUT,
    })
}

#[cold]
fn connect_error(error: impl fmt::Display) -> Error {
    Error(format_smolstr!("{error}"))
}
