//! What follows a failed attempt, and the truth of the final answer.

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

fn broken(head_sent: bool) -> AttemptOutcome {
    AttemptOutcome::Interrupted { reason: "reset".to_owned(), head_sent }
}

fn not_run() -> AttemptOutcome {
    AttemptOutcome::NotRun(head(StatusCode::SERVICE_UNAVAILABLE))
}

/// Plays attempts until something else than another one follows.
fn play(route: &Route, ends: Vec<AttemptOutcome>) -> (NextStep, u32) {
    let mut tries = RetryState::new(route);
    for (number, ended) in ends.into_iter().enumerate() {
        let before = tries.may_have_run();
        tries.begin();
        match tries.end(&target(number as u32), before, ended) {
            NextStep::Retry => {}
            step => return (step, tries.sent()),
        }
    }
    panic!("another attempt is wanted")
}

fn verdict(step: &NextStep) -> Option<RefusalReason> {
    match step {
        NextStep::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

#[test]
fn a_request_that_may_run_once_is_not_sent_again_after_a_lost_answer() {
    let (step, sent) = play(&route(RetryPolicy::Never, 3), vec![broken(false)]);
    assert_eq!((verdict(&step), sent), (Some(RefusalReason::ResponseLost), 1));
}

#[test]
fn a_refusal_by_all_targets_says_that_nothing_has_run() {
    let (step, sent) = play(&route(RetryPolicy::Never, 2), vec![not_run(), not_run()]);
    assert_eq!((verdict(&step), sent), (Some(RefusalReason::NotRun), 2));
    let NextStep::Refuse(refusal) = step else { panic!("refused") };
    assert!(refusal.retry_after.is_some(), "with the time to come back");
}

#[test]
fn a_refusal_after_a_lost_answer_does_not_say_that_nothing_has_run() {
    let ends = vec![broken(false), not_run()];
    let (step, _) = play(&route(RetryPolicy::Resume, 2), ends);
    assert_eq!(verdict(&step), Some(RefusalReason::ResponseLost));
}

#[test]
fn a_failed_connect_is_no_attempt() {
    let ends = vec![
        AttemptOutcome::NotSent("refused".to_owned()),
        AttemptOutcome::NotSent("refused".to_owned()),
        AttemptOutcome::Complete,
    ];
    let (step, sent) = play(&route(RetryPolicy::Never, 1), ends);
    assert!(matches!(step, NextStep::Done));
    assert_eq!(sent, 0);
}

#[test]
fn a_failure_that_a_target_made_is_passed_on_once_no_other_may_be_tried() {
    let failed = || AttemptOutcome::Failed(head(StatusCode::INTERNAL_SERVER_ERROR), Bytes::new());
    let (step, sent) = play(&route(RetryPolicy::Always, 2), vec![failed(), failed()]);
    assert!(matches!(step, NextStep::Forward(..)));
    assert_eq!(sent, 2);
    let (step, sent) = play(&route(RetryPolicy::Never, 2), vec![failed()]);
    assert!(matches!(step, NextStep::Forward(..)));
    assert_eq!(sent, 1);
}

#[test]
fn a_stream_that_broke_off_for_good_is_not_ended_as_complete() {
    let (step, _) = play(&route(RetryPolicy::Resume, 2), vec![broken(true), broken(true)]);
    assert!(matches!(step, NextStep::Abort));
}
