//! Helpers for the tests of the stand-ins.
#![allow(clippy::unwrap_used, dead_code)]

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use serde_json::{Value, json};
use standin::client::{BufferedResponse, ClientError, HttpClient};

/// Maximum wait for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls `condition` until it holds.
///
/// # Panics
///
/// Panics if it does not hold within `WAIT_TIMEOUT`.
pub(crate) async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, poll).await.expect("condition holds before the timeout");
}

/// Body of a chat completions request.
pub(crate) fn chat(prompt: &str, stream: bool) -> Value {
    let message = json!({ "role": "user", "content": prompt });
    json!({ "model": "m", "messages": [message], "stream": stream })
}

/// A chat completions request with this id.
pub(crate) fn chat_request(base: &str, id: &str, body: &Value) -> Request<Bytes> {
    Request::post(format!("{base}/v1/chat/completions"))
        .header("x-request-id", id)
        .body(Bytes::from(body.to_string()))
        .unwrap()
}

/// Replaces the injected faults of a stand-in.
pub(crate) async fn set_faults(client: &HttpClient, base: &str, faults: Value) {
    let response = client.send_json(Method::PUT, &format!("{base}/_fault"), &faults).await.unwrap();
    assert!(response.status.is_success(), "{response:?}");
}

/// Recorded events of one request at a stand-in, in order.
pub(crate) async fn events(client: &HttpClient, base: &str, id: &str) -> Vec<String> {
    let url = format!("{base}/_records?request_id={id}");
    let list: Value = client.get_json(&url).await.unwrap();
    let records = list["records"].as_array().unwrap().clone();
    records.iter().map(|record| record["event"].as_str().unwrap().to_owned()).collect()
}

/// The JSON chunks of a streamed response, and whether it ended with `[DONE]`.
pub(crate) fn chunks(response: &BufferedResponse) -> (Vec<Value>, bool) {
    let text = String::from_utf8(response.body.to_vec()).unwrap();
    let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let done = data.last() == Some(&"[DONE]");
    let json = data.iter().filter(|data| **data != "[DONE]");
    (json.map(|data| serde_json::from_str(data).unwrap()).collect(), done)
}

/// The text of a streamed response.
pub(crate) fn text(chunks: &[Value]) -> String {
    chunks.iter().filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str()).collect()
}

/// Whether the connection failed before the response was complete.
pub(crate) fn is_incomplete(result: &Result<BufferedResponse, ClientError>) -> bool {
    matches!(result, Err(ClientError::Incomplete(_)))
}
