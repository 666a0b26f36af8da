//! Responses to callers.

use axum::{
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use oleander_core::{ApiError, ErrorCode, Span, Time, api::ErrorBody};
use oleander_host::clock;
use oleander_ledger::Outcome;

use crate::active_run::ActiveRun;

/// Time after the deadline within which a run reports its own outcome.
const DEADLINE_GRACE: Span = Span::from_millis(500);

/// The response for an error, with `Retry-After` if the error has a retry time.
pub(crate) fn error_response(error: ApiError) -> Response {
    let retry_after = error.retry_after_ms.map(|millis| Span::from_millis(millis).as_secs_ceil());
    let mut response = oleander_host::admin::error_response(error);
    if let Some(secs) = retry_after {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(secs.max(1)));
    }
    response
}

/// The error for an outcome without a response.
pub(crate) fn outcome_error(outcome: Outcome) -> ApiError {
    match outcome {
        Outcome::Failed(error) => error,
        Outcome::Unknown | Outcome::Answer { .. } => {
            let text = "the call may have run; its outcome is unknown and it is not run again";
            ApiError::may_have_run(ErrorCode::OutcomeUnknown, text)
        }
    }
}

/// The response for an outcome.
pub(crate) fn outcome_response(outcome: Outcome) -> Response {
    let Outcome::Answer { status, body } = outcome else {
        return error_response(outcome_error(outcome));
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}

/// An error body as JSON.
pub(crate) fn error_json(error: ApiError) -> String {
    serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
}

/// Waits for the outcome of a run, at most until [`DEADLINE_GRACE`] after the deadline.
pub(crate) async fn wait_outcome(run: &ActiveRun, deadline: Time) -> Outcome {
    let wait = (deadline + DEADLINE_GRACE).since(clock::now()).to_duration();
    let outcome = async {
        let mut from = 0;
        loop {
            let update = run.wait(from).await;
            if let Some(outcome) = update.outcome {
                return outcome;
            }
            from += update.tokens.len() as u64;
        }
    };
    tokio::time::timeout(wait, outcome)
        .await
        .unwrap_or_else(|_| Outcome::Failed(deadline_exceeded()))
}

/// The error of a call that has not ended before its deadline.
pub(crate) fn deadline_exceeded() -> ApiError {
    let text = "the deadline passed before the response was complete";
    ApiError::may_have_run(ErrorCode::DeadlineExceeded, text)
}
