//! One leaf and what is known about it.

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

/// Span of the latency window; quantiles cover one to two spans.
const WINDOW: Duration = Duration::from_secs(5);
/// Weight of a new latency in the smoothed one.
const SMOOTHING: f64 = 0.1;
/// Multiple of the smoothed latency at which a single one is cut: one straggler must not keep
/// work from a leaf, while a leaf that is slow in most replies still shows soon.
const OUTLIER: f64 = 4.0;
/// Time in which the latency of a leaf without traffic decays by a factor e towards that of its
/// group, so that a leaf that has recovered is tried again.
const STALE: f64 = 20.0;
/// Age up to which a reported load counts.
const REPORT_MAX: Duration = Duration::from_millis(500);
/// Failures in a row after which a leaf does not count as holding a version.
const FAILURES_MAX: u32 = 3;
/// Connections on which a sub-request is tried when the leaf has closed them before any byte of it
/// was sent; a leaf at its connection cap closes each new one.
const UNSENT_MAX: u32 = 3;

/// Receiver of connection failures that may be due to a crash of the leaf.
pub trait Observer: Send + Sync {
    /// Called with the name of the leaf and the fingerprints of the sub-requests that were in
    /// flight when the connection broke or the reply could not be read.
    fn connection_broken(&self, leaf: &str, fingerprints: &[u64]);
}

/// What is known about the leaf.
#[derive(Debug)]
struct Known {
    load: f64,
    versions: Option<BTreeSet<Version>>,
    state: State,
    health: Health,
    limit: Limit,
    window: Window,
    latency_s: f64,
    /// Last reply of any kind.
    heard: Instant,
    /// Last reply that has a latency.
    measured: Instant,
}

/// A leaf with its connections.
pub struct Leaf {
    replica: Replica,
    pool: Arc<Pool>,
    control: Control,
    observer: Option<Arc<dyn Observer>>,
    in_flight: AtomicU32,
    leaving: AtomicU32,
    sent: AtomicU64,
    known: Mutex<Known>,
}

/// State of a leaf in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct Dump {
    /// Name.
    pub name: SmolStr,
    /// Sub-requests in flight.
    pub in_flight: u32,
    /// Sub-requests sent since the start.
    pub sent: u64,
    /// Open connections.
    pub connections: usize,
    /// Limit of sub-requests in flight.
    pub limit: u32,
    /// Load reported last.
    pub reported: f64,
    /// Smoothed latency, in milliseconds.
    pub latency_ms: f64,
    /// Failures since the last reply.
    pub failures: u32,
    /// Whether the leaf gets no new work.
    pub draining: bool,
    /// Versions held, if known.
    pub versions: Option<BTreeSet<Version>>,
}

/// Counts a sub-request in flight while it exists.
struct InFlight<'a>(&'a AtomicU32);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Leaf {
    /// Creates a leaf without connections; at most `connections` are opened.
    ///
    /// If the cap allows more than one, one is kept for pings, cancellations and status.
    pub fn new(
        replica: Replica,
        connections: usize,
        slots: u32,
        openings: Arc<Semaphore>,
        observer: Option<Arc<dyn Observer>>,
    ) -> Arc<Self> {
        let now = now();
        let pool = Pool::new(replica.address, data_connections(connections), openings);
        let control = Control::new(replica.address, connections > 1);
        let known = Known {
            load: 0.0,
            versions: None,
            state: State::Ok,
            health: Health::default(),
            limit: Limit::new(slots),
            window: Window::new(WINDOW, now),
            latency_s: 0.0,
            heard: now,
            measured: now,
        };
        Arc::new(Self {
            replica,
            pool,
            control,
            observer,
            in_flight: AtomicU32::new(0),
            leaving: AtomicU32::new(0),
            sent: AtomicU64::new(0),
            known: Mutex::new(known),
        })
    }

    /// Changes the cap on connections and the slots.
    pub fn resize(&self, connections: usize, slots: u32) {
        self.pool.set_cap(data_connections(connections));
        self.control.set_allowed(connections > 1);
        self.lock().limit.set_slots(slots);
    }

    /// Name, address and failure domain.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Connections for sub-requests.
    pub fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Connection for pings, cancellations and status.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Whether the leaf takes new work and, as far as is known, holds a version.
    pub fn holds(&self, version: Version) -> bool {
        self.leaving.load(Ordering::Relaxed) == 0 && self.lock().holds(version)
    }

    /// Whether the leaf answered lately and holds a version.
    pub fn is_sound(&self, version: Version) -> bool {
        if self.leaving.load(Ordering::Relaxed) != 0 {
            return false;
        }
        let known = self.lock();
        known.holds(version) && known.health.failures() < FAILURES_MAX
    }

