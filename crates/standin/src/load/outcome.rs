//! Outcomes of a call.

use std::fmt;

/// Outcome of a call and its number of retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult {
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// Attempts after the first.
    pub retries: u64,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete expected response was received.
    Complete(Timing),
    /// An error response was received before any token.
    Refused(Refusal),
    /// The call ended without a complete response and without an end marker.
    Failed(Failure),
    /// The response differs from the expected one; holds a description.
    Wrong(String),
}

/// Latencies of a complete response, in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Timing {
    /// From the first attempt to the first token.
    pub first_token_us: u64,
    /// Between successive tokens.
    pub gaps_us: Vec<u64>,
    /// From the first attempt to the end marker.
    pub total_us: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// An error response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable error code; `-` if absent.
    pub code: String,
    /// The response's `ran` field: whether the request was executed; `-` if absent.
    pub ran: String,
    /// Retry delay requested by the response, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// From the first attempt to the error response, in microseconds.
    pub latency_us: u64,
}

/// A call without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Cause of the failure.
    pub kind: FailureKind,
    /// Whether it occurred after the first token of the last attempt.
    pub mid_stream: bool,
}

/// Cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureKind {
    /// No address accepted a connection.
    Connect,
    /// The connection was lost, or its data could not be decoded.
    ConnectionLost,
    /// The call did not finish within its timeout.
    Timeout,
    /// The stream ended without its end marker.
    Truncated,
    /// The stream ended with an error event of this code.
    StreamError(String),
    /// The request could not be built.
    InvalidRequest,
}

impl fmt::Display for FailureKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("connect"),
            Self::ConnectionLost => f.write_str("broken"),
            Self::Timeout => f.write_str("timeout"),
            Self::Truncated => f.write_str("no_end"),
            Self::StreamError(code) => write!(f, "stream_error:{code}"),
            Self::InvalidRequest => f.write_str("request"),
        }
    }
}
