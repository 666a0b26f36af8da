//! Properties of one router's decisions.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use common::{
    Driver, Step, config, fill_batch, host, millis, pick_online, properties, router, sent,
    target_id, targets,
};
use oleander_core::{Span, TargetId, Time};
use oleander_routing::{
    Class, Decision, Failure, LeaseId, LoadReport, Observation, PeerCount, Pick, Policy, Router,
    TargetState,
};

const LIMIT: u32 = 6;
const RESERVE: u32 = 2;

properties! {
    fn a_send_never_exceeds_the_limit_or_the_batch_capacity(steps: Vec<Step>, count: u8) -> bool {
        let mut driver = Driver::new(router(0, usize::from(count % 5) + 1, LIMIT, RESERVE));
        steps.into_iter().all(|step| {
            let Some((pick, target, _)) = driver.step(step) else { return true };
            let status = driver.router.snapshot().into_iter().find(|s| s.name == target).unwrap();
            let fits = match pick.class {
                Class::Online => status.online <= status.limit,
                Class::Batch => status.online + status.batch + RESERVE <= status.limit,
            };
            fits && status.limit <= LIMIT
        })
    }

    fn batch_without_its_excess_is_within_the_yield_threshold(
        steps: Vec<Step>,
        percent: u8,
    ) -> bool {
        let margin = u32::from(percent % 101);
        let reserved = RESERVE - RESERVE * margin / 100;
        let mut router = Router::new(config(0).yield_margin(margin), 0);
        router.set_targets(targets(3, LIMIT, RESERVE));
        let mut driver = Driver::new(router);
        steps.into_iter().all(|step| {
            driver.step(step);
            for excess in driver.router.batch_excess(driver.now) {
                cancel_batch(&mut driver, &excess.target, excess.count);
            }
            driver.router.snapshot().iter().all(|s| {
                s.batch <= s.limit.saturating_sub(reserved).saturating_sub(s.online)
            })
        })
    }

    fn counts_equal_the_open_leases(steps: Vec<Step>) -> bool {
        let mut driver = Driver::new(router(0, 4, LIMIT, RESERVE));
        steps.into_iter().all(|step| {
            driver.step(step);
            let mut open = BTreeMap::new();
            for (target, _) in &driver.open {
                *open.entry(target.clone()).or_insert(0) += 1;
            }
            let counts = driver.router.counts();
            let counted = counts.into_iter().map(|c| (c.target, c.online + c.batch));
            counted.collect::<BTreeMap<TargetId, u32>>() == open
        })
    }

    fn a_lease_ends_once(ends: Vec<u8>) -> bool {
        let mut router = router(0, 1, LIMIT, RESERVE);
        let (_, first, _) = sent(pick_online(&mut router, millis(0))).unwrap();
        sent(pick_online(&mut router, millis(0))).unwrap();
        router.observe(millis(1), first, Observation::Done);
        for end in ends {
            let outcome = match end % 4 {
                0 => Observation::Done,
                1 => Observation::Cancelled,
                2 => Observation::FirstOutput,
                _ => Observation::Failed(Failure::Timeout),
            };
            router.observe(millis(2), first, outcome);
        }
        router.counts()[0].online == 1 && router.snapshot()[0].state == TargetState::Ready
    }

    fn a_leaving_or_excluded_target_gets_no_work(steps: Vec<Step>, leaving: u8) -> bool {
        let mut driver = Driver::new(router(0, 4, LIMIT, RESERVE));
        let leaving_target = target_id(usize::from(leaving % 4));
        driver.router.set_leaving(&leaving_target, true);
        let excluded = target_id(usize::from(leaving % 4 + 1) % 4);
        let ticket = driver.router.ticket();
        let pick = Pick::online(ticket).exclude(vec![excluded.clone()]);
        let other = sent(driver.router.pick(driver.now, &pick)).map(|(target, ..)| target);
        let sent_elsewhere =
            other.is_some_and(|target| target != leaving_target && target != excluded);
        sent_elsewhere && steps.into_iter().all(|step| {
            driver.step(step).is_none_or(|(_, target, _)| target != leaving_target)
        })
    }

    fn yields_equal_the_online_requests_beyond_the_margin(
        requests: u8,
        interrupt: u8,
        percent: u8,
    ) -> bool {
        let percent = u32::from(percent % 101);
        let margin = 4 * percent / 100;
        let mut router = Router::new(config(0).yield_margin(percent), 0);
        router.set_targets(targets(1, 32, 4));
        let batch = 28;
        let counts = || vec![PeerCount { target: target_id(0), online: 0, batch }];
        router.update_peer(millis(0), &host(1), counts(), millis(0));
        let requests = u32::from(requests % 29);
        let mut yields = 0;
        for index in 0..requests {
            if index == u32::from(interrupt % 29) {
                router.update_peer(millis(1), &host(1), counts(), millis(1));
            }
            yields += sent(pick_online(&mut router, millis(1))).unwrap().2;
        }
        yields == requests.saturating_sub(margin)
    }

    fn a_refusal_means_too_long_a_wait_or_a_full_queue(wait_ms: u16, queued: u8) -> bool {
        let limit = 16;
        let queue_limit = 20;
        let mut router = Router::new(config(0).queue_limit(queue_limit), 1);
        router.set_targets(targets(1, limit, 0));
        let ahead = u32::from(queued % 32);
        for _ in 0..limit + ahead.min(queue_limit) {
            pick_online(&mut router, millis(0));
        }
        let waiting = router.waiting();
        let wait = Span::from_millis(u64::from(wait_ms % 2_000));
        let ticket = router.ticket();
        let decision = router.pick(millis(0), &Pick::online(ticket).deadline(millis(0) + wait));
        let predicted = Span(1_000_000 * u64::from(waiting + 1) / u64::from(limit));
        let must_refuse = predicted > wait || waiting == queue_limit || wait == Span::ZERO;
        match decision {
            Decision::Refuse { retry_after } => must_refuse && retry_after >= predicted,
            Decision::Wait => !must_refuse,
            Decision::Send { .. } => false,
        }
    }

    fn requests_are_spread_evenly_over_the_targets(seed: u64) -> bool {
        let mut router = Router::new(config(0), seed);
        router.set_targets(targets(8, 100, 10));
        for _ in 0..400 {
            sent(pick_online(&mut router, millis(0))).unwrap();
        }
        router.counts().len() == 8 && router.counts().iter().all(|c| (40..=60).contains(&c.online))
    }
}

