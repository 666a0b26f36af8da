//! Errors of admin calls.

use std::{error::Error, fmt, net::SocketAddr};

use http::StatusCode;
use oleander_core::{ApiError, Ran};

/// Lowest HTTP status of a server error.
const MIN_SERVER_ERROR: u16 = 500;

/// A failed call to one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminError {
    /// Address of the admin listener.
    pub address: SocketAddr,
    /// Why it failed.
    pub cause: Cause,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The request can't be built.
    InvalidRequest(String),
    /// The connection can't be established; the request was not sent.
    Unreachable(String),
    /// The request may have arrived, but no complete response was received.
    NoResponse(String),
    /// The process responded with an error status.
    ErrorResponse {
        /// HTTP status.
        status: u16,
        /// The error in the response body, if it has one.
        error: Option<ApiError>,
    },
    /// The response can't be decoded.
    InvalidResponse(String),
}

impl AdminError {
    /// Whether the call may have taken effect although it failed.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match &self.cause {
            Cause::NoResponse(_) | Cause::InvalidResponse(_) => true,
            Cause::ErrorResponse { status, error } => {
                let has_not_run = error.as_ref().is_some_and(|error| error.ran == Ran::No);
                *status >= MIN_SERVER_ERROR && !has_not_run
            }
            Cause::InvalidRequest(_) | Cause::Unreachable(_) => false,
        }
    }

    /// Whether another process may serve the same call.
    #[must_use]
    pub fn can_fail_over(&self) -> bool {
        match &self.cause {
            Cause::Unreachable(_) | Cause::NoResponse(_) | Cause::InvalidResponse(_) => true,
            Cause::ErrorResponse { status, .. } => {
                *status >= MIN_SERVER_ERROR || *status == StatusCode::NOT_FOUND.as_u16()
            }
            Cause::InvalidRequest(_) => false,
        }
    }

    /// Whether the call was rejected or can't be built, so that a retry would fail as well.
    #[must_use]
    pub const fn is_permanent(&self) -> bool {
        match self.cause {
            Cause::ErrorResponse { status, .. } => status < MIN_SERVER_ERROR,
            Cause::InvalidRequest(_) => true,
            Cause::Unreachable(_) | Cause::NoResponse(_) | Cause::InvalidResponse(_) => false,
        }
    }
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.address, self.cause)
    }
}

impl Error for AdminError {}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidRequest(reason) => write!(f, "the request can't be built: {reason}"),
            Self::Unreachable(reason) => write!(f, "can't connect: {reason}"),
            Self::NoResponse(reason) => write!(f, "no response received: {reason}"),
            Self::ErrorResponse { error: Some(error), .. } => write!(f, "error response: {error}"),
            Self::ErrorResponse { status, error: None } => {
                write!(f, "error response with status {status}")
            }
            Self::InvalidResponse(reason) => write!(f, "the response can't be decoded: {reason}"),
        }
    }
}

/// The text of an error and its chain of sources.
pub(super) fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
