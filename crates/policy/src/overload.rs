//! Load shedding by scheduling delay: how long runnable work of the process waits for a processor.
//!
//! In a process that runs on one thread, the delay of its timers shows the length of the run queue.
//! Each request passes through that queue several times, so even a delay that is small compared
//! with the target latency makes answers late. Less urgent requests are shed first.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::route::Route;

/// Scheduling delay above which some requests of a rank are refused. The first value is for the
/// most urgent rank; ranks beyond the array use the last value.
const SHED_DELAY: [Duration; 3] =
    [Duration::from_millis(40), Duration::from_millis(28), Duration::from_millis(18)];
/// Multiple of [`SHED_DELAY`] at which all requests of a rank are refused.
const REFUSE_ALL_RATIO: f64 = 2.5;
/// Weight of a new sample in the exponential moving average of the delay.
const DELAY_SMOOTHING: f64 = 0.25;

/// Load shedder of one process.
#[derive(Debug, Default)]
pub struct Shedder {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    delay_s: f64,
    refusal_sum: f64,
    admitted: usize,
}

/// Guard of an admitted request, which counts as in flight until the guard is dropped.
#[derive(Debug)]
pub struct Admitted<'a>(&'a Shedder);

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        self.0.lock().admitted -= 1;
    }
}

impl Shedder {
    /// Creates a shedder that has seen no delay.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how much later than planned a timer fired.
    pub fn observe(&self, delay: Duration) {
        let mut state = self.lock();
        state.delay_s += DELAY_SMOOTHING * (delay.as_secs_f64() - state.delay_s);
    }

    /// Returns the average scheduling delay.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.lock().delay_s)
    }

    /// Returns the number of admitted requests in flight.
    pub fn admitted(&self) -> usize {
        self.lock().admitted
    }

    /// Admits a request, or returns `None` if it is shed to keep more urgent requests fast.
    pub fn admit(&self, route: &Route) -> Option<Admitted<'_>> {
        let mut state = self.lock();
        let rank = usize::from(route.rank).min(SHED_DELAY.len() - 1);
        let bound_s = SHED_DELAY[rank].as_secs_f64();
        let refused = ((state.delay_s / bound_s - 1.0) / (REFUSE_ALL_RATIO - 1.0)).clamp(0.0, 1.0);
        // Accumulating the refused fraction spreads refusals evenly over the requests.
        state.refusal_sum += refused;
        if state.refusal_sum >= 1.0 {
            state.refusal_sum -= 1.0;
            return None;
        }
        state.admitted += 1;
        Some(Admitted(self))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
