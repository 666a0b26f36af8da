//! Capacity, order and selection of timeline events.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleander_core::{EventKind, Time};
use oleander_host::Timeline;
use quickcheck::{Gen, QuickCheck, Testable};

fn timeline(capacity: usize) -> Timeline {
    Timeline::new("entry-1".parse().unwrap(), capacity)
}

/// Runs a property on generated cases with a fixed seed.
fn check(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).quickcheck(property);
}

#[test]
fn the_newest_events_are_kept() {
    fn holds(capacity: u8, count: u8) -> bool {
        let (capacity, count) = (usize::from(capacity).max(1), usize::from(count));
        let timeline = timeline(capacity);
        for n in 0..count {
            timeline.record(Time(n as u64), EventKind::Accepted, format!("r-{n}"), "");
        }
        let kept = timeline.events(None, Time(0));
        let newest = (count.saturating_sub(capacity)..count).map(|n| Time(n as u64));
        kept.iter().map(|event| event.at).eq(newest)
    }
    check(holds as fn(u8, u8) -> bool);
}

#[test]
fn logical_time_exceeds_that_of_each_received_message() {
    fn holds(steps: Vec<Option<u32>>) -> bool {
        let timeline = timeline(8);
        let mut last = 0;
        steps.into_iter().all(|step| match step {
            Some(received) => {
                timeline.advance_to(u64::from(received));
                last = last.max(u64::from(received));
                timeline.logical_time() == last
            }
            None => {
                let logical = timeline.record(Time(0), EventKind::Answered, "", "");
                let grown = logical > last;
                last = logical;
                grown
            }
        })
    }
    check(holds as fn(Vec<Option<u32>>) -> bool);
}

#[test]
fn events_are_selected_by_subject_and_time() {
    let timeline = timeline(8);
    timeline.record(Time(1), EventKind::Accepted, "a", "");
    timeline.record(Time(2), EventKind::Accepted, "b", "");
    timeline.record(Time(3), EventKind::Answered, "a", "");
    let events = timeline.events(Some("a"), Time(2));
    assert_eq!(events.len(), 1);
    assert_eq!((events[0].sequence, &events[0].kind), (3, &EventKind::Answered));
}
