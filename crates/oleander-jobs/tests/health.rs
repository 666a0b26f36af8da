//! What successes and faults say of a target.

use oleander_core::{Span, TargetId, Time};
use oleander_jobs::TargetHealth;

const START: Time = Time(1_000_000_000);
const SECOND: Span = Span::from_secs(1);

fn target() -> TargetId {
    "e1".parse().expect("an identifier")
}

#[test]
fn a_target_works_after_a_success_until_a_fault() {
    let mut health = TargetHealth::new();
    assert!(!health.is_healthy(START, &target()));
    health.record_success(START, &target());
    assert!(health.is_healthy(START + SECOND, &target()));
    health.record_fault(START + SECOND, &target());
    assert!(!health.is_healthy(START + SECOND, &target()));
    health.record_success(START + SECOND * 2, &target());
    assert!(health.is_healthy(START + SECOND * 2, &target()));
    assert!(!health.is_healthy(START + SECOND * 60, &target()));
}

#[test]
fn a_target_rests_longer_after_each_fault_up_to_a_bound() {
    let mut health = TargetHealth::new();
    let mut now = START;
    let mut rests = Vec::new();
    for _ in 0..20 {
        health.record_fault(now, &target());
        let mut rest = Span::ZERO;
        while !health.in_backoff(now + rest).is_empty() {
            rest = rest + Span::from_millis(100);
        }
        rests.push(rest);
        now = now + rest;
    }
    assert!(rests.is_sorted());
    assert_eq!((rests[0], rests[19]), (Span::from_millis(100), SECOND * 5));
    health.record_success(now, &target());
    assert!(health.in_backoff(now).is_empty());
}

#[test]
fn what_is_old_is_dropped() {
    let mut health = TargetHealth::new();
    health.record_output(START, &target());
    assert!(health.has_output_since(START, &target()));
    health.expire(START + SECOND * 60);
    assert!(!health.has_output_since(START, &target()));
}
