//! A request that comes again, with the same path, caller and body.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use oleander_core::PromptPart;
use tokio::time::sleep;

use crate::{
    CONTACT, HOSTS, MAX_LATE_RUNS, TARGETS, WARM_UP, seeds,
    targets::Run,
    traffic::{BAD, BAD_SINGLE, Fleet, Served},
};

/// Own part of a sound request.
const SOUND: u64 = 0x50;
/// Pause between two waves of copies, in which targets start anew.
const PAUSE: Duration = Duration::from_millis(800);
const WAVES: usize = 7;

/// Copies of a request that reached targets too long after the third crash under it.
fn late_copies(fleet: &Fleet, own: PromptPart) -> usize {
    let Some(third) = fleet.crashing.crashes_under(own).get(2).copied() else { return 0 };
    let runs = fleet.crashing.runs();
    runs.iter().filter(|run| run.own == Some(own) && run.at > third + CONTACT).count()
}

fn lost(served: &[Served]) -> Option<&Served> {
    served.iter().find(|one| !one.is_whole)
}

/// Copies of one request at several hosts at once, again and again.
async fn send_waves(seed: u64, copies: usize) {
    let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
    fleet.run(WARM_UP, 0).await;
    for wave in 0..WAVES {
        let hosts: Vec<usize> = (0..copies).map(|copy| (wave + copy) % HOSTS).collect();
        fleet.send_copies(BAD.0, &hosts, PAUSE).await;
    }
    let (late, crashes) = (late_copies(&fleet, BAD), fleet.crashing.crashes().len());
    assert!(late <= MAX_LATE_RUNS, "seed {seed}, {copies} at once: {late}, {crashes} crashes");
}

#[tokio::test]
async fn two_kinds_of_requests_that_come_again_at_once_do_not_end_one_target_after_the_other() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        for wave in 0..WAVES {
            let single = tokio::spawn(fleet.copy(BAD_SINGLE.0, wave % HOSTS));
            fleet.send_copies(BAD.0, &[(wave + 1) % HOSTS], PAUSE).await;
            single.await.expect("no panic");
        }
        for own in [BAD, BAD_SINGLE] {
            let (late, crashes) = (late_copies(&fleet, own), fleet.crashing.crashes_under(own));
            assert!(late <= MAX_LATE_RUNS, "seed {seed}, {own}: {late}, {} crashes", crashes.len());
        }
    }
}

#[tokio::test]
async fn after_a_restart_of_all_hosts_a_request_that_was_at_three_crashed_targets_is_not_forgotten()
{
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        for host in 0..HOSTS {
            if fleet.crashing.crashes().len() < 3 {
                fleet.send_copies(BAD.0, &[host], Duration::from_millis(300)).await;
            }
        }
        (0..HOSTS).for_each(|index| fleet.hosts.kill(index));
        for index in 0..HOSTS {
            fleet.hosts.start_host(index).await;
        }
        fleet.hosts.wait_until_connected().await;
        fleet.run(CONTACT, 0).await;
        for wave in 0..WAVES {
            let hosts = [wave % HOSTS, (wave + 1) % HOSTS];
            fleet.send_copies(BAD.0, &hosts, PAUSE).await;
        }
        let (late, crashes) = (late_copies(&fleet, BAD), fleet.crashing.crashes().len());
        assert!(late <= MAX_LATE_RUNS, "seed {seed}: {late}, {crashes} crashes");
    }
}

#[tokio::test]
async fn a_request_that_comes_again_at_several_hosts_at_once_does_not_end_one_target_after_the_other()
 {
    for seed in 0..seeds() {
        join_all([1, 2, 3, HOSTS].map(|copies| send_waves(seed, copies))).await;
    }
}

/// Waits until a request runs at a target, and ends that target.
async fn end_target_of(fleet: &Fleet, is_request: impl Fn(&Run) -> bool) {
    let from = Instant::now();
    while from.elapsed() < CONTACT {
        let runs = fleet.crashing.runs();
        let run = runs.iter().rev().find(|run| is_request(run));
        if run.is_some_and(|run| fleet.crashing.end(&run.target)) {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("the request reached no further target");
}

#[tokio::test]
async fn a_sound_request_that_was_at_three_targets_when_they_crashed_is_served() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        for host in 0..3 {
            let once = tokio::spawn(fleet.send_once(SOUND, host));
            end_target_of(&fleet, |run| run.request.starts_with("once")).await;
            once.await.expect("no panic");
            fleet.run(Duration::from_millis(150), 0).await;
        }
        for host in 0..HOSTS {
            let served = fleet.send_copies(SOUND, &[host], Duration::ZERO).await;
            assert!(lost(&served).is_none(), "seed {seed}, host {host}: {:?}", lost(&served));
        }
    }
}

#[tokio::test]
async fn a_sound_request_beside_one_that_crashes_targets_again_and_again_is_served() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        for wave in 0..WAVES {
            fleet.send_copies(BAD.0, &[wave % HOSTS], Duration::from_millis(20)).await;
            let served = fleet.send_copies(SOUND, &[(wave + 1) % HOSTS], PAUSE).await;
            let is_served = served.iter().any(|one| one.is_whole);
            assert!(is_served, "seed {seed}, wave {wave}: {:?}", lost(&served));
        }
    }
}
