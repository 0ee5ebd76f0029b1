//! Hedge delay of a request, and the time at which a partial answer is sent.

use std::time::Duration;
use std::time::Instant;

/// Time reserved before the target latency for merging a partial answer and for scheduling delays,
/// in addition to the network time to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(7);
/// Upper bound of the margin, as a fraction of the target latency.
const ANSWER_MARGIN_FRACTION_MAX: f64 = 0.1;
/// Upper bound of the network time to a caller, as a fraction of the target latency.
const CALLER_ROUND_TRIP_FRACTION_MAX: f64 = 0.25;
/// Time reserved for the other leaf, as a multiple of its expected latency. Half of the answers
/// take longer than expected, and a connection may have to be opened.
const OTHER_LEAF_SLACK: f64 = 1.5;
/// Shortest delay of a hedge.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(5);

/// Returns the time from which a partial answer is sent.
///
/// `round_trip` is the network round-trip time to the caller. A request arrives half a round trip
/// after it was sent, or one and a half after the caller began to open a new connection. The answer
/// takes another half.
pub fn answer_at(
    arrival: Instant,
    target_latency: Duration,
    round_trip: Duration,
    new_connection: bool,
) -> Instant {
    let margin = ANSWER_MARGIN.min(target_latency.mul_f64(ANSWER_MARGIN_FRACTION_MAX));
    let round_trip = round_trip.min(target_latency.mul_f64(CALLER_ROUND_TRIP_FRACTION_MAX));
    let network = if new_connection { round_trip * 2 } else { round_trip };
    arrival + target_latency.saturating_sub(margin + network)
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
