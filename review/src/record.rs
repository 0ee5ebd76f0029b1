//! Record of a run: what was sent, answered and run, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Record file of one run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        // A record that can't be written does not change the result of the run.
        let _ = writeln!(file, "{:>6} ms  {text}", self.now_ms());
    }
}
