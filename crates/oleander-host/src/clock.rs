//! The clocks, read by shells only.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use oleander_core::{Span, Time};

/// The present time; the Unix epoch if the system clock is before it.
#[must_use]
pub fn now() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(Span::from(elapsed).0)
}

/// The present time on a clock that starts at the wall clock's time and is never set.
///
/// Fit for spans and deadlines inside one process, and not for comparing hosts.
#[must_use]
pub fn steady() -> Time {
    static START: OnceLock<(Time, Instant)> = OnceLock::new();
    let (wall, start) = START.get_or_init(|| (now(), Instant::now()));
    *wall + Span::from(start.elapsed())
}
