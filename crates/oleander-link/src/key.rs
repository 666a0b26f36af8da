//! The secret key shared by all processes of a deployment.

use std::{fmt, fs, path::Path};

use crate::LinkError;

/// Context of the key derivation; other uses of the same secret derive other keys.
const KEY_CONTEXT: &str = "oleandertray link frames v1";

/// Minimum length of the secret.
const MIN_SECRET_BYTES: usize = 16;

/// Shared key that authenticates frames; its `Debug` output hides it.
#[derive(Clone)]
pub struct LinkKey([u8; blake3::KEY_LEN]);

impl LinkKey {
    /// Derives the key from the secret in a file, without surrounding white space.
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

    /// Derives the key from `secret`.
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

    /// Computes the MAC of `content`, a keyed BLAKE3 hash, which compares in constant time.
    pub(crate) fn mac(&self, content: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, content)
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkKey(..)")
    }
}
