//! CPU time of the process and of groups of its threads, read from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Returns the CPU time of all live threads whose name starts with `prefix`; an empty prefix
/// selects all threads.
///
/// Threads that have ended are not counted, so a difference of two readings is valid only if the
/// same threads are alive at both.
///
/// # Errors
///
/// Returns an error if `/proc` can't be read.
pub fn thread_time(prefix: &str) -> io::Result<Duration> {
    let mut total = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // A thread may end between listing and reading.
        let Ok(name) = fs::read_to_string(task.join("comm")) else { continue };
        let Ok(stat) = fs::read_to_string(task.join("schedstat")) else { continue };
        if name.starts_with(prefix) {
            let cpu_nanos = stat.split_whitespace().next().and_then(|field| field.parse().ok());
            total += cpu_nanos.unwrap_or(0);
        }
    }
    Ok(Duration::from_nanos(total))
}
