//! Results of the calls of a load.

use std::time::Duration;

use hdrhistogram::Histogram;
use jaycrank_caller::wire::RunningTally;

use crate::outcome::Series;
use crate::stat::ratio;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Complete answer.
    Complete,
    /// Partial answer.
    Partial,
    /// Refused, not run.
    NotRun,
    /// Refused, may have run.
    MayHaveRun,
    /// Refused as an invalid request.
    Invalid,
    /// The connection broke or the call timed out.
    Lost,
    /// No connection could be opened.
    NotSent,
}

/// Inconsistency in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// A result belongs to another request or group.
    ForeignResult,
    /// A result comes from another snapshot than the answer names.
    SnapshotMismatch,
    /// The coverage does not name the groups of the results.
    CoverageMismatch,
}

/// Metadata of an answer.
#[derive(Clone, Debug)]
pub struct Metadata {
    /// Index version of the answer.
    pub snapshot: u64,
    /// Number of groups, including the missing ones.
    pub groups: usize,
    /// Running tally of the member's calls, as the tier counted them.
    pub tally: RunningTally,
}

/// Measurement of one call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Number of the call. The body holds it if the source has unique bodies.
    pub number: usize,
    /// Drawn arrival, counted from the start of the load.
    pub arrival: Duration,
    /// Time from the drawn arrival to the end of the call.
    pub latency: Duration,
    /// How the call ended.
    pub status: Status,
    /// Inconsistency in the answer, if any.
    pub answer_error: Option<AnswerError>,
    /// Number of the source.
    pub source: usize,
    /// Number of the instance.
    pub instance: usize,
    /// Number of times that the query was sent.
    pub attempts: u32,
    /// Metadata of the answer, if there is one.
    pub answer: Option<Metadata>,
}

/// Samples of a load, or a part of them.
#[derive(Clone, Debug, Default)]
pub struct Record {
    samples: Vec<Sample>,
    start_delays: Vec<Duration>,
}

impl Record {
    /// Creates a record of the calls and of the delay with which each was started.
    pub fn new(samples: Vec<Sample>, start_delays: Vec<Duration>) -> Self {
        Self { samples, start_delays }
    }

    /// Returns the calls.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Returns the calls that `keep` accepts.
    pub fn filter(&self, keep: impl Fn(&Sample) -> bool) -> Self {
        let samples = self.samples.iter().filter(|sample| keep(sample)).cloned().collect();
        Self { samples, start_delays: self.start_delays.clone() }
    }

    /// Returns the calls that arrived at or after `from`.
    pub fn after(&self, from: Duration) -> Self {
        self.filter(|sample| sample.arrival >= from)
    }

    /// Returns the calls of one source.
    pub fn of_source(&self, number: usize) -> Self {
        self.filter(|sample| sample.source == number)
    }

    /// Returns the number of calls.
    pub fn count(&self) -> f64 {
        self.samples.len() as f64
    }

    /// Returns the number of calls that `is` accepts.
    pub fn count_where(&self, is: impl Fn(&Sample) -> bool) -> f64 {
        self.samples.iter().filter(|sample| is(sample)).count() as f64
    }

    /// Returns the number of complete answers.
    pub fn complete_count(&self) -> f64 {
        self.count_where(|sample| sample.status == Status::Complete)
    }

    /// Returns the fraction of calls that ended with a complete answer.
    pub fn complete_fraction(&self) -> f64 {
        ratio(self.complete_count(), self.count())
    }

    /// Returns the number of answers with this inconsistency.
    pub fn answer_error_count(&self, answer_error: AnswerError) -> f64 {
        self.count_where(|sample| sample.answer_error == Some(answer_error))
    }

    /// Returns the latency at a quantile in milliseconds, over all calls except those refused as
    /// not run or as invalid.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram().value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the 99th percentile of the delay with which calls were started, in milliseconds.
    pub fn start_delay_p99_ms(&self) -> f64 {
        let mut histogram = new_histogram();
        for delay in &self.start_delays {
            histogram.saturating_record(delay.as_micros() as u64);
        }
        histogram.value_at_quantile(0.99) as f64 / 1_000.0
    }

    /// Returns the latency in milliseconds over the nines of the quantile, for a plot.
    pub fn distribution(&self, name: impl Into<String>) -> Series {
        let histogram = self.histogram();
        let at = |step: i32| {
            // A step is a quarter of a nine: step 4 is the quantile 0.9, step 8 is 0.99.
            let quantile = 1.0 - 10f64.powf(-f64::from(step) / 4.0);
            (f64::from(step) / 4.0, histogram.value_at_quantile(quantile) as f64 / 1_000.0)
        };
        Series { name: name.into(), points: (0..=14).map(at).collect() }
    }

    /// Returns the complete answers per second over time, for a plot.
    pub fn goodput_over_time(&self, name: impl Into<String>) -> Series {
        let mut counts: Vec<f64> = Vec::new();
        for sample in self.samples.iter().filter(|sample| sample.status == Status::Complete) {
            let second = (sample.arrival + sample.latency).as_secs() as usize;
            counts.resize(counts.len().max(second + 1), 0.0);
            counts[second] += 1.0;
        }
        let points = counts.into_iter().enumerate().map(|(x, y)| (x as f64, y)).collect();
        Series { name: name.into(), points }
    }

    fn histogram(&self) -> Histogram<u64> {
        let mut histogram = new_histogram();
        for sample in &self.samples {
            if !matches!(sample.status, Status::NotRun | Status::Invalid) {
                histogram.saturating_record(sample.latency.as_micros() as u64);
            }
        }
        histogram
    }
}

/// Creates a histogram of microseconds, up to two minutes, with three significant digits.
fn new_histogram() -> Histogram<u64> {
    let bounds = Histogram::new_with_bounds(1, 120_000_000, 3);
    bounds.unwrap_or_else(|_| unreachable!("the bounds are valid"))
}
