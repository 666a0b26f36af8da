//! Whether this host has lost its links to the targets of a service.
//!
//! A silent target, a silent service and a host without links look alike from one failed request. So
//! a failure, or no sign of any target for a while, only leads to a check: new connections to
//! several targets at once. A host that none of them accepts is disconnected, and its requests go
//! through other hosts; it is so no more once targets have accepted in two checks in sequence, so
//! that short cuts in series don't make it change sides each time.

use oleander_core::{Span, Time};

/// Time between two checks of a host that is or may be disconnected.
const CHECK_INTERVAL: Span = Span::from_millis(200);
/// The same after a request has failed, which waits for the result.
const FAILURE_INTERVAL: Span = Span::from_millis(50);
/// Time without output of any target after which a host with requests at targets checks its links.
const BUSY_SILENCE: Span = Span::from_millis(300);
/// The same for a host without requests at targets.
const IDLE_SILENCE: Span = Span::from_millis(1_000);
/// Checks in sequence with an accepted connection after which a host is not disconnected any more.
const RETURN_CHECKS: u32 = 2;

/// What became of the links of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The host reaches no target any more.
    Disconnected,
    /// The host reaches targets again, after this time.
    Returned(Span),
}

/// The links of this host to the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// Last sign that a target is reached.
    sign: Option<Time>,
    /// Whether a request has failed since the last check.
    is_suspected: bool,
    checked: Option<Time>,
    disconnected: Option<Time>,
    /// Checks in sequence with an accepted connection.
    accepted: u32,
}

impl Links {
    /// Whether this host reaches no target.
    #[must_use]
    pub const fn is_disconnected(&self) -> bool {
        self.disconnected.is_some()
    }

    /// Whether a request has failed since the last check.
    #[must_use]
    pub const fn is_suspected(&self) -> bool {
        self.is_suspected
    }

    /// Records output of a target.
    pub const fn record_sign(&mut self, now: Time) {
        self.sign = Some(now);
    }

    /// Records that a connection failed or that a request got no response; returns whether a check
    /// is due that was not due before.
    pub const fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.is_suspected, true)
    }

    /// Whether new connections have to show which targets this host reaches.
    #[must_use]
    pub fn needs_check(&self, now: Time, is_busy: bool) -> bool {
        let has_failed = self.is_suspected && !self.is_disconnected();
        let interval = if has_failed { FAILURE_INTERVAL } else { CHECK_INTERVAL };
        if self.checked.is_some_and(|checked| now.since(checked) < interval) {
            return false;
        }
        let limit = if is_busy { BUSY_SILENCE } else { IDLE_SILENCE };
        let is_silent = self.sign.is_none_or(|sign| now.since(sign) >= limit);
        self.is_suspected || self.is_disconnected() || is_silent
    }

    /// Records a check that began at `began`, and whether any target accepted a connection.
    pub fn record_check(&mut self, now: Time, began: Time, accepted: bool) -> Option<LinkChange> {
        self.checked = Some(began);
        self.is_suspected = false;
        if !accepted {
            self.accepted = 0;
            let was_disconnected =
                self.disconnected.replace(self.disconnected.unwrap_or(now)).is_some();
            return (!was_disconnected).then_some(LinkChange::Disconnected);
        }
        self.sign = Some(now);
        self.accepted += 1;
        if self.accepted < RETURN_CHECKS {
            return None;
        }
        self.disconnected.take().map(|since| LinkChange::Returned(now.since(since)))
    }
}
