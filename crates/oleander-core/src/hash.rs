//! Stable hashes for placement, and content digests.

use xxhash_rust::xxh3;

use crate::ids::DigestId;

/// Follows each hashed part, so that `["ab", "c"]` and `["a", "bc"]` hash differently.
const SEPARATOR: u8 = 0;

/// Hashes strings with XXH3; the result is the same on all hosts and in all versions.
#[must_use]
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[SEPARATOR]);
    }
    hasher.digest()
}

/// Hashes bytes with XXH3; the result is the same on all hosts and in all versions.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Picks the owner of `key` among `hosts` by rendezvous hashing.
///
/// When a host joins or leaves, only keys that it gains or loses change their owner. Returns `None`
/// if there are no hosts.
pub fn rendezvous<'a, T: AsRef<str> + ?Sized + 'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    hosts.into_iter().max_by_key(|host| {
        let host = (*host).as_ref();
        (hash_parts(&[key, host]), host)
    })
}

/// BLAKE3 digest of `content`, as lower-case hex.
#[must_use]
pub fn digest(content: &[u8]) -> DigestId {
    let hex = blake3::hash(content).to_hex().to_string();
    DigestId::try_from(hex).unwrap_or_else(|_| unreachable!("a hex digest is a valid identifier"))
}
