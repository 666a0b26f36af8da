//! Assignment of preferred targets to hosts, and its effect on bursts of load.

use std::collections::{BTreeMap, BTreeSet};

use oleander_core::{HostId, Span, TargetId, Time, ZoneId};
use oleander_routing::{
    Decision, Observation, Pick, Router, RouterConfig, Target, preferred_targets,
};

const HOSTS: usize = 3;
const TARGETS: usize = 6;
const SLOTS: u32 = 8;

fn zone(name: &str) -> ZoneId {
    name.parse().expect("name of a data centre")
}

fn host(index: usize) -> HostId {
    format!("entry-{index}").parse().expect("name of a host")
}

fn target_id(index: usize) -> TargetId {
    format!("engine-{index}").parse().expect("name of a target")
}

fn preferred_of(
    host: &HostId,
    hosts: &[HostId],
    at: &ZoneId,
    all: &[(TargetId, ZoneId)],
) -> Vec<TargetId> {
    preferred_targets(host, hosts, at, all.iter().map(|(target, zone)| (target, zone)))
}

#[test]
fn each_target_is_preferred_by_one_host_of_its_zone() {
    let (near, far) = (zone("near"), zone("far"));
    let mut all: Vec<_> = (0..7).map(|index| (target_id(index), near.clone())).collect();
    all.extend((7..10).map(|index| (target_id(index), far.clone())));
    let hosts: Vec<_> = (0..HOSTS).map(host).collect();
    let mut seen = BTreeSet::new();
    for host in &hosts {
        let own = preferred_of(host, &hosts, &near, &all);
        assert!((2..=3).contains(&own.len()), "numbers of targets differ by at most one: {own:?}");
        own.into_iter().for_each(|target| assert!(seen.insert(target)));
    }
    assert_eq!(seen.len(), 7);
}

#[test]
fn a_host_that_is_not_listed_prefers_no_target() {
    let near = zone("near");
    let all = [(target_id(0), near.clone())];
    assert!(preferred_of(&host(9), &[host(0)], &near, &all).is_empty());
}

/// Largest number of requests at one target after a burst over all hosts, which is too short for
/// them to exchange counts.
fn max_at_one_target(with_preferred: bool, requests: usize) -> u32 {
    let near = zone("near");
    let hosts: Vec<_> = (0..HOSTS).map(host).collect();
    let names: Vec<_> = (0..TARGETS).map(|index| (target_id(index), near.clone())).collect();
    let mut routers: Vec<Router> = (0..HOSTS)
        .map(|index| {
            let config = RouterConfig::new(host(index), near.clone()).draws(64);
            let mut router = Router::new(config, index as u64);
            let targets = names.iter().map(|(name, zone)| Target {
                name: name.clone(),
                zone: zone.clone(),
                limit: SLOTS,
                reserve: 2,
            });
            router.set_targets(targets.collect());
            if with_preferred {
                router.set_preferred(&preferred_of(&host(index), &hosts, &near, &names));
            }
            router
        })
        .collect();
    let mut requests_at: BTreeMap<TargetId, u32> = BTreeMap::new();
    for index in 0..requests {
        let router = &mut routers[index % HOSTS];
        let ticket = router.ticket();
        let decision = router.pick(Time(1_000_000 + index as u64), &Pick::online(ticket));
        let Decision::Send { target, lease, .. } = decision else { continue };
        router.observe(Time(1_000_000 + index as u64), lease, Observation::FirstOutput);
        *requests_at.entry(target).or_default() += 1;
    }
    requests_at.into_values().max().unwrap_or_default()
}

#[test]
fn a_burst_within_the_capacity_queues_at_no_target() {
    let fits = TARGETS * SLOTS as usize * 9 / 10;
    assert!(max_at_one_target(true, fits) <= SLOTS);
    assert!(
        max_at_one_target(false, fits) > SLOTS,
        "without preferred targets the same burst queues"
    );
}

#[test]
fn a_host_whose_preferred_targets_are_full_sends_elsewhere() {
    let near = zone("near");
    let hosts = [host(0), host(1)];
    let names: Vec<_> = (0..2).map(|index| (target_id(index), near.clone())).collect();
    let config = RouterConfig::new(host(0), near.clone()).draws(64).max_wait(Span::from_millis(1));
    let mut router = Router::new(config, 1);
    let targets = names.iter().map(|(name, zone)| Target {
        name: name.clone(),
        zone: zone.clone(),
        limit: 4,
        reserve: 0,
    });
    router.set_targets(targets.collect());
    router.set_preferred(&preferred_of(&host(0), &hosts, &near, &names));
    let sent: Vec<TargetId> = (0..8)
        .filter_map(|index| {
            let ticket = router.ticket();
            match router.pick(Time(index), &Pick::online(ticket)) {
                Decision::Send { target, .. } => Some(target),
                Decision::Wait | Decision::Refuse { .. } => None,
            }
        })
        .collect();
    assert_eq!(sent.len(), 8);
    assert_eq!(sent[0], target_id(0));
    assert!(sent.contains(&target_id(1)));
}
