//! A bound on extra requests as a share of the regular ones.
//!
//! Each regular request adds a share of a token and each retry or hedge takes a whole one. A slow
//! min_rate keeps a few retries possible when there is little traffic.

use oleander_core::{Span, Time};

/// Parts of a token, so that shares are whole numbers.
const TOKEN: u64 = 1_000_000;

/// A token bucket for retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    min_rate: u64,
    capacity: u64,
    level: u64,
    filled: Time,
}

impl RetryBudget {
    /// Retries as a percentage of requests.
    pub const PERCENT: u32 = 10;
    /// Retries a second that are always possible.
    pub const MIN_RATE: u32 = 1;
    /// Retries that can be saved up.
    pub const CAPACITY: u32 = 20;

    /// A full budget with default bounds.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            percent: Self::PERCENT as u64,
            min_rate: Self::MIN_RATE as u64,
            capacity: Self::CAPACITY as u64 * TOKEN,
            level: Self::CAPACITY as u64 * TOKEN,
            filled: Time(0),
        }
    }

    /// Sets retries as a percentage of requests.
    #[must_use]
    pub const fn percent(mut self, percent: u32) -> Self {
        self.percent = percent as u64;
        self
    }

    /// Sets the retries a second that are always possible.
    #[must_use]
    pub const fn min_rate(mut self, rate: u32) -> Self {
        self.min_rate = rate as u64;
        self
    }

    /// Sets how many retries can be saved up, and saves up that many.
    #[must_use]
    pub const fn capacity(mut self, retries: u32) -> Self {
        self.capacity = retries as u64 * TOKEN;
        self.level = self.capacity;
        self
    }

    /// Counts a regular request.
    pub fn record_request(&mut self, now: Time) {
        self.fill(now);
        self.add(self.percent * TOKEN / 100);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        self.fill(now);
        let allowed = self.level >= TOKEN;
        if allowed {
            self.level -= TOKEN;
        }
        allowed
    }

    fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).min(Span::from_secs(3_600));
        self.filled = self.filled.max(now);
        self.add(passed.0.saturating_mul(self.min_rate));
    }

    fn add(&mut self, parts: u64) {
        self.level = self.level.saturating_add(parts).min(self.capacity);
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
