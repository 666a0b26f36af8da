//! Execution of an online call on this host.
//!
//! A call is claimed at the owner of its shard. The host that the call is granted to runs it. Any
//! other host follows that run, and claims the call again if that run is lost.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_core::{
    ApiError, AttemptId, CallId, DigestId, ErrorCode, EventKind, HostId, Ran, ServiceId, Span,
    Time, hash,
};
use oleander_host::clock;
use oleander_ledger::{Claim, Outcome, ShardReply};
use oleander_peer::{PeerRequest, PeerResponse, RunState, ShardRequest};
use oleander_quarantine::RequestParts;

use crate::{active_run::ActiveRun, app::App, chat::ChatBody, dispatch};

/// Time that a runner may hold a follow request while it has no new tokens.
const FOLLOW_WAIT: Span = Span::from_millis(500);
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Consecutive failed follow requests after which a runner counts as failed.
const MAX_FOLLOW_FAILURES: u32 = 2;
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// `Retry-After` of a call that needs the platform while it does not answer.
const PLATFORM_RETRY_AFTER: Span = Span::from_secs(2);

/// The request that a call sends to a target.
#[derive(Debug, Clone)]
pub(crate) enum Work {
    /// A chat completion.
    Chat(Box<ChatBody>),
    /// An operation of a plain service.
    Operation {
        /// Request path at the target.
        path: String,
        /// JSON request body.
        body: Bytes,
        /// Whether the operation may be executed more than once.
        repeatable: bool,
    },
}

impl Work {
    /// Whether the request may be executed more than once.
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
    /// Service that is called.
    pub(crate) service: ServiceId,
    /// Request to a target.
    pub(crate) work: Work,
    /// Time after which the caller no longer waits for the response.
    pub(crate) deadline: Time,
}

impl CallRequest {
    /// Parts by which a crash of its target is attributed: all messages but the last one, and the
    /// request as a whole.
    pub(crate) fn parts(&self) -> RequestParts {
        let shared = match &self.work {
            Work::Chat(body) => body.shared_messages(),
            Work::Operation { .. } => Vec::new(),
        };
        RequestParts::new(shared, hash::hash_parts(&[self.service.as_str(), self.digest.as_str()]))
    }
}

/// Result of a run on this host.
pub(crate) enum RunResult {
    /// An outcome to record.
    Outcome(Outcome),
    /// No outcome; the claim is withdrawn, so that a retry by the caller may run again.
    Error(ApiError),
}

/// Starts a call, or joins its active run on this host.
///
/// # Errors
///
/// Fails if the active run belongs to another request body.
pub(crate) fn start_or_join(
    app: &Arc<App>,
    request: CallRequest,
) -> Result<Arc<ActiveRun>, ApiError> {
    let attempt = app.next_attempt();
    let (run, is_new) = app.runs.get_or_insert(&request.call, &request.digest, attempt);
    if is_new {
        tokio::spawn(run_call(Arc::clone(app), request, Arc::clone(&run)));
        return Ok(run);
    }
    if *run.digest() != request.digest {
        return Err(mismatch());
    }
    let subject = request.call.to_string();
    let detail = "run on this host".to_owned();
    app.timeline.record(clock::now(), EventKind::Joined, subject, detail);
    Ok(run)
}

async fn run_call(app: Arc<App>, request: CallRequest, run: Arc<ActiveRun>) {
    let outcome = resolve(&app, &request, &run).await;
    run.end(outcome);
    app.runs.remove(&request.call, run.attempt());
}

/// Claims the call until it has run here or its outcome is known.
async fn resolve(app: &Arc<App>, request: &CallRequest, run: &ActiveRun) -> Outcome {
    let mut lost_attempt = None;
    let mut joined = false;
    loop {
        let claim = Claim {
            call: request.call.clone(),
            digest: request.digest.clone(),
            runner: app.settings.host.clone(),
            attempt: run.attempt().clone(),
            repeatable: request.work.is_repeatable(),
            lost_attempt: lost_attempt.take(),
        };
        let shard = app.shard_of(&request.call);
        match app.ask_owner(shard, ShardRequest::Claim(claim)).await {
            Some(ShardReply::Run) => return run_locally(app, request, run).await,
            Some(ShardReply::Join { runner, attempt }) => {
                joined = true;
                match follow(app, request, run, &runner, &attempt).await {
                    Some(outcome) => return outcome,
                    None => lost_attempt = Some(attempt),
                }
            }
            Some(ShardReply::Done(outcome) | ShardReply::Recorded { outcome, .. }) => {
                return outcome;
            }
            Some(ShardReply::Mismatch) => return Outcome::Failed(mismatch()),
            Some(ShardReply::Unavailable { unsent: true }) if !joined => {
                withdraw(app, request, run).await;
                return Outcome::Failed(unavailable(Ran::No));
            }
            Some(ShardReply::Unavailable { .. }) | None => {
                withdraw(app, request, run).await;
                return Outcome::Failed(unavailable(Ran::Unknown));
            }
            Some(ShardReply::Absent | ShardReply::Withdrawn | ShardReply::Buffered(_)) => {}
        }
        if clock::now() >= request.deadline {
            withdraw(app, request, run).await;
            return Outcome::Failed(deadline_exceeded(joined));
        }
    }
}

