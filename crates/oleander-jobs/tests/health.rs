//! Health and backoff of targets after successes and faults.

use oleander_core::{Span, TargetId, Time};
use oleander_jobs::TargetHealth;

const START: Time = Time(1_000_000_000);
const SECOND: Span = Span::from_secs(1);

fn target() -> TargetId {
    "e1".parse().expect("an identifier")
}

#[test]
fn a_target_is_healthy_after_a_success_until_a_fault() {
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
fn backoff_grows_with_each_fault_up_to_a_maximum() {
    let mut health = TargetHealth::new();
    let mut now = START;
    let mut backoffs = Vec::new();
    for _ in 0..20 {
        health.record_fault(now, &target());
        let mut backoff = Span::ZERO;
        while !health.in_backoff(now + backoff).is_empty() {
            backoff = backoff + Span::from_millis(100);
        }
        backoffs.push(backoff);
        now = now + backoff;
    }
    assert!(backoffs.is_sorted());
    assert_eq!((backoffs[0], backoffs[19]), (Span::from_millis(100), SECOND * 5));
    health.record_success(now, &target());
    assert!(health.in_backoff(now).is_empty());
}

#[test]
fn old_observations_expire() {
    let mut health = TargetHealth::new();
    health.record_output(START, &target());
    assert!(health.has_output_since(START, &target()));
    health.expire(START + SECOND * 60);
    assert!(!health.has_output_since(START, &target()));
}
