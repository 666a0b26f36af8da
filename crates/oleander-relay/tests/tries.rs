//! What follows a failed attempt, and the truth of the final answer.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::{Span, TargetId};
use oleander_relay::{Ended, Head, Repeat, Route, RouteKind, Step, Tries, Verdict};

fn route(repeat: Repeat, attempts: u32) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream,
        repeat,
        timeout: Span::from_secs(5),
        goal: Span::from_millis(300),
        pause: Span::from_millis(300),
        priority: 0,
        attempts,
        shares: Vec::new(),
    }
}

fn target(number: u32) -> TargetId {
    format!("engine-{number}").parse().expect("name of a target")
}

fn head(status: StatusCode) -> Head {
    Head { status, headers: HeaderMap::new() }
}

fn broken(head_out: bool) -> Ended {
    Ended::Broken { reason: "reset".to_owned(), head_out }
}

fn not_run() -> Ended {
    Ended::NotRun(head(StatusCode::SERVICE_UNAVAILABLE))
}

/// Plays attempts until something else than another one follows.
fn play(route: &Route, ends: Vec<Ended>) -> (Step, u32) {
    let mut tries = Tries::new(route);
    for (number, ended) in ends.into_iter().enumerate() {
        let before = tries.may_have_run();
        tries.begin();
        match tries.end(&target(number as u32), before, ended) {
            Step::Again => {}
            step => return (step, tries.sent()),
        }
    }
    panic!("another attempt is wanted")
}

fn verdict(step: &Step) -> Option<Verdict> {
    match step {
        Step::Refuse(refusal) => Some(refusal.verdict),
        _ => None,
    }
}

#[test]
fn a_request_that_may_run_once_is_not_sent_again_after_a_lost_answer() {
    let (step, sent) = play(&route(Repeat::Never, 3), vec![broken(false)]);
    assert_eq!((verdict(&step), sent), (Some(Verdict::Lost), 1));
}

#[test]
fn a_refusal_by_all_targets_says_that_nothing_has_run() {
    let (step, sent) = play(&route(Repeat::Never, 2), vec![not_run(), not_run()]);
    assert_eq!((verdict(&step), sent), (Some(Verdict::NotRun), 2));
    let Step::Refuse(refusal) = step else { panic!("refused") };
    assert!(refusal.retry_after.is_some(), "with the time to come back");
}

#[test]
fn a_refusal_after_a_lost_answer_does_not_say_that_nothing_has_run() {
    let ends = vec![broken(false), not_run()];
    let (step, _) = play(&route(Repeat::Resume, 2), ends);
    assert_eq!(verdict(&step), Some(Verdict::Lost));
}

#[test]
fn a_failed_connect_is_no_attempt() {
    let ends = vec![
        Ended::NotSent("refused".to_owned()),
        Ended::NotSent("refused".to_owned()),
        Ended::Complete,
    ];
    let (step, sent) = play(&route(Repeat::Never, 1), ends);
    assert!(matches!(step, Step::Done));
    assert_eq!(sent, 0);
}

#[test]
fn a_failure_that_a_target_made_is_passed_on_once_no_other_may_be_tried() {
    let failed = || Ended::Failed(head(StatusCode::INTERNAL_SERVER_ERROR), Bytes::new());
    let (step, sent) = play(&route(Repeat::Always, 2), vec![failed(), failed()]);
    assert!(matches!(step, Step::PassOn(..)));
    assert_eq!(sent, 2);
    let (step, sent) = play(&route(Repeat::Never, 2), vec![failed()]);
    assert!(matches!(step, Step::PassOn(..)));
    assert_eq!(sent, 1);
}

#[test]
fn a_stream_that_broke_off_for_good_is_not_ended_as_complete() {
    let (step, _) = play(&route(Repeat::Resume, 2), vec![broken(true), broken(true)]);
    assert!(matches!(step, Step::BreakOff));
}
