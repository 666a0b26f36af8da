//! Runs of plain service operations.
//!
//! An operation that may not be repeated is sent at most once: only a connection that could not
//! be opened leads to another try.

use bytes::Bytes;
use oleander_core::{ApiError, ErrorCode, EventKind};
use oleander_host::clock;
use oleander_ledger::Outcome;
use oleander_routing::Observation;
use oleander_target::{Answer, Connection, TargetError};

use super::{Tries, chat::rejected, failure};
use crate::{call::RunEnd, pool::Granted};

/// Runs an operation until it is answered or must not be tried again.
pub(super) async fn run(
    tries: &mut Tries<'_>,
    path: &str,
    body: &Bytes,
    repeatable: bool,
) -> RunEnd {
    loop {
        let mut granted = match tries.next(None).await {
            Ok(granted) => granted,
            Err(error) => return RunEnd::GiveUp(error),
        };
        match send(tries, &granted, path, body, repeatable).await {
            Ok(answer) => {
                granted.observe(Observation::Done);
                tries.event(EventKind::FirstOutput, format!("target {}", granted.target));
                return RunEnd::Record(answered(&answer));
            }
            Err(error) => {
                granted.observe(Observation::Failed(failure(&error)));
                if let Some(end) = end_after(&error, repeatable) {
                    tries.event(EventKind::TargetFailed, error.to_string());
                    return end;
                }
                tries.fail(&granted.target, &error);
            }
        }
    }
}

async fn send(
    tries: &Tries<'_>,
    granted: &Granted,
    path: &str,
    body: &Bytes,
    repeatable: bool,
) -> Result<Answer, TargetError> {
    let connection = if repeatable { Connection::Pooled } else { Connection::Fresh };
    let id = tries.target_request_id();
    let call = tries.app.targets.call(&granted.address, path, &id, body.clone(), connection);
    let remaining = tries.request.deadline.since(clock::now()).to_duration();
    tokio::time::timeout(remaining, call).await.unwrap_or(Err(TargetError::Silent))
}

fn answered(answer: &Answer) -> Outcome {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Outcome::Answer { status: answer.status, body }
}

/// How the call ends after an error; `None` if another target may be tried.
fn end_after(error: &TargetError, repeatable: bool) -> Option<RunEnd> {
    if error.is_request_fault() {
        return Some(RunEnd::Record(rejected(error)));
    }
    if repeatable || !error.may_have_run() {
        return None;
    }
    let outcome = match error {
        TargetError::Status(..) => {
            Outcome::Failed(ApiError::unknown(ErrorCode::TargetFailed, error.to_string()))
        }
        _ => Outcome::Unknown,
    };
    Some(RunEnd::Record(outcome))
}
