//! The platform's HTTP interface.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use oleander_core::Revision;
use serde::Deserialize;

use crate::{
    object::{Created, HostListing, Listing, Object, Updated},
    platform::{ObjectStore, Platform, PlatformError},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a watch is given up, since it may have left a change out.
const WATCH_BOUND: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const REVISION_HEADER: &str = "x-revision";

/// A client of the platform at one address.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
}

struct Answer {
    status: StatusCode,
    revision: Option<Revision>,
    body: Bytes,
}

#[derive(Debug, Deserialize)]
struct WatchLine {
    revision: Revision,
    key: Option<String>,
}

impl HttpPlatform {
    /// A client for the platform at `address`, an IP number and port.
    #[must_use]
    pub fn new(address: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, base: format!("http://{address}/v1") }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        condition: Option<(header::HeaderName, String)>,
        body: Bytes,
    ) -> Result<Answer, PlatformError> {
        let mut request = Request::builder().method(method).uri(format!("{}/{path}", self.base));
        if let Some((name, value)) = condition {
            request = request.header(name, value);
        }
        let request =
            request.body(Full::new(body)).map_err(|e| PlatformError::Rejected(e.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(from_client)?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(no_answer)?.to_bytes();
            let revision = parts.headers.get(REVISION_HEADER).and_then(|v| v.to_str().ok());
            let revision = revision.and_then(|v| v.parse().ok());
            Ok(Answer { status: parts.status, revision, body })
        };
        let answer = tokio::time::timeout(CALL_TIMEOUT, exchange).await.map_err(no_answer)??;
        match answer.status {
            status if status.is_server_error() => Err(no_answer(status)),
            StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
                Err(PlatformError::Rejected(answer.status.to_string()))
            }
            _ => Ok(answer),
        }
    }

    /// Waits for a line of the watch that names a change after `from`.
    async fn watch(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        let uri = format!("{}/watch?prefix={prefix}&from={from}", self.base);
        let request = Request::get(uri).body(Full::default()).map_err(no_answer)?;
        let response = tokio::time::timeout(CALL_TIMEOUT, self.client.request(request))
            .await
            .map_err(no_answer)?
            .map_err(from_client)?;
        let mut body = response.into_body();
        let mut pending = Vec::new();
        loop {
            let frame =
                tokio::time::timeout(CALL_TIMEOUT, body.frame()).await.map_err(no_answer)?;
            let frame = frame.ok_or_else(|| no_answer("watch ended"))?.map_err(no_answer)?;
            pending.extend_from_slice(frame.data_ref().map_or(&[][..], |data| &data[..]));
            while let Some(end) = pending.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = pending.drain(..=end).collect();
                let line: WatchLine = serde_json::from_slice(&line).map_err(no_answer)?;
                if line.key.is_some() && line.revision > from {
                    return Ok(line.revision);
                }
            }
        }
    }

    async fn read<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, PlatformError> {
        let answer = self.call(Method::GET, path, None, Bytes::new()).await?;
        serde_json::from_slice(&answer.body).map_err(no_answer)
    }
}

fn no_answer(error: impl ToString) -> PlatformError {
    PlatformError::NoResponse(error.to_string())
}

fn from_client(error: hyper_util::client::legacy::Error) -> PlatformError {
    if error.is_connect() {
        return PlatformError::Unreachable(error.to_string());
    }
    no_answer(error)
}

fn required(revision: Option<Revision>) -> Result<Revision, PlatformError> {
    revision.ok_or_else(|| no_answer("answer without revision"))
}

impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let answer = self.call(Method::GET, &format!("objects/{key}"), None, Bytes::new()).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(Object { revision: required(answer.revision)?, body: answer.body }))
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let condition = Some((header::IF_NONE_MATCH, "*".to_owned()));
        let answer = self.call(Method::PUT, &format!("objects/{key}"), condition, body).await?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            return Ok(Created::Exists);
        }
        required(answer.revision).map(Created::New)
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        let condition = Some((header::IF_MATCH, expected.to_string()));
        let answer = self.call(Method::PUT, &format!("objects/{key}"), condition, body).await?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            return Ok(Updated::Stale(answer.revision));
        }
        required(answer.revision).map(Updated::Done)
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        let condition = Some((header::IF_MATCH, expected.to_string()));
        let path = format!("objects/{key}");
        let answer = self.call(Method::DELETE, &path, condition, Bytes::new()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(Updated::Stale(None)),
            StatusCode::PRECONDITION_FAILED => Ok(Updated::Stale(answer.revision)),
            _ => Ok(Updated::Done(answer.revision.unwrap_or(expected))),
        }
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, PlatformError> {
        self.read(&format!("list?prefix={prefix}&after={after}&limit={limit}")).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        let watch = self.watch(prefix, from);
        tokio::time::timeout(WATCH_BOUND, watch).await.unwrap_or(Ok(from))
    }
}

impl Platform for HttpPlatform {
    async fn hosts(&self) -> Result<HostListing, PlatformError> {
        self.read("hosts").await
    }
}
