//! The key that all processes of a deployment share.

use std::{fmt, fs, path::Path};

use crate::LinkError;

/// Context of the key derivation; another use of the same file gives another key.
const KEY_CONTEXT: &str = "oleandertray link frames v1";

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Shared key that seals frames; never printed.
#[derive(Clone)]
pub struct LinkKey([u8; blake3::KEY_LEN]);

impl LinkKey {
    /// Derives the key from the secret in the file at `path`, without surrounding white space.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Key`] if the file can't be read or the secret is too short.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, LinkError> {
        let path = path.as_ref();
        let content =
            fs::read(path).map_err(|e| LinkError::Key(format!("{}: {e}", path.display())))?;
        Self::from_secret(content.trim_ascii())
    }

    /// Derives the key from a secret.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Key`] if the secret is too short.
    pub fn from_secret(secret: &[u8]) -> Result<Self, LinkError> {
        if secret.len() < MIN_SECRET_BYTES {
            let reason = format!("secret is shorter than {MIN_SECRET_BYTES} bytes");
            return Err(LinkError::Key(reason));
        }
        Ok(Self(blake3::derive_key(KEY_CONTEXT, secret)))
    }

    /// Keyed hash of `content`; comparing two of them takes constant time.
    pub(crate) fn seal(&self, content: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, content)
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkKey(..)")
    }
}
