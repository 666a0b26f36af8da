//! Bounds retries to a percentage of regular requests.
//!
//! Each regular request adds a fraction of a token, and each retry or hedge removes a whole token.
//! A minimum refill rate keeps a few retries possible under low traffic.

use oleander_core::{Span, Time};

/// Fixed-point units in one token. At 1 token per second, 1 µs refills one unit.
const UNITS_PER_TOKEN: u64 = 1_000_000;

/// A token bucket for retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    min_rate: u64,
    capacity: u64,
    level: u64,
    refilled_at: Time,
}

impl RetryBudget {
    /// Default number of retries, as a percentage of requests.
    pub const PERCENT: u32 = 10;
    /// Default minimum refill rate, in retries per second.
    pub const MIN_RATE: u32 = 1;
    /// Default maximum number of accumulated retries.
    pub const CAPACITY: u32 = 20;

    /// Creates a full budget with default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            percent: Self::PERCENT as u64,
            min_rate: Self::MIN_RATE as u64,
            capacity: Self::CAPACITY as u64 * UNITS_PER_TOKEN,
            level: Self::CAPACITY as u64 * UNITS_PER_TOKEN,
            refilled_at: Time(0),
        }
    }

    /// Sets the number of retries, as a percentage of requests.
    #[must_use]
    pub const fn percent(mut self, percent: u32) -> Self {
        self.percent = percent as u64;
        self
    }

    /// Sets the minimum refill rate, in retries per second.
    #[must_use]
    pub const fn min_rate(mut self, rate: u32) -> Self {
        self.min_rate = rate as u64;
        self
    }

    /// Sets the maximum number of accumulated retries and fills the budget to it.
    #[must_use]
    pub const fn capacity(mut self, retries: u32) -> Self {
        self.capacity = retries as u64 * UNITS_PER_TOKEN;
        self.level = self.capacity;
        self
    }

    /// Counts a regular request towards the budget.
    pub fn record_request(&mut self, now: Time) {
        self.refill(now);
        self.add(self.percent * UNITS_PER_TOKEN / 100);
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        let allowed = self.level >= UNITS_PER_TOKEN;
        if allowed {
            self.level -= UNITS_PER_TOKEN;
        }
        allowed
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).min(Span::from_secs(3_600));
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed.0.saturating_mul(self.min_rate));
    }

    fn add(&mut self, units: u64) {
        self.level = self.level.saturating_add(units).min(self.capacity);
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
