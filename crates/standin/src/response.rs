//! What engines and services answer: a pure function of the request.
//!
//! Tests compute the same function and compare each answer with what had to come.

use oleander_core::{DigestId, hash};
use serde_json::Value;

/// Tokens generated when the request sets no bound.
pub const DEFAULT_MAX_TOKENS: u32 = 64;
const SHORTEST_ANSWER: u32 = 16;
const LENGTH_SPREAD: u64 = 48;

/// Digest of the `messages` of a chat request, or of any other JSON value.
///
/// Member order and white space of the request text make no difference.
#[must_use]
pub fn value_digest(value: &Value) -> DigestId {
    hash::digest(value.to_string().as_bytes())
}

/// Token `index` of the answer to the messages with this digest.
#[must_use]
pub fn token(digest: &DigestId, index: u32) -> String {
    let word = hash::hash_parts(&[digest.as_str(), &index.to_string()]) as u32;
    format!("{word:08x} ")
}

/// Length of an answer that no bound cuts short.
#[must_use]
pub fn untruncated_length(digest: &DigestId) -> u32 {
    let spread = hash::hash_parts(&[digest.as_str(), "length"]) % LENGTH_SPREAD;
    SHORTEST_ANSWER + spread as u32
}

/// Number of tokens in the whole answer.
#[must_use]
pub fn response_length(digest: &DigestId, max_tokens: Option<u32>) -> u32 {
    untruncated_length(digest).min(max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
}

/// All tokens of the answer to the messages with this digest.
#[must_use]
pub fn expected_tokens(digest: &DigestId, max_tokens: Option<u32>) -> Vec<String> {
    (0..response_length(digest, max_tokens)).map(|index| token(digest, index)).collect()
}

/// The whole text that an engine answers to a chat/completions body.
#[must_use]
pub fn expected_text(body: &Value) -> String {
    let max_tokens = body["max_tokens"].as_u64().and_then(|max| u32::try_from(max).ok());
    expected_tokens(&value_digest(&body["messages"]), max_tokens).concat()
}

/// The `result` that a plain service answers to `body` of `operation`.
#[must_use]
pub fn expected_result(operation: &str, body: &Value) -> String {
    format!("{operation}:{}", value_digest(body))
}