fn cancel_batch(driver: &mut Driver, target: &TargetId, count: u32) {
    let mut left = count;
    let mut index = 0;
    while left > 0 && index < driver.open.len() {
        let (at, lease) = driver.open[index].clone();
        let before = batch_at(&driver.router, target);
        if at == *target && is_batch(&driver.router, driver.now, lease, target, before) {
            driver.router.observe(driver.now, lease, Observation::Cancelled);
            driver.open.swap_remove(index);
            left -= 1;
        } else {
            index += 1;
        }
    }
    assert_eq!(left, 0, "the excess is at most the items of this host");
}

fn batch_at(router: &Router, target: &TargetId) -> u32 {
    router.counts().iter().find(|c| c.target == *target).map_or(0, |c| c.batch)
}

/// Whether the lease is of a batch item: ending it on a copy of the router lowers the batch count.
fn is_batch(router: &Router, now: Time, lease: LeaseId, target: &TargetId, before: u32) -> bool {
    let mut copy = router.clone();
    copy.observe(now, lease, Observation::Cancelled);
    batch_at(&copy, target) < before
}

#[test]
fn waiting_requests_are_sent_in_order_of_arrival() {
    let mut router = router(0, 1, 1, 0);
    let (_, lease, _) = sent(pick_online(&mut router, millis(0))).unwrap();
    let first = Pick::online(router.ticket());
    let second = Pick::online(router.ticket());
    assert_eq!(router.pick(millis(1), &first), Decision::Wait);
    assert_eq!(router.pick(millis(1), &second), Decision::Wait);
    router.observe(millis(2), lease, Observation::Done);
    assert_eq!(router.pick(millis(2), &second), Decision::Wait);
    assert!(sent(router.pick(millis(2), &first)).is_some());
}

