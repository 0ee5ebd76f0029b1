//! Keeps the rest that leafs ask for.

use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::rest;
use jaycrank_policy::rest::Ended;

use crate::leaf::Leaf;

/// Range of the part of a rest that is added to it, so that instances don't return together.
const SPREAD: Range<f64> = 0.0..0.1;
/// Longest time that is added to a rest.
const SPREAD_MAX: Duration = Duration::from_millis(300);

/// Rest of one leaf. Cheap to ask while the leaf does not rest.
#[derive(Debug, Default)]
pub struct LeafRest {
    active: AtomicBool,
    rest: Mutex<rest::Rest>,
}

impl LeafRest {
    /// Returns the time until the end of the rest, or zero.
    pub fn wait(&self, now: Instant) -> Duration {
        if self.is_active() { self.lock().wait(now) } else { Duration::ZERO }
    }

    /// Asks whether the leaf may get a request; see [`rest::Rest::admit`].
    pub(crate) fn admit(&self, now: Instant) -> Result<Option<rest::Trial>, Duration> {
        if self.is_active() { self.lock().admit(now) } else { Ok(None) }
    }

    /// Returns whether a request with this trial may still be sent.
    pub(crate) fn allows(&self, trial: Option<rest::Trial>) -> bool {
        !self.is_active() || self.lock().allows(trial)
    }

    /// Returns whether the leaf rests or returns from its rest.
    pub(crate) fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    fn begin(&self, time: Duration, now: Instant) -> bool {
        let begun = self.lock().begin(time, now);
        self.active.store(true, Ordering::Relaxed);
        begun
    }

    fn end_trial(&self, trial: rest::Trial, ended: Ended) -> bool {
        let mut rest = self.lock();
        let is_over = rest.end_trial(trial, ended);
        if is_over {
            self.active.store(false, Ordering::Relaxed);
        }
        is_over
    }

    fn lock(&self) -> MutexGuard<'_, rest::Rest> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of a trial request, which ends without a result if it is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    leaf: Arc<Leaf>,
    trial: rest::Trial,
    ended: Mutex<Ended>,
}

impl Trial {
    pub(crate) fn new(leaf: &Arc<Leaf>, trial: rest::Trial) -> Self {
        Self { leaf: leaf.clone(), trial, ended: Mutex::new(Ended::Unknown) }
    }

    /// Returns what identifies the trial.
    pub(crate) fn id(&self) -> rest::Trial {
        self.trial
    }

    /// Records how the leaf answered.
    pub(crate) fn record(&self, ended: Ended) {
        *self.ended.lock().unwrap_or_else(PoisonError::into_inner) = ended;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let ended = *self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        if self.leaf.rest().end_trial(self.trial, ended) {
            let (leaf, service) =
                self.leaf.with_entry(|entry| (entry.id.clone(), entry.service.clone()));
            event!(Event::LeafRested, leaf = leaf, service = service);
        }
    }
}

/// Rests of all leafs.
#[derive(Debug)]
pub struct Rests {
    created: Instant,
    /// End of the last rest, in milliseconds since the creation.
    end_ms: AtomicU64,
}

impl Default for Rests {
    fn default() -> Self {
        Self { created: Instant::now(), end_ms: AtomicU64::new(0) }
    }
}

impl Rests {
    /// Returns whether no leaf rests.
    pub(crate) fn is_empty(&self, now: Instant) -> bool {
        self.end_ms.load(Ordering::Relaxed) <= self.millis(now)
    }

    /// Records that a leaf asks for rest.
    pub(crate) fn record(&self, leaf: &Leaf, time: Duration, now: Instant) {
        let spread = time.mul_f64(rand::random_range(SPREAD)).min(SPREAD_MAX);
        if leaf.rest().begin(time + spread, now) {
            let (id, service) = leaf.with_entry(|entry| (entry.id.clone(), entry.service.clone()));
            event!(Event::LeafRests, leaf = id, service = service, seconds = time.as_secs_f64());
        }
        self.end_ms.fetch_max(self.millis(now + leaf.rest().wait(now)), Ordering::Relaxed);
    }

    fn millis(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.created).as_millis()).unwrap_or(u64::MAX)
    }
}
