//! The responses of the engine and service stand-ins, as pure functions of the request.
//!
//! Tests call the same functions to check each response that they receive.

use oleander_core::{DigestId, hash};
use serde_json::Value;

/// Maximum number of generated tokens if the request has no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 64;
const MIN_LENGTH_TOKENS: u32 = 16;
const LENGTH_RANGE_TOKENS: u64 = 48;

/// Digest of the `messages` of a chat request, or of any other JSON value.
///
/// Independent of the order of members and of white space in the JSON text.
#[must_use]
pub fn value_digest(value: &Value) -> DigestId {
    hash::digest(value.to_string().as_bytes())
}

/// Token `index` of the response to the messages with this digest.
#[must_use]
pub fn token(digest: &DigestId, index: u32) -> String {
    let word = hash::hash_parts(&[digest.as_str(), &index.to_string()]) as u32;
    format!("{word:08x} ")
}

/// Number of tokens in the response if `max_tokens` does not truncate it.
#[must_use]
pub fn untruncated_length(digest: &DigestId) -> u32 {
    let offset = hash::hash_parts(&[digest.as_str(), "length"]) % LENGTH_RANGE_TOKENS;
    MIN_LENGTH_TOKENS + offset as u32
}

/// Number of tokens in the response.
#[must_use]
pub fn response_length(digest: &DigestId, max_tokens: Option<u32>) -> u32 {
    untruncated_length(digest).min(max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
}

/// All tokens of the response to the messages with this digest.
#[must_use]
pub fn expected_tokens(digest: &DigestId, max_tokens: Option<u32>) -> Vec<String> {
    (0..response_length(digest, max_tokens)).map(|index| token(digest, index)).collect()
}

/// Text that an engine generates for a chat completions request body.
#[must_use]
pub fn expected_text(body: &Value) -> String {
    let max_tokens = body["max_tokens"].as_u64().and_then(|max| u32::try_from(max).ok());
    expected_tokens(&value_digest(&body["messages"]), max_tokens).concat()
}

/// The `result` that a service returns for a call of `operation` with `body`.
#[must_use]
pub fn expected_result(operation: &str, body: &Value) -> String {
    format!("{operation}:{}", value_digest(body))
}
