//! Admission by the load of one process: how long work that is ready waits for the processor.
//!
//! The queue of a process that runs one thread shows as the delay of its timers. Every request
//! passes through that queue several times, so a delay that is small beside the target latency
//! already decides whether answers are in time. Less urgent work is refused first.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::route::Route;

/// Delay of the processor above which requests of each rank are refused in part, most urgent rank
/// first; later ranks use the last one.
const DELAY_MAX: [Duration; 3] =
    [Duration::from_millis(40), Duration::from_millis(28), Duration::from_millis(18)];
/// Multiple of the delay at which all requests of a rank are refused.
const REFUSE_ALL: f64 = 2.5;
/// Weight of a new sample in the mean delay.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Admission of one process.
#[derive(Debug, Default)]
pub struct Shedder {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    delay_s: f64,
    draw: f64,
    admitted: usize,
}

/// Right to be served; dropping it ends the request.
#[derive(Debug)]
pub struct Admitted<'a>(&'a Shedder);

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        self.0.lock().admitted -= 1;
    }
}

impl Shedder {
    /// Creates a shedder of an idle process.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of how much later than planned a timer fired.
    pub fn observe(&self, delay: Duration) {
        let mut state = self.lock();
        state.delay_s += SAMPLE_WEIGHT * (delay.as_secs_f64() - state.delay_s);
    }

    /// Mean delay of the processor.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.lock().delay_s)
    }

    /// Requests under way.
    pub fn admitted(&self) -> usize {
        self.lock().admitted
    }

    /// Admits a request, or not if it would hold up more urgent ones.
    pub fn admit(&self, route: &Route) -> Option<Admitted<'_>> {
        let mut state = self.lock();
        let rank = usize::from(route.rank).min(DELAY_MAX.len() - 1);
        let bound_s = DELAY_MAX[rank].as_secs_f64();
        let refused = ((state.delay_s / bound_s - 1.0) / (REFUSE_ALL - 1.0)).clamp(0.0, 1.0);
        // A running sum spreads the refusals evenly over the requests.
        state.draw += refused;
        if state.draw >= 1.0 {
            state.draw -= 1.0;
            return None;
        }
        state.admitted += 1;
        Some(Admitted(self))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
