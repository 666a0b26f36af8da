//! Events of a request after it was sent.

use oleander_core::Tokens;

/// An event of a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The first token or byte arrived.
    FirstOutput,
    /// More tokens arrived.
    Output {
        /// Number of tokens since the previous observation.
        tokens: Tokens,
    },
    /// The response is complete.
    Done,
    /// The target did not complete the response.
    Failed(Failure),
    /// This host cancelled the request.
    Cancelled,
}

impl Observation {
    /// Whether this ends the request.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed(_) | Self::Cancelled)
    }
}

/// Why a target did not complete a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established.
    Connect,
    /// Another target listens at the address.
    WrongTarget,
    /// The target rejected the request for lack of capacity.
    NoCapacity,
    /// The response did not begin in time.
    Timeout,
    /// The stream ended before its end marker, or belonged to another request.
    BrokenStream,
    /// The response had an HTTP error status.
    Status(u16),
    /// The target sent nothing within the idle timeout.
    IdleTimeout,
}

impl Failure {
    /// Whether the target, and not the request, is at fault.
    #[must_use]
    pub const fn is_target_fault(self) -> bool {
        !matches!(self, Self::Status(400..=499) | Self::NoCapacity)
    }

    /// Whether the target can't be reached at its address, which ejects it at the first failure.
    #[must_use]
    pub const fn is_unreachable(self) -> bool {
        matches!(self, Self::Connect | Self::WrongTarget)
    }
}
