//! Retry decisions, and the correctness of the final response.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::{Span, TargetId};
use oleander_relay::{
    AttemptOutcome, NextStep, RefusalReason, ResponseHead, RetryPolicy, RetryState, Route,
    RouteKind,
};

fn route(retry: RetryPolicy, attempts: u32) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream,
        retry,
        timeout: Span::from_secs(5),
        latency_goal: Span::from_millis(300),
        max_pause: Span::from_millis(300),
        caller_timeout: None,
        priority: 0,
        max_attempts: attempts,
        shares: Vec::new(),
    }
}

fn target(number: u32) -> TargetId {
    format!("engine-{number}").parse().expect("name of a target")
}

fn head(status: StatusCode) -> ResponseHead {
    ResponseHead { status, headers: HeaderMap::new() }
}

fn interrupted(head_sent: bool) -> AttemptOutcome {
    AttemptOutcome::Interrupted { reason: "reset".to_owned(), head_sent }
}

fn not_run() -> AttemptOutcome {
    AttemptOutcome::NotRun(head(StatusCode::SERVICE_UNAVAILABLE))
}

/// Runs attempts with the given outcomes until no retry follows.
fn run(route: &Route, outcomes: Vec<AttemptOutcome>) -> (NextStep, u32) {
    let mut state = RetryState::new(route);
    for (number, outcome) in outcomes.into_iter().enumerate() {
        let ran_before = state.may_have_run();
        state.begin();
        match state.end(&target(number as u32), ran_before, outcome) {
            NextStep::Retry => {}
            step => return (step, state.sent()),
        }
    }
    panic!("a retry is due after the last outcome")
}

fn refusal_reason(step: &NextStep) -> Option<RefusalReason> {
    match step {
        NextStep::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_request_that_may_run_once_is_not_retried_after_a_lost_response() {
    let (step, sent) = run(&route(RetryPolicy::Never, 3), vec![interrupted(false)]);
    assert_eq!((refusal_reason(&step), sent), (Some(RefusalReason::ResponseLost), 1));
}

#[test]
fn a_refusal_by_all_targets_is_reported_as_not_run() {
    let (step, sent) = run(&route(RetryPolicy::Never, 2), vec![not_run(), not_run()]);
    assert_eq!((refusal_reason(&step), sent), (Some(RefusalReason::NotRun), 2));
    let NextStep::Refuse(refusal) = step else { panic!("refused") };
    assert!(refusal.retry_after.is_some(), "a retry-after time is given");
}

#[test]
fn a_refusal_after_a_lost_response_is_not_reported_as_not_run() {
    let outcomes = vec![interrupted(false), not_run()];
    let (step, _) = run(&route(RetryPolicy::Resume, 2), outcomes);
    assert_eq!(refusal_reason(&step), Some(RefusalReason::ResponseLost));
}

#[test]
fn a_request_that_ran_at_another_target_beside_is_not_reported_as_not_run() {
    let failed = AttemptOutcome::Failed(head(StatusCode::INTERNAL_SERVER_ERROR), Bytes::new());
    for (beside, reason) in [
        (failed, RefusalReason::ResponseLost),
        (interrupted(false), RefusalReason::ResponseLost),
        (AttemptOutcome::Cancelled, RefusalReason::ResponseLost),
        (not_run(), RefusalReason::NotRun),
    ] {
        let mut state = RetryState::new(&route(RetryPolicy::Resume, 2));
        state.begin();
        state.record_rejected(&target(2), &beside);
        let step = state.end(&target(1), false, not_run());
        assert_eq!(refusal_reason(&step), Some(reason), "{beside}");
    }
}

#[test]
fn a_failed_connection_does_not_count_as_an_attempt() {
    let outcomes = vec![
        AttemptOutcome::NotSent("refused".to_owned()),
        AttemptOutcome::NotSent("refused".to_owned()),
        AttemptOutcome::Complete,
    ];
    let (step, sent) = run(&route(RetryPolicy::Never, 1), outcomes);
    assert!(matches!(step, NextStep::Done));
    assert_eq!(sent, 0);
}

#[test]
fn an_error_response_is_forwarded_when_no_attempts_are_left() {
    let failed = || AttemptOutcome::Failed(head(StatusCode::INTERNAL_SERVER_ERROR), Bytes::new());
    let (step, sent) = run(&route(RetryPolicy::Always, 2), vec![failed(), failed()]);
    assert!(matches!(step, NextStep::Forward(..)));
    assert_eq!(sent, 2);
    let (step, sent) = run(&route(RetryPolicy::Never, 2), vec![failed()]);
    assert!(matches!(step, NextStep::Forward(..)));
    assert_eq!(sent, 1);
}

#[test]
fn a_stream_interrupted_after_the_last_attempt_is_aborted() {
    let (step, _) = run(&route(RetryPolicy::Resume, 2), vec![interrupted(true), interrupted(true)]);
    assert!(matches!(step, NextStep::Abort));
}
