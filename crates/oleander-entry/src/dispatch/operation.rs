//! Dispatch of operations of plain services.
//!
//! An operation that is not repeatable is sent at most once: another target is tried only if the
//! connection to the first one could not be opened.

use bytes::Bytes;
use oleander_core::{ApiError, ErrorCode, EventKind};
use oleander_host::clock;
use oleander_ledger::Outcome;
use oleander_routing::Observation;
use oleander_target::{ConnectionMode, TargetError, TargetResponse};

use super::{Dispatcher, chat::rejected_outcome, check_target, routing_failure};
use crate::{call::RunResult, pool::TargetLease};

/// Runs an operation until a target responds or the operation must not be sent again.
pub(super) async fn run(
    dispatcher: &mut Dispatcher<'_>,
    path: &str,
    body: &Bytes,
    repeatable: bool,
) -> RunResult {
    loop {
        let mut lease = match dispatcher.acquire_target(None).await {
            Ok(lease) => lease,
            Err(error) => return RunResult::Error(error),
        };
        match send(dispatcher, &lease, path, body, repeatable).await {
            Ok(response) => {
                lease.observe(Observation::Done);
                dispatcher.record_event(EventKind::FirstOutput, format!("target {}", lease.target));
                return RunResult::Outcome(response_outcome(&response));
            }
            Err(error) => {
                lease.observe(Observation::Failed(routing_failure(&error)));
                if let Some(result) = final_result(&error, repeatable) {
                    dispatcher.record_event(EventKind::TargetFailed, error.to_string());
                    check_target(lease, error);
                    return result;
                }
                dispatcher.record_failure(lease, error).await;
            }
        }
    }
}

async fn send(
    dispatcher: &Dispatcher<'_>,
    lease: &TargetLease,
    path: &str,
    body: &Bytes,
    repeatable: bool,
) -> Result<TargetResponse, TargetError> {
    let connection = if repeatable { ConnectionMode::Pooled } else { ConnectionMode::Dedicated };
    let id = dispatcher.target_request_id();
    let call = dispatcher.app.targets.call(&lease.address, path, &id, body.clone(), connection);
    let remaining = dispatcher.request.deadline.since(clock::now()).to_duration();
    tokio::time::timeout(remaining, call).await.unwrap_or(Err(TargetError::Timeout))
}

fn response_outcome(response: &TargetResponse) -> Outcome {
    let body = String::from_utf8_lossy(&response.body).into_owned();
    Outcome::Answer { status: response.status, body }
}

/// The result of the call after an error; `None` if another target may be tried.
fn final_result(error: &TargetError, repeatable: bool) -> Option<RunResult> {
    if error.is_request_fault() {
        return Some(RunResult::Outcome(rejected_outcome(error)));
    }
    if repeatable || !error.may_have_run() {
        return None;
    }
    let outcome = match error {
        TargetError::Status(..) => {
            Outcome::Failed(ApiError::may_have_run(ErrorCode::TargetFailed, error.to_string()))
        }
        _ => Outcome::Unknown,
    };
    Some(RunResult::Outcome(outcome))
}
