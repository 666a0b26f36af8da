//! Settings of the reconciler.

use oleander_core::Span;

/// Time for which orders may be sent, from the start of the call that confirmed their record.
const ORDER_VALIDITY: Span = Span::from_secs(2);
/// Timeout of the call that executes an action.
const CALL_TIMEOUT: Span = Span::from_secs(3);
/// Mean time between two reads of an engine's state.
const RECHECK_INTERVAL: Span = Span::from_secs(10);
/// Maximum random delay of work that a new document, host list or listing makes due.
const START_JITTER: Span = Span::from_millis(500);
/// Time between two listings of the records.
const SWEEP_INTERVAL: Span = Span::from_secs(60);
/// Delay before the first retry.
const MIN_RETRY_DELAY: Span = Span::from_millis(200);
/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Span = Span::from_secs(10);
/// Maximum number of targets with a pending action.
const MAX_PENDING: usize = 32;

/// Settings of the reconciler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrdersConfig {
    pub(crate) order_validity: Span,
    pub(crate) order_delay: Span,
    pub(crate) recheck_interval: Span,
    pub(crate) start_jitter: Span,
    pub(crate) sweep_interval: Span,
    pub(crate) min_delay: Span,
    pub(crate) max_delay: Span,
    pub(crate) max_pending: usize,
}

impl OrdersConfig {
    /// The default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            order_validity: ORDER_VALIDITY,
            order_delay: Span(ORDER_VALIDITY.0 + CALL_TIMEOUT.0),
            recheck_interval: RECHECK_INTERVAL,
            start_jitter: START_JITTER,
            sweep_interval: SWEEP_INTERVAL,
            min_delay: MIN_RETRY_DELAY,
            max_delay: MAX_RETRY_DELAY,
            max_pending: MAX_PENDING,
        }
    }

    /// Sets the time between a new fencing number and the first order that carries it.
    #[must_use]
    pub const fn order_delay(mut self, delay: Span) -> Self {
        self.order_delay = delay;
        self
    }

    /// Sets the mean time between two reads of an engine's state.
    #[must_use]
    pub const fn recheck_interval(mut self, interval: Span) -> Self {
        self.recheck_interval = interval;
        self
    }

    /// Sets the maximum number of targets with a pending action.
    #[must_use]
    pub const fn max_pending(mut self, max: usize) -> Self {
        self.max_pending = max;
        self
    }

    /// Timeout of the call that executes an action.
    #[must_use]
    pub const fn call_timeout(&self) -> Span {
        CALL_TIMEOUT
    }
}

impl Default for OrdersConfig {
    fn default() -> Self {
        Self::new()
    }
}
