//! Choice of the leaf of a service that gets a request, by the expected latency of its answer.
//!
//! The expected latency is the network time to the leaf, its service time, the queueing time of
//! the requests there, and penalties for recent failures and for overdue requests in flight.
//! Overdue requests matter most: they are the first sign of a leaf that pauses or hangs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Identifier of a request in flight at a leaf.
pub type Ticket = u64;

/// Weight of a new sample in the moving average of the service time.
const MEAN_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the moving average of the deviation.
const DEVIATION_WEIGHT: f64 = 0.1;
/// Cap on a sample, as a multiple of the mean. Without it, a leaf would look slow long after a
/// pause.
const SAMPLE_MEANS_MAX: f64 = 6.0;
/// Time constant with which the service time of an idle leaf decays to that of its service, in
/// seconds.
const SERVICE_TIME_DECAY_S: f64 = 4.0;
/// Deviations above the mean after which a request is overdue; with log-normal service times about
/// 3% of the answers take longer.
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Shortest time, in addition to the network time, after which a request is overdue.
const OVERDUE_MIN: Duration = Duration::from_millis(12);
/// Base of the latency penalty of a leaf that failed, in seconds; it doubles with each consecutive
/// failure.
const FAILURE_PENALTY_S: f64 = 0.1;
/// Consecutive failures after which the penalty no longer grows.
const FAILURES_MAX: u32 = 6;
/// Time constant with which the penalty decays after the last failure, in seconds.
const FAILURE_DECAY_S: f64 = 1.5;
/// Age after which a load report is ignored.
const REPORT_AGE_MAX: Duration = Duration::from_millis(250);
/// Longest reported queue that is used, in requests a slot. A false report can't empty a leaf.
const REPORTED_QUEUE_MAX: f64 = 8.0;
/// Time constant with which the reported pace of a leaf's machine returns to the usual one, in
/// seconds. On the deployment that reports it, the correlation between two reports falls to a third
/// within 0.35 s.
const PACE_DECAY_S: f64 = 0.3;
/// Service time assumed before the first sample.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_millis(20);

/// Moving averages of the service time of a service or leaf and of its deviation.
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

    /// Returns the mean service time, or a default before the first sample.
    pub fn mean(&self) -> Duration {
        if self.count == 0 {
            return SERVICE_TIME_DEFAULT;
        }
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the service time after which a request is overdue; few answers take longer.
    pub fn overdue_after(&self) -> Duration {
        let deviation = if self.count == 0 { self.mean() } else { self.deviation() };
        (self.mean() + deviation.mul_f64(OVERDUE_DEVIATIONS)).max(OVERDUE_MIN)
    }

    fn deviation(&self) -> Duration {
        Duration::from_secs_f64(self.deviation_s)
    }
}

/// Load reported by a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting for a slot.
    pub waiting: u32,
    /// Number of requests that the leaf runs concurrently.
    pub slots: u32,
}

/// Requests in flight, service times, failures and load reports of one leaf, as seen by this
/// instance.
#[derive(Clone, Debug, Default)]
pub struct LeafStats {
    in_flight: BTreeMap<Ticket, Instant>,
    last_ticket: Ticket,
    service_time: ServiceTime,
    measured_at: Option<Instant>,
    failures: u32,
    failed_at: Option<Instant>,
    report: Option<(LoadReport, Instant)>,
    pace: Option<(f64, Instant)>,
    cold_until: Option<Instant>,
}

impl LeafStats {
    /// Expects longer service times until `until`, because the leaf has just started.
    pub fn with_cold_until(mut self, until: Instant) -> Self {
        self.cold_until = Some(until);
        self
    }

    /// Records a request that is sent to the leaf, and returns its ticket.
    pub fn start(&mut self, now: Instant) -> Ticket {
        self.last_ticket += 1;
        self.in_flight.insert(self.last_ticket, now);
        self.last_ticket
    }

    /// Removes a request whose outcome says nothing about the leaf.
    pub fn discard(&mut self, ticket: Ticket) {
        self.in_flight.remove(&ticket);
    }

