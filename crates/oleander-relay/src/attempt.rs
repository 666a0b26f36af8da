//! One attempt of a request at one target.

use std::{future::pending, sync::Arc};

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use oleander_core::Span;
use oleander_routing::{Failure, Observation};
use tokio::time::{self, Instant};

use crate::{
    events::EventReader,
    pool::TargetLease,
    request::{Request, ResponseHead},
    sink::ResponseSink,
    transport::{Dispatch, ResponseBody, SendError, TargetResponse, TargetTransport},
};

/// Maximum size of an error body that is kept for forwarding.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Time limit for reading an error body.
const ERROR_BODY_TIMEOUT: Span = Span::from_secs(1);

/// How long a target may send nothing before the attempt is interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptTimeouts {
    /// Until the response head; `None` for no limit.
    pub first_byte: Option<Span>,
    /// Between events of a stream; `None` for no limit.
    pub idle: Option<Span>,
}

/// What is sent, and how the response is read.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// The request.
    pub request: &'a Arc<Request>,
    /// Time limit at the target; `None` for no limit.
    pub budget: Option<Span>,
    /// Event reader shared by all attempts; `None` for a response that is not a stream.
    pub events: Option<&'a mut EventReader>,
    /// Whether an earlier attempt has forwarded the head.
    pub head_sent: bool,
    /// Whether the whole body is read before its head is forwarded, so that the request can run
    /// again.
    pub buffer: bool,
    /// Time limits for a target that sends nothing.
    pub timeouts: AttemptTimeouts,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The whole response has been forwarded.
    Complete,
    /// Nothing was sent.
    NotSent(String),
    /// The target states that it has not run the request.
    NotRun(ResponseHead),
    /// The target responded with an error after it had run the request.
    Failed(ResponseHead, Bytes),
    /// The response did not arrive, or not completely.
    Interrupted {
        /// What went wrong.
        reason: String,
        /// Whether the head has been forwarded, by this attempt or an earlier one.
        head_sent: bool,
    },
    /// The receiver of the response is gone.
    Cancelled,
}

/// Sends a request to the leased target and forwards its response.
pub async fn run_attempt<T: TargetTransport, S: ResponseSink>(
    transport: &T,
    lease: &mut TargetLease,
    attempt: Attempt<'_>,
    sink: &mut S,
) -> AttemptOutcome {
    let dispatch = Dispatch {
        request: Arc::clone(attempt.request),
        target: lease.target.clone(),
        budget: attempt.budget,
        resume_after: attempt.events.as_ref().and_then(|events| events.last_id()),
    };
    let sent_at = Instant::now();
    let sent = tokio::select! {
        sent = with_limit(attempt.timeouts.first_byte, transport.send(dispatch)) => sent,
        () = sink.closed() => return AttemptOutcome::Cancelled,
    };
    let response = match sent {
        Some(Ok(response)) => response,
        Some(Err(SendError::NotSent(reason))) => {
            lease.observe(Observation::Failed(Failure::Connect));
            return AttemptOutcome::NotSent(reason);
        }
        Some(Err(SendError::NoResponse(reason))) => {
            lease.observe(Observation::Failed(Failure::BrokenStream));
            return AttemptOutcome::Interrupted { reason, head_sent: attempt.head_sent };
        }
        None => {
            lease.observe(Observation::Failed(Failure::Timeout));
            let reason = format!("no response in time, {}", silence(sent_at));
            return AttemptOutcome::Interrupted { reason, head_sent: attempt.head_sent };
        }
    };
    if let Some(load) = &response.load {
        lease.update_load(load.clone());
    }
    let outcome = forward_response(lease, attempt, response, sink).await;
    observe_outcome(lease, &outcome);
    outcome
}

fn observe_outcome(lease: &mut TargetLease, outcome: &AttemptOutcome) {
    let observation = match outcome {
        AttemptOutcome::Complete => Observation::Done,
        AttemptOutcome::NotRun(head) if head.status == StatusCode::MISDIRECTED_REQUEST => {
            Observation::Failed(Failure::WrongTarget)
        }
        AttemptOutcome::NotRun(_) => Observation::Failed(Failure::NoCapacity),
        AttemptOutcome::Failed(head, _) => {
            Observation::Failed(Failure::Status(head.status.as_u16()))
        }
        AttemptOutcome::NotSent(_) => Observation::Failed(Failure::Connect),
        AttemptOutcome::Interrupted { .. } => Observation::Failed(Failure::BrokenStream),
        AttemptOutcome::Cancelled => Observation::Cancelled,
    };
    lease.observe(observation);
}