#[test]
fn a_waiting_request_is_refused_at_its_deadline() {
    let mut router = router(0, 1, 1, 0);
    sent(pick_online(&mut router, millis(0))).unwrap();
    let pick = Pick::online(router.ticket()).deadline(millis(1_500));
    assert_eq!(router.pick(millis(1), &pick), Decision::Wait);
    assert_eq!(router.next_wake(millis(1)), Some(millis(1_500)));
    assert!(matches!(router.pick(millis(1_500), &pick), Decision::Refuse { .. }));
    assert_eq!(router.waiting(), 0);
}

#[test]
fn a_request_is_refused_at_once_if_no_target_accepts_it() {
    let mut router = router(0, 1, 4, 0);
    router.set_leaving(&target_id(0), true);
    assert!(matches!(pick_online(&mut router, millis(0)), Decision::Refuse { .. }));
}

#[test]
fn batch_waits_while_online_waits() {
    let mut router = router(0, 1, 4, 0);
    for _ in 0..5 {
        pick_online(&mut router, millis(0));
    }
    router.set_targets(targets(2, 4, 0));
    assert_eq!(router.pick(millis(0), &Pick::batch()), Decision::Wait);
}

#[test]
fn an_item_that_must_run_alone_shares_no_target_with_other_items() {
    let mut router = router(0, 2, 8, 0);
    let (first, ..) = sent(router.pick(millis(0), &Pick::batch())).unwrap();
    let (second, ..) = sent(router.pick(millis(0), &Pick::batch().alone())).unwrap();
    assert_ne!(first, second);
    assert_eq!(router.pick(millis(0), &Pick::batch().alone()), Decision::Wait);
}

#[test]
fn batch_starts_are_spread_by_the_start_interval() {
    let interval = Span::from_millis(50);
    let mut router = Router::new(config(0).start_interval(interval), 1);
    router.set_targets(targets(2, 4, 0));
    assert_eq!(fill_batch(&mut router, millis(0)).len(), 2, "one at each target");
    assert_eq!(router.next_wake(millis(0)), Some(millis(50)));
    assert_eq!(fill_batch(&mut router, millis(49)).len(), 0);
    assert_eq!(fill_batch(&mut router, millis(50)).len(), 2);
}

#[test]
fn a_cancelled_start_does_not_delay_the_next() {
    let mut router = Router::new(config(0).start_interval(Span::from_millis(50)), 1);
    router.set_targets(targets(1, 4, 0));
    let (_, lease, _) = sent(router.pick(millis(0), &Pick::batch())).unwrap();
    router.observe(millis(0), lease, Observation::Cancelled);
    assert!(sent(router.pick(millis(0), &Pick::batch())).is_some());
}

#[test]
fn targets_that_stay_listed_keep_their_counts() {
    let mut router = router(0, 2, 4, 0);
    for _ in 0..8 {
        sent(pick_online(&mut router, millis(0))).unwrap();
    }
    router.set_targets(targets(3, 4, 0));
    let (target, ..) = sent(pick_online(&mut router, millis(0))).unwrap();
    assert_eq!(target, target_id(2));
}

