//! Where an answer goes.

use std::fmt;

use bytes::Bytes;
use oleander_core::Span;
use tokio::sync::{mpsc, oneshot};

use crate::request::ResponseHead;

/// Pieces of an answer that may wait for a caller that reads slowly.
const QUEUED_CHUNKS: usize = 16;

/// Why a request ends without the answer of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It has not run and will not.
    NotRun,
    /// It may have run; its answer is lost.
    ResponseLost,
    /// It may be running; its time is over.
    TimedOut,
}

/// A final answer of this host's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// What is known of the request.
    pub reason: RefusalReason,
    /// Earliest sensible time to ask again.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// A refusal without a time to come back.
    #[must_use]
    pub const fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A request that has not run, with the time to come back.
    #[must_use]
    pub const fn not_run(retry_after: Span) -> Self {
        Self { reason: RefusalReason::NotRun, retry_after: Some(retry_after) }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::ResponseLost => "answer_lost",
            Self::TimedOut => "timed_out",
        })
    }
}

/// Nobody waits for the answer any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SinkClosed;

/// Takes an answer, head first.
pub trait ResponseSink: Send {
    /// Takes the head.
    fn head(&mut self, head: ResponseHead);

    /// Takes a piece of the body; waits while too much is queued.
    fn chunk(&mut self, bytes: Bytes) -> impl Future<Output = Result<(), SinkClosed>> + Send;

    /// Completes once nobody waits for the answer.
    fn closed(&self) -> impl Future<Output = ()> + Send;
}

/// A sink that hands the answer to another task.
#[derive(Debug)]
pub struct ChannelSink {
    head: Option<oneshot::Sender<Result<ResponseHead, Refusal>>>,
    chunks: mpsc::Sender<Result<Bytes, SinkClosed>>,
}

/// A sink, the receiver of its head and the receiver of its body.
///
/// The body ends with an error if the answer broke off.
#[must_use]
#[allow(clippy::type_complexity)]
pub fn response_channel() -> (
    ChannelSink,
    oneshot::Receiver<Result<ResponseHead, Refusal>>,
    mpsc::Receiver<Result<Bytes, SinkClosed>>,
) {
    let (head, head_receiver) = oneshot::channel();
    let (chunks, receiver) = mpsc::channel(QUEUED_CHUNKS);
    (ChannelSink { head: Some(head), chunks }, head_receiver, receiver)
}

impl ChannelSink {
    /// Ends the answer with a refusal, or breaks it off if its head is out already.
    pub async fn refuse(mut self, refusal: Refusal) {
        match self.head.take() {
            Some(head) => drop(head.send(Err(refusal))),
            None => drop(self.chunks.send(Err(SinkClosed)).await),
        }
    }
}

impl ResponseSink for ChannelSink {
    fn head(&mut self, head: ResponseHead) {
        if let Some(sender) = self.head.take() {
            // A caller that is gone is noticed by `closed`.
            let _ = sender.send(Ok(head));
        }
    }

    async fn chunk(&mut self, bytes: Bytes) -> Result<(), SinkClosed> {
        self.chunks.send(Ok(bytes)).await.map_err(|_| SinkClosed)
    }

    async fn closed(&self) {
        self.chunks.closed().await;
    }
}
