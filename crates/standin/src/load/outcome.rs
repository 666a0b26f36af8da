//! How one call ended.

use std::fmt;

/// How one call ended, and how often it was sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    /// How the last sending ended.
    pub outcome: Outcome,
    /// Sendings after the first.
    pub resends: u64,
}

/// How one call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole expected answer came.
    Whole(Timing),
    /// An error answer came before any token.
    Refused(Refusal),
    /// No whole answer came, and none was claimed.
    Failed(Failure),
    /// Something came that is not the answer to this request.
    Wrong(String),
}

/// Times of a whole answer, in microseconds from sending.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timing {
    /// To the first token.
    pub first_us: u64,
    /// Between tokens.
    pub gaps_us: Vec<u64>,
    /// To the end marker.
    pub whole_us: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// An error answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code, or `-` without one.
    pub code: String,
    /// Whether the request ran, as the answer says.
    pub ran: String,
    /// When to come back, in milliseconds, if it says so.
    pub retry_ms: Option<u64>,
    /// Time to the answer, in microseconds.
    pub after_us: u64,
}

/// A call without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// What went wrong.
    pub kind: FailureKind,
    /// Whether a token had come.
    pub begun: bool,
}

/// What went wrong with a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureKind {
    /// No address accepted a connection.
    Connect,
    /// The connection broke.
    Broken,
    /// No whole answer in time.
    Timeout,
    /// The stream ended without its end marker.
    NoEnd,
    /// The stream ended with a typed error of this code.
    StreamError(String),
    /// The call could not be formed.
    Request,
}

impl fmt::Display for FailureKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("connect"),
            Self::Broken => f.write_str("broken"),
            Self::Timeout => f.write_str("timeout"),
            Self::NoEnd => f.write_str("no_end"),
            Self::StreamError(code) => write!(f, "stream_error:{code}"),
            Self::Request => f.write_str("request"),
        }
    }
}
