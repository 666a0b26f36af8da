//! Tunables of the orderer.

use oleander_core::Span;

/// Time after the read or write that confirmed a record in which its orders may be sent.
const ORDER_VALIDITY: Span = Span::from_secs(2);
/// Longest time that one call may take.
const CALL_LIMIT: Span = Span::from_secs(3);
/// Mean time between two looks at an engine's state.
const RECHECK: Span = Span::from_secs(10);
/// Time over which work that a change makes due is spread.
const SPREAD: Span = Span::from_millis(500);
/// Time between two listings of the records.
const SWEEP: Span = Span::from_secs(60);
/// Delay before the first retry.
const RETRY_MIN: Span = Span::from_millis(200);
/// Longest delay before a retry.
const RETRY_MAX: Span = Span::from_secs(10);
/// Most targets with a call under way.
const MAX_CALLS: usize = 32;

/// Tunables of the orderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrdersConfig {
    pub(crate) validity: Span,
    pub(crate) hold: Span,
    pub(crate) recheck: Span,
    pub(crate) spread: Span,
    pub(crate) sweep: Span,
    pub(crate) retry_min: Span,
    pub(crate) retry_max: Span,
    pub(crate) max_calls: usize,
}

impl OrdersConfig {
    /// The usual values.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            validity: ORDER_VALIDITY,
            hold: Span(ORDER_VALIDITY.0 + CALL_LIMIT.0),
            recheck: RECHECK,
            spread: SPREAD,
            sweep: SWEEP,
            retry_min: RETRY_MIN,
            retry_max: RETRY_MAX,
            max_calls: MAX_CALLS,
        }
    }

    /// Sets the time between a new fencing number and its first order.
    #[must_use]
    pub const fn hold(mut self, hold: Span) -> Self {
        self.hold = hold;
        self
    }

    /// Sets the mean time between two looks at an engine's state.
    #[must_use]
    pub const fn recheck(mut self, recheck: Span) -> Self {
        self.recheck = recheck;
        self
    }

    /// Sets the most targets with a call under way.
    #[must_use]
    pub const fn max_calls(mut self, max: usize) -> Self {
        self.max_calls = max;
        self
    }

    /// Longest time that one call of the shell may take.
    #[must_use]
    pub const fn call_limit(&self) -> Span {
        CALL_LIMIT
    }
}

impl Default for OrdersConfig {
    fn default() -> Self {
        Self::new()
    }
}
