//! CPU time of the process and of groups of its threads, from /proc.

use std::fs;
use std::io;
use std::time::Duration;

/// CPU time of all threads alive whose name starts with `prefix`; an empty prefix takes all.
///
/// Threads that ended are not counted, so both readings of a span must see the same threads.
///
/// # Errors
///
/// Fails if /proc can't be read.
pub fn thread_time(prefix: &str) -> io::Result<Duration> {
    let mut total = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // A thread may end between the listing and the reading.
        let Ok(name) = fs::read_to_string(task.join("comm")) else { continue };
        let Ok(stat) = fs::read_to_string(task.join("schedstat")) else { continue };
        if name.starts_with(prefix) {
            let on_cpu = stat.split_whitespace().next().and_then(|field| field.parse().ok());
            total += on_cpu.unwrap_or(0);
        }
    }
    Ok(Duration::from_nanos(total))
}