#[test]
fn a_failing_target_is_ejected_and_returns_after_a_probe() {
    let mut router = router(0, 4, 100, 0);
    let failing = target_id(0);
    while router.snapshot()[0].state == TargetState::Ready {
        let (target, lease, _) = sent(pick_online(&mut router, millis(0))).unwrap();
        let failed = Observation::Failed(Failure::Connect);
        router.observe(
            millis(0),
            lease,
            if target == failing { failed } else { Observation::Done },
        );
    }
    let ejection_end = router.next_wake(millis(0)).unwrap();
    for _ in 0..50 {
        assert_ne!(sent(pick_online(&mut router, millis(1))).unwrap().0, failing);
    }
    let probes = (0..50).filter_map(|_| sent(pick_online(&mut router, ejection_end)));
    let probes: Vec<_> = probes.filter(|(target, ..)| *target == failing).collect();
    assert_eq!(probes.len(), 1);
    router.observe(ejection_end, probes[0].1, Observation::Done);
    assert_eq!(router.snapshot()[0].state, TargetState::Ready);
}

#[test]
fn a_cached_prefix_decides_only_within_the_affinity_slack() {
    let mut router = router(0, 10, 100, 0);
    router.cache_event(&target_id(3), 42, true);
    let pick = |router: &mut Router| {
        let ticket = router.ticket();
        let pick = Pick::online(ticket).prefix(42);
        let (target, lease, _) = sent(router.pick(millis(0), &pick)).unwrap();
        router.observe(millis(0), lease, Observation::FirstOutput);
        target
    };
    for _ in 0..=15 {
        assert_eq!(pick(&mut router), target_id(3), "within 150 per mille of an idle target");
    }
    for _ in 16..500 {
        pick(&mut router);
    }
    let max = router.counts().iter().map(|c| c.online).max().unwrap();
    assert!(max <= 50 + 16, "{max} at one target, {} on average", 50);
}

#[test]
fn load_of_unknown_hosts_reduces_the_batch_capacity() {
    let mut router = router(0, 1, 32, 4);
    let load = LoadReport { running: 20, waiting: 0, measured_at: millis(0) };
    router.update_load(millis(100), &target_id(0), load);
    let started = fill_batch(&mut router, millis(100)).len();
    assert_eq!(started, 12, "limit 32, reserve 4, 20 reported of which 4 are tolerated");
}

#[test]
fn own_work_in_a_late_report_is_not_counted_twice() {
    let mut router = router(0, 1, 32, 4);
    let batch = fill_batch(&mut router, millis(0));
    let load = LoadReport { running: 28, waiting: 0, measured_at: millis(1_000) };
    for (_, lease) in batch {
        router.observe(millis(2_000), lease, Observation::Done);
    }
    router.update_load(millis(3_000), &target_id(0), load);
    assert_eq!(fill_batch(&mut router, millis(3_000)).len(), 28);
}

#[test]
fn policies_divide_the_targets_between_online_and_batch() {
    let capacity = |policy| {
        let mut router = Router::new(config(0).policy(policy), 1);
        router.set_targets(targets(4, 10, 2));
        let batch = fill_batch(&mut router, millis(0)).len();
        let online = (0..100).filter_map(|_| sent(pick_online(&mut router, millis(0)))).count();
        (batch, online)
    };
    assert_eq!(capacity(Policy::Managed), (32, 40));
    assert_eq!(capacity(Policy::FirstCome), (40, 0));
    assert_eq!(capacity(Policy::Split { batch_targets: 1 }), (10, 30));
    assert_eq!(capacity(Policy::OnlineOnly), (0, 40));
}

/// A target that refuses requests because it is full works. Ejecting it would take capacity away at
/// the peak of the load.
#[test]
fn a_full_target_is_not_ejected_and_an_unreachable_one_is() {
    let mut router = router(0, 6, 8, 0);
    let end = |router: &mut Router, failure: Failure| {
        let (target, lease, _) = sent(pick_online(router, millis(0))).unwrap();
        router.observe(millis(1), lease, Observation::Failed(failure));
        target
    };
    (0..24).for_each(|_| drop(end(&mut router, Failure::NoCapacity)));
    assert!(router.snapshot().iter().all(|status| status.state == TargetState::Ready));
    let gone = end(&mut router, Failure::WrongTarget);
    let status = router.status(&gone).unwrap();
    assert_eq!(
        status.state,
        TargetState::Ejected,
        "one request that does not reach the target ejects it"
    );
}
