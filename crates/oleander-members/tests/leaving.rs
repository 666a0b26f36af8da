//! A host that is leaving stays so in the view of all others, whatever messages or lists arrive
//! later.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod network;

use std::collections::BTreeSet;

use network::{Network, host, host_list};
use oleander_members::{MemberEvent, MemberState};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

const HOSTS: usize = 6;

/// Number of cases per property; `QUICKCHECK_TESTS` overrides it.
const CASES: u64 = 60;

/// Size parameter of the generator, which bounds the number of faults in a case.
const MAX_FAULTS: usize = 40;

/// Checks a property over the cases of one seed; `OLEANDER_SEED` overrides the seed.
fn check(property: impl Testable) {
    let read = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = read("QUICKCHECK_TESTS").unwrap_or(CASES);
    let seed = read("OLEANDER_SEED").unwrap_or(1);
    let rng = Gen::from_size_and_seed(MAX_FAULTS, seed);
    QuickCheck::new().rng(rng).tests(cases).min_tests_passed(cases).quickcheck(property);
}

/// A fault, or a number of rounds between faults.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// All hosts read an older list, in which no host is leaving.
    OldList,
    Loss(u32),
    Partition(usize),
    Heal,
    Pause(usize),
    Resume(usize),
    Run(u64),
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 8 {
            0 => Self::OldList,
            1 => Self::Loss(u32::arbitrary(g) % 60),
            2 => Self::Partition(index),
            3 => Self::Heal,
            4 => Self::Pause(index),
            5 => Self::Resume(index),
            _ => Self::Run(u64::arbitrary(g) % 15),
        }
    }
}

fn inject(net: &mut Network, fault: Fault) {
    match fault {
        Fault::OldList => net.send_list_to_all(&host_list(1, 0..HOSTS, &[])),
        Fault::Loss(percent) => net.loss_percent = percent,
        Fault::Partition(index) => net.nodes[index].partition = 1,
        Fault::Heal => net.nodes.iter_mut().for_each(|node| node.partition = 0),
        Fault::Pause(index) => net.nodes[index].paused = true,
        Fault::Resume(index) if net.nodes[index].paused => net.resume(index),
        Fault::Resume(_) => {}
        Fault::Run(rounds) => net.run(rounds),
    }
}

/// Whether no host that saw host 0 as leaving saw it live, suspect or candidate later.
fn leave_persists(net: &Network) -> bool {
    net.nodes[1..].iter().all(|node| {
        let states = node.changes.iter().filter(|change| change.1 == host(0));
        let mut after = states.skip_while(|change| change.2 != MemberState::Leaving);
        after.all(|change| matches!(change.2, MemberState::Leaving | MemberState::Failed))
    })
}

#[test]
fn a_leave_is_never_undone() {
    fn holds(seed: u64, faults: Vec<Fault>) -> bool {
        let mut net = Network::converged(HOSTS, seed);
        net.handle_event(0, MemberEvent::Leave);
        faults.into_iter().for_each(|fault| inject(&mut net, fault));
        net.run(10);
        leave_persists(&net)
    }
    check(holds as fn(u64, Vec<Fault>) -> bool);
}

#[test]
fn a_listed_leave_is_not_undone_by_an_older_list() {
    fn holds(seed: u64, reader: usize, faults: Vec<Fault>) -> bool {
        let mut net = Network::converged(HOSTS, seed);
        let list = MemberEvent::Listed(host_list(2, 0..HOSTS, &[0]));
        net.handle_event(reader % HOSTS, list);
        faults.into_iter().for_each(|fault| inject(&mut net, fault));
        net.run(10);
        leave_persists(&net)
    }
    check(holds as fn(u64, usize, Vec<Fault>) -> bool);
}

#[test]
fn a_leave_reaches_all_hosts_within_the_bound() {
    for (n, bound) in [(8, 8), (48, 12)] {
        for seed in 0..4 {
            let mut net = Network::converged(n, seed);
            net.handle_event(0, MemberEvent::Leave);
            let rest: Vec<usize> = (1..n).collect();
            let leaving = BTreeSet::from([0]);
            let took =
                net.rounds_until(bound, |net| net.all_see(&rest, &leaving, MemberState::Leaving));
            assert!(took.is_some(), "{n} hosts, seed {seed}");
        }
    }
}

#[test]
fn a_leave_read_from_the_list_by_one_host_reaches_all() {
    let mut net = Network::converged(8, 5);
    net.handle_event(3, MemberEvent::Listed(host_list(2, 0..8, &[0])));
    let (rest, leaving) = ((1..8).collect::<Vec<_>>(), BTreeSet::from([0]));
    let took = net.rounds_until(10, |net| {
        let reported = net.nodes[0].changes.iter().any(|change| change.1 == host(0));
        reported && net.all_see(&rest, &leaving, MemberState::Leaving)
    });
    assert!(took.is_some());
}

#[test]
fn a_newer_list_revokes_a_listed_leave() {
    let mut net = Network::converged(8, 6);
    net.send_list_to_all(&host_list(2, 0..8, &[0]));
    net.send_list_to_all(&host_list(3, 0..8, &[]));
    let rest: Vec<usize> = (1..8).collect();
    assert!(net.all_see(&rest, &BTreeSet::from([0]), MemberState::Live));
}
