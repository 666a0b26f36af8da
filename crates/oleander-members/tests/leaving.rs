//! A host that is leaving takes no new work, whatever arrives later.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod network;

use std::collections::BTreeSet;

use network::{Network, host, host_list};
use oleander_members::{MemberEvent, MemberState};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

const HOSTS: usize = 6;

/// Cases of each property, unless `QUICKCHECK_TESTS` sets another number.
const CASES: u64 = 60;

/// Longest list of disturbances.
const DISTURBANCES: usize = 40;

/// Checks a property over the cases of one seed, which `OLEANDER_SEED` replaces.
fn check(property: impl Testable) {
    let read = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = read("QUICKCHECK_TESTS").unwrap_or(CASES);
    let seed = read("OLEANDER_SEED").unwrap_or(1);
    let rng = Gen::from_size_and_seed(DISTURBANCES, seed);
    QuickCheck::new().rng(rng).tests(cases).min_tests_passed(cases).quickcheck(property);
}

/// A disturbance between rounds.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    /// All read a list older than the newest, without the mark.
    OldList,
    Loss(u32),
    Split(usize),
    Join,
    Pause(usize),
    Resume(usize),
    Run(u64),
}

impl Arbitrary for Disturbance {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 8 {
            0 => Self::OldList,
            1 => Self::Loss(u32::arbitrary(g) % 60),
            2 => Self::Split(at),
            3 => Self::Join,
            4 => Self::Pause(at),
            5 => Self::Resume(at),
            _ => Self::Run(u64::arbitrary(g) % 15),
        }
    }
}

fn disturb(net: &mut Network, disturbance: Disturbance) {
    match disturbance {
        Disturbance::OldList => net.list_all(&host_list(1, 0..HOSTS, &[])),
        Disturbance::Loss(percent) => net.loss = percent,
        Disturbance::Split(at) => net.nodes[at].group = 1,
        Disturbance::Join => net.nodes.iter_mut().for_each(|node| node.group = 0),
        Disturbance::Pause(at) => net.nodes[at].paused = true,
        Disturbance::Resume(at) if net.nodes[at].paused => net.resume(at),
        Disturbance::Resume(_) => {}
        Disturbance::Run(rounds) => net.run(rounds),
    }
}

/// Whether no host that saw host 0 leave saw it stay afterwards.
fn leaving_holds(net: &Network) -> bool {
    net.nodes[1..].iter().all(|node| {
        let states = node.changes.iter().filter(|change| change.1 == host(0));
        let mut after = states.skip_while(|change| change.2 != MemberState::Leaving);
        after.all(|change| matches!(change.2, MemberState::Leaving | MemberState::Failed))
    })
}

#[test]
fn a_leave_is_never_undone() {
    fn holds(seed: u64, disturbances: Vec<Disturbance>) -> bool {
        let mut net = Network::settled(HOSTS, seed);
        net.event(0, MemberEvent::Leave);
        disturbances.into_iter().for_each(|d| disturb(&mut net, d));
        net.run(10);
        leaving_holds(&net)
    }
    check(holds as fn(u64, Vec<Disturbance>) -> bool);
}

#[test]
fn a_listed_leave_is_not_undone_by_an_older_list() {
    fn holds(seed: u64, reader: usize, disturbances: Vec<Disturbance>) -> bool {
        let mut net = Network::settled(HOSTS, seed);
        let list = MemberEvent::Listed(host_list(2, 0..HOSTS, &[0]));
        net.event(reader % HOSTS, list);
        disturbances.into_iter().for_each(|d| disturb(&mut net, d));
        net.run(10);
        leaving_holds(&net)
    }
    check(holds as fn(u64, usize, Vec<Disturbance>) -> bool);
}

#[test]
fn a_leave_is_seen_by_all_within_the_bound() {
    for (n, bound) in [(8, 8), (48, 12)] {
        for seed in 0..4 {
            let mut net = Network::settled(n, seed);
            net.event(0, MemberEvent::Leave);
            let rest: Vec<usize> = (1..n).collect();
            let leaver = BTreeSet::from([0]);
            let took =
                net.rounds_until(bound, |net| net.all_see(&rest, &leaver, MemberState::Leaving));
            assert!(took.is_some(), "{n} hosts, seed {seed}");
        }
    }
}

#[test]
fn one_reader_of_the_list_tells_all_that_a_host_leaves() {
    let mut net = Network::settled(8, 5);
    net.event(3, MemberEvent::Listed(host_list(2, 0..8, &[0])));
    let (rest, leaver) = ((1..8).collect::<Vec<_>>(), BTreeSet::from([0]));
    let took = net.rounds_until(10, |net| {
        let told = net.nodes[0].changes.iter().any(|change| change.1 == host(0));
        told && net.all_see(&rest, &leaver, MemberState::Leaving)
    });
    assert!(took.is_some());
}

#[test]
fn a_newer_list_takes_its_mark_back() {
    let mut net = Network::settled(8, 6);
    net.list_all(&host_list(2, 0..8, &[0]));
    net.list_all(&host_list(3, 0..8, &[]));
    let rest: Vec<usize> = (1..8).collect();
    assert!(net.all_see(&rest, &BTreeSet::from([0]), MemberState::Live));
}
