//! Requests to targets that name the rate which they take.

use oleander_core::{Span, TargetId, Time};
use oleander_routing::{
    Class, Decision, Observation, Pick, RateShare, Router, RouterConfig, Target,
};
use quickcheck::{Gen, QuickCheck};

const INTERVAL: Span = Span::from_millis(500);
const PACED: RateShare = RateShare::Paced { interval: INTERVAL, tolerance: Span::ZERO };

fn id(name: &str) -> TargetId {
    name.parse().expect("target")
}

fn router(targets: &[&str]) -> Router {
    let config = RouterConfig::new("entry-1".parse().expect("host"), "near".parse().expect("zone"));
    let mut router = Router::new(config, 7);
    let target = |name: &&str| Target {
        name: id(name),
        zone: "near".parse().expect("zone"),
        limit: 8,
        reserve: 0,
    };
    router.set_targets(targets.iter().map(target).collect());
    router
}

/// Sends online requests as often as the router lets it, each of which ends at once.
fn sent(router: &mut Router, span: Span) -> Vec<(Time, TargetId)> {
    let mut sent = Vec::new();
    for now in (0..span.0).step_by(10_000).map(Time) {
        let pick = Pick::online(router.ticket()).deadline(now + Span::from_millis(1));
        if let Decision::Send { target, lease, .. } = router.pick(now, &pick) {
            router.observe(now, lease, Observation::Done);
            sent.push((now, target));
        }
    }
    sent
}

#[test]
fn a_target_gets_one_request_in_each_interval_and_none_at_first() {
    let mut router = router(&["a"]);
    router.set_rate_share(Time(0), &id("a"), Some(PACED));
    let times: Vec<Time> =
        sent(&mut router, Span::from_secs(5)).into_iter().map(|(at, _)| at).collect();
    assert_eq!(times.len(), 9, "{times:?}");
    assert!(times[0] >= Time(0) + INTERVAL);
    assert!(times.windows(2).all(|pair| pair[1].since(pair[0]) >= INTERVAL), "{times:?}");
}

#[test]
fn an_unused_share_is_not_saved() {
    let mut router = router(&["a"]);
    router.set_rate_share(Time(0), &id("a"), Some(PACED));
    let now = Time(0) + Span::from_secs(60);
    let sends = (0..10).filter(|_| {
        let pick = Pick::online(router.ticket()).deadline(now + Span::from_millis(1));
        matches!(router.pick(now, &pick), Decision::Send { .. })
    });
    assert_eq!(sends.count(), 1);
}

#[test]
fn no_more_than_the_tolerance_of_an_unused_share_is_saved() {
    let mut router = router(&["a"]);
    let share = RateShare::Paced { interval: INTERVAL, tolerance: INTERVAL * 2 };
    router.set_rate_share(Time(0), &id("a"), Some(share));
    assert!(sent(&mut router, INTERVAL).is_empty(), "nothing is saved at first");
    let now = Time(0) + Span::from_secs(60);
    let sends = (0..10).filter(|_| {
        let pick = Pick::online(router.ticket()).deadline(now + Span::from_millis(1));
        matches!(router.pick(now, &pick), Decision::Send { .. })
    });
    assert_eq!(sends.count(), 3);
}

#[test]
fn other_targets_take_what_a_limited_one_does_not() {
    let mut router = router(&["a", "b"]);
    router.set_rate_share(Time(0), &id("a"), Some(RateShare::Nothing));
    let sent = sent(&mut router, Span::from_secs(1));
    assert!(sent.len() == 100 && sent.iter().all(|(_, target)| *target == id("b")));
    router.set_rate_share(Time(0), &id("a"), None);
    let pick = Pick::online(router.ticket()).exclude(vec![id("b")]);
    let decision = router.pick(Time(0) + Span::from_secs(2), &pick);
    assert!(matches!(decision, Decision::Send { .. }), "{decision:?}");
}

#[test]
fn items_use_a_limited_target_after_online_requests() {
    let mut router = router(&["a"]);
    router.set_rate_share(Time(0), &id("a"), Some(PACED));
    let at = |router: &mut Router, now| router.pick(now, &Pick::of_class(Class::Batch));
    assert_eq!(at(&mut router, Time(0) + INTERVAL), Decision::Wait);
    let later = Time(0) + INTERVAL + Span(INTERVAL.0 / 2);
    assert!(matches!(at(&mut router, later), Decision::Send { .. }));
    assert_eq!(at(&mut router, later), Decision::Wait);
}

/// Sends a request of this size; returns its target.
fn send_sized(router: &mut Router, now: Time, size: u32) -> Option<TargetId> {
    let pick = Pick::online(router.ticket()).size(Some(size)).deadline(now + INTERVAL * 10);
    match router.pick(now, &pick) {
        Decision::Send { target, .. } => Some(target),
        _ => None,
    }
}

#[test]
fn short_requests_leave_the_share_of_a_limited_target_to_long_ones() {
    let mut router = router(&["a", "b"]);
    for size in [100, 900].repeat(20) {
        let now = Time(0);
        let pick = Pick::online(router.ticket()).size(Some(size));
        let Decision::Send { lease, .. } = router.pick(now, &pick) else { panic!("not sent") };
        router.observe(now, lease, Observation::Done);
    }
    router.set_rate_share(Time(0), &id("a"), Some(PACED));
    let now = Time(0) + INTERVAL * 2;
    assert_eq!(send_sized(&mut router, now, 100), Some(id("b")));
    assert_eq!(send_sized(&mut router, now, 900), Some(id("a")));
    assert_eq!(send_sized(&mut router, now, 900), Some(id("b")), "the share is used up");
}

