//! A small HTTP client for tests and the load tool.

use std::fmt;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

/// A pooled HTTP client over plain TCP.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// HTTP version that the client uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// A response whose body has been read completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response body.
    pub body: Bytes,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// The connection could not be established.
    Connect(String),
    /// The connection failed before the response was complete.
    Incomplete(String),
    /// The request could not be built.
    Request(String),
    /// The response body could not be decoded.
    Decode(String),
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(HttpVersion::Http1)
    }
}

impl HttpClient {
    /// A client that uses one version of HTTP.
    #[must_use]
    pub fn new(version: HttpVersion) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .http2_only(version == HttpVersion::Http2)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns when the response head has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Connect`] if no connection could be established, and
    /// [`ClientError::Incomplete`] if it failed later.
    pub async fn send(&self, request: Request<Bytes>) -> Result<Response<Incoming>, ClientError> {
        self.client.request(request.map(Full::new)).await.map_err(client_error)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn call(&self, request: Request<Bytes>) -> Result<BufferedResponse, ClientError> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(incomplete)?.to_bytes();
        Ok(BufferedResponse { status, body })
    }

    /// Sends a GET request to `url` and decodes the response body as JSON.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], [`ClientError::Request`] if the URL is invalid, and
    /// [`ClientError::Decode`] if the body is not JSON of this type.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T, ClientError> {
        let request = Request::get(url).body(Bytes::new()).map_err(request_error)?;
        self.call(request).await?.json()
    }

    /// Sends `body` as JSON to `url` and reads the complete response.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], and [`ClientError::Request`] if the request can't be built.
    pub async fn send_json(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> Result<BufferedResponse, ClientError> {
        let body = serde_json::to_vec(body).map_err(request_error)?;
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body))
            .map_err(request_error)?;
        self.call(request).await
    }
}

impl BufferedResponse {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Decode`] if the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| ClientError::Decode(error.to_string()))
    }
}

fn client_error(error: Error) -> ClientError {
    if error.is_connect() {
        return ClientError::Connect(error.to_string());
    }
    incomplete(error)
}

fn incomplete(error: impl ToString) -> ClientError {
    ClientError::Incomplete(error.to_string())
}

fn request_error(error: impl ToString) -> ClientError {
    ClientError::Request(error.to_string())
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(text) => write!(f, "connection failed: {text}"),
            Self::Incomplete(text) => write!(f, "response incomplete: {text}"),
            Self::Request(text) => write!(f, "invalid request: {text}"),
            Self::Decode(text) => write!(f, "invalid response body: {text}"),
        }
    }
}

impl std::error::Error for ClientError {}
