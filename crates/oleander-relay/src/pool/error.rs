//! Why a request gets no target.

use oleander_core::Span;
use oleander_quarantine::PartSet;

/// `Retry-After` of a host that reaches no target; callers find other hosts by then.
const DISCONNECTED_RETRY_AFTER: Span = Span::from_secs(1);

/// Why a request gets no target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireError {
    /// No target has capacity in time; a retry may succeed after this time.
    NoCapacity(Span),
    /// The request has parts that crash targets, and is refused for this time.
    Blocked(PartSet, Span),
    /// This host reaches no target.
    Disconnected,
}

impl AcquireError {
    /// Time after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(&self) -> Span {
        match self {
            Self::NoCapacity(after) | Self::Blocked(_, after) => *after,
            Self::Disconnected => DISCONNECTED_RETRY_AFTER,
        }
    }
}
