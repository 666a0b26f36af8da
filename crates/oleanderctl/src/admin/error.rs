//! Failed admin calls.

use std::{error::Error, fmt, net::SocketAddr};

use http::StatusCode;
use oleander_core::{ApiError, Ran};

/// Least HTTP status of a fault on the side of the process.
const SERVER_ERROR: u16 = 500;

/// A failed call to one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminError {
    /// Address of the admin listener.
    pub address: SocketAddr,
    /// What failed.
    pub cause: Cause,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The request can't be built.
    InvalidRequest(String),
    /// No connection: the request was not sent.
    Unreachable(String),
    /// The request may have arrived; its answer did not.
    NoResponse(String),
    /// The process answered with an error.
    ErrorResponse {
        /// HTTP status.
        status: u16,
        /// The error in the answer, if it carries one.
        error: Option<ApiError>,
    },
    /// The answer can't be read.
    InvalidResponse(String),
}

impl AdminError {
    /// Whether the call may have taken effect without a readable answer.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match &self.cause {
            Cause::NoResponse(_) | Cause::InvalidResponse(_) => true,
            Cause::ErrorResponse { status, error } => {
                let is_not_run = error.as_ref().is_some_and(|error| error.ran == Ran::No);
                *status >= SERVER_ERROR && !is_not_run
            }
            Cause::InvalidRequest(_) | Cause::Unreachable(_) => false,
        }
    }

    /// Whether another process may answer the same call.
    #[must_use]
    pub fn can_fail_over(&self) -> bool {
        match &self.cause {
            Cause::Unreachable(_) | Cause::NoResponse(_) | Cause::InvalidResponse(_) => true,
            Cause::ErrorResponse { status, .. } => {
                *status >= SERVER_ERROR || *status == StatusCode::NOT_FOUND.as_u16()
            }
            Cause::InvalidRequest(_) => false,
        }
    }

    /// Whether the call itself is at fault, so that another try fails as well.
    #[must_use]
    pub const fn is_permanent(&self) -> bool {
        match self.cause {
            Cause::ErrorResponse { status, .. } => status < SERVER_ERROR,
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
            Self::NoResponse(reason) => write!(f, "the answer was lost: {reason}"),
            Self::ErrorResponse { error: Some(error), .. } => write!(f, "refused: {error}"),
            Self::ErrorResponse { status, error: None } => {
                write!(f, "refused with status {status}")
            }
            Self::InvalidResponse(reason) => write!(f, "the answer can't be read: {reason}"),
        }
    }
}

/// The text of an error and of all that caused it.
pub(super) fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
