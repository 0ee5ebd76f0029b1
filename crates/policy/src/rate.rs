//! Admission rate at saturation and median query time.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the average, in seconds of saturation.
const AVERAGING_TIME_S: f64 = 0.5;

/// Saturated time before the rate is used, in seconds. A shorter sample is too noisy.
const SAMPLE_MIN_S: f64 = 0.05;

/// Exponential moving average of the admission rate by rank, measured only while queries wait.
///
/// Admissions and time decay alike, so the rate is unbiased from the start.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    /// Admissions of each rank, with exponential decay.
    admissions: [f64; 3],
    /// Saturated time in seconds, with exponential decay.
    time_s: f64,
    /// Time of the last [`Self::advance`], if queries have waited since.
    busy_since: Option<Instant>,
}

impl Rate {
    /// Accounts for the time since the last call; `waiting` is whether queries wait from now on.
    pub(crate) fn advance(&mut self, now: Instant, waiting: bool) {
        if let Some(since) = self.busy_since {
            let elapsed_s = now.saturating_duration_since(since).as_secs_f64();
            let kept = (-elapsed_s / AVERAGING_TIME_S).exp();
            self.admissions.iter_mut().for_each(|admissions| *admissions *= kept);
            self.time_s = self.time_s * kept + AVERAGING_TIME_S * (1.0 - kept);
        }
        self.busy_since = waiting.then_some(now);
    }

    /// Counts an admission if queries were waiting at the last [`Self::advance`].
    pub(crate) fn count_admission(&mut self, rank: usize) {
        if self.busy_since.is_some() {
            self.admissions[rank] += 1.0;
        }
    }

    /// Returns the admissions of a rank per second, 0 if unknown.
    pub(crate) fn of_rank(&self, rank: usize) -> f64 {
        if self.time_s < SAMPLE_MIN_S { 0.0 } else { self.admissions[rank] / self.time_s }
    }

    /// Returns the admissions of all ranks per second, 0 if unknown.
    pub(crate) fn total(&self) -> f64 {
        (0..3).map(|rank| self.of_rank(rank)).sum()
    }
}

/// Query times kept for the median.
const SAMPLES_MAX: usize = 63;

/// Queries between two computations of the median.
const REFRESH_INTERVAL: usize = 8;

/// Median of the last query times.
#[derive(Debug, Default)]
pub(crate) struct Median {
    times: Vec<Duration>,
    next: usize,
    value: Duration,
}

impl Median {
    /// Adds the time of a query.
    pub(crate) fn add(&mut self, time: Duration) {
        if self.times.len() < SAMPLES_MAX {
            self.times.push(time);
        } else {
            self.times[self.next % SAMPLES_MAX] = time;
        }
        self.next += 1;
        if self.next.is_multiple_of(REFRESH_INTERVAL) {
            let mut sorted = self.times.clone();
            let middle = sorted.len() / 2;
            self.value = *sorted.select_nth_unstable(middle).1;
        }
    }

    /// Returns the median as last computed; zero until [`REFRESH_INTERVAL`] times were added.
    pub(crate) fn value(&self) -> Duration {
        self.value
    }
}
