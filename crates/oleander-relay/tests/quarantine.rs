//! Requests like those under which targets have crashed.

mod support;

use std::{sync::Arc, time::Duration};

use oleander_core::Span;
use oleander_quarantine::{BlockNews, CrashNews, PartSet, QuarantineNews, RequestParts, TargetRun};
use oleander_relay::{Pools, RefusalReason, RetryPolicy, VersionChoice, request_parts};
use oleander_routing::{Failure, Observation, Pick};

use crate::support::{
    BodyEnd, FIRST, SECOND, Script, Step, forward_request, forward_to, pools, request, resuming,
    route, service,
};

/// Time after which a crash is not at the same moment as the one before.
const MOMENT: Duration = Duration::from_millis(120);

/// The parts of the requests of these tests.
fn parts() -> Arc<RequestParts> {
    request_parts(Script::new(Vec::new()).as_ref(), &request())
}

/// Blocks the requests of these tests.
fn block(pools: &Pools) {
    let block = BlockNews {
        parts: parts().all.clone(),
        cleared: PartSet::default(),
        count: 1,
        remaining: Span::from_secs(600),
    };
    let news = QuarantineNews { crashes: Vec::new(), blocks: vec![block] };
    pools.merge_quarantine(&service(), news);
}

/// Pools that know of `crashes` of other targets under requests like the one of the tests.
async fn suspecting_pools(crashes: u64) -> Arc<Pools> {
    let pools = pools(3);
    add_crashes(&pools, crashes).await;
    pools
}

/// Crashes of other targets under requests like the one of the tests, one after the other.
async fn add_crashes(pools: &Pools, crashes: u64) {
    let parts = parts();
    for number in 0..crashes {
        let target = format!("crashed-{number}").parse().expect("target");
        let crash = CrashNews {
            run: TargetRun { target, started: None },
            suspects: [parts.all.clone()].into(),
            cleared: PartSet::default(),
        };
        let news = QuarantineNews { crashes: vec![crash], blocks: Vec::new() };
        pools.merge_quarantine(&service(), news);
        tokio::time::sleep(MOMENT).await;
    }
}

#[tokio::test]
async fn a_request_whose_like_has_ended_two_targets_does_not_take_another_one_along() {
    let steps = vec![Step::broken(&[]), Step::complete(&[FIRST])];
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(suspecting_pools(2).await, route, steps).await;
    let refusal = forwarded.summary.refusal.expect("refused");
    assert_eq!(refusal.reason, RefusalReason::ResponseLost, "{:?}", forwarded.summary);
    assert_eq!(forwarded.script.dispatches.lock().len(), 1);
}

#[tokio::test]
async fn a_request_beside_a_single_crash_is_sent_again() {
    let steps = vec![Step::broken(&[]), Step::complete(&[FIRST])];
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(suspecting_pools(1).await, route, steps).await;
    assert_eq!(forwarded.caller.text, FIRST, "{:?}", forwarded.summary);
}

#[tokio::test]
async fn a_stream_that_had_output_goes_on_although_its_like_is_suspected() {
    let steps = vec![Step::broken(&[FIRST]), Step::complete(&[SECOND])];
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(suspecting_pools(2).await, route, steps).await;
    assert_eq!(forwarded.caller.text, format!("{FIRST}{SECOND}"), "{:?}", forwarded.summary);
}

#[tokio::test]
async fn a_stream_whose_like_is_suspected_since_its_output_goes_on() {
    let pools = pools(3);
    let mut first = Step::pause(&[FIRST], MOMENT * 4, &[]);
    first.end = BodyEnd::Broken;
    let crashing = Arc::clone(&pools);
    tokio::spawn(async move {
        tokio::time::sleep(MOMENT / 2).await;
        add_crashes(&crashing, 2).await;
    });
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(pools, route, vec![first, Step::complete(&[SECOND])]).await;
    assert_eq!(forwarded.caller.text, format!("{FIRST}{SECOND}"), "{:?}", forwarded.summary);
}

#[tokio::test]
async fn a_request_whose_parts_are_blocked_is_refused_at_once_as_not_run() {
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(suspecting_pools(6).await, route, Vec::new()).await;
    let refusal = forwarded.summary.refusal.expect("refused");
    assert_eq!(refusal.reason, RefusalReason::NotRun, "{:?}", forwarded.summary);
    assert!(refusal.retry_after.is_some_and(|after| after.as_millis() > 500_000), "{refusal:?}");
}

#[tokio::test]
async fn a_suspected_request_does_not_wait_for_a_target_that_is_not_used_for_now() {
    let pools = suspecting_pools(1).await;
    let pool = pools.get(&service()).expect("a pool");
    let pick = || Pick::online(pool.ticket());
    let mut lease = pool.acquire_version(&pick(), &VersionChoice::Any, &parts()).await;
    let lease = lease.as_mut().expect("a target");
    lease.observe(Observation::Failed(Failure::Connect));
    let request = pick();
    let parts = parts();
    let second = pool.acquire_version(&request, &VersionChoice::Any, &parts);
    let second = tokio::time::timeout(MOMENT, second).await.expect("at once").expect("a target");
    assert_ne!(second.target.id, lease.target.id);
}

#[tokio::test]
async fn a_suspected_request_is_not_sent_to_a_second_target_beside_a_silent_one() {
    let steps = vec![Step::silent(&[]), Step::complete(&[FIRST])];
    let mut route = route(RetryPolicy::Resume, 2);
    route.timeout = Span::from_millis(1_200);
    let forwarded = forward_to(suspecting_pools(1).await, route, steps).await;
    assert!(forwarded.summary.refusal.is_some(), "{:?}", forwarded.summary);
    assert_eq!(forwarded.script.dispatches.lock().len(), 1);
}

#[tokio::test]
async fn a_resumed_stream_whose_parts_are_blocked_is_refused() {
    let pools = pools(2);
    block(&pools);
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_request(pools, resuming("request-1"), route, Vec::new()).await;
    let refusal = forwarded.summary.refusal.expect("refused");
    assert_eq!(refusal.reason, RefusalReason::NotRun, "{:?}", forwarded.summary);
}

#[tokio::test]
async fn a_stream_whose_parts_are_blocked_meanwhile_does_not_go_on_at_another_target() {
    let pools = pools(2);
    let mut first = Step::pause(&[FIRST], MOMENT, &[]);
    first.end = BodyEnd::Broken;
    let blocking = Arc::clone(&pools);
    tokio::spawn(async move {
        tokio::time::sleep(MOMENT / 2).await;
        block(&blocking);
    });
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(pools, route, vec![first, Step::complete(&[SECOND])]).await;
    assert!(forwarded.summary.interrupted, "{:?}", forwarded.summary);
    assert_eq!(forwarded.script.dispatches.lock().len(), 1);
}
