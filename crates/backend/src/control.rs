//! Control connection to a leaf, for pings, cancellations and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;
use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::error::Error;
use crate::error::Result;
use crate::wire::Id;
use crate::wire::Reply;

/// Timeout for a reply on an open connection; short because these requests need no slot.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// Timeout for opening a connection and receiving the first reply on it.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Control connection, opened on first use and again after it breaks or goes silent.
#[derive(Debug)]
pub struct Control {
    address: SocketAddr,
    allowed: AtomicBool,
    open: Arc<AtomicBool>,
    closed_notify: Arc<Notify>,
    connection: Mutex<Option<Connection>>,
}

/// Guard that exists while the connection is open or being opened.
#[derive(Debug)]
struct OpenGuard {
    open: Arc<AtomicBool>,
    closed_notify: Arc<Notify>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.store(false, Ordering::Relaxed);
        self.closed_notify.notify_one();
    }
}

impl Control {
    /// Creates a control connection that is not open yet; if it is not `allowed`, all requests
    /// fail.
    pub fn new(address: SocketAddr, allowed: bool) -> Self {
        Self {
            address,
            allowed: AtomicBool::new(allowed),
            open: Arc::default(),
            closed_notify: Arc::default(),
            connection: Mutex::default(),
        }
    }

    /// Sets whether the connection may be opened.
    pub fn set_allowed(&self, allowed: bool) {
        self.allowed.store(allowed, Ordering::Relaxed);
        if !allowed {
            self.close();
        }
    }

    /// Returns whether the connection may be opened.
    pub fn is_allowed(&self) -> bool {
        self.allowed.load(Ordering::Relaxed)
    }

    /// Returns whether the connection is open or being opened.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns whether the leaf has a sub-request queued or running, or `None` if the reply does
    /// not state it.
    ///
    /// # Errors
    ///
    /// Fails if the connection is not allowed, or if the leaf answers neither on the open
    /// connection nor on a new one.
    pub async fn ping(&self, id: Id) -> Result<Option<bool>> {
        Ok(self.request(Method::GET, "/ping", id).await?.running)
    }

    /// Requests the status of the leaf.
    ///
    /// # Errors
    ///
    /// As [`Self::ping`].
    pub async fn status(&self) -> Result<Reply> {
        self.request(Method::GET, "/status", 0).await
    }

    /// Cancels a sub-request at the leaf.
    ///
    /// # Errors
    ///
    /// As [`Self::ping`].
    pub async fn cancel(&self, id: Id) -> Result<()> {
        self.request(Method::POST, "/cancel", id).await.map(|_| ())
    }

    /// Closes the connection if it is not in use.
    pub fn close(&self) {
        if let Ok(mut connection) = self.connection.try_lock() {
            *connection = None;
        }
    }

    async fn request(&self, method: Method, path: &'static str, id: Id) -> Result<Reply> {
        if !self.is_allowed() {
            return Err(Error::NotSent("the connection cap leaves no control connection".into()));
        }
        let mut connection = self.connection.lock().await;
        if let Some(mut open) = connection.take()
            && open.is_open()
        {
            let reply = timeout(REPLY_TIMEOUT, open.send_control(method.clone(), path, id)).await;
            if let Ok(Ok(reply)) = reply {
                *connection = Some(open);
                return Ok(reply);
            }
            open.handle().close();
        }
        let open_and_request = async {
            self.wait_until_closed().await;
            self.open.store(true, Ordering::Relaxed);
            let open =
                OpenGuard { open: self.open.clone(), closed_notify: self.closed_notify.clone() };
            let mut opened = Connection::open(self.address, move |_| drop(open)).await?;
            let reply = opened.send_control(method, path, id).await;
            if reply.is_err() {
                opened.handle().close();
            }
            Ok((opened, reply?))
        };
        let (opened, reply) =
            timeout(FIRST_REPLY_TIMEOUT, open_and_request).await.map_err(|_| Error::Deadline)??;
        *connection = Some(opened);
        Ok(reply)
    }

    /// Waits until the previous connection is closed, so that there is never more than one.
    async fn wait_until_closed(&self) {
        while self.is_open() {
            self.closed_notify.notified().await;
        }
    }
}
