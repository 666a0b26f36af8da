//! One attempt of a request at one target.

use std::{fmt, sync::Arc};

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use oleander_core::Span;
use oleander_routing::{Failure, Observation};
use tokio::time::{self, Instant};

use crate::{
    crash::check_target,
    events::EventReader,
    forwarder::Forwarder,
    host::Reservation,
    lease::TargetLease,
    memory::{HeldBytes, LEFT_FOR_MEMORY, ResponseMemory},
    progress::Progress,
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
    /// Memory that its response shares with all others.
    pub memory: &'a ResponseMemory,
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

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete => f.write_str("complete"),
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::NotRun(head) => write!(f, "not run: {}", head.status.as_u16()),
            Self::Failed(head, _) => write!(f, "failed: {}", head.status.as_u16()),
            Self::Interrupted { reason, .. } => write!(f, "broken: {reason}"),
            Self::Cancelled => f.write_str("caller left"),
        }
    }
}

/// Sends a request to the leased target and forwards its response.
///
/// A target that makes no progress within the time limits is interrupted.
pub async fn run_attempt<T: TargetTransport, S: ResponseSink>(
    transport: &Arc<T>,
    mut lease: TargetLease,
    mut attempt: Attempt<'_>,
    sink: &mut S,
) -> AttemptOutcome {
    let started = Instant::now();
    let timeouts = attempt.timeouts;
    let progress = attempt.progress(started);
    let outcome = {
        let dispatch = attempt.dispatch(&lease);
        let response = transport.send(dispatch);
        let forwarding = forward(&mut lease, response, &mut attempt, &progress, sink);
        tokio::select! {
            biased;
            outcome = forwarding => Some(outcome),
            () = progress.stalled(timeouts, started) => None,
        }
    };
    let outcome = outcome.unwrap_or_else(|| interrupt_stalled(&mut lease, &progress));
    check_target(transport, lease).await;
    outcome
}

impl Attempt<'_> {
    /// The message to the leased target.
    pub(crate) fn dispatch(&self, lease: &TargetLease) -> Dispatch {
        Dispatch {
            request: Arc::clone(self.request),
            target: lease.target.clone(),
            budget: self.budget,
            resume_after: self.last_event(),
        }
    }

    /// Progress of this attempt before its response.
    pub(crate) fn progress(&self, now: Instant) -> Progress {
        Progress::new(now, self.head_sent, self.last_event())
    }

    pub(crate) fn last_event(&self) -> Option<u64> {
        self.events.as_ref().and_then(|events| events.last_id())
    }
}

/// Waits for the response of the leased target and forwards it.
pub(crate) async fn forward<F, B, S>(
    lease: &mut TargetLease,
    response: F,
    attempt: &mut Attempt<'_>,
    progress: &Progress,
    sink: &mut S,
) -> AttemptOutcome
where
    F: Future<Output = Result<TargetResponse<B>, SendError>>,
    B: ResponseBody,
    S: ResponseSink,
{
    let sent = tokio::select! {
        sent = response => sent,
        () = sink.closed() => return AttemptOutcome::Cancelled,
    };
    let response = match sent {
        Ok(response) => response,
        Err(SendError::NotSent(reason)) => {
            lease.record_link_failure();
            lease.observe(Observation::Failed(Failure::Connect));
            return AttemptOutcome::NotSent(reason);
        }
        Err(SendError::Refused(reason)) => {
            lease.record_link_failure();
            lease.is_refused = true;
            lease.observe(Observation::Failed(Failure::Connect));
            return AttemptOutcome::NotSent(reason);
        }
        Err(SendError::NoResponse(reason)) => {
            lease.record_link_failure();
            lease.observe(Observation::Failed(Failure::BrokenStream));
            return AttemptOutcome::Interrupted { reason, head_sent: attempt.head_sent };
        }
    };
    lease.record_sign();
    if response.is_leaving {
        lease.record_leaving();
    }
    if let Some(load) = &response.load {
        lease.update_load(load.clone());
    }
    // Another target that has taken over the address says nothing of this one.
    if response.head.status != StatusCode::MISDIRECTED_REQUEST {
        lease.record_rate(response.rate_limit);
    }
    let outcome = forward_response(lease, attempt, response, progress, sink).await;
    observe_outcome(lease, &outcome);
    outcome
}

/// Ends the attempt at a target that has made no progress in time.
pub(crate) fn interrupt_stalled(lease: &mut TargetLease, progress: &Progress) -> AttemptOutcome {
    let failure = if progress.has_head() { Failure::IdleTimeout } else { Failure::Timeout };
    lease.observe(Observation::Failed(failure));
    AttemptOutcome::Interrupted {
        reason: progress.describe(Instant::now()),
        head_sent: progress.head_sent(),
    }
}

/// Records the outcome of an attempt at its target.
pub(crate) fn observe_outcome(lease: &mut TargetLease, outcome: &AttemptOutcome) {
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

pub(crate) async fn forward_response<L: Reservation, B: ResponseBody, S: ResponseSink>(
    lease: &mut L,
    attempt: &mut Attempt<'_>,
    response: TargetResponse<B>,
    progress: &Progress,
    sink: &mut S,
) -> AttemptOutcome {
    let is_success = response.is_success();
    let TargetResponse { head, not_run, mut body, .. } = response;
    let mut held = attempt.memory.hold();
    if !is_success {
        let content = tokio::select! {
            content = with_limit(ERROR_BODY_TIMEOUT, collect(&mut body, &mut held)) => {
                content.unwrap_or_else(|| Err("error body not read in time".to_owned()))
            }
            () = sink.closed() => return AttemptOutcome::Cancelled,
        };
        return match content {
            Ok(_) if not_run => AttemptOutcome::NotRun(head),
            // To callers it would be a promise that the target has not made.
            Ok(_) if head.promises_not_run() => AttemptOutcome::Interrupted {
                reason: format!("status {} without stating that it has not run", head.status),
                head_sent: attempt.head_sent,
            },
            Ok(content) => AttemptOutcome::Failed(head, content),
            Err(_) if not_run => AttemptOutcome::NotRun(head),
            Err(reason) => AttemptOutcome::Interrupted { reason, head_sent: attempt.head_sent },
        };
    }
    progress.record_head(Instant::now());
    let head = (!attempt.head_sent).then_some(head);
    let mut forwarder = Forwarder::new(lease, sink, progress, head, held);
    match attempt.events.as_deref_mut() {
        Some(events) => {
            // An earlier target may have been left in the middle of an event.
            events.discard_partial();
            forwarder.stream(&mut body, events).await
        }
        None => forwarder.body(&mut body, attempt.buffer).await,
    }
}

/// Waits at most `limit`; `None` if the time ran out.
async fn with_limit<F: Future>(limit: Span, future: F) -> Option<F::Output> {
    time::timeout(limit.to_duration(), future).await.ok()
}

/// Reads an error body.
async fn collect<B: ResponseBody>(body: &mut B, held: &mut HeldBytes) -> Result<Bytes, String> {
    let mut content = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            chunk = body.next_chunk() => chunk,
            () = held.left() => return Err(LEFT_FOR_MEMORY.to_owned()),
        };
        let Some(chunk) = chunk else { return Ok(content.freeze()) };
        content.extend_from_slice(&chunk.map_err(|error| error.0)?);
        if content.len() > MAX_ERROR_BYTES {
            return Err("error body is too long".to_owned());
        }
        held.set(content.len());
    }
}
