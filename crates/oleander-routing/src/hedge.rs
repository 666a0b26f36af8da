//! Second sends of repeatable online calls that are slow to answer.

use oleander_core::{Span, Time};

use crate::{RetryBudget, latency::LatencyWindow};

/// Samples that the delay is worked out from.
const WINDOW: usize = 512;
/// Fewest samples before any hedge.
const LEAST_SAMPLES: usize = 20;
/// The quantile after which a call counts as slow, in per mille.
const SLOW: u32 = 950;
/// New samples after which the delay is worked out again.
const REFRESH: u32 = 32;

/// Settings of a [`Hedger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeConfig {
    percent: u32,
    min_delay: Span,
}

impl HedgeConfig {
    /// Hedges as a percentage of requests.
    pub const PERCENT: u32 = 5;
    /// Shortest delay before a hedge.
    pub const MIN_DELAY: Span = Span::from_millis(20);

    /// Default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self { percent: Self::PERCENT, min_delay: Self::MIN_DELAY }
    }

    /// Sets hedges as a percentage of requests.
    #[must_use]
    pub const fn percent(mut self, percent: u32) -> Self {
        self.percent = percent;
        self
    }

    /// Sets the shortest delay before a hedge.
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

/// Decides when a call is sent a second time.
#[derive(Debug, Clone)]
pub struct Hedger {
    config: HedgeConfig,
    budget: RetryBudget,
    samples: LatencyWindow,
    fresh: u32,
    delay: Option<Span>,
}

impl Hedger {
    /// A hedger that has seen nothing yet.
    #[must_use]
    pub fn new(config: HedgeConfig) -> Self {
        let budget = RetryBudget::new().percent(config.percent).min_rate(0).capacity(5);
        Self { config, budget, samples: LatencyWindow::new(WINDOW), fresh: 0, delay: None }
    }

    /// Counts a regular request.
    pub fn record_request(&mut self, now: Time) {
        self.budget.record_request(now);
    }

    /// Takes an observed time to the first token into account.
    pub fn record_first_token(&mut self, took: Span) {
        self.samples.record(took);
        self.fresh += 1;
        let due = self.delay.is_none() || self.fresh >= REFRESH;
        if due && self.samples.len() >= LEAST_SAMPLES {
            self.delay = self.samples.quantile(SLOW).map(|p| p.max(self.config.min_delay));
            self.fresh = 0;
        }
    }

    /// How long to wait for the first token before asking [`Hedger::try_hedge`].
    ///
    /// `None` for a call that may not be repeated, or with too few samples.
    #[must_use]
    pub const fn delay(&self, repeatable: bool) -> Option<Span> {
        if repeatable { self.delay } else { None }
    }

    /// Takes one hedge out of the budget, if the call may be sent again now.
    pub fn try_hedge(&mut self, now: Time, sent: Time, repeatable: bool) -> bool {
        let slow = self.delay(repeatable).is_some_and(|delay| now.since(sent) >= delay);
        slow && self.budget.try_withdraw(now)
    }
}
