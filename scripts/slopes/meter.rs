//! Processor time and memory of the measuring process, and points for `fit.awk`.

#![allow(dead_code, reason = "each example uses a part")]
#![allow(clippy::print_stdout, reason = "prints its measurements")]

use std::{fs, thread, time::Duration};

/// Page size of the memory statistics.
const PAGE_BYTES: u64 = 4_096;

/// Processor time of all threads of this process that still run.
///
/// Yields first, because the kernel brings a thread's time up to date when it is scheduled.
pub(crate) fn processor_time() -> Duration {
    thread::yield_now();
    let tasks = fs::read_dir("/proc/self/task").expect("the process has threads");
    let nanos = tasks.filter_map(|task| {
        let text = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Nanoseconds of processor time that `work` takes.
pub(crate) fn measure<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let before = processor_time();
    let result = work();
    (processor_time().saturating_sub(before).as_nanos() as f64, result)
}

/// Resident memory of this process.
pub(crate) fn resident_bytes() -> f64 {
    let statistics = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics.split(' ').nth(1).and_then(|text| text.parse::<u64>().ok());
    (pages.unwrap_or(0) * PAGE_BYTES) as f64
}

/// Prints one point of a series.
pub(crate) fn point(series: &str, x: usize, y: f64) {
    println!("{series} {x} {y:.1}");
}
