//! Values of this system in objects of the platform, as JSON.

use std::fmt;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::platform::PlatformError;

/// Why an access to a stored value failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The platform gave no answer.
    Platform(PlatformError),
    /// What stands there can't be read.
    InvalidValue(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::InvalidValue(reason) => write!(f, "stored value can't be read: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<PlatformError> for StoreError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// The body of an object that holds `value`.
///
/// # Errors
///
/// Returns an error if the value has no form in JSON.
pub fn encode_value<T: Serialize>(value: &T) -> Result<Bytes, StoreError> {
    let bytes = serde_json::to_vec(value).map_err(|e| StoreError::InvalidValue(e.to_string()))?;
    Ok(Bytes::from(bytes))
}

/// The value in the body of an object.
///
/// # Errors
///
/// Returns an error if the body holds something else.
pub fn decode_value<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::InvalidValue(e.to_string()))
}
