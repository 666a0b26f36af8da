//! Operator key sent with admin calls.

use std::{fmt, fs, io, path::Path};

use http::HeaderValue;

/// Operator key as an `authorization` header; `Debug` hides it.
#[derive(Clone)]
pub struct AdminKey(HeaderValue);

/// Why a key file can't be used.
#[derive(Debug)]
pub enum KeyError {
    /// The file can't be read.
    Read(io::Error),
    /// The file is empty or has characters that are not allowed in a header.
    Invalid,
}

impl AdminKey {
    /// Reads the key from the file at `path`, without surrounding whitespace.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its text is not a valid key.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, KeyError> {
        let text = fs::read_to_string(path).map_err(KeyError::Read)?;
        Self::try_from(text.as_str())
    }

    /// The value of the `authorization` header.
    pub(crate) fn header(&self) -> HeaderValue {
        self.0.clone()
    }
}

impl TryFrom<&str> for AdminKey {
    type Error = KeyError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let key = text.trim();
        if key.is_empty() {
            return Err(KeyError::Invalid);
        }
        let bearer = format!("Bearer {key}");
        let mut header = HeaderValue::try_from(bearer).map_err(|_| KeyError::Invalid)?;
        header.set_sensitive(true);
        Ok(Self(header))
    }
}

impl fmt::Debug for AdminKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AdminKey(..)")
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "can't read the key file: {error}"),
            Self::Invalid => {
                f.write_str("the key file is empty or has characters not allowed in a header")
            }
        }
    }
}

impl std::error::Error for KeyError {}
