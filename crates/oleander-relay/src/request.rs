//! Requests and response heads; bodies stay opaque.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use oleander_core::{Span, Time};

use crate::streams::StreamId;

/// A request as received from a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifies this request to callers and targets; a caller's retry has a new id.
    pub id: String,
    /// Host name that the caller addressed.
    pub host: String,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path: String,
    /// Headers that are forwarded to the target unchanged.
    pub headers: HeaderMap,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// Time limit set by the caller, if any.
    pub budget: Option<Span>,
    /// Id of the last event received, when the caller resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the attempt that brought the first event of a stream which the caller resumes.
    pub resumes: Option<String>,
    /// When the head of the request arrived.
    pub received: Time,
}

impl Request {
    /// Id of the attempt that began this request: an earlier one if the caller resumes a stream.
    #[must_use]
    pub fn first_id(&self) -> &str {
        self.resumes.as_deref().filter(|_| self.resume_after.is_some()).unwrap_or(&self.id)
    }

    /// The stream that this request begins or resumes, by its first attempt and by its content.
    #[must_use]
    pub fn streams(&self) -> [StreamId; 2] {
        let content = StreamId::of_content(&self.host, &self.path, &self.body);
        [StreamId::new(self.first_id()), content]
    }

    /// The stream that the caller resumes.
    #[must_use]
    pub fn resumed_stream(&self) -> StreamId {
        let [by_attempt, by_content] = self.streams();
        if self.resumes.is_some() { by_attempt } else { by_content }
    }
}

/// Status and headers of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status from the target.
    pub status: StatusCode,
    /// Headers that are forwarded to the caller unchanged.
    pub headers: HeaderMap,
}

impl ResponseHead {
    /// Whether callers take the status for the promise that the request has not run and never will.
    pub(crate) fn promises_not_run(&self) -> bool {
        const PROMISES: [StatusCode; 4] = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        PROMISES.contains(&self.status)
    }
}
