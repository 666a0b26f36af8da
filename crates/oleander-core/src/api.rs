//! The error type that callers and operators receive.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{units::Span, value};

/// Whether a target ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the request was sent to any target.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Yes,
}

/// Machine-readable code of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request can't be parsed or violates the schema.
    InvalidRequest,
    /// The API key or operator key is missing or wrong.
    Unauthorized,
    /// Nothing with this id exists.
    NotFound,
    /// The id belongs to a request with another body, or a concurrent change was committed first.
    Conflict,
    /// The body exceeds the size limit.
    TooLarge,
    /// The request body was not received in time.
    RequestTimeout,
    /// A limit of the workspace is reached.
    RateLimited,
    /// No target has free capacity at present.
    Overloaded,
    /// The host is shutting down, or a dependency of it is unavailable.
    Unavailable,
    /// The deadline passed before there was a response.
    DeadlineExceeded,
    /// The call may have run, and its outcome can't be determined.
    OutcomeUnknown,
    /// The target responded with an error.
    TargetFailed,
    /// The job or request was cancelled.
    Cancelled,
    /// An internal error of the serving system.
    Internal,
}

impl ErrorCode {
    /// HTTP status code of a response with this error.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::RequestTimeout => 408,
            Self::Conflict | Self::Cancelled => 409,
            Self::TooLarge => 413,
            Self::RateLimited => 429,
            Self::Internal => 500,
            Self::OutcomeUnknown | Self::TargetFailed => 502,
            Self::Overloaded | Self::Unavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

value! {
    /// An error as returned to callers; the `error` member of the JSON body.
    pub struct ApiError {
        /// Machine-readable code.
        pub code: ErrorCode,
        /// Human-readable text.
        pub message: String,
        /// Whether a target ran the request.
        pub ran: Ran,
        /// Time to wait before a retry, in milliseconds.
        #[serde(default)]
        pub retry_after_ms: Option<u64>,
    }

    /// JSON body of an error response.
    pub struct ErrorBody {
        /// The error.
        pub error: ApiError,
    }
}

impl ApiError {
    /// An error for a request that was not sent to any target.
    #[must_use]
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), ran: Ran::No, retry_after_ms: None }
    }

    /// An error for a request that may have run.
    #[must_use]
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { ran: Ran::Unknown, ..Self::not_run(code, message) }
    }

    /// An error for a request that ran.
    #[must_use]
    pub fn ran(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { ran: Ran::Yes, ..Self::not_run(code, message) }
    }

    /// Sets the time after which the caller may retry, rounded down to milliseconds.
    #[must_use]
    pub fn retry_after(mut self, span: Span) -> Self {
        self.retry_after_ms = Some(span.as_millis());
        self
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for ApiError {}
