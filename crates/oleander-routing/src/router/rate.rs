//! Targets that name the rate of requests that they take.
//!
//! The router knows this host's share of such a rate and sends requests to the target at that
//! interval. Between two of them the target is one without capacity. Little of an unused share is
//! saved: all hosts could otherwise use what they saved at the same moment.

use oleander_core::{Span, TargetId, Time};

use super::{Router, backend::Backend};
use crate::pick::Class;

/// A batch item starts after the share was unused for its interval divided by this.
const BATCH_DELAY_DIVISOR: u64 = 2;

/// This host's share of the rate that a target takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateShare {
    /// One request in each interval.
    Paced {
        /// The interval.
        interval: Span,
        /// How much sooner a request may be sent after a time without any.
        tolerance: Span,
    },
    /// Nothing; other hosts send requests to the target.
    Nothing,
}

/// A share in force.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    share: RateShare,
    /// When the next request is due if they are sent at the interval.
    next: Time,
}

impl RateLimit {
    /// A share from `now` on, of which nothing is saved.
    fn new(now: Time, share: RateShare) -> Self {
        let next = match share {
            RateShare::Paced { interval, tolerance } => now + interval + tolerance,
            RateShare::Nothing => now,
        };
        Self { share, next }
    }

    /// When the next request of a class may be sent; `None` if none may.
    fn due(&self, class: Class) -> Option<Time> {
        let RateShare::Paced { interval, tolerance } = self.share else { return None };
        let due = Time(self.next.0.saturating_sub(tolerance.0));
        match class {
            Class::Online => Some(due),
            Class::Batch => Some(due + Span(interval.0 / BATCH_DELAY_DIVISOR)),
        }
    }

    /// Slots that its requests take on average, in per mille, if each takes `service_time`.
    pub(super) fn slots_per_mille(&self, service_time: Span) -> u64 {
        match self.share {
            RateShare::Paced { interval, .. } => service_time.0 * 1_000 / interval.0.max(1),
            RateShare::Nothing => 0,
        }
    }

    /// Records that a request is sent.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let RateShare::Paced { interval, .. } = self.share {
            self.next = self.next.max(now) + interval;
        }
    }
}

impl Router {
    /// Sets this host's share of the rate that a target takes; `None` if it names no rate.
    ///
    /// A share begins with a wait of one interval.
    pub fn set_rate_share(&mut self, now: Time, target: &TargetId, share: Option<RateShare>) {
        self.advance(now);
        let Some(backend) = self.backend_mut(target) else { return };
        if backend.rate.map(|rate| rate.share) == share {
            return;
        }
        backend.rate = share.map(|share| RateLimit::new(now, share));
    }

    /// Whether the rate that the target takes permits a request now.
    pub(super) fn permits_rate(now: Time, backend: &Backend, class: Class) -> bool {
        backend.rate.is_none_or(|rate| rate.due(class).is_some_and(|due| due <= now))
    }

    /// The earliest time after `now` at which a rate permits a request.
    pub(super) fn next_permit(&self, now: Time) -> Option<Time> {
        let rates = self.backends.iter().filter_map(|backend| backend.rate);
        let due = rates.flat_map(|rate| [Class::Online, Class::Batch].map(|class| rate.due(class)));
        due.flatten().filter(|due| *due > now).min()
    }
}
