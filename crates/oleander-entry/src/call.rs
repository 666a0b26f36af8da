//! The life of one online call on this host.
//!
//! A call is claimed at the owner of its shard. The host that is granted the call runs it; any
//! other host follows that run and takes the call over when the runner is gone.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_core::{
    ApiError, AttemptId, CallId, DigestId, ErrorCode, EventKind, HostId, Ran, ServiceId, Span, Time,
};
use oleander_host::clock;
use oleander_ledger::{Claim, Outcome, ShardReply};
use oleander_peer::{PeerAnswer, PeerRequest, Progress, ShardCall};

use crate::{active_run::Flight, app::App, chat::ChatBody, dispatch};

/// Wait of one follow request.
const FOLLOW_WAIT: Span = Span::from_millis(500);
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Follow requests without an answer after which a runner counts as gone.
const FOLLOW_FAILURES: u32 = 2;
const RECORD_RETRY: Duration = Duration::from_millis(100);
/// When to come back if the platform is needed and down.
const PLATFORM_RETRY: Span = Span::from_secs(2);

/// What a call asks of a target.
#[derive(Debug, Clone)]
pub(crate) enum Work {
    /// A chat completion.
    Chat(Box<ChatBody>),
    /// An operation of a plain service.
    Operation {
        /// Path at the target.
        path: String,
        /// JSON body.
        body: Bytes,
        /// Whether a run may be repeated.
        repeatable: bool,
    },
}

impl Work {
    /// Whether a run may be repeated.
    pub(crate) const fn is_repeatable(&self) -> bool {
        match self {
            Self::Chat(_) => true,
            Self::Operation { repeatable, .. } => *repeatable,
        }
    }
}

/// One online call.
#[derive(Debug, Clone)]
pub(crate) struct CallRequest {
    /// Its id.
    pub(crate) call: CallId,
    /// Digest of its body.
    pub(crate) digest: DigestId,
    /// Service that answers.
    pub(crate) service: ServiceId,
    /// What to do.
    pub(crate) work: Work,
    /// When its caller gives up.
    pub(crate) deadline: Time,
}

/// How a run on this host ended.
pub(crate) enum RunEnd {
    /// With an outcome to record.
    Record(Outcome),
    /// Without; a resend may run again.
    GiveUp(ApiError),
}

/// Starts a call, or joins the run of it that this host knows.
pub(crate) fn open(app: &Arc<App>, request: CallRequest) -> Result<Arc<Flight>, ApiError> {
    let attempt = app.next_attempt();
    let (flight, is_new) = app.flights.open(&request.call, &request.digest, attempt);
    if is_new {
        tokio::spawn(drive(Arc::clone(app), request, Arc::clone(&flight)));
        return Ok(flight);
    }
    if *flight.digest() != request.digest {
        return Err(mismatch());
    }
    let subject = request.call.to_string();
    let detail = "run on this host".to_owned();
    app.timeline.record(clock::now(), EventKind::Joined, subject, detail);
    Ok(flight)
}

async fn drive(app: Arc<App>, request: CallRequest, flight: Arc<Flight>) {
    let outcome = settle(&app, &request, &flight).await;
    flight.end(outcome);
    app.flights.remove(&request.call, flight.attempt());
}

/// Claims the call until it is run here or its outcome is known.
async fn settle(app: &Arc<App>, request: &CallRequest, flight: &Flight) -> Outcome {
    let mut gone = None;
    let mut joined = false;
    loop {
        let claim = Claim {
            call: request.call.clone(),
            digest: request.digest.clone(),
            runner: app.settings.host.clone(),
            attempt: flight.attempt().clone(),
            repeatable: request.work.is_repeatable(),
            gone: gone.take(),
        };
        let shard = app.shard_of(&request.call);
        match app.ask_owner(shard, ShardCall::Claim(claim)).await {
            Some(ShardReply::Run) => return run_here(app, request, flight).await,
            Some(ShardReply::Join { runner, attempt }) => {
                joined = true;
                match follow(app, request, flight, &runner, &attempt).await {
                    Some(outcome) => return outcome,
                    None => gone = Some(attempt),
                }
            }
            Some(ShardReply::Done(outcome) | ShardReply::Recorded { outcome, .. }) => {
                return outcome;
            }
            Some(ShardReply::Mismatch) => return Outcome::Failed(mismatch()),
            Some(ShardReply::Unavailable { clean: true }) if !joined => {
                withdraw(app, request, flight).await;
                return Outcome::Failed(unavailable(Ran::No));
            }
            Some(ShardReply::Unavailable { .. }) | None => {
                withdraw(app, request, flight).await;
                return Outcome::Failed(unavailable(Ran::Unknown));
            }
            Some(ShardReply::Absent | ShardReply::Withdrawn | ShardReply::Buffered(_)) => {}
        }
        if clock::now() >= request.deadline {
            withdraw(app, request, flight).await;
            return Outcome::Failed(too_late(joined));
        }
    }
}

