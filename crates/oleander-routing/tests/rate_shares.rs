//! Requests to targets that name the rate which they take.

use oleander_core::{Span, TargetId, Time};
use oleander_routing::{
    Class, Decision, Observation, Pick, RateShare, Router, RouterConfig, Target,
};

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
