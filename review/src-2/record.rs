//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Lines with the time since the start of the case.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default() }
    }

    /// Adds a line with the current time.
    pub fn note(&self, line: impl Into<String>) {
        self.note_at(Instant::now(), line);
    }

    /// Adds a line with the time `at`.
    pub fn note_at(&self, at: Instant, line: impl Into<String>) {
        let time = at.saturating_duration_since(self.started);
        lock(&self.lines).push((time, line.into()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|(time, _)| *time);
        let mut file = BufWriter::new(File::create(path)?);
        for (time, line) in lines {
            writeln!(file, "{:9.3} {line}", time.as_secs_f64())?;
        }
        file.flush()
    }
}

/// Locks a mutex; a panic of another thread is reported by that thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
