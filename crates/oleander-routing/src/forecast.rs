//! How much online work to expect within the time that a batch item runs.
//!
//! Answers a load that jumps every few seconds: an item that starts in a lull is still there when
//! the next jump comes. The highest level of the recent past is expected again, so that batch
//! fills what online leaves at its peaks and little has to be cancelled.

use oleander_core::{Span, Time};

/// Time that each of the two halves of the window covers: more than the time between two jumps.
const HALF: Span = Span::from_secs(6);

/// Highest level over a sliding window of one to two halves.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Forecast {
    began: Time,
    current: u32,
    former: u32,
}

impl Forecast {
    /// Takes the present level into account.
    pub(crate) fn record(&mut self, now: Time, level: u32) {
        let age = now.since(self.began);
        if age >= HALF {
            self.former = if age < HALF * 2 { self.current } else { level };
            self.current = level;
            self.began = now;
        }
        self.current = self.current.max(level);
    }

    /// The level to expect.
    pub(crate) fn expected(&self) -> u32 {
        self.current.max(self.former)
    }
}
