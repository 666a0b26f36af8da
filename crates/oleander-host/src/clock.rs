//! The wall clock, read by shells only.

use std::time::{SystemTime, UNIX_EPOCH};

use oleander_core::{Span, Time};

/// The present time; the Unix epoch if the system clock is before it.
#[must_use]
pub fn now() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(Span::from(elapsed).0)
}