fn mismatch() -> ApiError {
    let text = "this idempotency key was used with another request body";
    ApiError::not_run(ErrorCode::Conflict, text)
}

fn unavailable(ran: Ran) -> ApiError {
    let text = "the call needs the platform, which does not answer";
    let error = ApiError { ran, ..ApiError::not_run(ErrorCode::Unavailable, text) };
    error.retry_after(PLATFORM_RETRY_AFTER)
}

fn deadline_exceeded(joined: bool) -> ApiError {
    let ran = if joined { Ran::Unknown } else { Ran::No };
    let text = "the deadline passed before the call could start on this host";
    ApiError { ran, ..ApiError::not_run(ErrorCode::DeadlineExceeded, text) }
}

async fn run_locally(app: &Arc<App>, request: &CallRequest, run: &ActiveRun) -> Outcome {
    match dispatch::dispatch(app, request, run).await {
        RunResult::Outcome(outcome) => record(app, request, outcome).await,
        RunResult::Error(error) => {
            let subject = request.call.to_string();
            app.timeline.record(clock::now(), EventKind::Refused, subject, error.to_string());
            withdraw(app, request, run).await;
            Outcome::Failed(error)
        }
    }
}

/// Records an outcome at the owner and returns the authoritative one.
async fn record(app: &Arc<App>, request: &CallRequest, outcome: Outcome) -> Outcome {
    let shard = app.shard_of(&request.call);
    loop {
        let call =
            ShardRequest::Record(request.call.clone(), request.digest.clone(), outcome.clone());
        if let Some(ShardReply::Recorded { outcome, durable }) = app.ask_owner(shard, call).await {
            let detail = if durable { "committed" } else { "copied to a second host" };
            let subject = request.call.to_string();
            app.timeline.record(clock::now(), EventKind::Recorded, subject, detail.to_owned());
            return outcome;
        }
        tokio::time::sleep(RECORD_RETRY_INTERVAL).await;
    }
}

/// Withdraws the claim in the background, so that a retry by the caller may run the call.
async fn withdraw(app: &Arc<App>, request: &CallRequest, run: &ActiveRun) {
    let shard = app.shard_of(&request.call);
    let call = ShardRequest::Withdraw(request.call.clone(), run.attempt().clone());
    let app = Arc::clone(app);
    tokio::spawn(async move { app.ask_owner(shard, call).await });
}

/// Copies the tokens of a run on another host and returns its outcome; `None` if the run is lost.
async fn follow(
    app: &Arc<App>,
    request: &CallRequest,
    run: &ActiveRun,
    runner: &HostId,
    attempt: &AttemptId,
) -> Option<Outcome> {
    let subject = request.call.to_string();
    let detail = format!("run {attempt} on {runner}");
    app.timeline.record(clock::now(), EventKind::Joined, subject, detail);
    let mut failures = 0;
    while failures < MAX_FOLLOW_FAILURES {
        let link = app.hosts.lock().link_of(runner)?;
        let follow = PeerRequest::Follow {
            call: request.call.clone(),
            attempt: attempt.clone(),
            from: run.token_count(),
            wait: FOLLOW_WAIT,
        };
        match app.call_peer(&link, &follow, FOLLOW_TIMEOUT).await {
            Ok(PeerResponse::Followed(Some(followed))) => {
                failures = 0;
                for token in followed.tokens {
                    run.push(token);
                }
                if let RunState::Ended(outcome) = followed.state {
                    return Some(outcome);
                }
            }
            Ok(_) => return None,
            Err(_) => failures += 1,
        }
    }
    None
}
