//! Hedge delay of a request, and the time at which a partial answer is sent.

use std::time::Duration;
use std::time::Instant;

/// Time reserved before the target latency for scheduling delays, in addition to the network time to
/// the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(7);
/// Upper bound of the reserved time, as a fraction of the target latency.
const ANSWER_MARGIN_FRACTION_MAX: f64 = 0.1;
/// Time reserved for each part of a gathered answer, whose signature travels with it: 135 parts took
/// 3 ms more on links of 20 Mbit/s and a processor with an eighth of the usual speed.
const PART_MARGIN: Duration = Duration::from_micros(25);
/// Upper bound of the time reserved for the parts and for processing, as a fraction of the target
/// latency.
const PROCESSING_FRACTION_MAX: f64 = 0.15;
/// Deviations above the mean processing time that are reserved.
const PROCESSING_DEVIATIONS: f64 = 2.0;
/// Weight of a new sample of the processing time.
const PROCESSING_WEIGHT: f64 = 0.2;
/// Upper bound of the network time to a caller, as a fraction of the target latency.
const CALLER_ROUND_TRIP_FRACTION_MAX: f64 = 0.25;
/// Time reserved for the other leaf, as a multiple of its expected latency. Half of the answers
/// take longer than expected, and a connection may have to be opened.
const OTHER_LEAF_SLACK: f64 = 1.5;
/// Shortest delay of a hedge.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(5);

/// Time that an instance takes to send a partial answer after it has become due: the delay of the
/// timer, and merging the parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessingTime {
    mean_s: f64,
    deviation_s: f64,
    is_known: bool,
}

impl ProcessingTime {
    /// Records the time from when an answer was due to when it was sent.
    pub fn record(&mut self, time: Duration) {
        let sample_s = time.as_secs_f64();
        if !self.is_known {
            *self = Self { mean_s: sample_s, deviation_s: 0.0, is_known: true };
            return;
        }
        let error_s = sample_s - self.mean_s;
        self.mean_s += PROCESSING_WEIGHT * error_s;
        self.deviation_s += PROCESSING_WEIGHT * (error_s.abs() - self.deviation_s);
    }

    /// Returns the time that most answers take at most; zero until a sample was recorded.
    pub fn reserve(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + PROCESSING_DEVIATIONS * self.deviation_s)
    }
}

/// Returns the time from which a partial answer of at most `parts` parts is sent.
///
/// `round_trip` is the network round-trip time to the caller. A request arrives half a round trip
/// after it was sent, or one and a half after the caller began to open a new connection. The answer
/// takes another half. `processing` is the time that sending it takes.
pub fn answer_at(
    arrival: Instant,
    target_latency: Duration,
    round_trip: Duration,
    new_connection: bool,
    parts: usize,
    processing: Duration,
) -> Instant {
    let margin = ANSWER_MARGIN.min(target_latency.mul_f64(ANSWER_MARGIN_FRACTION_MAX));
    let parts = u32::try_from(parts).unwrap_or(u32::MAX);
    let processing = PART_MARGIN
        .saturating_mul(parts)
        .saturating_add(processing)
        .min(target_latency.mul_f64(PROCESSING_FRACTION_MAX));
    let round_trip = round_trip.min(target_latency.mul_f64(CALLER_ROUND_TRIP_FRACTION_MAX));
    let network = if new_connection { round_trip * 2 } else { round_trip };
    arrival + target_latency.saturating_sub(margin + processing + network)
}

/// Returns the delay after which a pending request is hedged, that is sent to another leaf.
///
/// The request is hedged once it is `overdue` at the first leaf. If that leaves the other leaf too
/// little of the `time_left` until the answer is due, it is hedged earlier, but not before the
/// `expected` latency of the first leaf. `other_expected` is the latency of the other leaf.
pub fn hedge_after(
    overdue: Duration,
    expected: Duration,
    other_expected: Duration,
    time_left: Duration,
) -> Duration {
    let latest = time_left.saturating_sub(other_expected.mul_f64(OTHER_LEAF_SLACK));
    overdue.min(latest).max(expected).max(HEDGE_DELAY_MIN)
}

/// Returns whether a gathered answer is sent now.
///
/// Before the time of [`answer_at`], only an answer without `pending` shards is sent. Afterwards
/// (`partial_allowed`), any answer with the required coverage is.
pub fn is_due(
    covered: usize,
    pending: usize,
    shards: usize,
    coverage_min: f64,
    partial_allowed: bool,
) -> bool {
    pending == 0 || (partial_allowed && meets_coverage(covered, shards, coverage_min))
}

/// Returns whether `covered` of `shards` are enough for an answer.
pub fn meets_coverage(covered: usize, shards: usize, coverage_min: f64) -> bool {
    covered >= shards_required(shards, coverage_min)
}

/// Returns the fewest of `shards` that an answer has to cover; at least one.
pub fn shards_required(shards: usize, coverage_min: f64) -> usize {
    // Fractions such as 0.9 have no exact binary form. Without this tolerance 0.9 of 10 shards
    // could require all ten.
    const ROUNDING_TOLERANCE: f64 = 1e-9;
    ((coverage_min * shards as f64 - ROUNDING_TOLERANCE).ceil() as usize).max(1)
}
