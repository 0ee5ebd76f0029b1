//! Rate limit on the log lines of each event, with a count of the suppressed lines.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use spdlog::log;

use crate::Event;

/// Maximum number of lines of one event per second. An instance with a quarter of a CPU core
/// answers fewer requests per second than that, so lines are suppressed only during a burst.
const LINES_PER_S_MAX: u32 = 150;
/// Length of the window over which lines are counted.
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

static WINDOWS: Mutex<BTreeMap<&'static str, Window>> = Mutex::new(BTreeMap::new());

/// Number of lines of one event in the current time window.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    started: Instant,
    lines: u32,
}

impl Window {
    /// Starts a window.
    pub fn new(now: Instant) -> Self {
        Self { started: now, lines: 0 }
    }

    /// Counts a line. Returns whether to write it, and the number of lines that were suppressed in
    /// the previous window if this line starts a new one.
    pub fn count_line(&mut self, now: Instant) -> (bool, u32) {
        let mut suppressed = 0;
        if now.saturating_duration_since(self.started) >= WINDOW_LENGTH {
            suppressed = self.lines.saturating_sub(LINES_PER_S_MAX);
            *self = Self::new(now);
        }
        self.lines += 1;
        (self.lines <= LINES_PER_S_MAX, suppressed)
    }
}

/// Returns whether a line of the event may be written now. Logs how many lines were suppressed in
/// the previous window.
pub fn allow(event: Event) -> bool {
    let now = Instant::now();
    let mut windows = WINDOWS.lock().unwrap_or_else(PoisonError::into_inner);
    let (allowed, suppressed) =
        windows.entry(event.code()).or_insert_with(|| Window::new(now)).count_line(now);
    drop(windows);
    if suppressed > 0 {
        let summary = Event::LinesLeftOut;
        log!(
            summary.level(),
            "{}",
            summary.text(),
            kv: { code = summary.code(), of = event.code(), lines = suppressed }
        );
    }
    allowed
}
