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

/// The version that the client speaks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.1.
    #[default]
    Http1,
    /// HTTP/2 without upgrade.
    Http2,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection was made.
    Connect(String),
    /// The connection broke before the answer was whole.
    Incomplete(String),
    /// The request can't be formed.
    Request(String),
    /// The body is not what was expected.
    Decode(String),
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(HttpVersion::Http1)
    }
}

impl HttpClient {
    /// A client that speaks one version of HTTP.
    #[must_use]
    pub fn new(version: HttpVersion) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .http2_only(version == HttpVersion::Http2)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Tells a failed connect from a broken exchange.
    pub async fn send(&self, request: Request<Bytes>) -> Result<Response<Incoming>, ClientError> {
        self.client.request(request.map(Full::new)).await.map_err(from_client)
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn call(&self, request: Request<Bytes>) -> Result<BufferedResponse, ClientError> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(broken)?.to_bytes();
        Ok(BufferedResponse { status, body })
    }

    /// Reads JSON from `url`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], and if the body is not JSON of this type.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T, ClientError> {
        let request = Request::get(url).body(Bytes::new()).map_err(bad_request)?;
        self.call(request).await?.json()
    }

    /// Sends JSON to `url`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send_json(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> Result<BufferedResponse, ClientError> {
        let body = serde_json::to_vec(body).map_err(bad_request)?;
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body))
            .map_err(bad_request)?;
        self.call(request).await
    }
}

impl BufferedResponse {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Decode`] if the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| ClientError::Decode(error.to_string()))
    }
}

fn from_client(error: Error) -> ClientError {
    if error.is_connect() {
        return ClientError::Connect(error.to_string());
    }
    broken(error)
}

fn broken(error: impl ToString) -> ClientError {
    ClientError::Incomplete(error.to_string())
}

fn bad_request(error: impl ToString) -> ClientError {
    ClientError::Request(error.to_string())
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(text) => write!(f, "no connection: {text}"),
            Self::Incomplete(text) => write!(f, "exchange broke: {text}"),
            Self::Request(text) => write!(f, "request can't be formed: {text}"),
            Self::Decode(text) => write!(f, "unexpected body: {text}"),
        }
    }
}

impl std::error::Error for ClientError {}
