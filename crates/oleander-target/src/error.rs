//! Errors of calls to targets.

use std::fmt;

/// Why a call to a target has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetError {
    /// No connection could be opened; no byte was sent.
    Connect(String),
    /// Nothing came within the time allowed.
    Timeout,
    /// The connection broke or the stream ended early.
    Interrupted(String),
    /// The answer belongs to another request.
    RequestMismatch(String),
    /// The target answered with an error status.
    Status(u16, String),
}

impl TargetError {
    /// Whether the target may have seen the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }

    /// Whether the request itself is at fault, so that no other target would do better.
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
            Self::Interrupted(text) => write!(f, "answer broke off: {text}"),
            Self::RequestMismatch(id) => write!(f, "answer belongs to request {id}"),
            Self::Status(status, _) => write!(f, "target answered with status {status}"),
        }
    }
}

impl std::error::Error for TargetError {}
