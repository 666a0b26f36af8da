//! A concurrency limit that follows observed latency.
//!
//! The limit rises additively and falls multiplicatively. Latency objectives are meant to hold for
//! 95 % of the samples: a window in which more than one in [`LATE_DIVISOR`] samples exceeds its
//! objective lowers the limit by a factor, any other raises it by one slot. Without enough samples
//! the limit also rises slot by slot: if a host no longer sends requests to the target, the limit
//! would otherwise stay low. The limit stays between the minimum and the configured limit.

use oleander_core::{Span, Time};

/// Share of late samples above which the limit falls, as a divisor of the sample count.
const LATE_DIVISOR: u32 = 10;
/// Number of samples that ends a window early.
const MAX_SAMPLES: u32 = 200;
/// Minimum number of samples in a window.
const MIN_SAMPLES: u32 = 10;
/// Share of the limit that remains after a decrease.
const DECREASE_PER_MILLE: u32 = 850;

/// Settings of a [`LimitController`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitConfig {
    first_token: Span,
    between_tokens: Span,
    window: Span,
    min_limit: u32,
}

impl LimitConfig {
    /// Default latency objective for the time to first token.
    pub const FIRST_TOKEN: Span = Span::from_millis(720);
    /// Default latency objective for the time between tokens.
    pub const BETWEEN_TOKENS: Span = Span::from_millis(49);
    /// Default duration of a window.
    pub const WINDOW: Span = Span::from_millis(1_000);
    /// Default lower bound of the limit.
    pub const MIN_LIMIT: u32 = 2;

    /// Creates default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            first_token: Self::FIRST_TOKEN,
            between_tokens: Self::BETWEEN_TOKENS,
            window: Self::WINDOW,
            min_limit: Self::MIN_LIMIT,
        }
    }

    /// Sets the latency objective for the time to first token.
    #[must_use]
    pub const fn first_token(mut self, objective: Span) -> Self {
        self.first_token = objective;
        self
    }

    /// Sets the latency objective for the time between tokens.
    #[must_use]
    pub const fn between_tokens(mut self, objective: Span) -> Self {
        self.between_tokens = objective;
        self
    }

    /// Sets the duration of a window.
    #[must_use]
    pub const fn window(mut self, window: Span) -> Self {
        self.window = window;
        self
    }

    /// Sets the lower bound of the limit.
    #[must_use]
    pub const fn min_limit(mut self, limit: u32) -> Self {
        self.min_limit = limit;
        self
    }
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// The concurrency limit of one target.
#[derive(Debug, Clone)]
pub struct LimitController {
    config: LimitConfig,
    configured: u32,
    current: u32,
    window_start: Time,
    adjusted_at: Time,
    samples: u32,
    late: u32,
}

impl LimitController {
    /// Creates a controller that starts at the configured limit.
    #[must_use]
    pub const fn new(config: LimitConfig, configured: u32) -> Self {
        Self {
            config,
            configured,
            current: configured,
            window_start: Time(0),
            adjusted_at: Time(0),
            samples: 0,
            late: 0,
        }
    }

    /// The current limit.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Changes the configured limit; the current limit keeps its difference from it.
    pub fn set_configured(&mut self, configured: u32) {
        let reduction = self.configured.saturating_sub(self.current);
        self.configured = configured;
        self.current = configured.saturating_sub(reduction).max(self.min_limit());
    }

    /// Records a time to first token.
    pub fn record_first_token(&mut self, now: Time, took: Span) {
        self.record(now, took > self.config.first_token);
    }

    /// Records a time between tokens.
    pub fn record_between_tokens(&mut self, now: Time, took: Span) {
        self.record(now, took > self.config.between_tokens);
    }

    fn record(&mut self, now: Time, late: bool) {
        if self.samples == 0 {
            self.window_start = now;
        }
        self.samples += 1;
        self.late += u32::from(late);
        let elapsed =
            now.since(self.window_start) >= self.config.window && self.samples >= MIN_SAMPLES;
        if elapsed || self.samples >= MAX_SAMPLES {
            self.adjust(now);
        }
    }

    /// Raises the limit by one slot if no window was completed for twice its duration.
    pub fn recover(&mut self, now: Time) {
        if now.since(self.adjusted_at) >= self.config.window * 2 {
            self.adjusted_at = now;
            self.current = self.raised();
        }
    }

    fn raised(&self) -> u32 {
        self.current.saturating_add(1).min(self.configured)
    }

    /// Adjusts the limit at the end of a window.
    fn adjust(&mut self, now: Time) {
        let lowered = (u64::from(self.current) * u64::from(DECREASE_PER_MILLE) / 1_000) as u32;
        let slow = self.late * LATE_DIVISOR > self.samples;
        self.current = if slow { lowered.max(self.min_limit()) } else { self.raised() };
        self.adjusted_at = now;
        self.samples = 0;
        self.late = 0;
    }

    fn min_limit(&self) -> u32 {
        self.config.min_limit.min(self.configured)
    }
}
