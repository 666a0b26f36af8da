//! The error shape that callers and operators receive.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{units::Span, value};

/// Whether the request reached a target.
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
    /// The request can't be read or breaks the schema.
    InvalidRequest,
    /// The key is missing or wrong.
    Unauthorized,
    /// Nothing has this id.
    NotFound,
    /// The id stands for another body, or a racing change won.
    Conflict,
    /// The body exceeds the size bound.
    TooLarge,
    /// The request did not arrive in time.
    RequestTimeout,
    /// A limit of the workspace is reached.
    RateLimited,
    /// No room on any target now.
    Overloaded,
    /// The host is leaving, or something it needs is down.
    Unavailable,
    /// The deadline passed before an answer.
    DeadlineExceeded,
    /// The call may have run and its outcome can't be known.
    OutcomeUnknown,
    /// The target answered with an error.
    TargetFailed,
    /// The job or request was cancelled.
    Cancelled,
    /// A fault of the serving system itself.
    Internal,
}

impl ErrorCode {
    /// HTTP status that carries this code.
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
    /// An error as callers see it; the `error` member of the JSON body.
    pub struct ApiError {
        /// Machine-readable code.
        pub code: ErrorCode,
        /// Text for people.
        pub message: String,
        /// Whether the request reached a target.
        pub ran: Ran,
        /// Earliest sensible time to ask again, in milliseconds from now.
        #[serde(default)]
        pub retry_after_ms: Option<u64>,
    }

    /// The whole JSON body of an error answer.
    pub struct ErrorBody {
        /// The error.
        pub error: ApiError,
    }
}

impl ApiError {
    /// An error for a request that reached no target.
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

    /// Tells the caller when to come back.
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
