//! The age of the list of targets.

use std::sync::atomic::{AtomicU64, Ordering};

use oleander_core::Time;

/// The time as of which the list of targets is known to be the present one: the begin of the last
/// read of the platform that has confirmed it.
#[derive(Debug, Default)]
pub(crate) struct ListTime(AtomicU64);

impl ListTime {
    /// Records that a read which began at `began` has confirmed the list.
    pub(crate) fn record(&self, began: Time) {
        self.0.fetch_max(began.0, Ordering::Relaxed);
    }

    /// The time as of which the list is known.
    pub(crate) fn get(&self) -> Time {
        Time(self.0.load(Ordering::Relaxed))
    }
}
