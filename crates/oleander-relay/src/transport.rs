//! Interface to the targets.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use oleander_core::{PromptPart, Span};
use oleander_routing::{LoadReport, RequestRate};

use crate::{
    host::{HostDispatch, HostResponse},
    request::{Request, ResponseHead},
    target_list::TargetEntry,
};

/// A request addressed to one target.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request.
    pub request: Arc<Request>,
    /// The target to send it to.
    pub target: TargetEntry,
    /// Time limit at the target; `None` for no limit.
    pub budget: Option<Span>,
    /// Id of the event after which the target resumes a stream.
    pub resume_after: Option<u64>,
}

/// A response whose body has not been read.
#[derive(Debug)]
pub struct TargetResponse<B> {
    /// Status and headers.
    pub head: ResponseHead,
    /// Whether the target states that it has not run the request and will not.
    pub not_run: bool,
    /// Load report sent with the response.
    pub load: Option<LoadReport>,
    /// Rate that the target takes from all hosts together, if it limits it.
    pub rate_limit: Option<RequestRate>,
    /// Whether the target states that it is about to stop.
    pub is_leaving: bool,
    /// Body.
    pub body: B,
}

impl<B> TargetResponse<B> {
    /// The response of a target that says nothing beside it.
    #[must_use]
    pub const fn new(head: ResponseHead, body: B) -> Self {
        Self { head, not_run: false, load: None, rate_limit: None, is_leaving: false, body }
    }

    /// Whether the target runs the request and responds with its result.
    #[must_use]
    pub fn is_success(&self) -> bool {
        !self.not_run && self.head.status.is_success()
    }
}

/// Why there is no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Nothing was sent; the target has not run the request.
    NotSent(String),
    /// Nothing was sent, as the connection was refused: the target's process may have ended.
    Refused(String),
    /// The request was sent in full or in part; the target may have run it.
    NoResponse(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(text) | Self::Refused(text) => write!(f, "request not sent: {text}"),
            Self::NoResponse(text) => write!(f, "no response: {text}"),
        }
    }
}

impl std::error::Error for SendError {}

/// The body can't be read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyError(pub String);

/// A body that is read in chunks; dropping it before its end closes the connection.
pub trait ResponseBody: Send + 'static {
    /// Reads the next chunk; `None` after a complete body.
    fn next_chunk(&mut self) -> impl Future<Output = Option<Result<Bytes, BodyError>>> + Send;

    /// Whether a length or chunks tell the end of the body, and not the end of the connection.
    fn is_framed(&self) -> bool {
        true
    }

    /// Bytes that are known to follow, by a length that the response states.
    fn missing(&self) -> u64 {
        0
    }
}

/// What a new connection to a target meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// The target accepts it.
    Accepted,
    /// It is refused: nothing listens at the address, or the way there is closed to this host.
    Refused,
    /// It hangs or fails in another way.
    Failed,
}

/// Sends requests to targets.
///
/// Implementations send a request at most once. Dropping the future of a send, or a body, closes
/// the connection, which most targets treat as a cancellation of the request.
pub trait TargetTransport: Send + Sync + 'static {
    /// Response body.
    type Body: ResponseBody;

    /// Sends a request and waits for the response head.
    fn send(
        &self,
        dispatch: Dispatch,
    ) -> impl Future<Output = Result<TargetResponse<Self::Body>, SendError>> + Send;

    /// Sends a request to a target through another host.
    fn send_to_host(
        &self,
        _dispatch: HostDispatch,
    ) -> impl Future<Output = Result<HostResponse<Self::Body>, SendError>> + Send {
        async { Err(SendError::NotSent("no other hosts".to_owned())) }
    }

    /// The parts of a request's prompt that other requests may share.
    fn shared_parts(&self, _request: &Request) -> Vec<PromptPart> {
        Vec::new()
    }

    /// Work of a request in output tokens, if it states it.
    fn size(&self, _request: &Request) -> Option<u32> {
        None
    }

    /// Tries a new connection to a target.
    fn connect(&self, _target: &TargetEntry) -> impl Future<Output = Reach> + Send {
        async { Reach::Accepted }
    }
}
