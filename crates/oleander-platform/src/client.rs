//! Client of the platform's HTTP interface.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use oleander_core::Revision;
use oleander_http::{FinalStatus, LimitedConnector, count_content};
use serde::Deserialize;

use crate::{
    object::{Created, HostListing, Listing, Object, Updated},
    platform::{ObjectStore, Platform, PlatformError},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum duration of a watch. A watch may omit a change, so the caller reads the object again
/// when it ends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response, and of all lines of a watch: several times the largest value, 1 MiB.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Maximum size of a line of a watch, which has a revision and a key.
const MAX_LINE_BYTES: usize = 64 << 10;
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const REVISION_HEADER: &str = "x-revision";

/// Client of the platform at one address.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client<LimitedConnector, Full<Bytes>>,
    base: String,
}

struct Response {
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
    /// Creates a client of the platform at `address`, an IP address and port.
    #[must_use]
    pub fn new(address: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(LimitedConnector::new(connector));
        Self { client, base: format!("http://{address}/v1") }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        condition: Option<(header::HeaderName, String)>,
        body: Bytes,
    ) -> Result<Response, PlatformError> {
        let mut request = Request::builder().method(method).uri(format!("{}/{path}", self.base));
        if let Some((name, value)) = condition {
            request = request.header(name, value);
        }
        let request =
            request.body(Full::new(body)).map_err(|e| PlatformError::Rejected(e.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(client_error)?;
            let response = count_content(response);
            let (parts, body) = response.into_parts();
            let status = FinalStatus::try_from(parts.status).map_err(no_response)?.into();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(no_response)?.to_bytes();
            let revision = parts.headers.get(REVISION_HEADER).and_then(|v| v.to_str().ok());
            let revision = revision.and_then(|v| v.parse().ok());
            Ok(Response { status, revision, body })
        };
        let response =
            tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.map_err(no_response)??;
        match response.status {
            status if status.is_server_error() => Err(no_response(status)),
            StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
                Err(PlatformError::Rejected(response.status.to_string()))
            }
            StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => Ok(response),
            status if status.is_success() => Ok(response),
            status => Err(no_response(status)),
        }
    }

    /// Waits for a line of the watch that reports a change after `from`.
    async fn watch(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        let uri = format!("{}/watch?prefix={prefix}&from={from}", self.base);
        let request = Request::get(uri).body(Full::default()).map_err(no_response)?;
        let response = tokio::time::timeout(REQUEST_TIMEOUT, self.client.request(request))
            .await
            .map_err(no_response)?
            .map_err(client_error)?;
        let mut body = Limited::new(count_content(response).into_body(), MAX_RESPONSE_BYTES);
        let mut buffer = Vec::new();
        loop {
            let frame =
                tokio::time::timeout(REQUEST_TIMEOUT, body.frame()).await.map_err(no_response)?;
            let frame = frame.ok_or_else(|| no_response("watch ended"))?.map_err(no_response)?;
            let data = frame.data_ref().map_or(&[][..], |data| &data[..]);
            buffer.extend_from_slice(data);
            if !data.contains(&b'\n') {
                if buffer.len() > MAX_LINE_BYTES {
                    return Err(no_response("line of the watch is too long"));
                }
                continue;
            }
            while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let line: WatchLine = serde_json::from_slice(&line).map_err(no_response)?;
                if line.key.is_some() && line.revision > from {
                    return Ok(line.revision);
                }
            }
        }
    }

    async fn read_json<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
    ) -> Result<T, PlatformError> {
        let response = self.send(Method::GET, path, None, Bytes::new()).await?;
        serde_json::from_slice(&response.body).map_err(no_response)
    }
}

fn no_response(error: impl ToString) -> PlatformError {
    PlatformError::NoResponse(error.to_string())
}

fn client_error(error: hyper_util::client::legacy::Error) -> PlatformError {
    if error.is_connect() {
        return PlatformError::Unreachable(error.to_string());
    }
    no_response(error)
}

fn require_revision(revision: Option<Revision>) -> Result<Revision, PlatformError> {
    revision.ok_or_else(|| no_response("response without revision"))
}

impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let response =
            self.send(Method::GET, &format!("objects/{key}"), None, Bytes::new()).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(Object { revision: require_revision(response.revision)?, body: response.body }))
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let condition = Some((header::IF_NONE_MATCH, "*".to_owned()));
        let response = self.send(Method::PUT, &format!("objects/{key}"), condition, body).await?;
        if response.status == StatusCode::PRECONDITION_FAILED {
            return Ok(Created::Exists);
        }
        require_revision(response.revision).map(Created::New)
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        let condition = Some((header::IF_MATCH, expected.to_string()));
        let response = self.send(Method::PUT, &format!("objects/{key}"), condition, body).await?;
        if response.status == StatusCode::PRECONDITION_FAILED {
            return Ok(Updated::Stale(response.revision));
        }
        require_revision(response.revision).map(Updated::Done)
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        let condition = Some((header::IF_MATCH, expected.to_string()));
        let path = format!("objects/{key}");
        let response = self.send(Method::DELETE, &path, condition, Bytes::new()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(Updated::Stale(None)),
            StatusCode::PRECONDITION_FAILED => Ok(Updated::Stale(response.revision)),
            _ => Ok(Updated::Done(response.revision.unwrap_or(expected))),
        }
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, PlatformError> {
        self.read_json(&format!("list?prefix={prefix}&after={after}&limit={limit}")).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        let watch = self.watch(prefix, from);
        tokio::time::timeout(WATCH_TIMEOUT, watch).await.unwrap_or(Ok(from))
    }
}

impl Platform for HttpPlatform {
    async fn hosts(&self) -> Result<HostListing, PlatformError> {
        self.read_json("hosts").await
    }
}
