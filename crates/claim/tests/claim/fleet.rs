//! Instances that share a store stand-in, each through a client with injected failures.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_claim::Digest;
use jaycrank_claim::GroupCommit;
use jaycrank_claim::Outcome;
use jaycrank_claim::Owner;
use jaycrank_claim::Runner;
use jaycrank_claim::Submission;
use jaycrank_claim::UnixMs;
use jaycrank_claim::Verdict;
use jaycrank_claim::trace::Event;
use jaycrank_claim::trace::Trace;
use jaycrank_platform::Change;
use jaycrank_platform::Error;
use jaycrank_platform::Expected;
use jaycrank_platform::Object;
use jaycrank_platform::Result;
use jaycrank_platform::Store;
use jaycrank_platform::Version;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// Duration of a store call.
pub const STORE_CALL_TIME: Duration = Duration::from_millis(10);
/// Timeout of each submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Wall clock at the start of a test.
pub const START_UNIX_MS: UnixMs = 1_000_000;

/// How a write and its reply are delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Delivery {
    Applied,
    Refused,
    /// Applied, but the reply is lost.
    ReplyLost,
    /// Never applied, and no reply is sent.
    RequestLost,
    /// Applied after this time, but the reply is lost at once.
    Delayed(Duration),
}

/// Store client of one instance.
pub struct StoreClient {
    pub store: Arc<jaycrank_standin::Store>,
    trace: Trace,
    pub paused: watch::Sender<bool>,
    pub outage: watch::Sender<bool>,
    /// Deliveries of the next writes, in order; all later ones are applied.
    pub deliveries: Mutex<VecDeque<Delivery>>,
}

impl StoreClient {
    /// Delays a call on its way to the store, and fails it in an outage.
    async fn send(&self) -> Result<()> {
        self.wait_until_resumed().await;
        sleep(STORE_CALL_TIME / 2).await;
        self.wait_until_resumed().await;
        if *self.outage.borrow() { Err(Error::Unavailable("outage".into())) } else { Ok(()) }
    }

    /// Blocks the calls of a paused instance, before they reach the store and after.
    async fn wait_until_resumed(&self) {
        let _ = self.paused.subscribe().wait_for(|paused| !paused).await;
    }
}

async fn apply(
    store: &jaycrank_standin::Store,
    trace: &Trace,
    key: &str,
    value: Bytes,
    expected: Expected,
) -> Result<Version> {
    let version = store.put(key, value.clone(), expected).await?;
    trace.record("store", Event::Put { key: key.into(), value, version });
    Ok(version)
}

