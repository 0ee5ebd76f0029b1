//! Connection of one instance to the store stand-in with injected failures, and a fleet of them.

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

/// Time of a store call.
pub const CALL: Duration = Duration::from_millis(10);
/// Deadline of each submission.
const DEADLINE: Duration = Duration::from_secs(2);
/// Wall clock at the start of a test.
pub const EPOCH_MS: UnixMs = 1_000_000;

/// What happens to a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Applied,
    Refused,
    /// Applied, and the reply is lost.
    Lost,
    /// Never applied, and the reply is lost.
    Unsent,
    /// Applied after this time, and the reply is lost at once.
    Late(Duration),
}

/// Connection of one instance to the store.
pub struct Link {
    pub store: Arc<jaycrank_standin::Store>,
    trace: Trace,
    pub paused: watch::Sender<bool>,
    pub outage: watch::Sender<bool>,
    /// Fates of the next writes.
    pub fates: Mutex<VecDeque<Fate>>,
}

impl Link {
    async fn enter(&self) -> Result<()> {
        self.resumed().await;
        sleep(CALL / 2).await;
        self.resumed().await;
        if *self.outage.borrow() { Err(Error::Unavailable("outage".into())) } else { Ok(()) }
    }

    /// Holds the calls of a paused instance, before they reach the store and after.
    async fn resumed(&self) {
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
impl Store for Link {
    async fn get(&self, key: &str) -> Result<Option<Object>> {
        self.enter().await?;
        let object = self.store.get(key).await;
        sleep(CALL / 2).await;
        self.resumed().await;
        object
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Version> {
        self.enter().await?;
        let fate = self.fates.lock().unwrap().pop_front().unwrap_or(Fate::Applied);
        let (store, trace) = (self.store.clone(), self.trace.clone());
        let result = match fate {
            Fate::Applied => apply(&store, &trace, key, value, expected).await,
            Fate::Refused => return Err(Error::Unavailable("refused".into())),
            Fate::Unsent => Err(Error::Unknown("unsent".into())),
            Fate::Lost => {
                let _ = apply(&store, &trace, key, value, expected).await;
                Err(Error::Unknown("lost".into()))
            }
            Fate::Late(delay) => {
                let key = SmolStr::new(key);
                tokio::spawn(async move {
                    sleep(delay).await;
                    let _ = apply(&store, &trace, &key, value, expected).await;
                });
                Err(Error::Unknown("late".into()))
            }
        };
        sleep(CALL / 2).await;
        self.resumed().await;
        result
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        self.enter().await?;
        self.store.delete(key, version).await?;
        self.trace.record("store", Event::Delete { key: key.into() });
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<BTreeMap<SmolStr, Version>> {
        self.enter().await?;
        self.store.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Version) -> Result<Change> {
        self.store.watch(prefix, after).await
    }
}

/// Runner whose outcome is the payload: `done`, `not sent`, `unknown`, `slow` (past
/// the deadline), `large` (recorded) or `huge` (not recorded).
pub struct Leaf {
    pub time: Duration,
}

#[async_trait]
impl Runner for Leaf {
    async fn run(&self, submission: &Submission) -> Outcome {
        sleep(if submission.payload() == "slow" { DEADLINE * 2 } else { self.time }).await;
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
    pub links: Vec<Arc<Link>>,
    pub leaf: Arc<Leaf>,
    segment_bytes: usize,
    attempts: AtomicU64,
    /// Tasks of each instance, which end when it is killed.
    tasks: Mutex<Vec<(usize, AbortHandle)>>,
    start: Instant,
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        // Small segments, so that the tests cross their ends.
        Self::with_segment_bytes(seed, 600)
    }

    pub fn with_segment_bytes(seed: u64, segment_bytes: usize) -> Self {
        let store = Arc::new(jaycrank_standin::Store::new(seed));
        let mut fleet = Self {
            store,
            trace: Trace::new(),
            owners: Vec::new(),
            links: Vec::new(),
            leaf: Arc::new(Leaf { time: Duration::from_millis(5) }),
            segment_bytes,
            attempts: AtomicU64::new(0),
            tasks: Mutex::default(),
            start: Instant::now(),
        };
        for number in 0..3 {
            let (owner, link) = fleet.instance(number, 0);
            fleet.owners.push(owner);
            fleet.links.push(link);
        }
        fleet
    }

    fn instance(&self, number: usize, incarnation: u64) -> (Arc<Owner>, Arc<Link>) {
        let link = Arc::new(Link {
            store: self.store.clone(),
            trace: self.trace.clone(),
            paused: watch::Sender::new(false),
            outage: watch::Sender::new(false),
            fates: Mutex::default(),
        });
        let commit = GroupCommit::new().with_segment_bytes(self.segment_bytes);
        let owner = Owner::new(0, ["a", "b", "c"][number], link.clone(), commit)
            .with_incarnation(incarnation)
            .with_trace(self.trace.clone());
        (Arc::new(owner), link)
    }

    /// Kills an instance and starts it again.
    pub fn kill(&mut self, number: usize) {
        for (_, task) in self.tasks.lock().unwrap().extract_if(.., |task| task.0 == number) {
            task.abort();
        }
        let incarnation = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let (owner, link) = self.instance(number, incarnation);
        self.owners[number] = owner;
        self.links[number] = link;
    }

    pub fn now(&self) -> UnixMs {
        EPOCH_MS + u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    /// Starts the submission of an attempt, with the same expiry for all
    /// attempts of a request.
    pub fn start(&self, number: usize, id: &str, attempt: u32, body: &str) -> JoinHandle<Verdict> {
        let attempt_id = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let payload = Bytes::copy_from_slice(body.as_bytes());
        let submission =
            Submission::new(id, attempt_id, Digest::new("s", b"body"), self.now(), payload)
                .with_attempt(attempt)
                .with_expiry(EPOCH_MS + 30_000);
        let (owner, leaf) = (self.owners[number].clone(), self.leaf.clone());
        let deadline = Instant::now() + DEADLINE;
        self.spawn(number, async move { owner.submit(submission, leaf, deadline).await })
    }

    /// Starts a task of an instance.
    pub fn spawn<T: Send + 'static>(
        &self,
        number: usize,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        let task = tokio::spawn(task);
        self.tasks.lock().unwrap().push((number, task.abort_handle()));
        task
    }

    pub async fn submit(&self, number: usize, id: &str, attempt: u32, body: &str) -> Verdict {
        self.start(number, id, attempt, body).await.unwrap()
    }

    /// Checks the trace so far and returns the number of runs by request id.
    pub fn check(&self) -> BTreeMap<SmolStr, usize> {
        crate::acceptor::accept(&self.trace.events())
    }
}
