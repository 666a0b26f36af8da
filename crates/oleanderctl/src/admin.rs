//! HTTP client for the admin listener of one process.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri, header, uri::PathAndQuery};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use oleander_core::{Event, JobId, api::ErrorBody};
use oleander_host::HostStatus;
use serde::{Serialize, de::DeserializeOwned};

use crate::AdminKey;

mod error;
mod wire;

pub use error::{AdminError, Cause};
pub use wire::{ApplyRequest, ApplyResponse, CurrentDocument, EventQuery, JobPage, JobSummary};

/// Time allowed for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for a whole call, including the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of one process; clones share connections.
#[derive(Debug, Clone)]
pub struct AdminClient {
    address: SocketAddr,
    key: AdminKey,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// Response whose body has been read completely.
struct FullResponse {
    status: StatusCode,
    body: Bytes,
}

impl AdminClient {
    /// A client of the admin listener at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, key: AdminKey) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { address, key, http }
    }

    /// Address of the admin listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Status of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn status(&self) -> Result<HostStatus, AdminError> {
        self.get("/admin/status").await
    }

    /// Recorded events of the process that match `query`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn events(&self, query: &EventQuery) -> Result<Vec<Event>, AdminError> {
        let path = format!("/admin/events?{}", query.encode());
        let body: wire::EventsBody = self.get(&path).await?;
        Ok(body.events)
    }

    /// Starts draining: the process finishes its work and exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn drain(&self) -> Result<(), AdminError> {
        let response = self.call(Method::POST, "/admin/drain", Bytes::new()).await?;
        self.check_status(&response)
    }

    /// The document in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn document(&self) -> Result<CurrentDocument, AdminError> {
        let body: wire::DocumentBody = self.get("/admin/document").await?;
        CurrentDocument::try_from(body).map_err(|cause| self.error(cause))
    }

    /// Applies `request.document` if `request.base` is the revision in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; the change may have taken effect if
    /// [`AdminError::may_have_run`] is true.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyResponse, AdminError> {
        let body = self.encode(request)?;
        let response = self.call(Method::POST, "/admin/apply", body).await?;
        match response.status {
            StatusCode::OK => {
                let applied: wire::AppliedBody = self.decode(&response.body)?;
                Ok(ApplyResponse::Applied(applied.revision))
            }
            StatusCode::CONFLICT => {
                let body: wire::DocumentBody = self.decode(&response.body)?;
                let current = CurrentDocument::try_from(body).map_err(|cause| self.error(cause))?;
                Ok(ApplyResponse::Conflict(current))
            }
            StatusCode::BAD_REQUEST => self.read_rejection(&response),
            _ => Err(self.error_response(&response)),
        }
    }

    /// One page of the jobs after `after`, by id.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn jobs(&self, after: Option<&JobId>) -> Result<JobPage, AdminError> {
        match after {
            Some(job) => self.get(&format!("/admin/jobs?after={job}")).await,
            None => self.get("/admin/jobs").await,
        }
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn cancel(&self, job: &JobId) -> Result<(), AdminError> {
        let path = format!("/admin/jobs/{job}/cancel");
        let response = self.call(Method::POST, &path, Bytes::new()).await?;
        self.check_status(&response)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        let response = self.call(Method::GET, path, Bytes::new()).await?;
        self.check_status(&response)?;
        self.decode(&response.body)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<FullResponse, AdminError> {
        let request = self.request(method, path, body)?;
        match tokio::time::timeout(CALL_TIMEOUT, self.send(request)).await {
            Ok(response) => response.map_err(|cause| self.error(cause)),
            Err(_) => Err(self.error(Cause::NoResponse("call timed out".to_owned()))),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, AdminError> {
        let invalid_request =
            |error: http::Error| self.error(Cause::InvalidRequest(error.to_string()));
        let path = PathAndQuery::try_from(path).map_err(|error| invalid_request(error.into()))?;
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .map_err(invalid_request)?;
        Request::builder()
            .method(method)
            .uri(uri)
            .header(header::AUTHORIZATION, self.key.header())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(invalid_request)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<FullResponse, Cause> {
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                Cause::Unreachable(error::error_chain(&error))
            } else {
                Cause::NoResponse(error::error_chain(&error))
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| Cause::NoResponse(error.to_string()))?;
        Ok(FullResponse { status, body: body.to_bytes() })
    }

    fn check_status(&self, response: &FullResponse) -> Result<(), AdminError> {
        if response.status.is_success() { Ok(()) } else { Err(self.error_response(response)) }
    }

    /// Reads the faults of a rejected document; any other body is an error response.
    fn read_rejection(&self, response: &FullResponse) -> Result<ApplyResponse, AdminError> {
        match serde_json::from_slice::<wire::FaultsBody>(&response.body) {
            Ok(body) if !body.faults.is_empty() => Ok(ApplyResponse::Rejected(body.faults)),
            _ => Err(self.error_response(response)),
        }
    }

    fn error_response(&self, response: &FullResponse) -> AdminError {
        let status = response.status.as_u16();
        let error = serde_json::from_slice::<ErrorBody>(&response.body).ok();
        self.error(Cause::ErrorResponse { status, error: error.map(|body| body.error) })
    }

    fn encode(&self, message: &impl Serialize) -> Result<Bytes, AdminError> {
        let bytes = serde_json::to_vec(message);
        bytes.map(Bytes::from).map_err(|error| self.error(Cause::InvalidRequest(error.to_string())))
    }

    fn decode<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T, AdminError> {
        let decoded = serde_json::from_slice(body);
        decoded.map_err(|error| self.error(Cause::InvalidResponse(error.to_string())))
    }

    fn error(&self, cause: Cause) -> AdminError {
        AdminError { address: self.address, cause }
    }
}
