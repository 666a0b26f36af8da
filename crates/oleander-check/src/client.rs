//! A plain HTTP client with bounded waits.

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

/// A response that came whole.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

impl Response {
    /// The body as JSON; null if it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The generated text of a plain chat completion.
    #[must_use]
    pub fn completion_text(&self) -> Option<String> {
        let json = self.json();
        let content = json["choices"][0]["message"]["content"].as_str();
        content.map(str::to_owned)
    }

    /// The generated text of a streamed completion; `None` if the stream is not whole.
    #[must_use]
    pub fn streamed_text(&self) -> Option<String> {
        let mut text = String::new();
        let mut whole = false;
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                whole = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(data).ok()?;
            if let Some(part) = chunk["choices"][0]["delta"]["content"].as_str() {
                text.push_str(part);
            }
        }
        whole.then_some(text)
    }

    /// The `ran` member of an error.
    #[must_use]
    pub fn ran(&self) -> Option<String> {
        self.json()["error"]["ran"].as_str().map(str::to_owned)
    }

    /// The `code` member of an error.
    #[must_use]
    pub fn code(&self) -> Option<String> {
        self.json()["error"]["code"].as_str().map(str::to_owned)
    }
}

/// A client that opens connections as needed.
#[derive(Debug, Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// A client that waits at most `timeout` for a complete response.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self { inner: HyperClient::builder(TokioExecutor::new()).build_http(), timeout }
    }

    /// Sends a request; an error text if no complete response came.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    ///
    /// # Panics
    ///
    /// Panics on a malformed request.
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
            .expect("a well-formed request");
        let exchange = async {
            let response = self.inner.request(request).await.map_err(|e| format!("{e:?}"))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| format!("{e:?}"))?.to_bytes();
            let body = String::from_utf8_lossy(&body).into_owned();
            Ok(Response { status: parts.status, headers: parts.headers, body })
        };
        let response = tokio::time::timeout(self.timeout, exchange).await;
        response.map_err(|_| "timed out".to_owned())?
    }

    /// Reads a URL.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete response.
    pub async fn get(&self, url: &str, headers: &[(&str, &str)]) -> Result<Response, String> {
        self.send(Method::GET, url, headers, Bytes::new()).await
    }
}

/// Waits until `condition` gives a value.
///
/// # Panics
///
/// Panics with `what` after `bound`.
pub async fn eventually<T, F, Fut>(what: &str, bound: Duration, mut condition: F) -> T
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(start.elapsed() < bound, "not within {bound:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
