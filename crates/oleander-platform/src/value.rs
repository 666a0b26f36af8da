//! Values of this system, stored as JSON in the platform's objects.

use std::fmt;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::platform::PlatformError;

/// Why an access to a stored value failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The request to the platform failed.
    Platform(PlatformError),
    /// The value is incomplete, or can't be encoded or decoded.
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

/// Encodes `value` as the body of an object.
///
/// # Errors
///
/// Returns [`StoreError::InvalidValue`] if the value can't be represented in JSON.
pub fn encode_value<T: Serialize>(value: &T) -> Result<Bytes, StoreError> {
    let bytes = serde_json::to_vec(value).map_err(|e| StoreError::InvalidValue(e.to_string()))?;
    Ok(Bytes::from(bytes))
}

/// Decodes the body of an object.
///
/// # Errors
///
/// Returns [`StoreError::InvalidValue`] if the body is not a JSON value of type `T`.
pub fn decode_value<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::InvalidValue(e.to_string()))
}
