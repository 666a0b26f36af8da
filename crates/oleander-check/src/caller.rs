//! Calls as a caller makes them.

use http::Method;
use serde_json::{Value, json};

use crate::client::{Client, Response};

/// Key of the only caller.
pub const CALLER_KEY: &str = "check-caller-key";

/// Calls the entries as the caller; clones share their connections.
#[derive(Debug, Clone)]
pub struct Caller {
    pub(crate) client: Client,
    pub(crate) entries: Vec<String>,
}

impl Caller {
    /// Calls an entry with an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn post(
        &self,
        entry: usize,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<Response, String> {
        post(&self.client, &self.entries[entry], path, key, body).await
    }

    /// Reads from an entry.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn get(&self, entry: usize, path: &str) -> Result<Response, String> {
        get(&self.client, &self.entries[entry], path).await
    }
}

pub(crate) async fn post(
    client: &Client,
    address: &str,
    path: &str,
    key: &str,
    body: &Value,
) -> Result<Response, String> {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    client.send(Method::POST, &format!("{address}/{path}"), &headers, text(body)).await
}

pub(crate) async fn get(client: &Client, address: &str, path: &str) -> Result<Response, String> {
    let bearer = format!("Bearer {CALLER_KEY}");
    client.get(&format!("{address}/{path}"), &[("authorization", &bearer)]).await
}

/// A chat/completions body with one message.
#[must_use]
pub fn chat_body(prompt: &str, stream: bool) -> Value {
    json!({
        "model": "llm", "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    })
}

pub(crate) fn text(body: &Value) -> String {
    if body.is_null() { String::new() } else { body.to_string() }
}
