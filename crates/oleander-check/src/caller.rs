//! Requests that a caller sends to the entries.

use http::Method;
use serde_json::{Value, json};

use crate::client::{Client, Response};

/// API key of the caller, valid for the only workspace of the deployment.
pub const CALLER_KEY: &str = "check-caller-key";

/// Client of the entries that authenticates as the caller; clones share connections.
#[derive(Debug, Clone)]
pub struct Caller {
    pub(crate) client: Client,
    pub(crate) entries: Vec<String>,
}

impl Caller {
    /// Sends a POST request with an idempotency key to an entry.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn post(
        &self,
        entry: usize,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<Response, String> {
        post(&self.client, &self.entries[entry], path, key, body).await
    }

    /// Sends a GET request to an entry.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
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
    client.send(Method::POST, &format!("{address}/{path}"), &headers, body_text(body)).await
}

pub(crate) async fn get(client: &Client, address: &str, path: &str) -> Result<Response, String> {
    let bearer = format!("Bearer {CALLER_KEY}");
    client.get(&format!("{address}/{path}"), &[("authorization", &bearer)]).await
}

/// Body of a chat completion request with one user message.
#[must_use]
pub fn chat_body(prompt: &str, stream: bool) -> Value {
    json!({
        "model": "llm", "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Serializes a request body; null becomes an empty one.
pub(crate) fn body_text(body: &Value) -> String {
    if body.is_null() { String::new() } else { body.to_string() }
}
