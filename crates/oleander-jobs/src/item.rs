//! Lines of an input file, each of which is an item.

use std::fmt;

use serde::Deserialize;
use serde_json::{Map, Value};

/// The only accepted `url` of an item.
pub const ITEM_URL: &str = "/v1/chat/completions";
const ITEM_METHOD: &str = "POST";
const MAX_CUSTOM_ID_BYTES: usize = 256;

/// A valid line of an input file.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemLine {
    /// Id of the item, given by the caller.
    pub custom_id: String,
    /// Body of the request.
    pub body: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLine {
    custom_id: String,
    method: String,
    url: String,
    body: Map<String, Value>,
}

/// Why a line is not a valid item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LineError {
    /// The line is not a JSON object with the expected fields; holds the parser's message.
    Json(String),
    /// A field has an invalid value.
    Field {
        /// Name of the field.
        name: &'static str,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// The line does not fit into one chunk.
    TooLong,
    /// An earlier line has this `custom_id`.
    Duplicate(String),
    /// The item names this model, and the first line another one.
    ModelMismatch(String),
}

impl ItemLine {
    /// Model that the item names.
    #[must_use]
    pub fn model(&self) -> &str {
        self.body.get("model").and_then(Value::as_str).unwrap_or_default()
    }

    /// Parses and validates one line.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn parse(line: &[u8]) -> Result<Self, LineError> {
        let raw: RawLine =
            serde_json::from_slice(line).map_err(|e| LineError::Json(e.to_string()))?;
        let id_bytes = raw.custom_id.len();
        check((1..=MAX_CUSTOM_ID_BYTES).contains(&id_bytes), "custom_id", "1 to 256 bytes")?;
        check(raw.method == ITEM_METHOD, "method", "POST")?;
        check(raw.url == ITEM_URL, "url", ITEM_URL)?;
        check(raw.body.get("model").is_some_and(Value::is_string), "body.model", "a string")?;
        let messages = raw.body.get("messages").and_then(Value::as_array);
        check(messages.is_some_and(|m| !m.is_empty()), "body.messages", "a list of messages")?;
        Ok(Self { custom_id: raw.custom_id, body: raw.body })
    }
}

fn check(is_valid: bool, name: &'static str, expected: &'static str) -> Result<(), LineError> {
    if is_valid { Ok(()) } else { Err(LineError::Field { name, expected }) }
}

/// Parses `count` items of a chunk, from position `offset` on.
///
/// # Errors
///
/// Returns the error of the first invalid line.
pub fn read_items(chunk: &[u8], offset: u32, count: u32) -> Result<Vec<ItemLine>, LineError> {
    chunk
        .split(|&byte| byte == b'\n')
        .filter(|line| !line.is_empty())
        .skip(offset as usize)
        .take(count as usize)
        .map(ItemLine::parse)
        .collect()
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(text) => f.write_str(text),
            Self::Field { name, expected } => write!(f, "{name} must be {expected}"),
            Self::TooLong => f.write_str("line must be shorter than 1,000,000 bytes"),
            Self::Duplicate(id) => write!(f, "custom_id {id:?} is not unique"),
            Self::ModelMismatch(model) => {
                write!(f, "model {model:?} differs from the model of the first line")
            }
        }
    }
}

impl std::error::Error for LineError {}
