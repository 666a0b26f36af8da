//! Client of one process's admin listener.

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

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time of a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Calls one process; clones share connections.
#[derive(Debug, Clone)]
pub struct AdminClient {
    address: SocketAddr,
    key: AdminKey,
    http: Client<HttpConnector, Full<Bytes>>,
}

/// An answer read to its end.
struct Answer {
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

    /// Address of the listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Status of the process.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn status(&self) -> Result<HostStatus, AdminError> {
        self.get("/admin/status").await
    }

    /// Recorded events of the process.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn events(&self, query: &EventQuery) -> Result<Vec<Event>, AdminError> {
        let path = format!("/admin/events?{}", query.encode());
        let body: wire::EventsBody = self.get(&path).await?;
        Ok(body.events)
    }

    /// Makes the process finish its work and end.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn drain(&self) -> Result<(), AdminError> {
        let answer = self.call(Method::POST, "/admin/drain", Bytes::new()).await?;
        self.expect_success(&answer)
    }

    /// The document in force.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn document(&self) -> Result<CurrentDocument, AdminError> {
        let body: wire::DocumentBody = self.get("/admin/document").await?;
        CurrentDocument::try_from(body).map_err(|cause| self.error(cause))
    }

    /// Asks for a document to be put in force in place of the revision `request.base`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the change may have taken effect if
    /// [`AdminError::may_have_run`] says so.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyResponse, AdminError> {
        let body = self.encode(request)?;
        let answer = self.call(Method::POST, "/admin/apply", body).await?;
        match answer.status {
            StatusCode::OK => {
                let applied: wire::AppliedBody = self.decode(&answer.body)?;
                Ok(ApplyResponse::Applied(applied.revision))
            }
            StatusCode::CONFLICT => {
                let body: wire::DocumentBody = self.decode(&answer.body)?;
                let current = CurrentDocument::try_from(body).map_err(|cause| self.error(cause))?;
                Ok(ApplyResponse::Conflict(current))
            }
            StatusCode::BAD_REQUEST => self.rejection(&answer),
            _ => Err(self.refusal(&answer)),
        }
    }

    /// The first jobs after `after`, by name.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
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
    /// Returns why there is no answer.
    pub async fn cancel(&self, job: &JobId) -> Result<(), AdminError> {
        let path = format!("/admin/jobs/{job}/cancel");
        let answer = self.call(Method::POST, &path, Bytes::new()).await?;
        self.expect_success(&answer)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        let answer = self.call(Method::GET, path, Bytes::new()).await?;
        self.expect_success(&answer)?;
        self.decode(&answer.body)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, AdminError> {
        let request = self.request(method, path, body)?;
        match tokio::time::timeout(CALL_TIMEOUT, self.send(request)).await {
            Ok(answer) => answer.map_err(|cause| self.error(cause)),
            Err(_) => Err(self.error(Cause::NoResponse("no answer in time".to_owned()))),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, AdminError> {
        let bad = |error: http::Error| self.error(Cause::InvalidRequest(error.to_string()));
        let path = PathAndQuery::try_from(path).map_err(|error| bad(error.into()))?;
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path)
            .build()
            .map_err(bad)?;
        Request::builder()
            .method(method)
            .uri(uri)
            .header(header::AUTHORIZATION, self.key.header())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(bad)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, Cause> {
        let response = self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                Cause::Unreachable(error::chain(&error))
            } else {
                Cause::NoResponse(error::chain(&error))
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| Cause::NoResponse(error.to_string()))?;
        Ok(Answer { status, body: body.to_bytes() })
    }

    fn expect_success(&self, answer: &Answer) -> Result<(), AdminError> {
        if answer.status.is_success() { Ok(()) } else { Err(self.refusal(answer)) }
    }

    /// Reads the faults of a rejected document.
    fn rejection(&self, answer: &Answer) -> Result<ApplyResponse, AdminError> {
        match serde_json::from_slice::<wire::FaultsBody>(&answer.body) {
            Ok(body) if !body.faults.is_empty() => Ok(ApplyResponse::Rejected(body.faults)),
            _ => Err(self.refusal(answer)),
        }
    }

    fn refusal(&self, answer: &Answer) -> AdminError {
        let status = answer.status.as_u16();
        let error = serde_json::from_slice::<ErrorBody>(&answer.body).ok();
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
