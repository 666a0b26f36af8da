//! Forwarding through targets whose responses are scripted.
//!
//! A stream that a first target interrupts has sent its head and some events to the caller. What
//! the next target responds must then either continue the stream or abort it: an error body that
//! follows the events, or an end without the last events, would reach the caller as a complete
//! response.

mod support;

use std::time::{Duration, Instant};

use http::StatusCode;
use oleander_relay::{RefusalReason, RetryPolicy, RouteKind, batch_pick};

use crate::support::{FIRST, SECOND, Step, forward, pools, route, service};

#[tokio::test]
async fn an_interrupted_stream_continues_at_another_target() {
    let steps = vec![Step::broken(&[FIRST, "id: 2\nda"]), Step::complete(&[SECOND])];
    let (summary, caller, dispatches) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(!summary.interrupted && summary.refusal.is_none(), "{summary:?}");
    assert_eq!(caller.text, format!("{FIRST}{SECOND}"));
    assert_eq!(dispatches[1].resume_after, Some(1));
    assert_ne!(dispatches[0].target.id, dispatches[1].target.id);
}

/// Guards against bytes of a target in trouble that reach a caller before the whole stream of
/// another target.
#[tokio::test]
async fn a_stream_whose_target_sends_no_events_continues_at_another_target() {
    let unsound = ["\u{1}x\n\ny", "data: x\n\n", "id: 5\ndata: x\n\n"];
    for garbage in unsound {
        for sound in [&[][..], &[FIRST]] {
            let first = Step::drip(&[sound, &[garbage]].concat());
            let rest = if sound.is_empty() { &[FIRST, SECOND][..] } else { &[SECOND] };
            let steps = vec![first, Step::complete(rest)];
            let (summary, caller, dispatches) = forward(route(RetryPolicy::Resume, 2), steps).await;
            assert!(!summary.interrupted, "{garbage:?}: {summary:?}");
            assert_eq!(caller.text, format!("{FIRST}{SECOND}"), "{garbage:?}");
            let resumed = (!sound.is_empty()).then_some(1);
            assert_eq!(dispatches[1].resume_after, resumed, "{garbage:?}");
        }
    }
}

/// Guards against a target that holds a stream by a byte now and then: only complete events count as
/// progress.
#[tokio::test]
async fn a_stream_that_drips_without_events_continues_at_another_target() {
    let steps = vec![Step::drip(&[FIRST]), Step::complete(&[SECOND])];
    let started = Instant::now();
    let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(!summary.interrupted, "{summary:?}");
    assert_eq!(caller.text, format!("{FIRST}{SECOND}"));
    assert!(started.elapsed() < Duration::from_secs(1), "after {:?}", started.elapsed());
}

/// Without the check, the caller received the first event, then the error body, and the end of a
/// complete response.
#[tokio::test]
async fn an_error_after_the_first_events_aborts_the_stream() {
    for status in [500, 504, 422] {
        let steps = vec![Step::broken(&[FIRST]), Step::error(status, "failed")];
        let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
        assert!(summary.interrupted, "{status}: {summary:?}");
        assert_eq!((caller.status, caller.text.as_str()), (Some(StatusCode::OK), FIRST));
    }
}

#[tokio::test]
async fn a_refusal_after_the_first_events_aborts_the_stream() {
    let steps = vec![Step::broken(&[FIRST]), Step::not_run(), Step::not_run()];
    let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(summary.interrupted, "{summary:?}");
    assert_eq!(caller.text, FIRST);
}

#[tokio::test]
async fn an_error_before_any_event_is_forwarded() {
    let steps = vec![Step::error(500, "failed")];
    let (summary, caller, _) = forward(route(RetryPolicy::Never, 1), steps).await;
    assert!(!summary.interrupted && summary.refusal.is_none(), "{summary:?}");
    assert_eq!(caller.status, Some(StatusCode::INTERNAL_SERVER_ERROR));
    assert_eq!(caller.text, "failed");
}

#[tokio::test]
async fn a_single_response_whose_connection_ends_before_the_first_byte_is_not_complete() {
    let mut always = route(RetryPolicy::Always, 2);
    always.kind = RouteKind::Single;
    let steps = vec![Step::closed(&[]), Step::closed(&["whole"])];
    let (summary, caller, dispatches) = forward(always, steps).await;
    assert_eq!((caller.text.as_str(), dispatches.len()), ("whole", 2), "{summary:?}");

    let mut never = route(RetryPolicy::Never, 1);
    never.kind = RouteKind::Single;
    let (summary, caller, _) = forward(never, vec![Step::closed(&[])]).await;
    let reason = summary.refusal.map(|refusal| refusal.reason);
    assert_eq!((reason, caller.status), (Some(RefusalReason::ResponseLost), None), "{summary:?}");
}

/// With one of eight slots kept free for online requests, an eighth of the fleet stood idle between
/// bursts while items waited.
#[tokio::test]
async fn batch_items_take_every_slot_of_an_idle_target() {
    let pool = pools(1).get(&service()).expect("pool");
    let mut leases = Vec::new();
    let end = Instant::now() + Duration::from_secs(5);
    while leases.len() < 8 && Instant::now() < end {
        leases.extend(pool.try_acquire_batch(&batch_pick(Vec::new(), false)));
        // Starts at one target are spread out.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(leases.len(), 8);
}
