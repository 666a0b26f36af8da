//! Circuit breaker of this host's direct path to the platform.
//!
//! During an outage, which may affect some of the hosts only, refused requests cost as much as
//! others, and requests without a response delay whatever waits for them.

use oleander_core::{Span, Time};

/// Consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 2;
/// Time between two attempts while the breaker is open.
const RETRY_INTERVAL: Span = Span::from_millis(500);

/// A circuit breaker.
#[derive(Debug, Clone, Copy, Default)]
pub struct CircuitBreaker {
    failures: u32,
    last_attempt: Time,
}

impl CircuitBreaker {
    /// Whether the breaker is open.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    /// Whether a request may take the path now; while open, one request per retry interval may.
    pub fn allow(&mut self, now: Time) -> bool {
        if !self.is_open() {
            return true;
        }
        let due = now.since(self.last_attempt) >= RETRY_INTERVAL;
        if due {
            self.last_attempt = now;
        }
        due
    }

    /// Records a response.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a request that was refused or got no response.
    pub const fn record_failure(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        self.last_attempt = now;
    }
}
