//! Requests and the heads of answers, with bodies that nobody here reads.

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use oleander_core::{Span, Time};

/// A request as a caller sent it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifies this request at callers and targets; each try of a caller has its own.
    pub id: String,
    /// Host that the caller addressed.
    pub host: String,
    /// Method, passed on unchanged.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub path: String,
    /// Headers that go to the target unchanged.
    pub headers: HeaderMap,
    /// Body, passed on unchanged.
    pub body: Bytes,
    /// How long the caller waits, if it said so.
    pub budget: Option<Span>,
    /// Last event that the caller has of a stream it resumes.
    pub resume_after: Option<u64>,
    /// When the head of the request arrived.
    pub received: Time,
}

/// Status and headers of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status of the target.
    pub status: StatusCode,
    /// Headers that go to the caller unchanged.
    pub headers: HeaderMap,
}
