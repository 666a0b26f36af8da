//! Dispatch of chat completions; after a failure the stream is resumed at another target.

use bytes::Bytes;
use oleander_core::{ApiError, ErrorCode, EventKind, Tokens};
use oleander_host::clock;
use oleander_ledger::Outcome;
use oleander_routing::Observation;
use oleander_target::{ChatEvent, TargetError, Usage, streaming_body};
use serde_json::json;

use super::{Dispatcher, routing_failure};
use crate::{
    active_run::ActiveRun,
    call::RunResult,
    chat::{ChatBody, completion_json},
    pool::TargetLease,
};

/// Runs a chat completion until the response is complete, a target rejects the request, or the
/// deadline passes.
pub(super) async fn run(
    dispatcher: &mut Dispatcher<'_>,
    run: &ActiveRun,
    body: &ChatBody,
) -> RunResult {
    let prefix_hash = Some(body.prefix_hash());
    loop {
        let mut lease = match dispatcher.acquire_target(prefix_hash).await {
            Ok(lease) => lease,
            Err(error) => return RunResult::Error(error),
        };
        if run.token_count() > 0 {
            dispatcher
                .record_event(EventKind::Resumed, format!("from token {}", run.token_count()));
        }
        let remaining = dispatcher.request.deadline.since(clock::now()).to_duration();
        let id = dispatcher.target_request_id();
        let stream = read_stream(dispatcher, run, body, &mut lease, &id);
        match tokio::time::timeout(remaining, stream).await {
            Ok(Ok((finish, usage))) => {
                lease.observe(Observation::Done);
                return RunResult::Outcome(response_outcome(dispatcher, run, body, &finish, usage));
            }
            Ok(Err(error)) => {
                lease.observe(Observation::Failed(routing_failure(&error)));
                cancel_at_target(dispatcher, &lease, &id);
                if error.is_request_fault() {
                    return RunResult::Outcome(rejected_outcome(&error));
                }
                dispatcher.record_failure(lease, error).await;
            }
            Err(_) => {
                cancel_at_target(dispatcher, &lease, &id);
                let text = "the deadline passed before the response was complete";
                return RunResult::Error(ApiError::may_have_run(ErrorCode::DeadlineExceeded, text));
            }
        }
    }
}

/// Streams the remaining tokens from a target into the run.
async fn read_stream(
    dispatcher: &Dispatcher<'_>,
    run: &ActiveRun,
    body: &ChatBody,
    lease: &mut TargetLease,
    id: &str,
) -> Result<(String, Usage), TargetError> {
    let skip = run.token_count();
    let json = streaming_body(&body.to_json(), skip).unwrap_or_else(|_| Bytes::new());
    let mut stream = dispatcher.app.targets.chat(&lease.address, id, json, skip).await?;
    let mut first = true;
    loop {
        match stream.next().await? {
            ChatEvent::Token(token) => {
                if first {
                    lease.observe(Observation::FirstOutput);
                    dispatcher
                        .record_event(EventKind::FirstOutput, format!("target {}", lease.target));
                    first = false;
                } else {
                    lease.observe(Observation::Output { tokens: Tokens(1) });
                }
                run.push(token);
            }
            ChatEvent::End { finish_reason, usage } => return Ok((finish_reason, usage)),
        }
    }
}

fn response_outcome(
    dispatcher: &Dispatcher<'_>,
    run: &ActiveRun,
    body: &ChatBody,
    finish_reason: &str,
    usage: Usage,
) -> Outcome {
    let tokens = run.token_count();
    let usage = json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": usage.prompt_tokens + tokens,
    });
    let id = &dispatcher.request.call.request;
    let body = completion_json(id, &body.model, &run.text(), finish_reason, usage);
    Outcome::Answer { status: 200, body }
}

/// The outcome of a request that the target rejected as invalid.
pub(super) fn rejected_outcome(error: &TargetError) -> Outcome {
    Outcome::Failed(ApiError::ran(ErrorCode::TargetFailed, error.to_string()))
}

/// Cancels the request at the target in the background.
fn cancel_at_target(dispatcher: &Dispatcher<'_>, lease: &TargetLease, id: &str) {
    let (targets, address, id) =
        (dispatcher.app.targets.clone(), lease.address.clone(), id.to_owned());
    tokio::spawn(async move { targets.cancel(&address, &id).await });
}
