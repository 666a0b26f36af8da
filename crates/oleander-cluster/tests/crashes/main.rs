//! Requests at several hosts, of which some have a part in their prompts that crashes targets.

mod cuts;
mod disconnected;
mod helpers;
mod repeats;
#[path = "../support/hosts.rs"]
mod support;
mod targets;
mod traffic;

use std::time::{Duration, Instant};

use tokio::time::sleep;

use targets::CrashTargets;
use traffic::{Fleet, Served};

/// Seeds of the tests, unless `CRASH_SEEDS` names another number of them.
const SEEDS: u64 = 2;
const HOSTS: usize = 5;
const TARGETS: usize = 10;
/// Time in which hosts learn which parts many requests share.
const WARM_UP: Duration = Duration::from_millis(2_200);
/// Time in which hosts may still learn of the fifth crash.
const CONTACT: Duration = Duration::from_millis(500);
/// Requests with the bad part that may reach targets after that.
const MAX_LATE_RUNS: usize = 3;

fn seeds() -> u64 {
    std::env::var("CRASH_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Bad requests that reached targets too long after the fifth crash.
fn late_runs(targets: &CrashTargets) -> usize {
    let Some(fifth) = targets.crashes().get(4).copied() else { return 0 };
    let runs = targets.runs();
    runs.iter().filter(|run| run.is_bad && run.at > fifth + CONTACT).count()
}

/// Share of sound requests served whole at the first attempt, in per mille, of those sent after `from`.
fn served_per_mille(served: &[Served], from: Instant) -> usize {
    let sound = served.iter().filter(|one| !one.is_bad && !one.is_repeat && one.at > from);
    let (whole, all) =
        sound.fold((0, 0), |(whole, all), one| (whole + usize::from(one.is_whole), all + 1));
    whole * 1_000 / all.max(1)
}

#[tokio::test]
async fn requests_with_a_crashing_part_do_not_end_one_target_after_the_other() {
    for (seed, share) in (0..seeds()).flat_map(|seed| [(seed, 30), (seed, 300)]) {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(Duration::from_millis(300), 0).await;
        let served = fleet.run(Duration::from_secs(4), share).await;
        let (late, crashes) = (late_runs(&fleet.crashing), fleet.crashing.crashes());
        assert!(late <= MAX_LATE_RUNS, "seed {seed}, share {share}: {late} of {}", crashes.len());
        let from = crashes.get(4).map_or(crashes[0], |fifth| *fifth) + CONTACT * 2;
        let sound = served_per_mille(&served, from);
        let lost = served.iter().find(|one| !one.is_bad && !one.is_whole && one.at > from);
        let lost = lost.map(|one| &one.summary);
        assert!(sound > 500, "seed {seed}, share {share}: {sound} per mille served, not {lost:?}");
    }
}

/// A fleet that has blocked the bad part, with some time for the news.
async fn blocking_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
    fleet.run(WARM_UP, 0).await;
    fleet.run(Duration::from_secs(3), 200).await;
    assert_eq!(fleet.send_bad(2 * HOSTS).await, 0, "blocked at all hosts");
    fleet
}

#[tokio::test]
async fn a_host_that_starts_anew_does_not_send_a_part_that_others_have_blocked() {
    for seed in 0..seeds() {
        let mut fleet = blocking_fleet(seed).await;
        fleet.hosts.kill(0);
        fleet.hosts.start_host(0).await;
        fleet.hosts.wait_until_connected().await;
        sleep(CONTACT).await;
        assert_eq!(fleet.send_bad(4 * HOSTS).await, 0, "seed {seed}");
    }
}

#[tokio::test]
async fn a_host_that_was_cut_off_does_not_send_a_part_that_others_have_blocked_meanwhile() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        fleet.hosts.cut_off(0);
        fleet.run(Duration::from_secs(3), 200).await;
        fleet.hosts.reconnect(0);
        fleet.hosts.wait_until_connected().await;
        sleep(CONTACT * 2).await;
        assert_eq!(fleet.send_bad(4 * HOSTS).await, 0, "seed {seed}");
    }
}

#[tokio::test]
async fn hosts_that_have_not_reached_each_other_by_probes_share_what_crashes_targets() {
    let mut fleet = Fleet::start_unprobed(0, HOSTS, TARGETS).await;
    fleet.run(WARM_UP, 0).await;
    fleet.run(Duration::from_secs(1), 200).await;
    sleep(CONTACT).await;
    assert_eq!(fleet.send_bad(4 * HOSTS).await, 0);
}

#[tokio::test]
async fn after_a_restart_of_all_hosts_a_blocked_part_is_not_forgotten() {
    for seed in 0..seeds() {
        let mut fleet = blocking_fleet(seed).await;
        (0..HOSTS).for_each(|index| fleet.hosts.kill(index));
        for index in 0..HOSTS {
            fleet.hosts.start_host(index).await;
        }
        fleet.hosts.wait_until_connected().await;
        sleep(CONTACT).await;
        assert_eq!(fleet.send_bad(2 * HOSTS).await, 0, "seed {seed}");
    }
}

#[tokio::test]
async fn targets_that_end_at_one_moment_do_not_block_sound_requests() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(Duration::from_millis(300), 0).await;
        for _ in 0..3 {
            fleet.end_half();
            fleet.run(Duration::from_millis(400), 0).await;
        }
        let from = Instant::now();
        let served = fleet.run(Duration::from_secs(1), 0).await;
        let sound = served_per_mille(&served, from);
        let lost = served.iter().find(|one| !one.is_whole).map(|one| &one.summary);
        assert!(sound > 990, "seed {seed}: {sound} per mille served, not {lost:?}");
    }
}

#[tokio::test]
async fn a_sound_request_beside_crashing_ones_is_sent_to_another_target() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        let served = fleet.run(Duration::from_secs(3), 30).await;
        let sound = served.iter().filter(|one| !one.is_bad);
        let (whole, all) =
            sound.fold((0, 0), |(whole, all), one| (whole + usize::from(one.is_whole), all + 1));
        assert!(whole * 100 >= all * 97, "seed {seed}: {whole} of {all} served");
    }
}
