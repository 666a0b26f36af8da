//! The division of targets among hosts, and what it does for a load that jumps.

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

fn target(index: usize) -> TargetId {
    format!("engine-{index}").parse().expect("name of a target")
}

fn homes_of(
    host: &HostId,
    hosts: &[HostId],
    at: &ZoneId,
    all: &[(TargetId, ZoneId)],
) -> Vec<TargetId> {
    preferred_targets(host, hosts, at, all.iter().map(|(target, zone)| (target, zone)))
}

#[test]
fn each_target_is_the_home_of_one_host_of_its_zone() {
    let (near, far) = (zone("near"), zone("far"));
    let mut all: Vec<_> = (0..7).map(|index| (target(index), near.clone())).collect();
    all.extend((7..10).map(|index| (target(index), far.clone())));
    let hosts: Vec<_> = (0..HOSTS).map(host).collect();
    let mut seen = BTreeSet::new();
    for host in &hosts {
        let own = homes_of(host, &hosts, &near, &all);
        assert!((2..=3).contains(&own.len()), "shares differ by one at most: {own:?}");
        own.into_iter().for_each(|target| assert!(seen.insert(target)));
    }
    assert_eq!(seen.len(), 7);
}

#[test]
fn a_host_that_is_not_listed_has_no_homes() {
    let near = zone("near");
    let all = [(target(0), near.clone())];
    assert!(homes_of(&host(9), &[host(0)], &near, &all).is_empty());
}

/// Plays one jump: every host gets requests faster than it hears of the others' work. Returns the
/// most requests at one target.
fn most_at_one_target(divided: bool, requests: usize) -> u32 {
    let near = zone("near");
    let hosts: Vec<_> = (0..HOSTS).map(host).collect();
    let names: Vec<_> = (0..TARGETS).map(|index| (target(index), near.clone())).collect();
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
            if divided {
                router.set_preferred(&homes_of(&host(index), &hosts, &near, &names));
            }
            router
        })
        .collect();
    let mut work: BTreeMap<TargetId, u32> = BTreeMap::new();
    for turn in 0..requests {
        let router = &mut routers[turn % HOSTS];
        let ticket = router.ticket();
        let decision = router.pick(Time(1_000_000 + turn as u64), &Pick::online(ticket));
        let Decision::Send { target, lease, .. } = decision else { continue };
        router.observe(Time(1_000_000 + turn as u64), lease, Observation::FirstOutput);
        *work.entry(target).or_default() += 1;
    }
    work.into_values().max().unwrap_or_default()
}

#[test]
fn a_jump_that_fits_queues_at_no_target() {
    let fits = TARGETS * SLOTS as usize * 9 / 10;
    assert!(most_at_one_target(true, fits) <= SLOTS);
    assert!(most_at_one_target(false, fits) > SLOTS, "without homes the same load queues");
}

#[test]
fn a_host_whose_homes_are_full_sends_elsewhere() {
    let near = zone("near");
    let hosts = [host(0), host(1)];
    let names: Vec<_> = (0..2).map(|index| (target(index), near.clone())).collect();
    let config = RouterConfig::new(host(0), near.clone()).draws(64).max_wait(Span::from_millis(1));
    let mut router = Router::new(config, 1);
    let targets = names.iter().map(|(name, zone)| Target {
        name: name.clone(),
        zone: zone.clone(),
        limit: 4,
        reserve: 0,
    });
    router.set_targets(targets.collect());
    router.set_preferred(&homes_of(&host(0), &hosts, &near, &names));
    let sent: Vec<TargetId> = (0..8)
        .filter_map(|turn| {
            let ticket = router.ticket();
            match router.pick(Time(turn), &Pick::online(ticket)) {
                Decision::Send { target, .. } => Some(target),
                Decision::Wait | Decision::Refuse { .. } => None,
            }
        })
        .collect();
    assert_eq!(sent.len(), 8);
    assert_eq!(sent[0], target(0));
    assert!(sent.contains(&target(1)));
}