#[async_trait]
impl Store for StoreClient {
    async fn get(&self, key: &str) -> Result<Option<Object>> {
        self.send().await?;
        let object = self.store.get(key).await;
        sleep(STORE_CALL_TIME / 2).await;
        self.wait_until_resumed().await;
        object
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Version> {
        self.send().await?;
        let delivery = self.deliveries.lock().unwrap().pop_front().unwrap_or(Delivery::Applied);
        let (store, trace) = (self.store.clone(), self.trace.clone());
        let result = match delivery {
            Delivery::Applied => apply(&store, &trace, key, value, expected).await,
            Delivery::Refused => return Err(Error::Unavailable("refused".into())),
            Delivery::RequestLost => Err(Error::Unknown("request lost".into())),
            Delivery::ReplyLost => {
                let _ = apply(&store, &trace, key, value, expected).await;
                Err(Error::Unknown("reply lost".into()))
            }
            Delivery::Delayed(delay) => {
                let key = SmolStr::new(key);
                tokio::spawn(async move {
                    sleep(delay).await;
                    let _ = apply(&store, &trace, &key, value, expected).await;
                });
                Err(Error::Unknown("delayed".into()))
            }
        };
        sleep(STORE_CALL_TIME / 2).await;
        self.wait_until_resumed().await;
        result
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        self.send().await?;
        self.store.delete(key, version).await?;
        self.trace.record("store", Event::Delete { key: key.into() });
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<BTreeMap<SmolStr, Version>> {
        self.send().await?;
        self.store.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Version) -> Result<Change> {
        self.store.watch(prefix, after).await
    }
}

/// Runner whose outcome is selected by the payload: `done`, `not sent`, `unknown`, `slow` (past the
/// deadline), `large` (recorded) or `huge` (too large to be recorded).
pub struct Leaf {
    pub run_time: Duration,
}

#[async_trait]
impl Runner for Leaf {
    async fn run(&self, submission: &Submission) -> Outcome {
        sleep(if submission.payload() == "slow" { SUBMIT_TIMEOUT * 2 } else { self.run_time })
            .await;
        match &submission.payload()[..] {
            b"not sent" => Outcome::NotSent("draining".into()),
            b"unknown" => Outcome::Unknown("connection died".into()),
            b"large" => Outcome::Done(vec![7; 100_000].into()),
            b"huge" => Outcome::Done(vec![7; 200_000].into()),
            _ => Outcome::Done(format!("answer {}", submission.attempt_id()).into()),
        }
    }
}

/// Instances `a`, `b` and `c` that share a store.
pub struct Fleet {
    pub store: Arc<jaycrank_standin::Store>,
    pub trace: Trace,
    pub owners: Vec<Arc<Owner>>,
    pub clients: Vec<Arc<StoreClient>>,
    pub leaf: Arc<Leaf>,
    segment_bytes: usize,
    attempt_count: AtomicU64,
    /// Tasks with the index of their instance, which are aborted when it is killed.
    tasks: Mutex<Vec<(usize, AbortHandle)>>,
    started: Instant,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        // Segments are small, so that the tests fill several of them.
        Self::with_segment_bytes(seed, 600)
    }

    pub fn with_segment_bytes(seed: u64, segment_bytes: usize) -> Self {
        let store = Arc::new(jaycrank_standin::Store::new(seed));
        let mut fleet = Self {
            store,
            trace: Trace::new(),
            owners: Vec::new(),
            clients: Vec::new(),
            leaf: Arc::new(Leaf { run_time: Duration::from_millis(5) }),
            segment_bytes,
            attempt_count: AtomicU64::new(0),
            tasks: Mutex::default(),
            started: Instant::now(),
        };
        for index in 0..3 {
            let (owner, client) = fleet.instance(index, 0);
            fleet.owners.push(owner);
            fleet.clients.push(client);
        }
        fleet
    }

    fn instance(&self, index: usize, incarnation: u64) -> (Arc<Owner>, Arc<StoreClient>) {
        let client = Arc::new(StoreClient {
            store: self.store.clone(),
            trace: self.trace.clone(),
            paused: watch::Sender::new(false),
            outage: watch::Sender::new(false),
            deliveries: Mutex::default(),
        });
        let commit = GroupCommit::new().with_segment_bytes(self.segment_bytes);
        let owner = Owner::new(0, ["a", "b", "c"][index], client.clone(), commit)
            .with_incarnation(incarnation)
            .with_trace(self.trace.clone());
        (Arc::new(owner), client)
    }

    /// Kills an instance and starts it again with a new incarnation.
    pub fn kill(&mut self, index: usize) {
        for (_, task) in self.tasks.lock().unwrap().extract_if(.., |task| task.0 == index) {
            task.abort();
        }
        let incarnation = self.attempt_count.fetch_add(1, Ordering::Relaxed) + 1;
        let (owner, client) = self.instance(index, incarnation);
        self.owners[index] = owner;
        self.clients[index] = client;
    }

    pub fn unix_ms(&self) -> UnixMs {
        START_UNIX_MS + u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// Spawns the submission of an attempt. All attempts of a request have the same expiry.
    pub fn spawn_submit(
        &self,
        index: usize,
        id: &str,
        attempt: u32,
        body: &str,
    ) -> JoinHandle<Verdict> {
        let attempt_id = self.attempt_count.fetch_add(1, Ordering::Relaxed) + 1;
        let payload = Bytes::copy_from_slice(body.as_bytes());
        let submission =
            Submission::new(id, attempt_id, Digest::new("s", b"body"), self.unix_ms(), payload)
                .with_attempt(attempt)
                .with_expiry(START_UNIX_MS + 30_000);
        let (owner, leaf) = (self.owners[index].clone(), self.leaf.clone());
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        self.spawn(index, async move { owner.submit(submission, leaf, deadline).await })
    }

    /// Spawns a task of an instance.
    pub fn spawn<T: Send + 'static>(
        &self,
        index: usize,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        let task = tokio::spawn(task);
        self.tasks.lock().unwrap().push((index, task.abort_handle()));
        task
    }

    pub async fn submit(&self, index: usize, id: &str, attempt: u32, body: &str) -> Verdict {
        self.spawn_submit(index, id, attempt, body).await.unwrap()
    }

    /// Checks the trace so far and returns the number of runs by request id.
    pub fn check_trace(&self) -> BTreeMap<SmolStr, usize> {
        crate::acceptor::accept(&self.trace.events())
    }
}