    /// Records an answer and returns its service time; `round_trip` is that of the network.
    pub fn record_answer(
        &mut self,
        ticket: Ticket,
        round_trip: Duration,
        now: Instant,
    ) -> Duration {
        let sent = self.in_flight.remove(&ticket).unwrap_or(now);
        let time = now.saturating_duration_since(sent).saturating_sub(round_trip);
        // The pace is taken out of the sample, and put into the estimate as it is then. So a pace that
        // is always wrong by the same factor has no effect.
        self.service_time.record(time.div_f64(self.pace(now)));
        self.measured_at = Some(now);
        self.failures = 0;
        time
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, ticket: Ticket, now: Instant) {
        self.in_flight.remove(&ticket);
        self.failures = (self.failures + 1).min(FAILURES_MAX);
        self.failed_at = Some(now);
    }

    /// Records a load report of the leaf.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
    }

    /// Records how long work takes on the leaf's machine, as a multiple of the usual time.
    pub fn record_pace(&mut self, pace: f64, now: Instant) {
        self.pace = Some((pace, now));
    }

    /// Returns how long work takes on the leaf's machine now, as a multiple of the usual time.
    fn pace(&self, now: Instant) -> f64 {
        self.pace.map_or(1.0, |(pace, at)| {
            1.0 + (pace - 1.0) * decay(now.saturating_duration_since(at), PACE_DECAY_S)
        })
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of consecutive failures, at most `FAILURES_MAX`.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the age of the oldest request in flight, or zero if there is none.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        let oldest = self.in_flight.values().next();
        oldest.map(|sent| now.saturating_duration_since(*sent)).unwrap_or_default()
    }

    /// Returns the service time of the leaf in seconds. Without new samples it decays to that of
    /// the service.
    fn service_time_s(&self, service: &ServiceTime, now: Instant) -> f64 {
        let service_s = service.mean().as_secs_f64();
        let Some(measured) = self.measured_at else {
            let cold = self.cold_until.is_some_and(|until| now < until);
            return if cold { service_s * COLD_FACTOR } else { service_s };
        };
        let kept = decay(now.saturating_duration_since(measured), SERVICE_TIME_DECAY_S);
        service_s + (self.service_time.mean().as_secs_f64() - service_s) * kept
    }

    /// Returns the expected latency of a request sent now; `round_trip` is that of the network.
    pub fn expected_latency(
        &self,
        round_trip: Duration,
        service: &ServiceTime,
        slots: u32,
        now: Instant,
    ) -> Duration {
        let service_s = self.service_time_s(service, now) * self.pace(now);
        let slots = f64::from(slots.max(1));
        let own = self.in_flight.len() as f64 / slots;
        let mut queue = (own - 0.5).max(0.0);
        if let Some((report, at)) = self.report
            && now.saturating_duration_since(at) < REPORT_AGE_MAX
        {
            let reported = f64::from(report.waiting) / f64::from(report.slots.max(1));
            queue = queue.max(reported.min(REPORTED_QUEUE_MAX));
        }
        let mut seconds = round_trip.as_secs_f64() + service_s * (1.0 + queue);
        if let Some(failed) = self.failed_at {
            let decay = decay(now.saturating_duration_since(failed), FAILURE_DECAY_S);
            seconds += FAILURE_PENALTY_S * f64::from(1_u32 << self.failures) * decay;
        }
        let oldest = self.oldest_age(now);
        if oldest > round_trip + service.overdue_after() {
            // The leaf is not answering. Its remaining delay is unknown; the age of the oldest
            // request is the best estimate.
            seconds +=
                oldest.as_secs_f64() + service.overdue_after().as_secs_f64() * OVERDUE_FACTOR;
        }
        Duration::from_secs_f64(seconds)
    }
}

/// Expected service time of a leaf that has just started, as a multiple of its service's mean.
const COLD_FACTOR: f64 = 1.6;
/// Latency penalty of a leaf with an overdue request, in addition to the age of the request, as a
/// multiple of [`ServiceTime::overdue_after`].
const OVERDUE_FACTOR: f64 = 2.0;

fn decay(age: Duration, time_constant_s: f64) -> f64 {
    (-age.as_secs_f64() / time_constant_s).exp()
}

/// Returns the position of the shortest time, or of a random one (by `draw`) among the times within
/// a tenth of it.
///
/// Without the randomness, instances with the same measurements would all choose the same leaf.
pub fn pick_shortest(times: &[Duration], draw: u64) -> Option<usize> {
    let best = *times.iter().min()?;
    let similar = best.mul_f64(SIMILAR_TIME_RATIO);
    let close: Vec<usize> =
        (0..times.len()).filter(|position| times[*position] <= similar).collect();
    close.get(draw as usize % close.len().max(1)).copied()
}

/// Ratio up to which two times count as equal.
const SIMILAR_TIME_RATIO: f64 = 1.1;
