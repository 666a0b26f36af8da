//! Random choices that a seed repeats.

use std::{ops::Range, time::Duration};

/// Choices by splitmix64.
#[derive(Debug, Clone)]
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) const fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    pub(crate) fn one_in(&mut self, count: usize) -> bool {
        self.below(count) == 0
    }

    pub(crate) fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }

    /// A time in milliseconds from a range.
    pub(crate) fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(range.start + self.next() % (range.end - range.start))
    }
}
