//! A concurrency limit that follows observed latency.
//!
//! Samples are judged in windows: the goals are meant for 95 in 100, so a window in which more
//! than [`LATE_SHARE`] of the samples are late lowers the limit by a factor, and one with fewer
//! raises it by one slot. Without enough samples the limit recovers as slowly, because a host whose
//! work went elsewhere would keep it low for good. The limit stays between the floor and the configured limit.

use oleander_core::{Span, Time};

/// Share of late samples that lowers the limit, as a divisor of the sample count.
const LATE_SHARE: u32 = 10;
/// Samples that end a window early.
const FULL_WINDOW: u32 = 200;
/// Fewest samples that may lower the limit.
const LEAST_SAMPLES: u32 = 10;
/// Per mille of the limit kept by a decrease.
const DECREASE: u32 = 850;

/// Settings of a [`LimitController`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitConfig {
    first_token: Span,
    between_tokens: Span,
    window: Span,
    min_limit: u32,
}

impl LimitConfig {
    /// Wanted time to the first token.
    pub const FIRST_TOKEN: Span = Span::from_millis(720);
    /// Wanted time between tokens.
    pub const BETWEEN_TOKENS: Span = Span::from_millis(49);
    /// Length of a window.
    pub const WINDOW: Span = Span::from_millis(1_000);
    /// Lowest limit.
    pub const MIN_LIMIT: u32 = 2;

    /// Default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            first_token: Self::FIRST_TOKEN,
            between_tokens: Self::BETWEEN_TOKENS,
            window: Self::WINDOW,
            min_limit: Self::MIN_LIMIT,
        }
    }

    /// Sets the wanted time to the first token.
    #[must_use]
    pub const fn first_token(mut self, goal: Span) -> Self {
        self.first_token = goal;
        self
    }

    /// Sets the wanted time between tokens.
    #[must_use]
    pub const fn between_tokens(mut self, goal: Span) -> Self {
        self.between_tokens = goal;
        self
    }

    /// Sets the length of a window.
    #[must_use]
    pub const fn window(mut self, window: Span) -> Self {
        self.window = window;
        self
    }

    /// Sets the lowest limit.
    #[must_use]
    pub const fn min_limit(mut self, min_limit: u32) -> Self {
        self.min_limit = min_limit;
        self
    }
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// The limit of one target.
#[derive(Debug, Clone)]
pub struct LimitController {
    config: LimitConfig,
    configured: u32,
    current: u32,
    opened: Time,
    judged: Time,
    samples: u32,
    late: u32,
}

impl LimitController {
    /// A controller that starts at the configured limit.
    #[must_use]
    pub const fn new(config: LimitConfig, configured: u32) -> Self {
        Self {
            config,
            configured,
            current: configured,
            opened: Time(0),
            judged: Time(0),
            samples: 0,
            late: 0,
        }
    }

    /// The limit in force.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Changes the configured limit; a lowered limit keeps its distance from it.
    pub fn set_configured(&mut self, configured: u32) {
        let lowered = self.configured.saturating_sub(self.current);
        self.configured = configured;
        self.current = configured.saturating_sub(lowered).max(self.min_limit());
    }

    /// Takes a time to the first token into account.
    pub fn record_first_token(&mut self, now: Time, took: Span) {
        self.sample(now, took > self.config.first_token);
    }

    /// Takes a time between tokens into account.
    pub fn record_between_tokens(&mut self, now: Time, took: Span) {
        self.sample(now, took > self.config.between_tokens);
    }

    fn sample(&mut self, now: Time, late: bool) {
        if self.samples == 0 {
            self.opened = now;
        }
        self.samples += 1;
        self.late += u32::from(late);
        let over = now.since(self.opened) >= self.config.window && self.samples >= LEAST_SAMPLES;
        if over || self.samples >= FULL_WINDOW {
            self.judge(now);
        }
    }

    /// Raises the limit by a slot if there were too few samples to judge it for two windows.
    pub fn recover(&mut self, now: Time) {
        if now.since(self.judged) >= self.config.window * 2 {
            self.judged = now;
            self.current = self.raised();
        }
    }

    fn raised(&self) -> u32 {
        self.current.saturating_add(1).min(self.configured)
    }

    fn judge(&mut self, now: Time) {
        let lowered = (u64::from(self.current) * u64::from(DECREASE) / 1_000) as u32;
        let slow = self.late * LATE_SHARE > self.samples;
        self.current = if slow { lowered.max(self.min_limit()) } else { self.raised() };
        self.judged = now;
        self.samples = 0;
        self.late = 0;
    }

    fn min_limit(&self) -> u32 {
        self.config.min_limit.min(self.configured)
    }
}
