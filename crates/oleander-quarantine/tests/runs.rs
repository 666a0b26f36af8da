//! Runs of targets that do not state when they started.

use oleander_core::{PromptPart, Span, TargetId, Time};
use oleander_quarantine::{Quarantine, RequestParts, Standing, TargetRun};

const BAD: u64 = 0xbad;
/// Longer than a target is taken to be down.
const RESTART: Span = Span::from_secs(2);

fn target() -> TargetId {
    "engine-0".parse().expect("target")
}

fn request(content: u64) -> RequestParts {
    RequestParts::new(vec![PromptPart(BAD)], content)
}

/// A crash of the target that a host notices by itself.
fn crash(host: &mut Quarantine, now: Time, content: u64) {
    let run = host.present_run(now, &target());
    host.record_break(now, &run, &request(content));
    host.record_crash(now, &run);
}

/// A host that had output for other parts for a long time.
fn long_running() -> Quarantine {
    let mut host = Quarantine::default();
    host.record_output(Time(0), &RequestParts::new(vec![PromptPart(0xf)], 0xf));
    host
}

#[test]
fn crashes_of_one_target_without_a_start_time_count_each() {
    let mut host = long_running();
    let mut now = Time(60_000_000);
    for content in 0..3 {
        assert!(!matches!(host.standing(now, &request(9)), Standing::Blocked { .. }));
        crash(&mut host, now, content);
        now = now + RESTART;
    }
    assert!(matches!(host.standing(now, &request(9)), Standing::Blocked { .. }));
}

#[test]
fn a_crash_that_several_hosts_notice_counts_once() {
    let now = Time(60_000_000);
    let mut hosts = [long_running(), long_running(), long_running()];
    for (content, host) in (0..).zip(&mut hosts) {
        crash(host, now, content);
    }
    let [mut first, mut second, mut third] = hosts;
    let later = now + Span::from_millis(300);
    first.merge(later, second.take_news(later));
    first.merge(later + Span::from_millis(300), third.take_news(later));
    let standing = first.standing(later + RESTART, &request(9));
    assert!(matches!(standing, Standing::Suspect { crashes: 1, .. }), "{standing:?}");
}

#[test]
fn a_target_is_down_only_for_a_while_after_its_crash() {
    let mut host = long_running();
    let now = Time(60_000_000);
    assert!(!host.is_down(now, &target()));
    crash(&mut host, now, 1);
    assert!(host.is_down(now + Span::from_millis(500), &target()));
    assert!(!host.is_down(now + RESTART, &target()));
}

/// A run that states its start.
fn listed() -> TargetRun {
    TargetRun { target: target(), started: Some(1_000) }
}

/// Two hosts of which the first has reported a crash to the second.
fn reported(now: Time) -> [Quarantine; 2] {
    let [mut first, mut second] = [long_running(), long_running()];
    first.record_break(now, &listed(), &request(1));
    first.record_crash(now, &listed());
    second.merge(now, first.take_news(now));
    [first, second]
}

#[test]
fn a_report_of_a_crash_is_refuted_by_output_on_a_connection_from_before() {
    let now = Time(60_000_000);
    let [mut first, mut second] = reported(now);
    let later = now + Span::from_millis(400);
    second.record_life(later, &listed(), Time(59_900_000));
    first.merge(later, second.take_news(later));
    for host in [&first, &second] {
        assert!(!host.has_crashed(later, &listed(), Span::from_secs(3)));
        assert_eq!(host.standing(later, &request(1)), Standing::Clear);
    }
}

#[test]
fn output_that_may_come_from_a_later_run_refutes_no_crash() {
    let now = Time(60_000_000);
    let [_, mut second] = reported(now);
    second.record_life(now + Span::from_millis(100), &listed(), Time(59_900_000));
    second.record_life(now + RESTART, &listed(), now + Span::from_secs(1));
    assert!(second.has_crashed(now + RESTART, &listed(), Span::from_secs(3)));
}

#[test]
fn a_crash_after_a_refuted_report_counts() {
    let now = Time(60_000_000);
    let [_, mut host] = reported(now);
    let later = now + RESTART;
    host.record_life(later, &listed(), Time(59_900_000));
    let run = host.run_after(later, &listed());
    host.record_break(later, &run, &request(1));
    assert!(host.record_crash(later, &run), "new");
    assert!(host.has_crashed(later, &listed(), Span::from_secs(3)));
}

#[test]
fn a_run_that_another_has_followed_has_crashed_if_it_broke_off_requests() {
    let now = Time(60_000_000);
    let mut host = long_running();
    assert!(!host.record_replaced(now, &listed()), "it may have stopped as planned");
    host.record_break(now, &listed(), &request(1));
    assert!(host.record_replaced(now + Span::from_secs(6), &listed()));
    assert!(matches!(host.standing(now + RESTART, &request(1)), Standing::Suspect { .. }));
}

#[test]
fn a_request_that_had_output_since_a_target_broke_off_is_no_suspect_of_its_crash() {
    let now = Time(60_000_000);
    let mut host = long_running();
    host.record_break(now, &listed(), &request(1));
    host.record_output(now + Span::from_millis(300), &request(1));
    host.record_crash(now + RESTART, &listed());
    assert_eq!(host.standing(now + RESTART, &request(1)), Standing::Clear);
}
