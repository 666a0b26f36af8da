//! Targets that say in their responses that they are about to stop.

mod support;

use std::{sync::Arc, time::Duration};

use oleander_core::TargetId;
use oleander_relay::{Pools, RetryPolicy, TargetEntry, TargetList};

use crate::support::{FIRST, Step, forward_to, pools_of, route, target};

/// Requests after the statement; by chance, some of them would go to either target.
const REQUESTS: usize = 8;

fn started(number: u16, at: u64) -> TargetEntry {
    TargetEntry { started_at: Some(at), ..target(number) }
}

fn list(pools: &Pools, entries: &[TargetEntry]) {
    let mut list = TargetList::default();
    entries.iter().cloned().for_each(|entry| list.upsert(entry));
    pools.update_targets(&list);
}

/// The target that got a request, of which it makes `step`.
async fn send(pools: &Arc<Pools>, step: Step) -> Vec<TargetId> {
    let steps = vec![step, Step::complete(&[FIRST])];
    let route = route(RetryPolicy::Resume, 2);
    let forwarded = forward_to(Arc::clone(pools), route, steps).await;
    let dispatches = forwarded.script.dispatches.lock();
    dispatches.iter().map(|dispatch| dispatch.target.id.clone()).collect()
}

/// The targets that get requests from now on.
async fn used(pools: &Arc<Pools>) -> Vec<TargetId> {
    let mut used = Vec::new();
    for _ in 0..REQUESTS {
        used.extend(send(pools, Step::complete(&[FIRST])).await);
    }
    used
}

#[tokio::test]
async fn a_target_that_says_so_in_any_response_gets_no_new_requests() {
    for step in [
        Step::complete(&[FIRST]),
        Step::error(500, "failed"),
        Step::not_run(),
        Step::broken(&[]),
        Step::pause(&[FIRST], Duration::from_millis(20), &[]),
    ] {
        let pools = pools_of(vec![started(1, 1_000), started(2, 1_000)]);
        let status = step.status;
        let leaving = send(&pools, step.leaving()).await[0].clone();
        assert!(!used(&pools).await.contains(&leaving), "status {status}");
        list(&pools, &[started(1, 1_000), started(2, 1_000)]);
        assert!(!used(&pools).await.contains(&leaving), "status {status}: the list is older");
    }
}

#[tokio::test]
async fn a_target_that_starts_again_under_the_same_name_is_used() {
    let pools = pools_of(vec![started(1, 1_000), started(2, 1_000)]);
    let leaving = send(&pools, Step::complete(&[FIRST]).leaving()).await[0].clone();
    let entries = [1, 2].map(|number| {
        let entry = started(number, 1_000);
        let is_new = entry.id == leaving;
        TargetEntry { started_at: Some(if is_new { 9_000 } else { 1_000 }), ..entry }
    });
    list(&pools, &entries);
    let other = used(&pools).await.into_iter().find(|target| *target == leaving);
    assert_eq!(other, Some(leaving));
}

#[tokio::test]
async fn a_target_beside_a_silent_one_that_says_so_gets_no_new_requests() {
    let pools = pools_of(vec![started(1, 1_000), started(2, 1_000)]);
    let steps = vec![Step::silent(&[FIRST]), Step::not_run().leaving()];
    let mut short = route(RetryPolicy::Resume, 3);
    short.timeout = oleander_core::Span::from_millis(900);
    let forwarded = forward_to(Arc::clone(&pools), short, steps).await;
    let second = forwarded.script.dispatches.lock()[1].target.id.clone();
    assert!(!used(&pools).await.contains(&second), "{:?}", forwarded.summary);
}

/// Guards against errors for requests that a sound target would serve: a retry took no target that
/// an attempt had used, though all others were shutting down.
#[tokio::test]
async fn a_retry_goes_to_the_same_target_while_all_others_leave() {
    for step in [Step::error(500, "failed"), Step::not_run(), Step::broken(&[])] {
        let status = step.status;
        let leaving = TargetEntry { leaving: true, ..started(2, 1_000) };
        let pools = pools_of(vec![started(1, 1_000), leaving]);
        let steps = vec![step, Step::complete(&[FIRST])];
        let forwarded = forward_to(pools, route(RetryPolicy::Always, 2), steps).await;
        let (caller, summary) = (&forwarded.caller, &forwarded.summary);
        assert_eq!(caller.text, FIRST, "status {status}: {summary:?}");
        assert_eq!(forwarded.script.dispatches.lock().len(), 2, "status {status}: {summary:?}");
    }
}
