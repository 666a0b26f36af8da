//! Which needs of items no target meets, and how long an item avoids the target of its last run.

use oleander_core::{Span, Time};
use oleander_relay::VersionChoice;
use oleander_worklist::{AVOID_WAIT, Avoidance, SlotNeed, UnmetNeeds};

const NOW: Time = Time(1_000_000_000);

fn need(avoid: Option<&str>, version: Option<&str>, local_only: bool) -> SlotNeed {
    let versions = version.map_or(VersionChoice::Any, |version| {
        VersionChoice::Only(version.parse().expect("version"))
    });
    let avoid = avoid.map(|target| target.parse().expect("target"));
    SlotNeed { service: "llm".parse().expect("service"), versions, avoid, local_only }
}

fn covers(unmet: SlotNeed, other: &SlotNeed) -> bool {
    let mut needs = UnmetNeeds::default();
    needs.add(unmet);
    needs.covers(other)
}

/// Guards against what one item can't use being taken to be full for all others.
#[test]
fn what_one_item_can_not_use_is_not_full_for_items_that_need_less() {
    let any = need(None, None, false);
    let narrow = [
        need(Some("engine-1"), None, false),
        need(None, Some("v1"), false),
        need(None, None, true),
        need(Some("engine-1"), Some("v1"), true),
    ];
    for need in narrow {
        assert!(!covers(need.clone(), &any), "{need:?} says nothing of {any:?}");
        assert!(covers(any.clone(), &need), "{any:?} is unmet, and so is {need:?}");
        assert!(covers(need.clone(), &need));
    }
    assert!(!covers(need(Some("engine-1"), None, false), &need(Some("engine-2"), None, false)));
    assert!(!covers(need(None, Some("v1"), false), &need(None, Some("v2"), false)));
    let other = SlotNeed { service: "other".parse().expect("service"), ..any.clone() };
    assert!(!covers(any, &other));
}

#[test]
fn an_item_waits_for_another_target_for_a_limited_time_and_only_if_there_is_one() {
    let early = NOW + Span(AVOID_WAIT.0 - 1);
    let late = NOW + AVOID_WAIT;
    let waits = |now: Time, failed: bool, has_other: bool| {
        !Avoidance { since: NOW, failed, has_other }.is_over(now)
    };
    assert!(waits(early, false, true));
    assert!(!waits(late, false, true));
    assert!(!waits(early, false, false), "no other target takes it");
    assert!(waits(late, true, true), "its attempts would be used up at one target");
    assert!(!waits(early, true, false));
}
