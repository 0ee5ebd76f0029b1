//! Latency quantiles over a sliding window.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Largest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Relative resolution: two significant digits, which keeps a histogram near 10 KB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles are derived from the histograms at most this often, because that walks all buckets.
const REFRESH: Duration = Duration::from_millis(250);
/// Up to this count quantiles are derived whenever the count has doubled, so that a new window
/// is useful early.
const EARLY_COUNT: u64 = 256;

/// Quantiles of the latencies in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Latencies that the quantiles are derived from.
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

/// Latencies of the last one to two spans, kept in two rotating histograms.
#[derive(Debug)]
pub struct Window {
    span: Duration,
    started: Instant,
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    summary: Summary,
    refreshed: Instant,
}

impl Window {
    /// Creates an empty window.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self {
            span,
            started: now,
            current: None,
            previous: None,
            summary: Summary::default(),
            refreshed: now,
        }
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        if age >= self.span {
            let ended = self.current.take();
            self.previous = if age < self.span * 2 { ended } else { None };
            self.started = now;
        }
        if self.current.is_none() {
            self.current = Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(current) = &mut self.current {
            current.saturating_record((latency.as_micros() as u64).clamp(1, LATENCY_MAX_US));
        }
        let count = self.current.as_ref().map_or(0, Histogram::len);
        let early = count <= EARLY_COUNT && count.is_power_of_two();
        if early || now.saturating_duration_since(self.refreshed) >= REFRESH {
            self.refresh(now);
        }
    }

    /// Quantiles as last derived; their age is bounded while latencies are recorded.
    pub fn summary(&self) -> Summary {
        self.summary
    }

    fn refresh(&mut self, now: Instant) {
        self.refreshed = now;
        let Some(current) = &self.current else { return };
        let merged = self.previous.as_ref().map(|previous| {
            let mut merged = previous.clone();
            // Both histograms have the same bounds, so adding them can't fail.
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