    /// Sets whether the instance list says that the leaf is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(u32::from(leaving), Ordering::Relaxed);
    }

    /// What the choice of a replica needs to know, and whether the leaf is below its limit;
    /// `None` if it does not hold the version. `usual` is the median latency of the group.
    pub fn candidate(
        &self,
        index: usize,
        version: Version,
        usual: Duration,
        now: Instant,
    ) -> Option<(Candidate, bool)> {
        if self.leaving.load(Ordering::Relaxed) != 0 {
            return None;
        }
        let known = self.lock();
        if !known.holds(version) {
            return None;
        }
        let age_s = now.saturating_duration_since(known.measured).as_secs_f64();
        let usual_s = usual.as_secs_f64();
        let latency_s = match known.latency_s {
            0.0 => usual_s,
            own => usual_s + (own - usual_s) * (-age_s / STALE).exp(),
        };
        let latency = Duration::from_secs_f64(latency_s.max(0.0));
        let fresh = now.saturating_duration_since(known.heard) < REPORT_MAX;
        let load = if fresh { known.load } else { 0.0 };
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let candidate = Candidate {
            index,
            in_flight,
            latency_s,
            reported_load: known.load,
            weight: known.health.weight(load, latency, usual, now),
        };
        Some((candidate, in_flight < known.limit.in_flight_max()))
    }

    /// Sub-requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Recent latency quantiles.
    pub fn summary(&self) -> Summary {
        self.lock().window.summary()
    }

    /// Time since the last reply.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.lock().heard)
    }

    /// Sends one sub-request and returns the reply of a leaf that ran it.
    ///
    /// # Errors
    ///
    /// See [`Error`]; its category tells whether the leaf may have run the request.
    pub async fn call(&self, frame: &Frame) -> Result<Reply> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlight(&self.in_flight);
        let begun = now();
        let reply = self.exchange(frame).await;
        let ended = now();
        let elapsed = ended.saturating_duration_since(begun);
        match reply {
            Ok(reply) => self.answered(reply, elapsed, ended),
            Err(error) => {
                self.failed(&error, frame.fingerprint, ended);
                Err(error)
            }
        }
    }

    async fn exchange(&self, frame: &Frame) -> Result<Reply> {
        let mut unsent = 0;
        loop {
            let mut lease = self.pool.lease().await?;
            self.sent.fetch_add(1, Ordering::Relaxed);
            match lease.connection()?.exchange(frame).await {
                Ok(reply) => {
                    lease.give_back();
                    return Ok(reply);
                }
                // The leaf closed an idle connection; no byte was sent, so the next one is taken.
                Err(Error::Connect(_)) if unsent < UNSENT_MAX => unsent += 1,
                Err(error) => return Err(error),
            }
        }
    }

    fn answered(&self, reply: Reply, elapsed: Duration, now: Instant) -> Result<Reply> {
        let mut known = self.lock();
        known.observe(&reply, now);
        match reply.status {
            200 => {
                known.window.record(elapsed, now);
                let low = known.window.summary().p10;
                known.limit.observe(elapsed, low);
                known.smooth(elapsed, now);
                known.health.record_success(reply.state == State::Cold, now);
                Ok(reply)
            }
            CANCELLED_STATUS => {
                // The latency would have been longer; it counts if it is above the smoothed one.
                if elapsed.as_secs_f64() > known.latency_s {
                    known.smooth(elapsed, now);
                }
                Err(Error::Failed(CANCELLED_STATUS))
            }
            409 => Err(Error::Refused(409)),
            503 => {
                known.limit.observe_shed();
                if reply.state != State::Draining {
                    known.health.record_failure(now);
                }
                Err(Error::Refused(503))
            }
            504 => Err(Error::Failed(504)),
            status => {
                known.health.record_failure(now);
                Err(Error::Failed(status))
            }
        }
    }

    #[cold]
    fn failed(&self, error: &Error, fingerprint: u64, now: Instant) {
        // A silent connection says nothing about the leaf, which answers on others.
        if *error != Error::Silent {
            self.lock().health.record_failure(now);
        }
        if let (Error::Broken(_) | Error::Malformed(_), Some(observer)) = (error, &self.observer) {
            observer.connection_broken(&self.replica.name, &[fingerprint]);
        }
    }

    /// Asks for the leaf's status and takes note of it.
    ///
    /// # Errors
    ///
    /// As [`Control::status`].
    pub async fn poll(&self) -> Result<()> {
        let status = self.control.status().await;
        let now = now();
        let mut known = self.lock();
        match status {
            Ok(reply) => {
                known.observe(&reply, now);
                // The slow start since the failure remains in force.
                known.health.record_success(reply.state == State::Cold, now);
                Ok(())
            }
            Err(error) => {
                known.health.record_failure(now);
                Err(error)
            }
        }
    }

    /// Serializable state.
    pub fn dump(&self) -> Dump {
        let connections = self.pool.open_count() + usize::from(self.control.is_open());
        let known = self.lock();
        Dump {
            name: self.replica.name.clone(),
            in_flight: self.in_flight(),
            sent: self.sent.load(Ordering::Relaxed),
            connections,
            limit: known.limit.in_flight_max(),
            reported: known.load,
            latency_ms: known.latency_s * 1_000.0,
            failures: known.health.failures(),
            draining: known.state == State::Draining || self.leaving.load(Ordering::Relaxed) != 0,
            versions: known.versions.clone(),
        }
    }

    /// Closes idle connections; those in use are closed after their sub-request.
    pub fn close(&self) {
        self.pool.close();
        self.control.close();
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    fn holds(&self, version: Version) -> bool {
        let versions = self.versions.as_ref();
        self.state != State::Draining && versions.is_none_or(|versions| versions.contains(&version))
    }

    fn observe(&mut self, reply: &Reply, now: Instant) {
        self.heard = now;
        self.state = reply.state;
        if let Some(load) = reply.load {
            self.load = load;
            self.health.record_load(load);
        }
        if let Some(versions) = &reply.versions {
            let same = self.versions.as_ref().is_some_and(|known| known.iter().eq(versions));
            if !same {
                self.versions = Some(versions.iter().copied().collect());
            }
        }
    }

    fn smooth(&mut self, elapsed: Duration, now: Instant) {
        self.measured = now;
        let elapsed_s = elapsed.as_secs_f64();
        if self.latency_s == 0.0 {
            self.latency_s = elapsed_s;
        } else {
            let bounded_s = elapsed_s.min(OUTLIER * self.latency_s);
            self.latency_s += SMOOTHING * (bounded_s - self.latency_s);
        }
    }
}

/// Connections for sub-requests: all but one, if there is more than one.
fn data_connections(connections: usize) -> usize {
    connections.saturating_sub(1).max(1)
}

/// Present time on the clock of the runtime.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
