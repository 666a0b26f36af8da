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

/// One request, in the unit of what is earned of it.
const WHOLE_REQUEST: u64 = 1_000_000;

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
    /// Part of the next request that was earned before the share became nothing, in millionths.
    earned: u64,
}

impl RateLimit {
    /// A share from `now` on, of which a part of one request was earned, in millionths.
    fn new(now: Time, share: RateShare, earned: u64) -> Self {
        let next = match share {
            RateShare::Paced { interval, tolerance } => {
                let missing = WHOLE_REQUEST - earned;
                now + Span(interval.0.saturating_mul(missing) / WHOLE_REQUEST) + tolerance
            }
            RateShare::Nothing => now,
        };
        Self { share, next, earned }
    }

    /// Part of the next request that is earned, in millionths; hosts that share a rate together
    /// earn no more than it allows, also while their number changes.
    fn earned(&self, now: Time) -> u64 {
        let RateShare::Paced { interval, tolerance } = self.share else { return self.earned };
        let due = Time(self.next.0.saturating_sub(tolerance.0));
        let missing = due.since(now).0.min(interval.0);
        WHOLE_REQUEST - missing.saturating_mul(WHOLE_REQUEST) / interval.0.max(1)
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
    /// The first share begins with a wait of one interval; a later one with what is left of it, as
    /// the hosts that share a rate may come and go within each interval.
    pub fn set_rate_share(&mut self, now: Time, target: &TargetId, share: Option<RateShare>) {
        self.advance(now);
        let Some(backend) = self.backend_mut(target) else { return };
        if backend.rate.map(|rate| rate.share) == share {
            return;
        }
        let earned = backend.rate.map_or(0, |rate| rate.earned(now));
        backend.rate = share.map(|share| RateLimit::new(now, share, earned));
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
