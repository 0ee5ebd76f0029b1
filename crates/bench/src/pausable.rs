//! Instances that can be paused and killed.
//!
//! Each instance has a thread and a runtime of its own. A pause blocks the thread: timers,
//! heartbeats and listeners of the instance stop, its sockets stay open, and the store still
//! applies writes that were sent. A kill drops the runtime.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank::node::Node;
use jaycrank::node::Options;
use jaycrank::node::Platform;
use jaycrank_platform::Change;
use jaycrank_platform::Expected;
use jaycrank_platform::Object;
use jaycrank_platform::Result as StoreResult;
use jaycrank_platform::Version;
use jaycrank_standin::Store;
use smol_str::SmolStr;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Name of the threads of the instances.
const THREAD_NAME: &str = "bench-node";

/// Client of the stand-in store that counts writes below a key prefix.
///
/// The calls run on the runtime that created the client, so a call that was sent takes effect even
/// if its instance is paused or killed.
pub struct RemoteStore {
    store: Arc<Store>,
    handle: Handle,
    prefix: &'static str,
    writes: AtomicU64,
}

impl RemoteStore {
    /// Creates a client whose calls run on the current runtime.
    pub fn new(store: Arc<Store>, prefix: &'static str) -> Self {
        Self { store, handle: Handle::current(), prefix, writes: AtomicU64::new(0) }
    }

    /// Returns the number of writes and deletions sent below the prefix, including refused ones.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    async fn call<T, F>(&self, call: impl FnOnce(Arc<Store>) -> F) -> StoreResult<T>
    where
        T: Send + 'static,
        F: Future<Output = StoreResult<T>> + Send + 'static,
    {
        let joined = self.handle.spawn(call(self.store.clone())).await;
        joined.unwrap_or_else(|_| {
            Err(jaycrank_platform::Error::Unknown("the store call did not finish".into()))
        })
    }

    fn count_write(&self, key: &str) {
        if key.starts_with(self.prefix) {
            self.writes.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[async_trait]
impl jaycrank_platform::Store for RemoteStore {
    async fn get(&self, key: &str) -> StoreResult<Option<Object>> {
        let key = SmolStr::from(key);
        self.call(|store| async move { store.get(&key).await }).await
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> StoreResult<Version> {
        self.count_write(key);
        let key = SmolStr::from(key);
        self.call(move |store| async move { store.put(&key, value, expected).await }).await
    }

    async fn delete(&self, key: &str, version: Version) -> StoreResult<()> {
        self.count_write(key);
        let key = SmolStr::from(key);
        self.call(move |store| async move { store.delete(&key, version).await }).await
    }

    async fn list(&self, prefix: &str) -> StoreResult<BTreeMap<SmolStr, Version>> {
        let prefix = SmolStr::from(prefix);
        self.call(|store| async move { store.list(&prefix).await }).await
    }

    async fn watch(&self, prefix: &str, after: Version) -> StoreResult<Change> {
        let prefix = SmolStr::from(prefix);
        self.call(move |store| async move { store.watch(&prefix, after).await }).await
    }
}

/// An instance on its own thread.
pub struct Instance {
    options: Options,
    /// Requests to block the thread for a time; closing the channel ends the instance.
    pauses: Option<mpsc::UnboundedSender<Duration>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Instance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Node::start`], or an error if the thread can't be started.
    pub async fn start(mut options: Options, platform: Platform) -> io::Result<Self> {
        let (pauses, pause_requests) = mpsc::unbounded_channel();
        let (sender, started) = oneshot::channel();
        let node_options = options.clone();
        let thread = thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || serve(node_options, platform, sender, pause_requests))?;
        let node = started.await.map_err(io::Error::other)??;
        (options.caller_address, options.operator_address, options.instance_address) = node;
        Ok(Self { options, pauses: Some(pauses), thread: Some(thread) })
    }

    /// Returns the options of the instance, with the addresses at which it listens.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Blocks the thread of the instance for a time. The pause begins when the running task yields.
    pub fn pause(&self, time: Duration) {
        if let Some(pauses) = &self.pauses {
            // Sending fails if the instance has ended, and then there is nothing to pause.
            let _ = pauses.send(time);
        }
    }

    /// Drops the instance with its runtime, without a graceful shutdown, as if its process were
    /// killed. Waits for the end of a pause in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread of the instance panicked.
    pub async fn kill(&mut self) -> io::Result<()> {
        drop(self.pauses.take());
        let Some(thread) = self.thread.take() else { return Ok(()) };
        tokio::task::spawn_blocking(move || thread.join())
            .await?
            .map_err(|_| io::Error::other("the thread of an instance panicked"))
    }
}

/// Addresses of an instance for callers, operators and other instances.
type Addresses = (SocketAddr, SocketAddr, SocketAddr);

fn serve(
    options: Options,
    platform: Platform,
    started: oneshot::Sender<io::Result<Addresses>>,
    mut pauses: mpsc::UnboundedReceiver<Duration>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return drop(started.send(Err(error))),
    };
    runtime.block_on(async {
        let node = match Node::start(options, platform).await {
            Ok(node) => node,
            Err(error) => return drop(started.send(Err(error))),
        };
        // The receiver is dropped only if the scenario has failed.
        let _ = started.send(Ok((
            node.caller_address(),
            node.operator_address(),
            node.instance_address(),
        )));
        while let Some(time) = pauses.recv().await {
            // Blocks every task of the instance, like a stopped process.
            thread::sleep(time);
        }
    });
}
