//! The chat/completions interface as callers speak it.

use oleander_core::{DigestId, RequestId, hash};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// A chat/completions body; other members are refused.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChatBody {
    /// Service that answers.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) messages: Vec<Message>,
    /// Whether the answer is streamed.
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

/// Bytes of the prompt that decide which target has its prefix cached.
const PREFIX_BYTES: usize = 256;

impl ChatBody {
    /// Reads and checks a body.
    ///
    /// # Errors
    ///
    /// Returns the first fault as text with its JSON path.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_slice(bytes);
        let body: Self = serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())?;
        json.end().map_err(|e| e.to_string())?;
        if body.messages.is_empty() {
            return Err("messages: must not be empty".to_owned());
        }
        if body.n.is_some_and(|n| n != 1) {
            return Err("n: only 1 is served".to_owned());
        }
        Ok(body)
    }

    /// The body as sent to engines.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Digest of what identifies the request; streamed or not makes no difference.
    pub(crate) fn digest(&self) -> DigestId {
        hash::digest(&self.to_json())
    }

    /// Hash of the beginning of the prompt.
    pub(crate) fn prefix(&self) -> u64 {
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

/// The whole answer as JSON text.
pub(crate) fn completion(
    id: &RequestId,
    model: &str,
    text: &str,
    finish: &str,
    usage: Value,
) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }],
        "usage": usage,
    })
    .to_string()
}

/// One chunk of a streamed answer that carries text.
pub(crate) fn text_chunk(id: &RequestId, model: &str, text: &str) -> String {
    chunk(id, model, &json!({"role": "assistant", "content": text}), &Value::Null, Value::Null)
}

/// The chunk that ends a whole streamed answer.
pub(crate) fn end_chunk(id: &RequestId, model: &str, finish: &str, usage: Value) -> String {
    chunk(id, model, &json!({}), &json!(finish), usage)
}

fn chunk(id: &RequestId, model: &str, delta: &Value, finish: &Value, usage: Value) -> String {
    let mut body = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    if !usage.is_null() {
        body["usage"] = usage;
    }
    body.to_string()
}

/// What a recorded answer holds.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Recorded {
    /// Text of the answer.
    pub(crate) text: String,
    /// Why the engine stopped.
    pub(crate) finish: String,
    /// Token counts.
    pub(crate) usage: Value,
}

/// Reads back a recorded answer.
pub(crate) fn read_completion(body: &str) -> Option<Recorded> {
    let body: Value = serde_json::from_str(body).ok()?;
    let choice = body.get("choices")?.get(0)?;
    Some(Recorded {
        text: choice.get("message")?.get("content")?.as_str()?.to_owned(),
        finish: choice.get("finish_reason")?.as_str()?.to_owned(),
        usage: body.get("usage").cloned().unwrap_or(Value::Null),
    })
}
