//! When a host takes itself for cut off from all targets.

use oleander_core::{Span, Time};
use oleander_relay::{LinkChange, Links};

const NOW: Time = Time(60_000_000);

fn after(millis: u64) -> Time {
    NOW + Span::from_millis(millis)
}

/// Links that have just brought output.
fn sound() -> Links {
    let mut links = Links::default();
    links.record_sign(NOW);
    links
}

#[test]
fn a_silent_target_alone_does_not_strand_a_host() {
    let mut links = sound();
    assert!(!links.needs_check(after(250), true));
    assert!(links.needs_check(after(300), true), "no output of any target");
    assert_eq!(links.record_check(after(310), after(300), true), None);
    assert!(!links.is_disconnected());
    assert!(!links.needs_check(after(400), true));
}

#[test]
fn a_host_whose_connections_all_fail_is_disconnected_while_open_streams_go_on() {
    let mut links = sound();
    assert!(links.record_failure());
    links.record_sign(after(10));
    assert!(links.needs_check(after(10), true));
    assert_eq!(links.record_check(after(15), after(10), false), Some(LinkChange::Disconnected));
    links.record_sign(after(20));
    assert!(links.is_disconnected());
}

#[test]
fn a_host_returns_after_two_checks_and_not_between_short_cuts() {
    let mut links = sound();
    links.record_check(after(0), after(0), false);
    assert_eq!(links.record_check(after(200), after(200), true), None);
    assert_eq!(links.record_check(after(400), after(400), false), None, "disconnected already");
    assert_eq!(links.record_check(after(600), after(600), true), None);
    let returned = links.record_check(after(800), after(800), true);
    assert_eq!(returned, Some(LinkChange::Returned(Span::from_millis(800))));
    assert!(!links.is_disconnected());
}

#[test]
fn an_idle_host_checks_its_links_each_second_only() {
    let mut links = sound();
    assert!(!links.needs_check(after(900), false));
    assert!(links.needs_check(after(1_000), false));
    links.record_check(after(1_001), after(1_000), true);
    assert!(!links.needs_check(after(1_900), false));
}
