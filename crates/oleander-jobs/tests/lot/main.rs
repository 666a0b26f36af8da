//! [`Lot`] state machines of several hosts that run one lot, against a simulated platform.
//!
//! Guards against duplicate, missing or wrong results when requests to the platform and their
//! responses are lost, hosts claim the lot concurrently, hosts restart, and targets or items fail.

#![allow(clippy::unwrap_used)]

mod simulation;

use oleander_core::ItemIndex;
use oleander_jobs::{Counts, ItemError, ItemResult, LotEnd, RunOutcome};
use quickcheck::{Gen, QuickCheck};

use simulation::{
    DEADLINE, HOSTS, ITEMS, ItemKind, MAX_TRIES, SEED, Simulation, Step, host, is_expected,
    pad_kinds,
};

#[test]
fn each_item_has_one_fitting_outcome() {
    fn property(kinds: Vec<ItemKind>, steps: Vec<Step>) -> bool {
        let kinds = pad_kinds(&kinds);
        let mut sim = Simulation::new(kinds.clone());
        steps.into_iter().for_each(|step| sim.step(step));
        sim.settle();
        let Some(counts) = sim.closed() else { return false };
        let outcomes = sim.outcomes();
        let are_expected = outcomes.iter().zip(&kinds).all(|(results, &kind)| {
            results.len() == 1 && results.iter().all(|result| is_expected(kind, result))
        });
        let valid = kinds.iter().filter(|&&kind| kind == ItemKind::Valid).count() as u32;
        are_expected && counts == Counts { completed: valid, failed: ITEMS - valid }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(400)
        .quickcheck(property as fn(Vec<ItemKind>, Vec<Step>) -> bool);
}

#[test]
fn an_item_that_kills_its_target_fails_within_the_bound() {
    let mut kinds = vec![ItemKind::Valid; ITEMS as usize];
    kinds[3] = ItemKind::Crashing;
    let mut sim = Simulation::new(kinds);
    sim.settle();
    assert_eq!(sim.closed(), Some(Counts { completed: ITEMS - 1, failed: 1 }));
    assert_eq!(sim.crashes.get(&ItemIndex(103)), Some(&(MAX_TRIES + 1)));
}

#[test]
fn faults_of_targets_use_up_no_try() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    for step in 0..600 {
        sim.wait(10);
        for h in 0..HOSTS {
            sim.call(h, true, true);
            sim.offer_slot(h, step);
            sim.finish_oldest(h, RunOutcome::NotRun);
            sim.offer_slot(h, step + 1);
            sim.finish_oldest(h, RunOutcome::Failed { target_healthy: false });
        }
    }
    assert_eq!(sim.closed(), None);
    sim.settle();
    assert_eq!(sim.closed(), Some(Counts { completed: ITEMS, failed: 0 }));
}

#[test]
fn remaining_items_fail_at_the_deadline() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    sim.now = DEADLINE;
    sim.settle();
    let expected = ItemResult::failed(ItemError::DeadlineExceeded, 0);
    assert_eq!(sim.closed(), Some(Counts { completed: 0, failed: ITEMS }));
    assert!(sim.outcomes().iter().all(|results| results == &[&expected]));
}

#[test]
fn a_paused_holder_writes_nothing_after_its_successor() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    for _ in 0..10 {
        sim.wait(1);
        sim.call(0, true, true);
    }
    assert!(sim.hosts[0].lot.is_held());
    sim.offer_slot(0, 0);
    let paused = std::mem::replace(&mut sim.hosts[0], host(9, 99, sim.now));
    sim.settle();
    let segments = sim.segments.len();
    sim.hosts[0] = paused;
    sim.finish_run(0);
    sim.wait(50);
    for _ in 0..10 {
        sim.call(0, true, true);
    }
    assert_eq!(sim.segments.len(), segments);
    assert!(sim.outcomes().iter().all(|results| results.len() == 1));
    assert_eq!(sim.hosts[0].ends, [LotEnd::Superseded]);
}

#[test]
fn an_outage_takes_no_lot_from_its_holder() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    for _ in 0..10 {
        sim.wait(1);
        sim.call(0, true, true);
    }
    assert!(sim.hosts[0].lot.is_held());
    for _ in 0..10 {
        sim.wait(1);
        sim.call(1, true, true);
    }
    sim.offer_slot(0, 0);
    sim.finish_run(0);
    sim.offer_slot(0, 1);
    // The platform fails all calls for 60 s, which is longer than the claim timeout.
    for _ in 0..300 {
        sim.wait(1);
        (0..2).for_each(|h| sim.call(h, false, false));
    }
    // After the outage only the other host has a path to the platform for 3 s.
    for _ in 0..15 {
        sim.wait(1);
        (0..4).for_each(|_| sim.call(1, true, true));
    }
    for _ in 0..20 {
        sim.wait(1);
        (0..2).for_each(|h| sim.call(h, true, true));
    }
    assert!(sim.hosts[0].lot.is_held());
    assert_eq!(sim.hosts[0].ends, []);
    assert_eq!(sim.outcomes().iter().map(Vec::len).sum::<usize>(), 1);
}
