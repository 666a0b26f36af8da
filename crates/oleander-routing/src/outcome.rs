//! What happened to a request after it was sent.

use oleander_core::Tokens;

/// Something seen on a request under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The first token or byte came back.
    FirstOutput,
    /// More tokens came back.
    Output {
        /// How many since the observation before.
        tokens: Tokens,
    },
    /// The whole answer came back.
    Done,
    /// The target did not give the whole answer.
    Failed(Failure),
    /// It was cancelled from this side.
    Cancelled,
}

impl Observation {
    /// Whether the request is over after this.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed(_) | Self::Cancelled)
    }
}

/// Why a target did not give the whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection.
    Connect,
    /// Another target listens at its address.
    WrongTarget,
    /// It had no room for the request.
    NoCapacity,
    /// No answer in time.
    Timeout,
    /// The stream ended before its end marker, or was not the request's own.
    BrokenStream,
    /// An HTTP status other than success.
    Status(u16),
    /// The connection went silent.
    IdleTimeout,
}

impl Failure {
    /// Whether the target, and not the request, is at fault.
    #[must_use]
    pub const fn is_target_fault(self) -> bool {
        !matches!(self, Self::Status(400..=499) | Self::NoCapacity)
    }

    /// Whether nobody can reach the target there for now, so that a second fault need not be seen.
    #[must_use]
    pub const fn is_unreachable(self) -> bool {
        matches!(self, Self::Connect | Self::WrongTarget)
    }
}
