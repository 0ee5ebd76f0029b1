//! Latency quantiles over a sliding window.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Largest latency recorded, in microseconds; longer ones are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Relative resolution of the histograms; two digits keep a histogram near 10 KB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Shortest time between two computations of the quantiles, because each one walks all buckets.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Sample count up to which the quantiles are also computed at each doubling of the count, so that
/// they are available early in a new window.
const EARLY_REFRESH_COUNT_MAX: u64 = 256;

/// Quantiles and mean of the latencies in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of latencies that the quantiles are computed from.
    pub count: u64,
    /// 10th percentile.
    pub p10: Duration,
    /// Median.
    pub median: Duration,
    /// 95th percentile.
    pub p95: Duration,
    /// 98th percentile.
    pub p98: Duration,
    /// 99th percentile.
    pub p99: Duration,
    /// Mean.
    pub mean: Duration,
}

/// Latencies of the last one to two time spans, in two rotating histograms.
#[derive(Debug)]
pub struct Window {
    span: Duration,
    started_at: Instant,
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    summary: Summary,
    refreshed_at: Instant,
}

impl Window {
    /// Creates an empty window.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span,
            started_at: now,
            current: None,
            previous: None,
            summary: Summary::default(),
            refreshed_at: now,
        }
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.started_at);
        if age >= self.span {
            let ended = self.current.take();
            self.previous = if age < self.span * 2 { ended } else { None };
            self.started_at = now;
        }
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(current) = &mut self.current {
            current.saturating_record((latency.as_micros() as u64).clamp(1, LATENCY_MAX_US));
        }
        let count = self.current.as_ref().map_or(0, Histogram::len);
        let early = count <= EARLY_REFRESH_COUNT_MAX && count.is_power_of_two();
        if early || now.saturating_duration_since(self.refreshed_at) >= REFRESH_INTERVAL {
            self.refresh(now);
        }
    }

    /// Returns the quantiles as last computed. They are only refreshed when a latency is recorded.
    pub fn summary(&self) -> Summary {
        self.summary
    }

    fn refresh(&mut self, now: Instant) {
        self.refreshed_at = now;
        let Some(current) = &self.current else { return };
        let merged = self.previous.as_ref().map(|previous| {
            let mut merged = previous.clone();
            // Adding can't fail, because both histograms have the same bounds.
            let _ = merged.add(current);
            merged
        });
        let merged = merged.as_ref().unwrap_or(current);
        let at = |quantile| Duration::from_micros(merged.value_at_quantile(quantile));
        self.summary = Summary {
            count: merged.len(),
            p10: at(0.1),
            median: at(0.5),
            p95: at(0.95),
            p98: at(0.98),
            p99: at(0.99),
            mean: Duration::from_secs_f64(merged.mean() / 1e6),
        };
    }
}