#[test]
fn the_longest_waiting_request_takes_the_share_and_the_first_one_the_free_slot() {
    let mut router = router(&["a", "b"]);
    router.set_rate_share(Time(0), &id("a"), Some(PACED));
    let mut leases = Vec::new();
    for _ in 0..8 {
        let pick = Pick::online(router.ticket());
        let Decision::Send { lease, .. } = router.pick(Time(0), &pick) else { panic!("not sent") };
        leases.push(lease);
    }
    let deadline = Time(0) + INTERVAL * 10;
    let picks: Vec<Pick> = [300, 100, 900]
        .map(|size| Pick::online(router.ticket()).size(Some(size)).deadline(deadline))
        .into();
    for pick in &picks {
        assert_eq!(router.pick(Time(0), pick), Decision::Wait);
    }
    let now = Time(0) + INTERVAL * 2;
    let sent = |router: &mut Router, pick: &Pick| match router.pick(now, pick) {
        Decision::Send { target, .. } => Some(target),
        _ => None,
    };
    assert_eq!(sent(&mut router, &picks[0]), None, "the share is for the longest one");
    assert_eq!(sent(&mut router, &picks[2]), Some(id("a")));
    router.observe(now, leases[0], Observation::Done);
    assert_eq!(sent(&mut router, &picks[1]), None, "the slot is for the first one");
    assert_eq!(sent(&mut router, &picks[0]), Some(id("b")));
}

#[test]
fn a_request_that_a_rate_lets_wait_too_long_is_refused_at_once() {
    let mut router = router(&["a"]);
    router.set_rate_share(Time(0), &id("a"), Some(PACED));
    let deadline = Time(0) + Span::from_secs(4);
    let decisions = (0..200).map(|_| {
        let pick = Pick::online(router.ticket()).deadline(deadline);
        router.pick(Time(0), &pick)
    });
    let refused = decisions.filter(|decision| matches!(decision, Decision::Refuse { .. })).count();
    assert!(refused >= 150, "{refused} of 200");
}

/// Sends a request if the router lets it; returns whether it did.
fn send_now(router: &mut Router, now: Time) -> bool {
    let pick = Pick::online(router.ticket()).deadline(now + Span::from_millis(1));
    let Decision::Send { lease, .. } = router.pick(now, &pick) else { return false };
    router.observe(now, lease, Observation::Done);
    true
}

/// Guards against a target that nobody asks while the hosts that share its rate come and go.
#[test]
fn a_share_that_goes_and_comes_back_is_used() {
    let mut router = router(&["a"]);
    let step = INTERVAL.0 / 4;
    let shares = [PACED, RateShare::Nothing].into_iter().cycle();
    let mut sends = 0;
    for (step_end, share) in (0..40).map(|step_number| Time(step_number * step)).zip(shares) {
        router.set_rate_share(step_end, &id("a"), Some(share));
        let times = (0..step).step_by(10_000).map(|at| step_end + Span(at));
        sends += times.filter(|now| send_now(&mut router, *now)).count();
    }
    // Present for half of ten intervals.
    assert!((4..=5).contains(&sends), "{sends}");
}

const SEED: u64 = 38;
const CASES: u64 = 300;
const HOSTS: usize = 6;
/// Steps of 10 ms in a case.
const STEPS: u64 = 2_000;
const STEP: Span = Span::from_millis(10);
/// Requests that may reach a target at one moment after a time without any.
const BURST: u64 = 5;

/// Share of each of `count` hosts in a rate of one request in [`INTERVAL`].
fn share_of(count: u64) -> RateShare {
    let tolerance = INTERVAL * BURST.saturating_sub(count);
    RateShare::Paced { interval: INTERVAL * count, tolerance }
}

/// Hosts whose set of senders changes together send no more than the rate and its burst.
#[test]
fn hosts_that_come_and_go_do_not_send_more_than_a_target_takes() {
    fn check(changes: Vec<u8>) -> bool {
        let mut routers: Vec<Router> = (0..HOSTS).map(|_| router(&["a"])).collect();
        let mut sent: Vec<Time> = Vec::new();
        let every = 1 + STEPS / (changes.len() as u64 + 1);
        for step in 0..STEPS {
            let now = Time(0) + STEP * step;
            if step.is_multiple_of(every) {
                let senders = changes.get((step / every) as usize).copied().unwrap_or(1);
                let senders = if senders % 64 == 0 { 1 } else { senders };
                let count = (0..HOSTS).filter(|host| senders >> host & 1 == 1).count() as u64;
                for (host, router) in routers.iter_mut().enumerate() {
                    let is_sender = senders >> host & 1 == 1;
                    let share = if is_sender { share_of(count) } else { RateShare::Nothing };
                    router.set_rate_share(now, &id("a"), Some(share));
                }
            }
            for router in &mut routers {
                while send_now(router, now) {
                    sent.push(now);
                }
            }
        }
        sent.iter().enumerate().all(|(first, from)| {
            sent[first..]
                .iter()
                .zip(1..)
                .all(|(to, count)| count <= to.since(*from).0 / INTERVAL.0 + BURST + HOSTS as u64)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(CASES)
        .quickcheck(check as fn(Vec<u8>) -> bool);
}
