//! Why an operation of the store failed.

use std::fmt;

use oleander_jobs::RecordError;
use oleander_platform::PlatformError;

/// Why an operation of the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The platform failed the request or did not answer.
    Platform {
        /// Error of the last attempt.
        error: PlatformError,
        /// Whether a write may have taken effect.
        may_have_written: bool,
    },
    /// A record can't be encoded or decoded.
    Record(RecordError),
    /// The object with this key is required but does not exist.
    Missing(String),
}

impl StoreError {
    /// Marks the error of a read as following a write that may have taken effect, if there was one.
    pub(super) fn after_write(self, earlier_write: bool) -> Self {
        match self {
            Self::Platform { error, may_have_written } => {
                Self::Platform { error, may_have_written: may_have_written || earlier_write }
            }
            other => other,
        }
    }
}

impl From<RecordError> for StoreError {
    fn from(error: RecordError) -> Self {
        Self::Record(error)
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform { error, .. } => error.fmt(f),
            Self::Record(error) => error.fmt(f),
            Self::Missing(key) => write!(f, "object {key} is missing"),
        }
    }
}

impl std::error::Error for StoreError {}
