//! Whether this host's own path to the platform is worth a try.
//!
//! Answers outages, also those that hit a part of the hosts: refused calls cost as much as others,
//! and silent ones hold up whoever waits for them.

use oleander_core::{Span, Time};

/// Failures in a row after which the path counts as bad.
const MOST_FAILURES: u32 = 2;
/// Time between two tries of a bad path.
const RETRY_INTERVAL: Span = Span::from_millis(500);

/// A circuit breaker.
#[derive(Debug, Clone, Copy, Default)]
pub struct CircuitBreaker {
    failures: u32,
    tried: Time,
}

impl CircuitBreaker {
    /// Whether the path is known to be bad.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.failures >= MOST_FAILURES
    }

    /// Whether a call may take the path now; a bad path is tried once in a while.
    pub fn allow(&mut self, now: Time) -> bool {
        if !self.is_open() {
            return true;
        }
        let due = now.since(self.tried) >= RETRY_INTERVAL;
        if due {
            self.tried = now;
        }
        due
    }

    /// A call was answered.
    pub const fn succeed(&mut self) {
        self.failures = 0;
    }

    /// A call was refused or not answered.
    pub const fn fail(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        self.tried = now;
    }
}
