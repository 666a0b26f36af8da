//! Errors of calls to targets.

use std::fmt;

/// Why a call to a target has no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetError {
    /// No connection could be opened or no request could be built; nothing was sent.
    Connect(String),
    /// The response head, the complete body or the next event did not arrive in time.
    Timeout,
    /// The connection was lost, the response ended early, or it could not be parsed.
    Interrupted(String),
    /// The response belongs to another request, whose id is given.
    RequestMismatch(String),
    /// The target responded with an error status; the status and the body.
    Status(u16, String),
}

impl TargetError {
    /// Whether the target may have received the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }

    /// Whether the request itself is invalid, so that it would fail at any target.
    #[must_use]
    pub const fn is_request_fault(&self) -> bool {
        matches!(self, Self::Status(400..=428 | 430..=499, _))
    }
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(text) => write!(f, "target refused the connection: {text}"),
            Self::Timeout => f.write_str("target sent nothing within the time allowed"),
            Self::Interrupted(text) => write!(f, "response is incomplete or invalid: {text}"),
            Self::RequestMismatch(id) => write!(f, "response belongs to request {id}"),
            Self::Status(status, _) => write!(f, "target responded with status {status}"),
        }
    }
}

impl std::error::Error for TargetError {}
