//! One leaf: its connections and the health, load and latency observed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::concurrency::Limit;
use jaycrank_policy::quantile::Summary;
use jaycrank_policy::quantile::Window;
use jaycrank_policy::replica::Candidate;
use jaycrank_policy::replica::Health;
use jaycrank_policy::snapshot::Replica;
use jaycrank_policy::snapshot::Version;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::Semaphore;

use crate::control::Control;
use crate::error::Error;
use crate::error::Result;
use crate::pool::Pool;
use crate::wire::CANCELLED_STATUS;
use crate::wire::Frame;
use crate::wire::Reply;
use crate::wire::State;

/// Span of the latency window; percentiles cover one to two spans.
const LATENCY_WINDOW: Duration = Duration::from_secs(5);
/// Weight of a new sample in the exponential moving average of the latency.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Multiple of the average latency to which a single sample is capped, so that one straggler does
/// not divert work from a leaf. A leaf that is slow in most replies is still noticed soon.
const OUTLIER_FACTOR: f64 = 4.0;
/// Time constant, in seconds, of the exponential decay of the average latency of a leaf without
/// traffic towards the median of its group, so that a leaf that has recovered gets work again.
const LATENCY_DECAY_S: f64 = 20.0;
/// Maximum age of a reported load that is taken into account.
const LOAD_REPORT_AGE_MAX: Duration = Duration::from_millis(500);
/// Number of consecutive failures at which a leaf is no longer healthy, so that it does not count
/// when a version is pinned.
const FAILURES_MAX: u32 = 3;
/// Maximum number of retries on other connections when the leaf closes a connection before any byte
/// was sent. A leaf at its connection cap closes each new connection.
const UNSENT_RETRIES_MAX: u32 = 3;

/// Receiver of connection failures that may be due to a crash of the leaf.
pub trait Observer: Send + Sync {
    /// Called with the name of the leaf and the fingerprints of the sub-requests that were in
    /// flight when the connection broke or the reply could not be read.
    fn connection_broken(&self, leaf: &str, fingerprints: &[u64]);
}

/// State of the leaf as observed from its replies and failures.
#[derive(Debug)]
struct Observations {
    load: f64,
    versions: Option<BTreeSet<Version>>,
    state: State,
    health: Health,
    limit: Limit,
    window: Window,
    latency_s: f64,
    /// Time of the last reply of any kind.
    last_reply_at: Instant,
    /// Time of the last latency sample.
    last_latency_at: Instant,
}

/// A leaf with its connections and observed state.
pub struct Leaf {
    replica: Replica,
    pool: Arc<Pool>,
    control: Control,
    observer: Option<Arc<dyn Observer>>,
    in_flight: AtomicU32,
    leaving: AtomicU32,
    sent: AtomicU64,
    observations: Mutex<Observations>,
}

/// Serializable state of a leaf.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Name.
    pub name: SmolStr,
    /// Number of sub-requests in flight.
    pub in_flight: u32,
    /// Number of sub-requests sent since the start.
    pub sent: u64,
    /// Number of open connections.
    pub connections: usize,
    /// Concurrency limit: maximum number of sub-requests in flight.
    pub limit: u32,
    /// Last reported load.
    pub reported: f64,
    /// Exponential moving average of the latency, in milliseconds.
    pub latency_ms: f64,
    /// Number of failures since the last successful reply.
    pub failures: u32,
    /// Whether the leaf is draining or leaving, so that it gets no new work.
    pub draining: bool,
    /// Index versions held, if known.
    pub versions: Option<BTreeSet<Version>>,
}

/// Guard that counts a sub-request as in flight until it is dropped.
struct InFlight<'a>(&'a AtomicU32);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Leaf {
    /// Creates a leaf without connections; at most `connections` are opened.
    ///
    /// If the cap allows more than one, one is reserved for pings, cancellations and status.
    pub fn new(
        replica: Replica,
        connections: usize,
        slots: u32,
        connect_permits: Arc<Semaphore>,
        observer: Option<Arc<dyn Observer>>,
    ) -> Arc<Self> {
        let now = now();
        let pool = Pool::new(replica.address, data_connections(connections), connect_permits);
        let control = Control::new(replica.address, connections > 1);
        let observations = Observations {
            load: 0.0,
            versions: None,
            state: State::Ok,
            health: Health::default(),
            limit: Limit::new(slots),
            window: Window::new(LATENCY_WINDOW, now),
            latency_s: 0.0,
            last_reply_at: now,
            last_latency_at: now,
        };
        Arc::new(Self {
            replica,
            pool,
            control,
            observer,
            in_flight: AtomicU32::new(0),
            leaving: AtomicU32::new(0),
            sent: AtomicU64::new(0),
            observations: Mutex::new(observations),
        })
    }

