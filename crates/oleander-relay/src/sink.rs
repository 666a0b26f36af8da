//! Destination of a response.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use oleander_core::Span;
use tokio::sync::{mpsc, oneshot};

use crate::{request::ResponseHead, version::SoftwareVersion};

/// Chunks of a response that are queued for a caller that reads slowly.
const MAX_QUEUED_CHUNKS: usize = 16;
/// Maximum size of a queued chunk; limits the memory that a caller can make this host use.
const MAX_CHUNK_BYTES: usize = 4 << 10;

/// Why a request ends without the response of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request has not run and will not.
    NotRun,
    /// The request may have run; its response is lost.
    ResponseLost,
    /// The request may still be running; its deadline has passed.
    TimedOut,
}

/// A final response made by this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// Creates a refusal without a retry-after time.
    #[must_use]
    pub const fn new(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Creates the refusal of a request that has not run.
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

/// The receiver of the response is gone, or the response was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SinkClosed;

/// Receives a response, head first.
pub trait ResponseSink: Send {
    /// Receives the version of the target to which the request is sent next, and the number of
    /// targets that it will have been sent to then.
    fn attempt(&mut self, _version: &SoftwareVersion, _sent: u32) {}

    /// Receives the head.
    fn head(&mut self, head: ResponseHead);

    /// Receives a chunk of the body; waits while the queue is full.
    fn chunk(&mut self, bytes: Bytes) -> impl Future<Output = Result<(), SinkClosed>> + Send;

    /// Bytes that it keeps beyond the response.
    fn held(&self) -> usize {
        0
    }

    /// Discards the bytes that it keeps, as they take too much memory.
    fn discard(&mut self) {}

    /// Completes once the receiver of the response is gone.
    fn closed(&self) -> impl Future<Output = ()> + Send;
}

/// A sink that sends the response to another task.
#[derive(Debug)]
pub struct ChannelSink {
    head: Option<oneshot::Sender<Result<ResponseHead, Refusal>>>,
    chunks: mpsc::Sender<Result<Bytes, SinkClosed>>,
    finished: Arc<AtomicBool>,
}

/// The body of a response that another task sends.
#[derive(Debug)]
pub struct ResponseChunks {
    chunks: mpsc::Receiver<Result<Bytes, SinkClosed>>,
    finished: Arc<AtomicBool>,
}

/// Creates a sink, the receiver of its head and the receiver of its body.
///
/// The body ends with an error unless the response was finished.
#[must_use]
pub fn response_channel()
-> (ChannelSink, oneshot::Receiver<Result<ResponseHead, Refusal>>, ResponseChunks) {
    let (head, head_receiver) = oneshot::channel();
    let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let finished = Arc::new(AtomicBool::new(false));
    let sink = ChannelSink { head: Some(head), chunks, finished: Arc::clone(&finished) };
    (sink, head_receiver, ResponseChunks { chunks: receiver, finished })
}

impl ResponseChunks {
    /// Polls the next chunk; `None` after a complete body.
    pub fn poll_recv(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, SinkClosed>>> {
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            None if !self.finished.load(Ordering::Acquire) => Some(Err(SinkClosed)),
            chunk => chunk,
        })
    }
}

impl ChannelSink {
    /// Ends a complete response.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }

    /// Ends the response with a refusal, or aborts it if its head has been sent already.
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
            // `closed` reports a receiver that is gone.
            let _ = sender.send(Ok(head));
        }
    }

    async fn chunk(&mut self, bytes: Bytes) -> Result<(), SinkClosed> {
        for part in bytes.chunks(MAX_CHUNK_BYTES) {
            // A slice would keep the whole buffer that it is a part of.
            let part = Bytes::copy_from_slice(part);
            self.chunks.send(Ok(part)).await.map_err(|_| SinkClosed)?;
        }
        Ok(())
    }

    async fn closed(&self) {
        self.chunks.closed().await;
    }
}
