//! Past values of a count, for comparison with delayed reports.

use std::collections::VecDeque;

use oleander_core::{Span, Time};

/// Minimum time between two samples.
const SAMPLE_INTERVAL: Span = Span::from_millis(50);
/// Maximum number of samples; together they cover report delays of more than ten seconds.
const MAX_SAMPLES: usize = 256;

/// Time series of a count.
#[derive(Debug, Clone, Default)]
pub(crate) struct History {
    samples: VecDeque<(Time, u32)>,
}

impl History {
    /// Records the value that holds from `now` on.
    ///
    /// A value within [`SAMPLE_INTERVAL`] of the last sample replaces it.
    pub(crate) fn record(&mut self, now: Time, value: u32) {
        if let Some((at, last)) = self.samples.back_mut()
            && now.since(*at) < SAMPLE_INTERVAL
        {
            *last = value;
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, value));
    }

    /// The value that held at `at`; 0 before the first sample.
    pub(crate) fn at(&self, at: Time) -> u32 {
        let after = self.samples.partition_point(|(from, _)| *from <= at);
        let before = after.checked_sub(1).and_then(|index| self.samples.get(index));
        before.map_or(0, |(_, value)| *value)
    }
}