    /// Changes the connection cap and the number of slots.
    pub fn resize(&self, connections: usize, slots: u32) {
        self.pool.set_cap(data_connections(connections));
        self.control.set_allowed(connections > 1);
        self.lock().limit.set_slots(slots);
    }

    /// Returns the name, address and failure domain.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the connections for sub-requests.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Returns the connection for pings, cancellations and status.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Returns whether the leaf accepts new work and, as far as is known, holds a version.
    pub fn can_serve(&self, version: Version) -> bool {
        self.leaving.load(Ordering::Relaxed) == 0 && self.lock().can_serve(version)
    }

    /// Returns whether the leaf can serve a version and has few consecutive failures.
    pub fn is_healthy(&self, version: Version) -> bool {
        if self.leaving.load(Ordering::Relaxed) != 0 {
            return false;
        }
        let observations = self.lock();
        observations.can_serve(version) && observations.health.failures() < FAILURES_MAX
    }

    /// Sets whether the leaf is leaving according to the instance list.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(u32::from(leaving), Ordering::Relaxed);
    }

    /// Returns the leaf as a candidate for replica choice, and whether it is below its concurrency
    /// limit, or `None` if it can't serve the version.
    ///
    /// `group_latency` is the median latency of the group.
    pub fn candidate(
        &self,
        index: usize,
        version: Version,
        group_latency: Duration,
        now: Instant,
    ) -> Option<(Candidate, bool)> {
        if self.leaving.load(Ordering::Relaxed) != 0 {
            return None;
        }
        let observations = self.lock();
        if !observations.can_serve(version) {
            return None;
        }
        let age_s = now.saturating_duration_since(observations.last_latency_at).as_secs_f64();
        let group_latency_s = group_latency.as_secs_f64();
        let latency_s = match observations.latency_s {
            0.0 => group_latency_s,
            smoothed_s => {
                group_latency_s + (smoothed_s - group_latency_s) * (-age_s / LATENCY_DECAY_S).exp()
            }
        };
        let latency = Duration::from_secs_f64(latency_s.max(0.0));
        let is_recent =
            now.saturating_duration_since(observations.last_reply_at) < LOAD_REPORT_AGE_MAX;
        let load = if is_recent { observations.load } else { 0.0 };
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let candidate = Candidate {
            index,
            in_flight,
            latency_s,
            reported_load: observations.load,
            weight: observations.health.weight(load, latency, group_latency, now),
        };
        Some((candidate, in_flight < observations.limit.in_flight_max()))
    }

    /// Returns the number of sub-requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the percentiles of the recent latencies.
    pub fn summary(&self) -> Summary {
        self.lock().window.summary()
    }

    /// Returns the time since the last reply.
    pub fn time_since_reply(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.lock().last_reply_at)
    }

    /// Sends one sub-request and returns the reply if the leaf ran it successfully.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its category tells whether the leaf may have run the request.
    pub async fn call(&self, frame: &Frame) -> Result<Reply> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlight(&self.in_flight);
        let started_at = now();
        let reply = self.send(frame).await;
        let ended_at = now();
        let elapsed = ended_at.saturating_duration_since(started_at);
        match reply {
            Ok(reply) => self.record_reply(reply, elapsed, ended_at),
            Err(error) => {
                self.record_failure(&error, frame.fingerprint, ended_at);
                Err(error)
            }
        }
    }

    /// Sends a sub-request on a pooled connection, and on another one if no byte was sent.
    async fn send(&self, frame: &Frame) -> Result<Reply> {
        let mut unsent_retries = 0;
        loop {
            let mut lease = self.pool.acquire().await?;
            self.sent.fetch_add(1, Ordering::Relaxed);
            match lease.connection()?.exchange(frame).await {
                Ok(reply) => {
                    lease.release();
                    return Ok(reply);
                }
                // The leaf closed the connection before any byte was sent, so another is tried.
                Err(Error::NotSent(_)) if unsent_retries < UNSENT_RETRIES_MAX => {
                    unsent_retries += 1
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn record_reply(&self, reply: Reply, elapsed: Duration, now: Instant) -> Result<Reply> {
        let mut observations = self.lock();
        observations.observe(&reply, now);
        match reply.status {
            200 => {
                observations.window.record(elapsed, now);
                let p10 = observations.window.summary().p10;
                observations.limit.observe(elapsed, p10);
                observations.update_latency(elapsed, now);
                observations.health.record_success(reply.state == State::Cold, now);
                Ok(reply)
            }
            CANCELLED_STATUS => {
                // The elapsed time is a lower bound of the latency, so it is only a useful sample
                // if it is above the average.
                if elapsed.as_secs_f64() > observations.latency_s {
                    observations.update_latency(elapsed, now);
                }
                Err(Error::Failed(CANCELLED_STATUS))
            }
            409 => Err(Error::Refused(409)),
            503 => {
                observations.limit.observe_shed();
                if reply.state != State::Draining {
                    observations.health.record_failure(now);
                }
                Err(Error::Refused(503))
            }
            504 => Err(Error::Failed(504)),
            status => {
                observations.health.record_failure(now);
                Err(Error::Failed(status))
            }
        }
    }

    #[cold]
    fn record_failure(&self, error: &Error, fingerprint: u64, now: Instant) {
        // A silent connection is closed only while the leaf answers on another one, so it is not a
        // failure of the leaf.
        if *error != Error::Silent {
            self.lock().health.record_failure(now);
        }
        if let (Error::Broken(_) | Error::Malformed(_), Some(observer)) = (error, &self.observer) {
            observer.connection_broken(&self.replica.name, &[fingerprint]);
        }
    }

    /// Requests the status of the leaf and records it.
    ///
    /// # Errors
    ///
    /// As [`Control::status`].
    pub async fn poll_status(&self) -> Result<()> {
        let status = self.control.status().await;
        let now = now();
        let mut observations = self.lock();
        match status {
            Ok(reply) => {
                observations.observe(&reply, now);
                // The slow start since the last failure continues.
                observations.health.record_success(reply.state == State::Cold, now);
                Ok(())
            }
            Err(error) => {
                observations.health.record_failure(now);
                Err(error)
            }
        }
    }

    /// Returns the serializable state.
    pub fn dump(&self) -> Dump {
        let connections = self.pool.open_count() + usize::from(self.control.is_open());
        let observations = self.lock();
        Dump {
            name: self.replica.name.clone(),
            in_flight: self.in_flight(),
            sent: self.sent.load(Ordering::Relaxed),
            connections,
            limit: observations.limit.in_flight_max(),
            reported: observations.load,
            latency_ms: observations.latency_s * 1_000.0,
            failures: observations.health.failures(),
            draining: observations.state == State::Draining
                || self.leaving.load(Ordering::Relaxed) != 0,
            versions: observations.versions.clone(),
        }
    }

    /// Closes idle connections. Those in use are closed after their sub-request.
    pub fn close(&self) {
        self.pool.close();
        self.control.close();
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Observations {
    fn can_serve(&self, version: Version) -> bool {
        let versions = self.versions.as_ref();
        self.state != State::Draining && versions.is_none_or(|versions| versions.contains(&version))
    }

    fn observe(&mut self, reply: &Reply, now: Instant) {
        self.last_reply_at = now;
        self.state = reply.state;
        if let Some(load) = reply.load {
            self.load = load;
            self.health.record_load(load);
        }
        if let Some(versions) = &reply.versions {
            let is_unchanged = self.versions.as_ref().is_some_and(|held| held.iter().eq(versions));
            if !is_unchanged {
                self.versions = Some(versions.iter().copied().collect());
            }
        }
    }

    fn update_latency(&mut self, elapsed: Duration, now: Instant) {
        self.last_latency_at = now;
        let elapsed_s = elapsed.as_secs_f64();
        if self.latency_s == 0.0 {
            self.latency_s = elapsed_s;
        } else {
            let capped_s = elapsed_s.min(OUTLIER_FACTOR * self.latency_s);
            self.latency_s += SMOOTHING_FACTOR * (capped_s - self.latency_s);
        }
    }
}

/// Returns the number of connections for sub-requests: all but one, if there is more than one.
fn data_connections(connections: usize) -> usize {
    connections.saturating_sub(1).max(1)
}

/// Returns the current time of the runtime's clock, which tests can pause.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
