//! Key that authorizes calls of operators.

use std::{fmt, fs, io, path::Path};

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// The operator key, stored as a hash and not printed by `Debug`.
#[derive(Clone)]
pub struct OperatorKey(blake3::Hash);

/// Why an operator key can't be used.
#[derive(Debug)]
pub enum OperatorKeyError {
    /// The file can't be read.
    Read(io::Error),
    /// The key is shorter than the minimum.
    TooShort,
}

impl OperatorKey {
    /// Reads the key from the file at `path`, trimming white space around it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or the key is too short.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, OperatorKeyError> {
        let text = fs::read(path).map_err(OperatorKeyError::Read)?;
        Self::try_from(text.as_slice())
    }

    /// Whether `presented` is the key; constant-time for keys of equal length.
    #[must_use]
    pub fn matches(&self, presented: &str) -> bool {
        blake3::hash(presented.as_bytes()) == self.0
    }
}

impl TryFrom<&[u8]> for OperatorKey {
    type Error = OperatorKeyError;

    fn try_from(text: &[u8]) -> Result<Self, Self::Error> {
        let key = text.trim_ascii();
        if key.len() < MIN_KEY_BYTES {
            return Err(OperatorKeyError::TooShort);
        }
        Ok(Self(blake3::hash(key)))
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

impl fmt::Display for OperatorKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "can't read the operator key: {error}"),
            Self::TooShort => write!(f, "operator key is shorter than {MIN_KEY_BYTES} bytes"),
        }
    }
}

impl std::error::Error for OperatorKeyError {}
