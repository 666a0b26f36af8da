//! Load reports within a data centre, and their sums for the other data centres.

#![allow(clippy::unwrap_used)]

use oleander_cluster::{ServiceLoad, ZoneLoad, select_reporter};
use oleander_core::{HostId, ServiceId, Span, TargetId, Time, ZoneId};
use oleander_routing::PeerCount;

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

fn load(rows: &[(&str, u32, u32)]) -> Vec<ServiceLoad> {
    let service: ServiceId = "llm".parse().unwrap();
    let count = |(target, online, batch): &(&str, u32, u32)| {
        let target: TargetId = target.parse().unwrap();
        PeerCount { target, online: *online, batch: *batch }
    };
    vec![ServiceLoad { service, counts: rows.iter().map(count).collect() }]
}

fn at(millis: u64) -> Time {
    Time(0) + Span::from_millis(millis)
}

#[test]
fn sums_include_own_work_and_the_last_report_of_each_host() {
    let mut zone = ZoneLoad::default();
    zone.record(at(0), &host("b"), load(&[("t1", 5, 0)]));
    zone.record(at(100), &host("b"), load(&[("t1", 1, 2), ("t2", 1, 0)]));
    zone.record(at(100), &host("c"), load(&[("t2", 0, 3)]));
    let sums = zone.sums(at(200), load(&[("t1", 1, 0)]));
    assert_eq!(sums, load(&[("t1", 2, 2), ("t2", 1, 3)]));
}

#[test]
fn a_host_without_recent_reports_is_left_out_of_the_sums() {
    let mut zone = ZoneLoad::default();
    zone.record(at(0), &host("b"), load(&[("t1", 5, 0)]));
    zone.record(at(2_000), &host("c"), load(&[("t1", 1, 0)]));
    assert_eq!(zone.sums(at(2_100), Vec::new()), load(&[("t1", 1, 0)]));
}

#[test]
fn a_change_of_reporter_returns_the_previous_one() {
    let mut zone = ZoneLoad::default();
    let far: ZoneId = "far".parse().unwrap();
    assert_eq!(zone.set_reporter(far.clone(), &host("x")), None);
    assert_eq!(zone.set_reporter(far.clone(), &host("x")), None);
    assert_eq!(zone.set_reporter(far, &host("y")), Some(host("x")));
}

#[test]
fn hosts_agree_on_one_reporter_and_on_its_successor() {
    let mut hosts: Vec<HostId> = (0..20).map(|n| host(&format!("h{n}"))).collect();
    let first = select_reporter(&hosts).unwrap().clone();
    hosts.reverse();
    assert_eq!(select_reporter(&hosts), Some(&first));
    hosts.retain(|host| *host != first);
    assert!(select_reporter(&hosts).is_some_and(|next| *next != first));
    assert_eq!(select_reporter(&[]), None);
}
