//! Connection pool of one leaf, limited to this instance's share of the leaf's connection cap.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use crate::connection::Connection;
use crate::connection::Handle;
use crate::error::Error;
use crate::error::Result;

type ConnectionSender = oneshot::Sender<Result<Connection>>;

#[derive(Debug, Default)]
struct State {
    cap: usize,
    open: usize,
    is_opening: bool,
    is_closed: bool,
    idle: Vec<Connection>,
    handles: Vec<Arc<Handle>>,
    waiting: VecDeque<ConnectionSender>,
}

/// Connection pool of one leaf. Connections are opened one at a time.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    connect_permits: Arc<Semaphore>,
    state: Mutex<State>,
}

/// A connection in use. Dropping it without [`Lease::release`] closes the connection.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Option<Connection>,
}

impl Lease {
    /// Returns the connection.
    ///
    /// # Errors
    ///
    /// Never fails, because only [`Self::release`] and dropping the lease take the connection.
    pub fn connection(&mut self) -> Result<&mut Connection> {
        self.connection.as_mut().ok_or_else(closed_error)
    }

    /// Returns the connection to the pool for reuse.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.handle().close();
        }
    }
}

impl Pool {
    /// Creates a pool of at most `cap` connections. `connect_permits` limits the connections that
    /// the instance opens at the same time.
    pub fn new(address: SocketAddr, cap: usize, connect_permits: Arc<Semaphore>) -> Arc<Self> {
        let state = Mutex::new(State { cap, ..State::default() });
        Arc::new(Self { address, connect_permits, state })
    }

    /// Changes the cap. Connections above it are closed when they are returned to the pool.
    pub fn set_cap(&self, cap: usize) {
        self.lock().cap = cap;
    }

    /// Takes an idle connection, or waits for one to be returned or opened.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the pool is closed or the leaf can't be reached.
    pub async fn acquire(self: &Arc<Self>) -> Result<Lease> {
        let receiver = {
            let mut state = self.lock();
            if state.is_closed {
                return Err(closed_error());
            }
            if let Some(connection) = state.take_idle() {
                return Ok(self.lease(connection));
            }
            let (sender, receiver) = oneshot::channel();
            state.waiting.push_back(sender);
            self.open_if_needed(&mut state);
            receiver
        };
        let connection = receiver.await.map_err(|_| closed_error())??;
        Ok(self.lease(connection))
    }

    /// Takes all idle connections, to check or close them.
    pub fn take_all_idle(self: &Arc<Self>) -> Vec<Lease> {
        let idle = std::mem::take(&mut self.lock().idle);
        idle.into_iter().map(|connection| self.lease(connection)).collect()
    }

    /// Opens a first connection before it is needed.
    pub fn warm_up(self: &Arc<Self>) {
        let mut state = self.lock();
        if state.open == 0 {
            self.open(&mut state);
        }
    }

    /// Returns the number of open connections, including the one that is being opened.
    pub fn open_count(&self) -> usize {
        self.lock().open
    }

    /// Calls `visit` with the handle of each connection that is not closed.
    pub fn visit_handles(&self, mut visit: impl FnMut(&Arc<Handle>)) {
        self.lock().handles.iter().for_each(&mut visit);
    }

    /// Closes the pool: idle connections now, those in use when they are returned.
    pub fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        state.idle.clear();
        state.waiting.clear();
    }

    fn lease(self: &Arc<Self>, connection: Connection) -> Lease {
        Lease { pool: self.clone(), connection: Some(connection) }
    }

    fn put(self: &Arc<Self>, connection: Connection) {
        let mut state = self.lock();
        if state.is_closed || state.open > state.cap || !connection.is_open() {
            connection.handle().close();
            return;
        }
        let mut connection = connection;
        while let Some(waiter) = state.waiting.pop_front() {
            // The channel returns the connection if the waiting sub-request has been dropped.
            match waiter.send(Ok(connection)) {
                Ok(()) => return,
                Err(Ok(returned)) => connection = returned,
                Err(Err(_)) => return,
            }
        }
        state.idle.push(connection);
    }

    fn open_if_needed(self: &Arc<Self>, state: &mut State) {
        state.waiting.retain(|waiter| !waiter.is_closed());
        if !state.waiting.is_empty() {
            self.open(state);
        }
    }

    fn open(self: &Arc<Self>, state: &mut State) {
        if state.is_closed || state.is_opening || state.open >= state.cap {
            return;
        }
        state.is_opening = true;
        state.open += 1;
        let pool = self.clone();
        tokio::spawn(async move {
            let _permit = pool.connect_permits.clone().acquire_owned().await;
            let weak_pool = Arc::downgrade(&pool);
            let on_close = move |handle: &Arc<Handle>| {
                if let Some(pool) = weak_pool.upgrade() {
                    pool.remove(handle);
                }
            };
            let connection = Connection::open(pool.address, on_close).await;
            pool.finish_opening(connection);
        });
    }

    fn finish_opening(self: &Arc<Self>, connection: Result<Connection>) {
        let mut state = self.lock();
        state.is_opening = false;
        match connection {
            Ok(connection) => {
                state.handles.push(connection.handle().clone());
                drop(state);
                self.put(connection);
                let mut state = self.lock();
                self.open_if_needed(&mut state);
            }
            Err(error) => {
                state.open -= 1;
                let all = state.waiting.len();
                let count = if state.open == 0 { all } else { all.min(1) };
                for waiter in state.waiting.drain(..count) {
                    // A sub-request that has been dropped needs no error.
                    let _ = waiter.send(Err(error.clone()));
                }
            }
        }
    }

    fn remove(self: &Arc<Self>, handle: &Arc<Handle>) {
        let mut state = self.lock();
        state.handles.retain(|other| !Arc::ptr_eq(other, handle));
        state.open = state.open.saturating_sub(1);
        self.open_if_needed(&mut state);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn take_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }
}

#[cold]
fn closed_error() -> Error {
    Error::NotSent("connection pool is closed".into())
}
