//! Stable hashes for placement and digests for content.

use xxhash_rust::xxh3;

use crate::ids::DigestId;

/// Separates hashed parts so that `["ab", "c"]` and `["a", "bc"]` differ.
const SEPARATOR: u8 = 0;

/// Hashes text parts to a number that is the same on every host and version.
#[must_use]
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[SEPARATOR]);
    }
    hasher.digest()
}

/// Picks the owner of `key` among `hosts` by rendezvous hashing.
///
/// Each host keeps its keys when another joins or leaves. Returns `None` without hosts.
pub fn rendezvous<'a, T: AsRef<str> + ?Sized + 'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    hosts.into_iter().max_by_key(|host| {
        let host = (*host).as_ref();
        (hash_parts(&[key, host]), host)
    })
}

/// Digest of `content` as lower-case hex.
#[must_use]
pub fn digest(content: &[u8]) -> DigestId {
    let hex = blake3::hash(content).to_hex().to_string();
    DigestId::try_from(hex).unwrap_or_else(|_| unreachable!("hex digests are identifiers"))
}
