//! Callers of hosts that have lost their links to all targets.

use std::time::{Duration, Instant};

use futures_util::future::join_all;

use crate::{
    HOSTS, TARGETS, WARM_UP, seeds,
    targets::Cut,
    traffic::{Fleet, Served},
};

/// Duration of a cut.
const CUT: Duration = Duration::from_millis(3_000);
/// Time after its begin in which a host may not know of it.
const DETECTION: Duration = Duration::from_millis(1_200);

/// Share of requests served whole at the first attempt, in per mille, at hosts that are cut off or
/// at the others.
fn served_per_mille(served: &[Served], at_cut: bool, cut: &[usize]) -> usize {
    let first = served.iter().filter(|one| !one.is_repeat);
    let here: Vec<&Served> = first.filter(|one| cut.contains(&one.host) == at_cut).collect();
    let whole = here.iter().filter(|one| one.is_whole).count();
    whole * 1_000 / here.len().max(1)
}

/// Cuts hosts off from all targets for a while; returns what callers got after the detection.
async fn cut(fleet: &mut Fleet, cut: Cut, hosts: &[usize]) -> Vec<Served> {
    hosts.iter().for_each(|host| fleet.crashing.set_cut(*host, Some(cut)));
    let from = Instant::now();
    let mut served = fleet.run(CUT, 0).await;
    hosts.iter().for_each(|host| fleet.crashing.set_cut(*host, None));
    served.retain(|one| one.at > from + DETECTION);
    served
}

async fn callers_are_served(seed: u64, how: Cut, hosts: &[usize]) {
    let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
    fleet.run(WARM_UP, 0).await;
    let served = cut(&mut fleet, how, hosts).await;
    let [at_cut, at_others] = [true, false].map(|at| served_per_mille(&served, at, hosts));
    let lost = served.iter().find(|one| !one.is_whole && hosts.contains(&one.host));
    let case = format!("seed {seed}, {how:?} at {hosts:?}");
    assert!(at_cut >= 900, "{case}: {at_cut} per mille, others {at_others}, not {lost:?}");
    assert!(at_others >= 990, "{case}: {at_others} per mille at hosts that were not cut off");
}

#[tokio::test]
async fn callers_of_hosts_without_links_to_targets_are_served_through_other_hosts() {
    for seed in 0..seeds() {
        for how in [Cut::Refused, Cut::Reset, Cut::NewRefused, Cut::Silent] {
            let cases: [&[usize]; 2] = [&[0], &[0, 1, 2]];
            join_all(cases.map(|hosts| callers_are_served(seed, how, hosts))).await;
        }
    }
}

#[tokio::test]
async fn callers_of_hosts_that_reach_half_of_the_targets_are_served() {
    for seed in 0..seeds() {
        let cuts = [Cut::SomeRefused, Cut::SomeSilent];
        join_all(cuts.map(|how| callers_are_served(seed, how, &[0, 1]))).await;
    }
}
