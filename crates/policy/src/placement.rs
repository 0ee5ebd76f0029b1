//! Which leaf of a service gets a request, by the time in which its answer is expected.
//!
//! The expectation is made of the network time to the leaf, its service time, the requests that
//! wait there, and what says that the leaf is in trouble: failures, and a request that has been
//! unanswered for longer than usual. The last one matters most, because a leaf that pauses or
//! hangs gives no other sign until an answer is late.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Number of a request in flight at a leaf.
pub type Ticket = u64;

/// Weight of a new sample in the mean service time.
const MEAN_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.1;
/// Largest sample that counts, in means. A leaf that pauses would otherwise look slow long after.
const SAMPLE_MEANS_MAX: f64 = 6.0;
/// Time in which what is known about an idle leaf loses its weight, in seconds.
const MEMORY_S: f64 = 4.0;
/// Deviations above the mean at which a request counts as late; with log-normal service times
/// about 3% of the answers take longer.
const LATE_DEVIATIONS: f64 = 4.0;
/// Shortest time above the network time at which a request counts as late.
const LATE_MIN: Duration = Duration::from_millis(12);
/// Expected delay that one failure adds; it doubles with each further failure in a row.
const FAILURE_DELAY_S: f64 = 0.1;
/// Failures in a row that raise the delay at most.
const FAILURES_MAX: u32 = 6;
/// Time in which the delay of failures fades, in seconds.
const FAILURE_MEMORY_S: f64 = 1.5;
/// Age up to which a load that the leaf reported counts.
const REPORT_AGE_MAX: Duration = Duration::from_millis(250);
/// Service time assumed while none is known.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(20);

/// Service times of a service or a leaf: mean and mean deviation, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTime {
    mean_s: f64,
    deviation_s: f64,
    count: u64,
}

impl ServiceTime {
    /// Adds a service time.
    pub fn record(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        self.count += 1;
        if self.count == 1 {
            self.mean_s = sample;
            self.deviation_s = sample / 2.0;
            return;
        }
        let sample = sample.min(self.mean_s * SAMPLE_MEANS_MAX);
        let error = sample - self.mean_s;
        self.mean_s += MEAN_WEIGHT * error;
        self.deviation_s += DEVIATION_WEIGHT * (error.abs() - self.deviation_s);
    }

    /// Mean service time; a default while nothing is known.
    pub fn mean(&self) -> Duration {
        if self.count == 0 {
            return SERVICE_TIME_DEFAULT;
        }
        Duration::from_secs_f64(self.mean_s)
    }

    /// Service time that few answers exceed.
    pub fn overdue_after(&self) -> Duration {
        let deviation = if self.count == 0 { self.mean() } else { self.deviation() };
        (self.mean() + deviation.mul_f64(LATE_DEVIATIONS)).max(LATE_MIN)
    }

    fn deviation(&self) -> Duration {
        Duration::from_secs_f64(self.deviation_s)
    }
}

/// Load that a leaf reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that the leaf runs at a time.
    pub slots: u32,
}

/// What an instance observes of one leaf.
#[derive(Clone, Debug, Default)]
pub struct LeafStats {
    in_flight: BTreeMap<Ticket, Instant>,
    next: Ticket,
    usual: ServiceTime,
    measured: Option<Instant>,
    failures: u32,
    failed: Option<Instant>,
    report: Option<(LoadReport, Instant)>,
    cold_until: Option<Instant>,
}

impl LeafStats {
    /// Marks the leaf as slow after its start until `until`.
    pub fn with_cold_until(mut self, until: Instant) -> Self {
        self.cold_until = Some(until);
        self
    }

    /// Takes note of a request that is sent to the leaf.
    pub fn start(&mut self, now: Instant) -> Ticket {
        self.next += 1;
        self.in_flight.insert(self.next, now);
        self.next
    }

