//! HTTP calls to targets.

use std::{collections::HashMap, io::ErrorKind, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use oleander_http::{
    CountedBody, FinalStatus, LimitedConnector, Unwritten, count_content, is_framed,
};
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::{chat::ChatStream, error::TargetError};

/// Header with the id of a request at its target.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Maximum size of a response that is not a stream.
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_IDLE_CONNECTIONS: usize = 64;

pub(crate) type HttpClient = Client<LimitedConnector, Full<Bytes>>;

/// Time limits of calls to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// Time limit for the response head, and again for a whole body or the first event of a stream.
    pub first_byte: Duration,
    /// Maximum time between two events of a stream.
    pub idle: Duration,
    /// Time after which an idle pooled connection is closed.
    pub pool_idle: Duration,
}

impl Timeouts {
    /// The default limits.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            connect: Duration::from_millis(300),
            first_byte: Duration::from_secs(10),
            idle: Duration::from_secs(2),
            pool_idle: Duration::from_secs(5),
        }
    }

    /// Sets the time limit for the first byte.
    #[must_use]
    pub const fn first_byte(mut self, first_byte: Duration) -> Self {
        self.first_byte = first_byte;
        self
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether nothing listens at an address, so that the process there has ended.
pub async fn refuses_connections(address: &str) -> bool {
    let connecting = tokio::time::timeout(Timeouts::new().connect, TcpStream::connect(address));
    matches!(connecting.await, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Whether a process accepts connections at an address.
pub async fn accepts_connections(address: &str) -> bool {
    let connecting = tokio::time::timeout(Timeouts::new().connect, TcpStream::connect(address));
    matches!(connecting.await, Ok(Ok(_)))
}

/// The connection that a call uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionMode {
    /// An idle connection of the pool, or a new one.
    Pooled,
    /// A new connection that is used for this call only.
    Dedicated,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// HTTP client for all targets; clones share their connections.
#[derive(Debug, Clone)]
pub struct TargetClient {
    timeouts: Timeouts,
    pools: Arc<Mutex<HashMap<String, HttpClient>>>,
}

impl TargetClient {
    /// Creates a client with these time limits.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        Self { timeouts, pools: Arc::new(Mutex::new(HashMap::new())) }
    }

    /// Starts a streamed chat completion whose first `resume_from` tokens are already known.
    ///
    /// # Errors
    ///
    /// Fails if the response head does not arrive in time or has an error status.
    pub async fn chat(
        &self,
        address: &str,
        request_id: &str,
        body: Bytes,
        resume_from: u64,
    ) -> Result<ChatStream, TargetError> {
        let request = post_request(address, "v1/chat/completions", request_id, body)?;
        let response = self.send(address, request, ConnectionMode::Pooled).await?;
        if !response.status().is_success() {
            let response = self.read(address, response).await?;
            return Err(status_error(&response));
        }
        Ok(ChatStream::new(response.into_body(), request_id, resume_from, self.timeouts))
    }

    /// Calls an operation of a plain service and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time, or if its status is an error.
    pub async fn call(
        &self,
        address: &str,
        path: &str,
        request_id: &str,
        body: Bytes,
        connection: ConnectionMode,
    ) -> Result<TargetResponse, TargetError> {
        let request = post_request(address, path, request_id, body)?;
        let response = self.send(address, request, connection).await?;
        let response = self.read(address, response).await?;
        if response.status >= 400 {
            return Err(status_error(&response));
        }
        Ok(response)
    }

    /// Closes the idle connections to a target; later calls open new ones.
    pub fn retire_connections(&self, address: &str) {
        self.pools.lock().remove(address);
    }

    pub(crate) async fn get(
        &self,
        address: &str,
        path: &str,
    ) -> Result<TargetResponse, TargetError> {
        let request = build_request(Method::GET, address, path, None, Bytes::new())?;
        let response = self.send(address, request, ConnectionMode::Pooled).await?;
        self.read(address, response).await
    }

    pub(crate) async fn post_without_id(
        &self,
        address: &str,
        path: &str,
        body: Bytes,
    ) -> Result<TargetResponse, TargetError> {
        let request = build_request(Method::POST, address, path, None, body)?;
        let response = self.send(address, request, ConnectionMode::Pooled).await?;
        self.read(address, response).await
    }

    async fn send(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        connection: ConnectionMode,
    ) -> Result<Response<CountedBody<Incoming>>, TargetError> {
        let client = match connection {
            ConnectionMode::Pooled => self.pool(address),
            ConnectionMode::Dedicated => new_client(&self.timeouts, 0),
        };
        match tokio::time::timeout(self.timeouts.first_byte, client.request(request)).await {
            Ok(Ok(response)) => {
                FinalStatus::try_from(response.status())
                    .map_err(|error| TargetError::Interrupted(error.to_string()))?;
                Ok(count_content(response))
            }
            Ok(Err(error)) if error.is_connect() => Err(TargetError::Connect(error.to_string())),
            Ok(Err(error)) => Err(TargetError::Interrupted(error.to_string())),
            Err(_) => {
                self.retire_connections(address);
                Err(TargetError::Timeout)
            }
        }
    }

    async fn read(
        &self,
        address: &str,
        response: Response<CountedBody<Incoming>>,
    ) -> Result<TargetResponse, TargetError> {
        let status = response.status().as_u16();
        let unwritten = response.extensions().get::<Unwritten>().cloned();
        let unwritten = unwritten.filter(|_| !is_framed(response.status(), response.headers()));
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        match tokio::time::timeout(self.timeouts.first_byte, body).await {
            Ok(Ok(_)) if unwritten.is_some_and(|unwritten| unwritten.is_waiting()) => {
                let reason = "connection ended before the request was written";
                Err(TargetError::Interrupted(reason.to_owned()))
            }
            Ok(Ok(body)) => Ok(TargetResponse { status, body: body.to_bytes() }),
            Ok(Err(error)) => Err(TargetError::Interrupted(error.to_string())),
            Err(_) => {
                self.retire_connections(address);
                Err(TargetError::Timeout)
            }
        }
    }

    fn pool(&self, address: &str) -> HttpClient {
        let mut pools = self.pools.lock();
        if let Some(client) = pools.get(address) {
            return client.clone();
        }
        let client = new_client(&self.timeouts, MAX_IDLE_CONNECTIONS);
        pools.insert(address.to_owned(), client.clone());
        client
    }
}

fn new_client(timeouts: &Timeouts, max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeouts.connect));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(timeouts.pool_idle)
        .pool_max_idle_per_host(max_idle)
        .retry_canceled_requests(false)
        .build(LimitedConnector::new(connector))
}

fn post_request(
    address: &str,
    path: &str,
    request_id: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, TargetError> {
    build_request(Method::POST, address, path, Some(request_id), body)
}

fn build_request(
    method: Method,
    address: &str,
    path: &str,
    request_id: Option<&str>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, TargetError> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/{path}"))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(id) = request_id {
        request = request.header(REQUEST_ID_HEADER, id);
    }
    request.body(Full::new(body)).map_err(|e| TargetError::Connect(e.to_string()))
}

fn status_error(response: &TargetResponse) -> TargetError {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    TargetError::Status(response.status, text)
}
