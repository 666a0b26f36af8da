//! Requests like those under which targets have crashed.

mod support;

use std::{sync::Arc, time::Duration};

use oleander_quarantine::{CrashNews, PartSet, QuarantineNews, TargetRun};
use oleander_relay::{Pools, RefusalReason, RetryPolicy, request_parts};

use crate::support::{FIRST, SECOND, Script, Step, forward_to, pools, request, route, service};

/// Time after which a crash is not at the same moment as the one before.
const MOMENT: Duration = Duration::from_millis(120);

/// Pools that know of `crashes` of other targets under requests like the one of the tests.
async fn suspecting_pools(crashes: u64) -> Arc<Pools> {
    let pools = pools(2);
    let parts = request_parts(Script::new(Vec::new()).as_ref(), &request());
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
    pools
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
async fn a_request_whose_parts_are_blocked_is_refused_at_once_as_not_run() {
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(suspecting_pools(6).await, route, Vec::new()).await;
    let refusal = forwarded.summary.refusal.expect("refused");
    assert_eq!(refusal.reason, RefusalReason::NotRun, "{:?}", forwarded.summary);
    assert!(refusal.retry_after.is_some_and(|after| after.as_millis() > 500_000), "{refusal:?}");
}