    /// Takes note of a request that ended without telling anything about the leaf.
    pub fn discard(&mut self, ticket: Ticket) {
        self.in_flight.remove(&ticket);
    }

    /// Takes note of an answer; `distance` is the network time there and back.
    pub fn record_answer(&mut self, ticket: Ticket, distance: Duration, now: Instant) -> Duration {
        let sent = self.in_flight.remove(&ticket).unwrap_or(now);
        let time = now.saturating_duration_since(sent).saturating_sub(distance);
        self.usual.record(time);
        self.measured = Some(now);
        self.failures = 0;
        time
    }

    /// Takes note of a request that failed.
    pub fn record_failure(&mut self, ticket: Ticket, now: Instant) {
        self.in_flight.remove(&ticket);
        self.failures = (self.failures + 1).min(FAILURES_MAX);
        self.failed = Some(now);
    }

    /// Takes note of a load that the leaf reported.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Age of the oldest request in flight.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        let oldest = self.in_flight.values().next();
        oldest.map(|sent| now.saturating_duration_since(*sent)).unwrap_or_default()
    }

    /// Service time of the leaf; it goes back to that of the service while nothing is measured.
    fn service_time_s(&self, service: &ServiceTime, now: Instant) -> f64 {
        let general = service.mean().as_secs_f64();
        let Some(measured) = self.measured else {
            let cold = self.cold_until.is_some_and(|until| now < until);
            return if cold { general * COLD_FACTOR } else { general };
        };
        let kept = fade(now.saturating_duration_since(measured), MEMORY_S);
        general + (self.usual.mean().as_secs_f64() - general) * kept
    }

    /// Time in which an answer to a request sent now is expected.
    pub fn expected_latency(
        &self,
        distance: Duration,
        service: &ServiceTime,
        slots: u32,
        now: Instant,
    ) -> Duration {
        let service_s = self.service_time_s(service, now);
        let slots = f64::from(slots.max(1));
        let own = self.in_flight.len() as f64 / slots;
        let mut queue = (own - 0.5).max(0.0);
        if let Some((report, at)) = self.report
            && now.saturating_duration_since(at) < REPORT_AGE_MAX
        {
            queue = queue.max(f64::from(report.waiting) / f64::from(report.slots.max(1)));
        }
        let mut seconds = distance.as_secs_f64() + service_s * (1.0 + queue);
        if let Some(failed) = self.failed {
            let faded = fade(now.saturating_duration_since(failed), FAILURE_MEMORY_S);
            seconds += FAILURE_DELAY_S * f64::from(1_u32 << self.failures) * faded;
        }
        let oldest = self.oldest_age(now);
        if oldest > distance + service.overdue_after() {
            // An overdue request tells that the leaf does not answer now; how much longer is
            // unknown, and its age is the best estimate.
            seconds +=
                oldest.as_secs_f64() + service.overdue_after().as_secs_f64() * OVERDUE_FACTOR;
        }
        Duration::from_secs_f64(seconds)
    }
}

/// Service time of a leaf that has just started, in service times of its service.
const COLD_FACTOR: f64 = 1.6;
/// Delay expected at a leaf with an overdue request, in late service times, beside the age.
const OVERDUE_FACTOR: f64 = 2.0;

fn fade(age: Duration, memory_s: f64) -> f64 {
    (-age.as_secs_f64() / memory_s).exp()
}

/// Returns the position of the shortest time; of times within a tenth the one that `draw` selects.
///
/// Instances that know the same would otherwise all choose the same leaf.
pub fn pick_shortest(times: &[Duration], draw: u64) -> Option<usize> {
    let best = *times.iter().min()?;
    let similar = best.mul_f64(SIMILAR);
    let close: Vec<usize> =
        (0..times.len()).filter(|position| times[*position] <= similar).collect();
    close.get(draw as usize % close.len().max(1)).copied()
}

/// Times up to this ratio count as equal.
const SIMILAR: f64 = 1.1;
