//! Hosts that lose their links to all targets, while no target crashes.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use oleander_core::TargetId;

use crate::{HOSTS, TARGETS, WARM_UP, seeds, support::service, targets::Cut, traffic::Fleet};

/// Duration of one cut, and the pause after it.
const CUT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(300);
/// Cuts in series.
const CUTS: usize = 4;

/// Targets that the hosts which were never cut off have sent requests to since `from`.
fn targets_in_use(fleet: &Fleet, cut: &[usize], from: Instant) -> BTreeSet<TargetId> {
    let runs = fleet.crashing.runs();
    let uncut = runs.iter().filter(|run| run.at > from && !cut.contains(&run.host));
    uncut.map(|run| run.target.clone()).collect()
}

async fn cut_in_series(seed: u64, cut: Cut, hosts: &[usize]) {
    let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
    fleet.run(WARM_UP, 0).await;
    let from = Instant::now();
    for _ in 0..CUTS {
        hosts.iter().for_each(|host| fleet.crashing.set_cut(*host, Some(cut)));
        fleet.run(CUT, 0).await;
        hosts.iter().for_each(|host| fleet.crashing.set_cut(*host, None));
        fleet.run(PAUSE, 0).await;
    }
    let case = format!("seed {seed}, {cut:?} at {hosts:?}");
    assert_eq!(fleet.crashing.crashes(), [], "{case}: no target crashes");
    for host in fleet.hosts.live() {
        let pool = host.relay.pools.get(&service()).expect("a pool");
        assert_eq!(pool.quarantine.snapshot().blocks, [], "{case}: blocked parts");
    }
    assert_eq!(targets_in_use(&fleet, hosts, from).len(), TARGETS, "{case}: targets in use");
    let served = fleet.run(Duration::from_millis(500), 0).await;
    let lost = served.iter().find(|one| !one.is_whole);
    assert!(lost.is_none(), "{case}: lost after the cuts: {lost:?}");
}

#[tokio::test]
async fn links_that_a_host_has_lost_to_all_targets_are_no_crashes_of_targets() {
    let cuts = [Cut::Silent, Cut::Refused, Cut::Reset, Cut::NewRefused];
    for seed in 0..seeds() {
        let one = cuts.map(|cut| cut_in_series(seed, cut, &[0]));
        let most = cuts.map(|cut| cut_in_series(seed, cut, &[0, 1, 2]));
        join_all(one.into_iter().chain(most)).await;
    }
}

#[tokio::test]
async fn links_that_a_host_has_lost_to_some_targets_are_no_crashes_of_targets() {
    for seed in 0..seeds() {
        let cuts = [&[0][..], &[0, 1, 2]].map(|hosts| cut_in_series(seed, Cut::SomeRefused, hosts));
        join_all(cuts).await;
    }
}