async fn forward_response<B: ResponseBody, S: ResponseSink>(
    lease: &mut TargetLease,
    attempt: Attempt<'_>,
    response: TargetResponse<B>,
    sink: &mut S,
) -> AttemptOutcome {
    let TargetResponse { head, not_run, mut body, .. } = response;
    if not_run || !head.status.is_success() {
        let content = tokio::select! {
            content = with_limit(Some(ERROR_BODY_TIMEOUT), collect(&mut body, MAX_ERROR_BYTES)) => {
                content.unwrap_or_else(|| Err("error body not read in time".to_owned()))
            }
            () = sink.closed() => return AttemptOutcome::Cancelled,
        };
        return match content {
            Ok(_) if not_run => AttemptOutcome::NotRun(head),
            Ok(content) => AttemptOutcome::Failed(head, content),
            Err(_) if not_run => AttemptOutcome::NotRun(head),
            Err(reason) => AttemptOutcome::Interrupted { reason, head_sent: attempt.head_sent },
        };
    }
    match attempt.events {
        Some(events) => {
            let mut forwarder =
                Forwarder { lease, sink, head: (!attempt.head_sent).then_some(head) };
            let outcome = forwarder.stream(&mut body, events, attempt.timeouts.idle).await;
            events.discard_partial();
            outcome
        }
        None => Forwarder { lease, sink, head: Some(head) }.body(&mut body, attempt.buffer).await,
    }
}

/// Forwards one response.
struct Forwarder<'a, S> {
    lease: &'a mut TargetLease,
    sink: &'a mut S,
    /// The head, until it is forwarded.
    head: Option<ResponseHead>,
}

impl<S: ResponseSink> Forwarder<'_, S> {
    async fn stream<B: ResponseBody>(
        &mut self,
        body: &mut B,
        events: &mut EventReader,
        idle: Option<Span>,
    ) -> AttemptOutcome {
        // Bytes that complete no event are no progress: a target that only drips is left.
        let mut progress = Instant::now();
        loop {
            let left =
                idle.map(|idle| idle.to_duration().saturating_sub(progress.elapsed()).into());
            let chunk = tokio::select! {
                chunk = with_limit(left, body.next_chunk()) => chunk,
                () = self.sink.closed() => return AttemptOutcome::Cancelled,
            };
            let bytes = match chunk {
                None => {
                    let reason = format!("no event in time, {}", silence(progress));
                    return self.interrupted(&reason);
                }
                Some(None) if events.at_boundary() => {
                    self.send_head();
                    return AttemptOutcome::Complete;
                }
                Some(None) => return self.interrupted("stream ended inside an event"),
                Some(Some(Err(error))) => return self.interrupted(&error.0),
                Some(Some(Ok(bytes))) => bytes,
            };
            let parsed = events.push(&bytes);
            if !parsed.events.is_empty() {
                self.send_head();
                let complete = concat(parsed.events.into_iter().map(|event| event.raw));
                if self.sink.chunk(complete).await.is_err() {
                    return AttemptOutcome::Cancelled;
                }
                progress = Instant::now();
            }
            if !parsed.valid {
                return self.interrupted("event out of sequence or too long");
            }
        }
    }

    /// Forwards a response that is not a stream; reads it completely first if `buffer` is set.
    async fn body<B: ResponseBody>(&mut self, body: &mut B, buffer: bool) -> AttemptOutcome {
        let mut buffered = Vec::new();
        loop {
            let chunk = tokio::select! {
                chunk = body.next_chunk() => chunk,
                () = self.sink.closed() => return AttemptOutcome::Cancelled,
            };
            match chunk {
                None => break,
                Some(Err(error)) => return self.interrupted(&error.0),
                Some(Ok(bytes)) if buffer => buffered.push(bytes),
                Some(Ok(bytes)) => {
                    self.send_head();
                    if self.sink.chunk(bytes).await.is_err() {
                        return AttemptOutcome::Cancelled;
                    }
                }
            }
        }
        self.send_head();
        for bytes in buffered {
            if self.sink.chunk(bytes).await.is_err() {
                return AttemptOutcome::Cancelled;
            }
        }
        AttemptOutcome::Complete
    }

    fn send_head(&mut self) {
        if let Some(head) = self.head.take() {
            self.lease.observe(Observation::FirstOutput);
            self.sink.head(head);
        }
    }

    fn interrupted(&self, reason: &str) -> AttemptOutcome {
        AttemptOutcome::Interrupted { reason: reason.to_owned(), head_sent: self.head.is_none() }
    }
}

/// How long a target has been silent, for logs; more than its timeout if this process paused.
fn silence(since: Instant) -> String {
    format!("silent for {} ms", since.elapsed().as_millis())
}

/// Waits at most `limit`; `None` if the time ran out.
async fn with_limit<F: Future>(limit: Option<Span>, future: F) -> Option<F::Output> {
    let elapsed = async {
        match limit {
            Some(limit) => time::sleep_until(Instant::now() + limit.to_duration()).await,
            None => pending().await,
        }
    };
    tokio::select! {
        output = future => Some(output),
        () = elapsed => None,
    }
}

async fn collect<B: ResponseBody>(body: &mut B, max_bytes: usize) -> Result<Bytes, String> {
    let mut content = BytesMut::new();
    while let Some(chunk) = body.next_chunk().await {
        content.extend_from_slice(&chunk.map_err(|error| error.0)?);
        if content.len() > max_bytes {
            return Err("error body is too long".to_owned());
        }
    }
    Ok(content.freeze())
}

fn concat(mut parts: impl ExactSizeIterator<Item = Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.next().unwrap_or_default();
    }
    let mut bytes = BytesMut::new();
    parts.for_each(|part| bytes.extend_from_slice(&part));
    bytes.freeze()
}
