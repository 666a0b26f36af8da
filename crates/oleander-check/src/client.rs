//! HTTP client with a timeout on every request, and a polling wait.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

impl Response {
    /// Body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Generated text of a chat completion that was not streamed.
    #[must_use]
    pub fn completion_text(&self) -> Option<String> {
        let json = self.json();
        let content = json["choices"][0]["message"]["content"].as_str();
        content.map(str::to_owned)
    }

    /// Generated text of a streamed chat completion; `None` if the stream has no `[DONE]` event.
    #[must_use]
    pub fn streamed_text(&self) -> Option<String> {
        let mut text = String::new();
        let mut complete = false;
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                complete = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).ok()?;
            if let Some(part) = chunk["choices"][0]["delta"]["content"].as_str() {
                text.push_str(part);
            }
        }
        complete.then_some(text)
    }

    /// `ran` member of an error response.
    #[must_use]
    pub fn ran(&self) -> Option<String> {
        self.json()["error"]["ran"].as_str().map(str::to_owned)
    }

    /// `code` member of an error response.
    #[must_use]
    pub fn code(&self) -> Option<String> {
        self.json()["error"]["code"].as_str().map(str::to_owned)
    }
}

/// HTTP client with a pool of connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client that waits at most `timeout` for a complete response.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self { inner: HyperClient::builder(TokioExecutor::new()).build_http(), timeout }
    }

    /// Sends a request with a JSON content type; `url` has no scheme.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    ///
    /// # Panics
    ///
    /// Panics if the URL or a header is malformed.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response, String> {
        let mut request = Request::builder().method(method).uri(format!("http://{url}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .expect("malformed request");
        let exchange = async {
            let response = self.inner.request(request).await.map_err(|e| format!("{e:?}"))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| format!("{e:?}"))?.to_bytes();
            let body = String::from_utf8_lossy(&body).into_owned();
            Ok(Response { status: parts.status, headers: parts.headers, body })
        };
        let response = tokio::time::timeout(self.timeout, exchange).await;
        response.map_err(|_| "request timed out".to_owned())?
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn get(&self, url: &str, headers: &[(&str, &str)]) -> Result<Response, String> {
        self.send(Method::GET, url, headers, Bytes::new()).await
    }
}

/// Polls `condition` until it returns a value.
///
/// # Panics
///
/// Panics with `what`, the awaited condition, if none is returned within `timeout`.
pub async fn eventually<T, F, Fut>(what: &str, timeout: Duration, mut condition: F) -> T
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(start.elapsed() < timeout, "condition not met within {timeout:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
