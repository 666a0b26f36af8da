//! Targets that the platform lists.

mod support;

use oleander_relay::{TargetEntry, TargetList};

use crate::support::target;

/// A run of a target at the address of the target `number`.
fn run(number: u16, id: &str, started_at: Option<u64>) -> TargetEntry {
    TargetEntry { id: id.parse().expect("target"), started_at, ..target(number) }
}

fn listed(entries: &[TargetEntry]) -> Vec<String> {
    let mut list = TargetList::default();
    entries.iter().cloned().for_each(|entry| list.upsert(entry));
    list.targets().map(|target| target.id.to_string()).collect()
}

#[test]
fn an_address_is_not_used_under_the_id_of_an_earlier_run() {
    let runs = [run(1, "old", Some(10)), run(1, "new", Some(20)), run(2, "other", Some(5))];
    assert_eq!(listed(&runs), ["new", "other"]);
    let unknown = [run(1, "a", None), run(1, "b", Some(20)), run(1, "c", None)];
    assert_eq!(listed(&unknown), ["a", "b", "c"], "a run that does not state its start stays");
}
