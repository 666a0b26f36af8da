//! What a host knew at earlier times, to be compared with late reports.

use std::collections::VecDeque;

use oleander_core::{Span, Time};

/// Least time between two entries.
const STEP: Span = Span::from_millis(50);
/// Most entries, which cover lags of up to ten seconds or more.
const ENTRIES: usize = 256;

/// Past values of a count.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    entries: VecDeque<(Time, u32)>,
}

impl History {
    /// Records the value in force from `now` on.
    pub(crate) fn record(&mut self, now: Time, value: u32) {
        if let Some((at, last)) = self.entries.back_mut()
            && now.since(*at) < STEP
        {
            *last = value;
            return;
        }
        if self.entries.len() == ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((now, value));
    }

    /// The value in force at `at`, as far as recorded.
    pub(crate) fn at(&self, at: Time) -> u32 {
        let after = self.entries.partition_point(|(from, _)| *from <= at);
        let before = after.checked_sub(1).and_then(|index| self.entries.get(index));
        before.map_or(0, |(_, value)| *value)
    }
}
