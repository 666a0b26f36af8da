//! Request and response bodies of chat/completions.

use oleander_core::{DigestId, PromptPart, RequestId, hash};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// A chat/completions request body; unknown fields are rejected.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChatBody {
    /// Service that is called.
    pub(crate) model: String,
    /// Messages of the prompt.
    pub(crate) messages: Vec<Message>,
    /// Whether the response is streamed.
    #[serde(default, skip_serializing)]
    pub(crate) stream: bool,
    #[serde(default, skip_serializing, rename = "stream_options")]
    _stream_options: Option<StreamOptions>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    max_completion_tokens: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    temperature: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    top_p: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    frequency_penalty: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    presence_penalty: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    seed: Option<i64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    stop: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    n: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    user: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    metadata: Option<Map<String, Value>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    response_format: Option<Value>,
}

/// One message of the prompt.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Message {
    role: String,
    content: Value,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    name: Option<String>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct StreamOptions {
    #[serde(default, rename = "include_usage")]
    _include_usage: bool,
}

/// Length of the prompt prefix that is hashed to prefer targets with a cached prefix.
const PREFIX_BYTES: usize = 256;

impl ChatBody {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// Returns the first error as text with its JSON path.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_slice(bytes);
        let body: Self = serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())?;
        json.end().map_err(|e| e.to_string())?;
        if body.messages.is_empty() {
            return Err("messages: must not be empty".to_owned());
        }
        if body.n.is_some_and(|n| n != 1) {
            return Err("n: only 1 is supported".to_owned());
        }
        Ok(body)
    }

    /// The body that is sent to engines, as JSON.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Digest of the body without `stream` and `stream_options`, so that a streamed and a plain
    /// request are the same call.
    pub(crate) fn digest(&self) -> DigestId {
        hash::digest(&self.to_json())
    }

    /// Hashes of the messages that other calls may share: all but the last one.
    pub(crate) fn shared_messages(&self) -> Vec<PromptPart> {
        let shared = &self.messages[..self.messages.len().saturating_sub(1)];
        let hash =
            |message: &Message| hash::hash_parts(&[&message.role, &message.content.to_string()]);
        shared.iter().map(|message| PromptPart(hash(message))).collect()
    }

    /// Hash of the model and the first [`PREFIX_BYTES`] bytes of the prompt.
    pub(crate) fn prefix_hash(&self) -> u64 {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.content.to_string());
            if text.len() >= PREFIX_BYTES {
                break;
            }
        }
        let end = text.char_indices().map(|(i, _)| i).find(|&i| i >= PREFIX_BYTES);
        hash::hash_parts(&[&self.model, &text[..end.unwrap_or(text.len())]])
    }
}

/// A complete response as JSON.
pub(crate) fn completion_json(
    id: &RequestId,
    model: &str,
    text: &str,
    finish_reason: &str,
    usage: Value,
) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish_reason,
        }],
        "usage": usage,
    })
    .to_string()
}

/// A chunk of a streamed response that carries text.
pub(crate) fn text_chunk(id: &RequestId, model: &str, text: &str) -> String {
    chunk(id, model, &json!({"role": "assistant", "content": text}), &Value::Null, Value::Null)
}

/// The last chunk of a complete streamed response.
pub(crate) fn end_chunk(id: &RequestId, model: &str, finish_reason: &str, usage: Value) -> String {
    chunk(id, model, &json!({}), &json!(finish_reason), usage)
}

fn chunk(
    id: &RequestId,
    model: &str,
    delta: &Value,
    finish_reason: &Value,
    usage: Value,
) -> String {
    let mut body = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    });
    if !usage.is_null() {
        body["usage"] = usage;
    }
    body.to_string()
}

/// Content of a recorded response.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RecordedResponse {
    /// Text of the response.
    pub(crate) text: String,
    /// Reason why the engine stopped.
    pub(crate) finish_reason: String,
    /// Token counts.
    pub(crate) usage: Value,
}

/// Parses a recorded response.
pub(crate) fn parse_completion(body: &str) -> Option<RecordedResponse> {
    let body: Value = serde_json::from_str(body).ok()?;
    let choice = body.get("choices")?.get(0)?;
    Some(RecordedResponse {
        text: choice.get("message")?.get("content")?.as_str()?.to_owned(),
        finish_reason: choice.get("finish_reason")?.as_str()?.to_owned(),
        usage: body.get("usage").cloned().unwrap_or(Value::Null),
    })
}
