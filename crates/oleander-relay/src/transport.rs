//! The port to the targets.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use oleander_core::Span;
use oleander_routing::LoadReport;

use crate::{
    request::{Request, ResponseHead},
    target_list::TargetEntry,
};

/// One request on its way to one target.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request.
    pub request: Arc<Request>,
    /// Where it goes.
    pub target: TargetEntry,
    /// How long the target may work on it; `None` for as long as it takes.
    pub budget: Option<Span>,
    /// Last event of a stream that the target is to go on with.
    pub resume_after: Option<u64>,
}

/// An answer whose body has not been read.
#[derive(Debug)]
pub struct TargetResponse<B> {
    /// Status and headers.
    pub head: ResponseHead,
    /// Whether the target says that it has not run the request and will not.
    pub not_run: bool,
    /// Load that the target reported.
    pub load: Option<LoadReport>,
    /// The body.
    pub body: B,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte was sent; the target has not run the request.
    NotSent(String),
    /// The request, or a part of it, was sent; the target may have run it.
    NoAnswer(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(text) => write!(f, "request was not sent: {text}"),
            Self::NoAnswer(text) => write!(f, "no answer: {text}"),
        }
    }
}

impl std::error::Error for SendError {}

/// The rest of a body can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyError(pub String);

/// A body that is read piece by piece; dropping it before its end closes its connection.
pub trait ResponseBody: Send + 'static {
    /// The next piece; `None` after a complete body.
    fn next_chunk(&mut self) -> impl Future<Output = Option<Result<Bytes, BodyError>>> + Send;
}

/// Sends requests to targets.
///
/// Implementations send a request at most once. Dropping a send or a body closes the connection,
/// which most targets take as the end of the request.
pub trait TargetTransport: Send + Sync + 'static {
    /// Body of an answer.
    type Body: ResponseBody;

    /// Sends a request and waits for the head of its answer.
    fn send(
        &self,
        dispatch: Dispatch,
    ) -> impl Future<Output = Result<TargetResponse<Self::Body>, SendError>> + Send;
}
