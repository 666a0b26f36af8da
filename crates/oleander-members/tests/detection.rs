//! Detection of failures, recoveries and restarts within bounds, without false failures.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod network;

use std::collections::BTreeSet;

use network::{Network, host, host_list};
use oleander_core::Time;
use oleander_members::{MemberEvent, MemberState};

const SIZES: [usize; 2] = [8, 48];

/// Number of seeds per test; `MEMBERS_SEEDS` overrides it.
const SEEDS: u64 = 4;

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("MEMBERS_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(SEEDS)
}

/// Rounds within which all hosts mark a dead member failed if no message is lost.
fn failure_bound(n: usize) -> u64 {
    9 + 2 * u64::from((n + 1).next_power_of_two().ilog2())
}

/// Rounds within which all members are live again after a partition or pause ends.
fn heal_bound(n: usize) -> u64 {
    16 + n as u64 / 2
}

fn all(n: usize) -> BTreeSet<usize> {
    (0..n).collect()
}

#[test]
fn all_mark_a_dead_member_failed_within_the_bound() {
    for n in SIZES {
        for seed in seeds() {
            let mut net = Network::converged(n, seed);
            net.nodes[0].alive = false;
            let (rest, dead) = ((1..n).collect::<Vec<_>>(), BTreeSet::from([0]));
            let took = net.rounds_until(failure_bound(n), |net| {
                net.all_see(&rest, &dead, MemberState::Failed)
            });
            assert!(took.is_some(), "{n} hosts, seed {seed}");
            let live = rest.iter().copied().collect();
            assert!(net.all_see(&rest, &live, MemberState::Live), "{n} hosts, seed {seed}");
        }
    }
}

#[test]
fn all_are_live_again_within_the_bound_after_a_partition() {
    for n in SIZES {
        for seed in seeds() {
            let mut net = Network::converged(n, seed);
            (0..n / 2).for_each(|index| net.nodes[index].partition = 1);
            net.run(40);
            let near = (0..n / 2).collect::<Vec<_>>();
            let far = (n / 2..n).collect();
            assert!(net.all_see(&near, &far, MemberState::Failed), "{n} hosts, seed {seed}");
            (0..n).for_each(|index| net.nodes[index].partition = 0);
            let took = net.rounds_until(heal_bound(n), |net| {
                net.all_see(&all(n), &all(n), MemberState::Live)
            });
            assert!(took.is_some(), "{n} hosts, seed {seed}");
        }
    }
}

#[test]
fn a_resumed_member_is_live_again_and_marks_no_other_failed() {
    for n in SIZES {
        for seed in seeds() {
            let mut net = Network::converged(n, seed);
            net.nodes[0].paused = true;
            net.run(40);
            assert_eq!(net.nodes[1].members.state(&host(0)), Some(MemberState::Failed));
            let resumed = net.now;
            net.resume(0);
            let took = net.rounds_until(heal_bound(n), |net| {
                net.all_see(&all(n), &all(n), MemberState::Live)
            });
            assert!(took.is_some(), "{n} hosts, seed {seed}");
            let wrong = net.nodes.iter().flat_map(|node| &node.changes).find(|change| {
                change.0 >= resumed && change.1 != host(0) && change.2 == MemberState::Failed
            });
            assert_eq!(wrong, None, "{n} hosts, seed {seed}");
        }
    }
}

#[test]
fn a_pause_does_not_count_as_time_to_refute() {
    for seed in seeds() {
        let mut net = Network::converged(8, seed);
        net.nodes[1].partition = 1;
        let suspected =
            |net: &Network| net.nodes[0].members.state(&host(1)) == Some(MemberState::Suspect);
        assert!(net.rounds_until(20, suspected).is_some(), "seed {seed}");
        net.nodes[1].partition = 0;
        net.nodes[0].paused = true;
        net.run(40);
        net.resume_disconnected(0);
        net.run(20);
        let failed = |change: &(Time, _, MemberState)| {
            change.1 == host(1) && change.2 == MemberState::Failed
        };
        assert!(!net.nodes[0].changes.iter().any(failed), "seed {seed}");
        assert!(net.all_see(&all(8), &all(8), MemberState::Live), "seed {seed}");
    }
}

#[test]
fn loss_fails_no_live_member() {
    for n in SIZES {
        for seed in seeds() {
            let mut net = Network::converged(n, seed);
            net.loss_percent = 10;
            net.nodes.iter_mut().for_each(|node| node.changes.clear());
            net.run(120);
            let failed = |change: &&(Time, _, MemberState)| change.2 == MemberState::Failed;
            let wrong = net.nodes.iter().flat_map(|node| &node.changes).filter(failed).count();
            assert_eq!(wrong, 0, "{n} hosts, seed {seed}");
        }
    }
}

#[test]
fn a_listed_host_that_never_answers_is_never_live() {
    let mut net = Network::new(8, 1);
    net.nodes[3].alive = false;
    net.run(30);
    net.send_list_to_all(&host_list(2, 0..8, &[]));
    net.run(30);
    let live =
        |change: &(Time, _, MemberState)| change.1 == host(3) && change.2 == MemberState::Live;
    for index in (0..8).filter(|&index| index != 3) {
        assert!(!net.nodes[index].changes.iter().any(live), "host {index}");
    }
}

#[test]
fn a_host_that_answers_is_live_though_the_list_drops_it() {
    let mut net = Network::converged(8, 2);
    net.send_list_to_all(&host_list(2, 0..7, &[]));
    net.run(200);
    assert!(net.all_see(&all(7), &BTreeSet::from([7]), MemberState::Live));
}

#[test]
fn a_dead_host_that_the_list_drops_is_removed() {
    let mut net = Network::converged(8, 3);
    net.nodes[7].alive = false;
    net.run(40);
    net.send_list_to_all(&host_list(2, 0..7, &[]));
    net.run(400);
    for index in 0..7 {
        assert_eq!(net.nodes[index].members.state(&host(7)), None, "host {index}");
    }
}

#[test]
fn a_restarted_process_is_live_again() {
    let mut net = Network::converged(8, 4);
    net.handle_event(5, MemberEvent::Leave);
    net.run(4);
    net.nodes[5].alive = false;
    net.run(30);
    net.restart(5, host_list(1, 0..8, &[]));
    let took =
        net.rounds_until(heal_bound(8), |net| net.all_see(&all(8), &all(8), MemberState::Live));
    assert!(took.is_some());
}
