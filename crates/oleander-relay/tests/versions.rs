//! Streams of services whose targets run several versions of their software.
//!
//! A stream goes on only at the version that began it, within one response and over the tries of
//! its caller.

mod support;

use std::{sync::Arc, time::Duration};

use oleander_core::Span;
use oleander_host::clock;
use oleander_relay::{Pools, RefusalReason, Request, RetryPolicy, Route, TargetEntry};
use tokio::time::sleep;

use crate::support::{
    FIRST, Forwarded, SECOND, Step, forward_for_host, forward_request, forward_to, pools_of,
    request, resuming, route, target_of,
};

/// The versions to which a request was sent, in order.
fn versions(forwarded: &Forwarded) -> Vec<String> {
    let dispatches = forwarded.script.dispatches.lock();
    dispatches.iter().map(|dispatch| dispatch.target.version.to_string()).collect()
}

/// Interrupts a stream after its first event in each way, with targets of one version and another.
async fn interrupted_streams(numbers: &[(u16, &str)]) -> Vec<Forwarded> {
    let mut all = Vec::new();
    for first in [Step::broken(&[FIRST]), Step::silent(&[FIRST]), Step::drip(&[FIRST])] {
        let targets = numbers.iter().map(|(number, version)| target_of(*number, version));
        let steps = vec![first, Step::complete(&[SECOND])];
        let route = Route { timeout: Span::from_secs(1), ..route(RetryPolicy::Resume, 2) };
        all.push(forward_to(pools_of(targets.collect()), route, steps).await);
    }
    all
}

#[tokio::test]
async fn an_interrupted_stream_goes_on_at_its_own_version() {
    let targets = [(1, "v1"), (2, "v2"), (3, "v3"), (4, "v1"), (5, "v2"), (6, "v3")];
    for _ in 0..3 {
        for forwarded in interrupted_streams(&targets).await {
            let versions = versions(&forwarded);
            assert_eq!(versions[0], versions[1], "{:?}", forwarded.summary);
            assert_eq!(forwarded.caller.text, format!("{FIRST}{SECOND}"));
        }
    }
}

#[tokio::test]
async fn an_interrupted_stream_does_not_go_on_at_another_version() {
    for forwarded in interrupted_streams(&[(1, "v1"), (2, "v2")]).await {
        let versions = versions(&forwarded);
        let first = &versions[0];
        assert!(versions.iter().all(|version| version == first), "{:?}", forwarded.summary);
    }
}

#[tokio::test]
async fn a_resumed_stream_of_an_unknown_version_is_refused_at_once() {
    let pools = pools_of(vec![target_of(1, "v1"), target_of(2, "v2")]);
    let steps = vec![Step::complete(&[SECOND])];
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_request(pools, resuming("request-1"), route, steps).await;
    let refusal = forwarded.summary.refusal.expect("refused");
    assert_eq!(refusal.reason, RefusalReason::NotRun, "{:?}", forwarded.summary);
    assert!(versions(&forwarded).is_empty(), "{:?}", forwarded.summary);
}

#[tokio::test]
async fn a_resumed_stream_goes_on_at_the_version_that_began_it() {
    let targets = [(1, "v1"), (2, "v2"), (3, "v3"), (4, "v1"), (5, "v2"), (6, "v3")];
    for _ in 0..6 {
        let targets = targets.iter().map(|(number, version)| target_of(*number, version));
        let pools = pools_of(targets.collect());
        let route = route(RetryPolicy::Resume, 1);
        let first = forward_to(pools.clone(), route.clone(), vec![Step::broken(&[FIRST])]).await;
        assert!(first.summary.interrupted, "{:?}", first.summary);
        let steps = vec![Step::complete(&[SECOND])];
        let second = forward_request(pools, resuming("request-1"), route, steps).await;
        assert_eq!(versions(&first), versions(&second), "{:?}", second.summary);
        assert_eq!(second.caller.text, SECOND);
    }
}

#[tokio::test]
async fn a_caller_that_does_not_name_its_first_attempt_gets_the_version_of_its_request() {
    let targets = [(1, "v1"), (2, "v2"), (3, "v1"), (4, "v2")];
    let targets = targets.iter().map(|(number, version)| target_of(*number, version));
    let pools = pools_of(targets.collect());
    let route = route(RetryPolicy::Resume, 1);
    let first = forward_to(pools.clone(), route.clone(), vec![Step::broken(&[FIRST])]).await;
    let mut request = Request::clone(&resuming("request-1"));
    request.resumes = None;
    let steps = vec![Step::complete(&[SECOND])];
    let second = forward_request(pools, Arc::new(request), route, steps).await;
    assert_eq!(versions(&first), versions(&second), "{:?}", second.summary);
    assert_eq!(second.caller.text, SECOND);
}

/// The versions with which streams are to be saved.
fn saved(pools: &Pools) -> Vec<String> {
    pools.streams.take_begun().into_iter().map(|begun| begun.version.to_string()).collect()
}

/// Guards against a stream that is saved with the version of an attempt that sent nothing.
#[tokio::test]
async fn a_stream_is_saved_with_the_version_of_its_events() {
    for first in [Step::broken(&[]), Step::silent(&[])] {
        let pools = pools_of(vec![target_of(1, "v1"), target_of(2, "v2")]);
        let route = Route { timeout: Span::from_secs(1), ..route(RetryPolicy::Resume, 2) };
        let steps = vec![first, Step::complete(&[FIRST])];
        let forwarded = forward_to(Arc::clone(&pools), route, steps).await;
        assert_eq!(forwarded.caller.text, FIRST, "{:?}", forwarded.summary);
        let versions = versions(&forwarded);
        assert_ne!(versions[0], versions[1], "{:?}", forwarded.summary);
        assert_eq!(saved(&pools), versions[1..]);
    }
}

/// Guards against a stream that is saved by a host whose response may not reach the caller.
#[tokio::test]
async fn a_stream_of_another_host_is_not_saved() {
    let pools = pools_of(vec![target_of(1, "v1"), target_of(2, "v2")]);
    let steps = vec![Step::complete(&[FIRST])];
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_for_host(Arc::clone(&pools), request(), route, steps).await;
    assert_eq!(forwarded.caller.text, FIRST, "{:?}", forwarded.summary);
    assert_eq!(saved(&pools), Vec::<String>::new());
}

/// Guards against a stream that its caller takes up again, and that is refused while a slot becomes
/// free in time: what is left of a stream takes less than a whole request, and has no goal any more.
#[tokio::test]
async fn a_resumed_stream_waits_for_a_slot_until_its_deadline() {
    let target = TargetEntry { slots: 1, ..target_of(1, "v1") };
    let pools = pools_of(vec![target]);
    let long = Duration::from_millis(900);
    let whole = || Step::complete(&[FIRST]).delayed(long);
    let route = || route(RetryPolicy::Resume, 1);
    for _ in 0..3 {
        forward_to(Arc::clone(&pools), route(), vec![whole()]).await;
    }
    let holder = forward_to(Arc::clone(&pools), route(), vec![whole()]);
    let resumed = async {
        sleep(long / 3).await;
        let resuming = resuming("request-1");
        let request = Request {
            budget: Some(Span::from_secs(1)),
            received: clock::steady(),
            ..Request::clone(&resuming)
        };
        let steps = vec![Step::complete(&[SECOND])];
        forward_request(Arc::clone(&pools), Arc::new(request), route(), steps).await
    };
    let (_, resumed) = tokio::join!(holder, resumed);
    assert_eq!(resumed.caller.text, SECOND, "{:?}", resumed.summary);
}
