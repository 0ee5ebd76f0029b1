//! What the calls of a load saw.

use std::time::Duration;

use hdrhistogram::Histogram;
use jaycrank_caller::wire::RunningTally;

use crate::outcome::Series;
use crate::stat::ratio;

/// End of a call.
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
    /// Refused as invalid.
    Invalid,
    /// The connection broke or the call timed out.
    Lost,
    /// No connection could be opened.
    NotSent,
}

/// Fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A result belongs to another request or group.
    ForeignResult,
    /// A result comes from another snapshot.
    SnapshotMismatch,
    /// The coverage does not match the results.
    CoverageMismatch,
}

/// What an answer says besides its results.
#[derive(Clone, Debug)]
pub struct Metadata {
    /// Index version.
    pub snapshot: u64,
    /// Number of groups, covered and missing.
    pub groups: usize,
    /// Running tally of the member.
    pub tally: RunningTally,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Number of the call, which its body holds.
    pub number: usize,
    /// Drawn arrival, from the start of the load.
    pub arrival: Duration,
    /// Time from the drawn arrival to the end of the call.
    pub latency: Duration,
    /// End of the call.
    pub status: Status,
    /// Fault of the answer.
    pub fault: Option<Fault>,
    /// Number of the source.
    pub source: usize,
    /// Number of the instance.
    pub instance: usize,
    /// Times that the query was sent.
    pub attempts: u32,
    /// What the answer says, if there is one.
    pub answer: Option<Metadata>,
}

/// All calls of a load, or a part of them.
#[derive(Clone, Debug, Default)]
pub struct Record {
    samples: Vec<Sample>,
    delays: Vec<Duration>,
}

impl Record {
    /// Creates a record of calls and of the delays with which the calls were started.
    pub fn new(samples: Vec<Sample>, delays: Vec<Duration>) -> Self {
        Self { samples, delays }
    }

    /// The calls.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// The calls that `keep` accepts.
    pub fn filter(&self, keep: impl Fn(&Sample) -> bool) -> Self {
        let samples = self.samples.iter().filter(|sample| keep(sample)).cloned().collect();
        Self { samples, delays: self.delays.clone() }
    }

    /// The calls that arrived at or after `from`.
    pub fn after(&self, from: Duration) -> Self {
        self.filter(|sample| sample.arrival >= from)
    }

    /// The calls of one source.
    pub fn of_source(&self, number: usize) -> Self {
        self.filter(|sample| sample.source == number)
    }

    /// Number of calls.
    pub fn count(&self) -> f64 {
        self.samples.len() as f64
    }

    /// Number of calls that `is` accepts.
    pub fn count_where(&self, is: impl Fn(&Sample) -> bool) -> f64 {
        self.samples.iter().filter(|sample| is(sample)).count() as f64
    }

    /// Number of complete answers.
    pub fn complete_count(&self) -> f64 {
        self.count_where(|sample| sample.status == Status::Complete)
    }

    /// Fraction of calls that ended with a complete answer.
    pub fn complete_fraction(&self) -> f64 {
        ratio(self.complete_count(), self.count())
    }

    /// Number of answers with a fault.
    pub fn fault_count(&self, fault: Fault) -> f64 {
        self.count_where(|sample| sample.fault == Some(fault))
    }

    /// Latency in milliseconds at a quantile, over all calls that were not refused.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram().value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// 99th percentile of the delay with which calls were started, in milliseconds.
    pub fn start_delay_p99_ms(&self) -> f64 {
        let mut histogram = new_histogram();
        for delay in &self.delays {
            histogram.saturating_record(delay.as_micros() as u64);
        }
        histogram.value_at_quantile(0.99) as f64 / 1_000.0
    }

    /// Latency in milliseconds by quantile, for a plot.
    pub fn distribution(&self, name: impl Into<String>) -> Series {
        let histogram = self.histogram();
        let at = |step: i32| {
            // Nines: step 1 is 0.9, step 2 is 0.99; quarter steps between them.
            let quantile = 1.0 - 10f64.powf(-f64::from(step) / 4.0);
            (f64::from(step) / 4.0, histogram.value_at_quantile(quantile) as f64 / 1_000.0)
        };
        Series { name: name.into(), points: (0..=14).map(at).collect() }
    }

    /// Complete answers a second over time, for a plot.
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

/// Creates a histogram of microseconds up to two minutes with three significant digits.
fn new_histogram() -> Histogram<u64> {
    let bounds = Histogram::new_with_bounds(1, 120_000_000, 3);
    bounds.unwrap_or_else(|_| unreachable!("the bounds are valid"))
}
