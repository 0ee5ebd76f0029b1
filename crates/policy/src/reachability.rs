//! Tells an instance that is cut off from all leafs from leafs that fail.
//!
//! Silence of all leafs, or new connections that all fail, raise a suspicion. Connections that are
//! opened to some leafs as probes then decide: if none succeeds, the instance is cut off until most
//! of them succeed again.

use std::time::Duration;
use std::time::Instant;

/// Time without an answer of any leaf that raises a suspicion if requests were sent meanwhile.
const SILENCE: Duration = Duration::from_millis(300);
/// Requests sent in a silence that raise a suspicion.
const SILENT_REQUESTS: u32 = 5;
/// Failed connections without a successful one that raise a suspicion.
const CONNECT_FAILURES: u32 = 2;
/// Time after probes that succeeded before another suspicion.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Consecutive rounds of probes that succeed until the instance is connected again, so that it does
/// not return with each moment in which connections get through.
const GOOD_ROUNDS: u32 = 2;

/// Outcome of a round of probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The instance is cut off from all leafs.
    CutOff,
    /// The instance reaches leafs again.
    Connected,
}

/// Reachability of the leafs from this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    answered_at: Option<Instant>,
    /// Requests sent since the last answer, and the time of the first one.
    unanswered: u32,
    unanswered_since: Option<Instant>,
    /// Failed connections since the last successful one.
    connect_failures: u32,
    probed_at: Option<Instant>,
    cut_off: bool,
    good_rounds: u32,
    /// Whether the last round of probes reached a leaf.
    reached_some: bool,
}

impl Reachability {
    /// Records a request to a leaf.
    pub fn record_send(&mut self, now: Instant) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer of a leaf, whatever it says.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.unanswered = 0;
        self.unanswered_since = None;
    }

    /// Records whether a new connection could be opened.
    pub fn record_connect(&mut self, succeeded: bool) {
        self.connect_failures = if succeeded { 0 } else { self.connect_failures.saturating_add(1) };
    }

    /// Returns whether leafs should be probed because the instance may be cut off.
    pub fn is_suspected(&self, now: Instant) -> bool {
        let has_waited = |since: Option<Instant>, time: Duration| {
            since.is_none_or(|since| now.saturating_duration_since(since) >= time)
        };
        let is_silent = self.unanswered >= SILENT_REQUESTS
            && self.unanswered_since.is_some()
            && has_waited(self.unanswered_since, SILENCE);
        !self.cut_off
            && has_waited(self.probed_at, PROBE_PAUSE)
            && (is_silent || self.connect_failures >= CONNECT_FAILURES)
    }

    /// Records how many of the probed leafs accepted a connection; returns a change of the state.
    pub fn record_probes(&mut self, reached: usize, probed: usize, now: Instant) -> Option<Change> {
        self.probed_at = Some(now);
        self.reached_some = reached > 0;
        if !self.cut_off {
            self.connect_failures = 0;
            self.unanswered = 0;
            self.unanswered_since = None;
            self.good_rounds = 0;
            self.cut_off = probed > 0 && reached == 0;
            return self.cut_off.then_some(Change::CutOff);
        }
        let is_good = probed > 0 && 2 * reached >= probed;
        self.good_rounds = if is_good { self.good_rounds + 1 } else { 0 };
        self.cut_off = self.good_rounds < GOOD_ROUNDS;
        (!self.cut_off).then_some(Change::Connected)
    }

    /// Returns whether the instance is cut off from all leafs.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Returns whether a request may reach a leaf although the instance is cut off: a leaf has answered
    /// lately or accepted a probe. It is worth a try if no other instance can help.
    pub fn may_reach(&self, now: Instant) -> bool {
        self.reached_some || self.has_answers(now)
    }

    /// Returns whether a leaf has answered within a silence that raises a suspicion. While new
    /// connections fail, open ones may live on.
    pub fn has_answers(&self, now: Instant) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_duration_since(at) < SILENCE)
    }
}
