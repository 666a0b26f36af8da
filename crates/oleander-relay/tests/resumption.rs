//! Streams that break off and go on at another target.

mod support;

use oleander_relay::RetryPolicy;

use crate::support::{FIRST, SECOND, Step, forward, route};

/// The next target answered the resumption with an end and no event, and the caller's stream ended
/// as complete without the event that the target before had begun.
#[tokio::test]
async fn a_response_that_ends_before_an_event_that_has_begun_does_not_complete_the_stream() {
    for begun in ["id: 2\nda", "id: 2\ndata: b\n", "i"] {
        let steps = vec![Step::broken(&[FIRST, begun]), Step::complete(&[])];
        let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
        assert!(summary.interrupted, "{begun:?}: {:?}", summary.attempts);
        assert_eq!(caller.text, FIRST, "{begun:?}");
    }
}

/// Before the first event there is no head yet, and the caller gets no empty stream.
#[tokio::test]
async fn an_empty_response_after_a_first_event_that_has_begun_is_no_response() {
    let steps = vec![Step::broken(&["id: 1\nda"]), Step::complete(&[])];
    let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(summary.refusal.is_some(), "{:?}", summary.attempts);
    assert_eq!(caller.status, None);
}

/// The request goes on at a third target as long as the route allows it.
#[tokio::test]
async fn an_end_that_is_not_believed_is_followed_by_another_attempt() {
    let steps =
        vec![Step::broken(&[FIRST, "id: 2"]), Step::complete(&[]), Step::complete(&[SECOND])];
    let (summary, caller, _) = forward(route(RetryPolicy::Resume, 3), steps).await;
    assert!(!summary.interrupted, "{:?}", summary.attempts);
    assert_eq!(caller.text, [FIRST, SECOND].concat());
}

/// A stream that breaks off after its last event ends with a response that has no more.
#[tokio::test]
async fn a_response_without_events_completes_a_stream_that_broke_off_between_two_events() {
    let steps = vec![Step::broken(&[FIRST]), Step::complete(&[])];
    let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(!summary.interrupted, "{:?}", summary.attempts);
    assert_eq!(caller.text, FIRST);
}
