//! A request that is sent by a task of its own.

use std::sync::Arc;

use bytes::Bytes;
use tokio::task::JoinHandle;

use crate::{
    attempt::AttemptOutcome,
    transport::{BodyError, Dispatch, ResponseBody, SendError, TargetResponse, TargetTransport},
};

/// The result of sending a request.
type SendResult<B> = Result<TargetResponse<Peeked<B>>, SendError>;

/// A request on its way to a target; cancelled when dropped.
pub(crate) struct Sending<B> {
    task: JoinHandle<SendResult<B>>,
    result: Option<SendResult<B>>,
}

/// A body whose first chunk may have been read already.
#[derive(Debug)]
pub(crate) struct Peeked<B> {
    first: Option<Option<Bytes>>,
    body: B,
}

impl<B: ResponseBody> Peeked<B> {
    /// A response of which only the head has been read.
    pub(crate) fn unread(response: TargetResponse<B>) -> TargetResponse<Self> {
        let TargetResponse { head, not_run, load, rate_limit, is_leaving, body } = response;
        let body = Self { first: None, body };
        TargetResponse { head, not_run, load, rate_limit, is_leaving, body }
    }

    /// Reads the first chunk of a successful response.
    async fn read_first(response: TargetResponse<B>) -> SendResult<B> {
        let mut response = Self::unread(response);
        if !response.is_success() {
            return Ok(response);
        }
        let first = response.body.body.next_chunk().await.transpose();
        response.body.first = Some(first.map_err(|error| SendError::NoResponse(error.0))?);
        Ok(response)
    }
}

impl<B: ResponseBody> ResponseBody for Peeked<B> {
    fn is_framed(&self) -> bool {
        self.body.is_framed()
    }

    fn missing(&self) -> u64 {
        self.body.missing()
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self.first.take() {
            Some(first) => first.map(Ok),
            None => self.body.next_chunk().await,
        }
    }
}

impl<B: ResponseBody> Sending<B> {
    /// Starts sending a request.
    pub(crate) fn start<T: TargetTransport<Body = B>>(
        transport: Arc<T>,
        dispatch: Dispatch,
    ) -> Self {
        let task = tokio::spawn(async move {
            let response = transport.send(dispatch).await?;
            Peeked::read_first(response).await
        });
        Self { task, result: None }
    }

    /// Waits for the first output; returns whether the target has accepted the request.
    pub(crate) async fn accepted(&mut self) -> bool {
        let result = self.wait().await;
        self.result = Some(result);
        matches!(&self.result, Some(Ok(response)) if response.is_success())
    }

    /// Waits for the response.
    pub(crate) async fn response(mut self) -> SendResult<B> {
        self.wait().await
    }

    /// Whether the target has said that it is about to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        matches!(&self.result, Some(Ok(response)) if response.is_leaving)
    }

    /// The outcome of a request whose response is not used.
    pub(crate) fn into_outcome(mut self) -> AttemptOutcome {
        match self.result.take() {
            None => AttemptOutcome::Cancelled,
            Some(Err(SendError::NotSent(reason) | SendError::Refused(reason))) => {
                AttemptOutcome::NotSent(reason)
            }
            Some(Err(SendError::NoResponse(reason))) => {
                AttemptOutcome::Interrupted { reason, head_sent: false }
            }
            Some(Ok(response)) if response.not_run => AttemptOutcome::NotRun(response.head),
            Some(Ok(response)) if response.head.status.is_success() => AttemptOutcome::Cancelled,
            Some(Ok(response)) => AttemptOutcome::Failed(response.head, Bytes::new()),
        }
    }

    async fn wait(&mut self) -> SendResult<B> {
        match self.result.take() {
            Some(result) => result,
            None => (&mut self.task)
                .await
                .unwrap_or_else(|error| Err(SendError::NoResponse(error.to_string()))),
        }
    }
}

impl<B> Drop for Sending<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