fn mismatch() -> ApiError {
    let text = "this idempotency key was used for another request";
    ApiError::not_run(ErrorCode::Conflict, text)
}

fn unavailable(ran: Ran) -> ApiError {
    let text = "the platform does not answer, and this call needs it";
    let error = ApiError { ran, ..ApiError::not_run(ErrorCode::Unavailable, text) };
    error.retry_after(PLATFORM_RETRY)
}

fn too_late(joined: bool) -> ApiError {
    let ran = if joined { Ran::Unknown } else { Ran::No };
    let text = "the deadline passed before the call could run here";
    ApiError { ran, ..ApiError::not_run(ErrorCode::DeadlineExceeded, text) }
}

async fn run_here(app: &Arc<App>, request: &CallRequest, flight: &Flight) -> Outcome {
    match dispatch::run(app, request, flight).await {
        RunEnd::Record(outcome) => record(app, request, outcome).await,
        RunEnd::GiveUp(error) => {
            let subject = request.call.to_string();
            app.timeline.record(clock::now(), EventKind::Refused, subject, error.to_string());
            withdraw(app, request, flight).await;
            Outcome::Failed(error)
        }
    }
}

/// Records an outcome and returns the one that counts.
async fn record(app: &Arc<App>, request: &CallRequest, outcome: Outcome) -> Outcome {
    let shard = app.shard_of(&request.call);
    loop {
        let call = ShardCall::Record(request.call.clone(), request.digest.clone(), outcome.clone());
        if let Some(ShardReply::Recorded { outcome, durable }) = app.ask_owner(shard, call).await {
            let detail = if durable { "committed" } else { "copied to a second host" };
            let subject = request.call.to_string();
            app.timeline.record(clock::now(), EventKind::Recorded, subject, detail.to_owned());
            return outcome;
        }
        tokio::time::sleep(RECORD_RETRY).await;
    }
}

/// Gives the grant back, so that a resend may run the call.
async fn withdraw(app: &Arc<App>, request: &CallRequest, flight: &Flight) {
    let shard = app.shard_of(&request.call);
    let call = ShardCall::Withdraw(request.call.clone(), flight.attempt().clone());
    let app = Arc::clone(app);
    tokio::spawn(async move { app.ask_owner(shard, call).await });
}

/// Copies the news of another host's run; `None` when that run is gone.
async fn follow(
    app: &Arc<App>,
    request: &CallRequest,
    flight: &Flight,
    runner: &HostId,
    attempt: &AttemptId,
) -> Option<Outcome> {
    let subject = request.call.to_string();
    let detail = format!("run {attempt} on {runner}");
    app.timeline.record(clock::now(), EventKind::Joined, subject, detail);
    let mut failures = 0;
    while failures < FOLLOW_FAILURES {
        let link = app.hosts.lock().link_of(runner)?;
        let ask = PeerRequest::Follow {
            call: request.call.clone(),
            attempt: attempt.clone(),
            from: flight.len(),
            wait: FOLLOW_WAIT,
        };
        match app.call_peer(&link, &ask, FOLLOW_TIMEOUT).await {
            Ok(PeerAnswer::Followed(Some(followed))) => {
                failures = 0;
                for token in followed.tokens {
                    flight.push(token);
                }
                if let Progress::Ended(outcome) = followed.progress {
                    return Some(outcome);
                }
            }
            Ok(_) => return None,
            Err(_) => failures += 1,
        }
    }
    None
}
