//! How long a request waits: for one leaf before another one is asked, and for missing parts
//! before a partial answer goes out.

use std::time::Duration;
use std::time::Instant;

/// Time kept between a partial answer and the target latency, beside the way back to the caller:
/// the merge, and a processor that is busy.
const ANSWER_MARGIN: Duration = Duration::from_millis(7);
/// Share of the target latency that the margin takes at most.
const ANSWER_MARGIN_SHARE: f64 = 0.1;
/// Longest network time to a caller that is believed, as a share of the target latency.
const CALLER_DISTANCE_SHARE: f64 = 0.25;
/// Time that the other leaf gets, in times that are expected of it: half of the answers take longer
/// than expected, and the connection to it may have to be opened.
const OTHER_SLACK: f64 = 1.5;
/// Shortest delay of a hedge.
const HEDGE_MIN: Duration = Duration::from_millis(5);

/// Moment from which on an answer without all of its parts goes out.
///
/// With `distance`, the network time to the caller and back, a request arrives half of it after it
/// was sent, on a new connection one and a half of it after the caller began to open that; the
/// answer takes another half.
pub fn answer_at(
    arrival: Instant,
    target_latency: Duration,
    distance: Duration,
    new_connection: bool,
) -> Instant {
    let margin = ANSWER_MARGIN.min(target_latency.mul_f64(ANSWER_MARGIN_SHARE));
    let distance = distance.min(target_latency.mul_f64(CALLER_DISTANCE_SHARE));
    let network = if new_connection { distance * 2 } else { distance };
    arrival + target_latency.saturating_sub(margin + network)
}

/// Time after which a request without an answer is sent to one more leaf.
///
/// It is the `late` time of the first leaf, but early enough for the other leaf to answer within
/// `left`, the time until the answer goes out, as long as the first leaf has had its usual time.
pub fn hedge_after(late: Duration, usual: Duration, other: Duration, left: Duration) -> Duration {
    let latest = left.saturating_sub(other.mul_f64(OTHER_SLACK));
    late.min(latest).max(usual).max(HEDGE_MIN)
}

/// Whether a gathered answer goes out now.
///
/// Before `answer_at` only an answer that can't become more complete goes out; afterwards any
/// answer that has the least coverage does.
pub fn is_due(covered: usize, open: usize, of: usize, coverage_min: f64, late: bool) -> bool {
    open == 0 || (late && meets_coverage(covered, of, coverage_min))
}

/// Whether `covered` shards of `of` are an answer.
pub fn meets_coverage(covered: usize, of: usize, coverage_min: f64) -> bool {
    covered >= shards_required(of, coverage_min)
}

/// Fewest shards of `of` that are an answer; at least one.
pub fn shards_required(of: usize, coverage_min: f64) -> usize {
    // Shares such as 0.89 have no exact binary form; without the allowance 0.9 of 10 shards might
    // need all of them.
    const ROUNDING: f64 = 1e-9;
    ((coverage_min * of as f64 - ROUNDING).ceil() as usize).max(1)
}
