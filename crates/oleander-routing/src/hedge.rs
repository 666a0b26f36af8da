//! Hedged requests: second attempts at repeatable online calls that are slow to respond.

use oleander_core::{Span, Time};

use crate::{RetryBudget, latency::LatencyWindow};

/// Samples from which the delay is computed.
const WINDOW_SAMPLES: usize = 512;
/// Minimum number of samples before any hedge.
const MIN_SAMPLES: usize = 20;
/// Quantile of the time to first token after which a call is hedged.
const SLOW_PER_MILLE: u32 = 950;
/// Number of new samples after which the delay is recomputed.
const REFRESH_SAMPLES: u32 = 32;

/// Settings of a [`Hedger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeConfig {
    percent: u32,
    min_delay: Span,
}

impl HedgeConfig {
    /// Default number of hedges, as a percentage of requests.
    pub const PERCENT: u32 = 5;
    /// Default minimum delay before a hedge.
    pub const MIN_DELAY: Span = Span::from_millis(20);

    /// Creates default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self { percent: Self::PERCENT, min_delay: Self::MIN_DELAY }
    }

    /// Sets the number of hedges, as a percentage of requests.
    #[must_use]
    pub const fn percent(mut self, percent: u32) -> Self {
        self.percent = percent;
        self
    }

    /// Sets the minimum delay before a hedge.
    #[must_use]
    pub const fn min_delay(mut self, delay: Span) -> Self {
        self.min_delay = delay;
        self
    }
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// Decides when a call is hedged.
#[derive(Debug, Clone)]
pub struct Hedger {
    config: HedgeConfig,
    budget: RetryBudget,
    samples: LatencyWindow,
    new_samples: u32,
    delay: Option<Span>,
}

impl Hedger {
    /// Creates a hedger without samples.
    #[must_use]
    pub fn new(config: HedgeConfig) -> Self {
        let budget = RetryBudget::new().percent(config.percent).min_rate(0).capacity(5);
        Self {
            config,
            budget,
            samples: LatencyWindow::new(WINDOW_SAMPLES),
            new_samples: 0,
            delay: None,
        }
    }

    /// Counts a regular request towards the budget of hedges.
    pub fn record_request(&mut self, now: Time) {
        self.budget.record_request(now);
    }

    /// Records a time to first token.
    pub fn record_first_token(&mut self, took: Span) {
        self.samples.record(took);
        self.new_samples += 1;
        let due = self.delay.is_none() || self.new_samples >= REFRESH_SAMPLES;
        if due && self.samples.len() >= MIN_SAMPLES {
            self.delay =
                self.samples.quantile(SLOW_PER_MILLE).map(|p| p.max(self.config.min_delay));
            self.new_samples = 0;
        }
    }

    /// Time without a first token after which to call [`Hedger::try_hedge`].
    ///
    /// `None` for a call that must not be repeated, or while there are too few samples.
    #[must_use]
    pub const fn delay(&self, repeatable: bool) -> Option<Span> {
        if repeatable { self.delay } else { None }
    }

    /// Takes one hedge from the budget for a call sent at `sent`; returns whether to send it again.
    pub fn try_hedge(&mut self, now: Time, sent: Time, repeatable: bool) -> bool {
        let slow = self.delay(repeatable).is_some_and(|delay| now.since(sent) >= delay);
        slow && self.budget.try_withdraw(now)
    }
}
