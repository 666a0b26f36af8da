//! System clocks.
//!
//! Only code that performs I/O reads them; code that makes decisions takes the time as an argument.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use oleander_core::{Span, Time};

/// Wall clock time; the Unix epoch if the system clock is set to an earlier time.
#[must_use]
pub fn now() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(Span::from(elapsed).0)
}

/// Monotonic time that starts at the wall clock time of the first call.
///
/// For durations and deadlines inside one process; not comparable between hosts.
#[must_use]
pub fn steady() -> Time {
    static START: OnceLock<(Time, Instant)> = OnceLock::new();
    let (wall, start) = START.get_or_init(|| (now(), Instant::now()));
    *wall + Span::from(start.elapsed())
}

/// Time since the machine started, which also passes while the machine is suspended.
///
/// For leases, which end on other hosts meanwhile; not comparable between hosts.
#[must_use]
pub fn since_boot() -> Time {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(elapsed) => Time(Span::from(Duration::from(elapsed)).0),
        Err(error) => {
            log::error!(error:% = error; "time since boot can't be read; suspensions are missed");
            steady()
        }
    }
}
