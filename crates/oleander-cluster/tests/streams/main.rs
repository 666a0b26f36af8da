//! Streams that callers take up again at other hosts, while targets of several versions serve.

mod hosts;
mod outdated;
mod power;
mod replaced;
mod restarts;
mod runs;
#[path = "../support/hosts.rs"]
mod support;

use futures_util::future::join_all;
use oleander_core::Span;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use hosts::{
    EVENTS, Hosts, LAST_BEFORE, OLD, beginning, forward, list_at_some, resuming, start,
    start_unprobed, targets,
};

/// Seeds of the rollouts, unless `STREAM_SEEDS` names another number of them.
const SEEDS: u64 = 2;
const ROUNDS: usize = 6;
const HOSTS: usize = 6;
/// Streams of one round.
const STREAMS: usize = 24;

/// A stream as its caller has it so far.
#[derive(Debug, Clone)]
struct Begun {
    id: String,
    version: String,
}

/// Begins streams at the hosts of these indexes, in turns.
async fn begin(hosts: &Hosts, at: &[usize], name: &str) -> Vec<Begun> {
    let one = |number: usize| async move {
        let id = format!("{name}-{number}");
        let host = hosts.host(at[number % at.len()]);
        let (summary, events) = forward(host, beginning(&id)).await;
        assert_eq!(events.len() as u64, LAST_BEFORE, "{summary:?}");
        Begun { id, version: events[0].version.clone() }
    };
    join_all((0..STREAMS).map(one)).await
}

/// Takes streams up again at these hosts; returns how many go on.
async fn resume(hosts: &Hosts, at: &[usize], begun: &[Begun]) -> usize {
    let one = |(number, stream): (usize, Begun)| async move {
        let host = hosts.host(at[number % at.len()]);
        let (summary, events) = forward(host, resuming(&stream.id)).await;
        for event in &events {
            assert_eq!(event.version, stream.version, "two versions in {stream:?}: {summary:?}");
        }
        let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
        if numbers.is_empty() {
            assert!(summary.refusal.is_some(), "{summary:?}");
            eprintln!("refused: {summary:?}");
            return false;
        }
        assert_eq!(numbers, (LAST_BEFORE + 1..=EVENTS).collect::<Vec<_>>(), "{summary:?}");
        true
    };
    let served = join_all(begun.iter().cloned().enumerate().map(one)).await;
    served.into_iter().filter(|goes_on| *goes_on).count()
}

fn two_versions() -> Vec<oleander_relay::TargetEntry> {
    targets(&["v1", "v2", "v1", "v2"], OLD)
}

#[tokio::test]
async fn a_caller_goes_on_at_another_host_after_its_first_one_is_gone() {
    let mut hosts = start(HOSTS, two_versions()).await;
    let begun = begin(&hosts, &[0], "gone").await;
    assert!(begun.iter().any(|stream| stream.version != begun[0].version), "{begun:?}");
    hosts.kill(0);
    let served = resume(&hosts, &[1, 2, 3, 4, 5], &begun).await;
    assert_eq!(served, STREAMS, "all are announced to three hosts");
}

#[tokio::test]
async fn a_caller_goes_on_at_its_first_host_after_a_restart() {
    let mut hosts = start(HOSTS, two_versions()).await;
    let begun = begin(&hosts, &[0], "back").await;
    hosts.kill(0);
    hosts.start_host(0).await;
    hosts.wait_until_connected().await;
    assert_eq!(resume(&hosts, &[0], &begun).await, STREAMS);
}

#[tokio::test]
async fn after_a_restart_of_all_hosts_a_stream_that_was_not_saved_goes_on_only_if_there_was_one_version()
 {
    for (listed, expected) in [(two_versions(), 0), (targets(&["v3", "v3"], OLD), STREAMS)] {
        let mut hosts = start(3, listed).await;
        let begun = begin(&hosts, &[0, 1, 2], "all").await;
        (0..3).for_each(|index| hosts.kill(index));
        hosts.change_stored_streams(Vec::clear).await;
        for index in 0..3 {
            hosts.start_host(index).await;
        }
        hosts.wait_until_connected().await;
        let started = tokio::time::Instant::now();
        assert_eq!(resume(&hosts, &[0, 1, 2], &begun).await, expected);
        assert!(started.elapsed().as_millis() < 1_000, "not answered at once");
    }
}

#[tokio::test]
async fn after_a_restart_of_all_hosts_young_targets_are_not_taken_for_the_only_ones() {
    let mut hosts = start(3, targets(&["v1", "v1"], OLD)).await;
    let begun = begin(&hosts, &[0, 1, 2], "young").await;
    hosts.list(targets(&["v2", "v2"], Span::from_secs(1)));
    (0..3).for_each(|index| hosts.kill(index));
    for index in 0..3 {
        hosts.start_host(index).await;
    }
    hosts.wait_until_connected().await;
    assert_eq!(resume(&hosts, &[0, 1, 2], &begun).await, 0);
}

/// Guards against hosts that all forget, in one restart, that a version left a moment ago.
#[tokio::test]
async fn after_a_restart_of_all_hosts_a_version_that_has_just_left_is_not_forgotten() {
    let mut hosts = start(3, two_versions()).await;
    let begun = begin(&hosts, &[0, 1, 2], "forgotten").await;
    hosts.list(targets(&["v2", "v2"], OLD));
    (0..3).for_each(|index| hosts.kill(index));
    for index in 0..3 {
        hosts.start_host(index).await;
    }
    hosts.wait_until_connected().await;
    resume(&hosts, &[0, 1, 2], &begun).await;
}

#[tokio::test]
async fn streams_of_a_host_that_has_not_reached_others_by_probes_are_not_lost_with_it() {
    let mut hosts = start_unprobed(HOSTS, two_versions()).await;
    let begun = begin(&hosts, &[0], "unprobed").await;
    hosts.kill(0);
    assert_eq!(resume(&hosts, &[1, 2, 3, 4, 5], &begun).await, STREAMS);
}

/// Guards against a host that restarts just after the last target of a version left, and takes the
/// service for one of a single version.
#[tokio::test]
async fn a_restarted_host_does_not_go_on_with_streams_of_a_version_that_left() {
    let mut hosts = start(3, two_versions()).await;
    let begun = begin(&hosts, &[0], "left").await;
    hosts.list(targets(&["v2", "v2"], OLD));
    hosts.kill(0);
    hosts.start_host(0).await;
    hosts.wait_until_connected().await;
    let remaining = begun.iter().filter(|stream| stream.version == "v2").count();
    assert_eq!(resume(&hosts, &[0], &begun).await, remaining);
}

/// Guards against a host that serves callers before it has reached any other, and takes their
/// silence for not knowing better.
#[tokio::test]
async fn a_host_that_has_just_started_does_not_go_on_without_asking_the_others() {
    let mut hosts = start(3, two_versions()).await;
    let begun = begin(&hosts, &[0], "early").await;
    hosts.list(targets(&["v2", "v2"], OLD));
    hosts.kill(0);
    hosts.start_host(0).await;
    // It goes on with those of its version, or refuses them while it reaches nobody.
    resume(&hosts, &[0], &begun).await;
}

/// Guards against hosts that refuse, or mix, what was announced to others only.
#[tokio::test]
async fn a_host_that_did_not_hear_of_a_stream_asks_the_others() {
    let hosts = start(HOSTS, two_versions()).await;
    let begun = begin(&hosts, &[0], "ask").await;
    for index in 0..HOSTS {
        assert_eq!(resume(&hosts, &[index], &begun).await, STREAMS, "at host {index}");
    }
}

#[tokio::test]
async fn a_host_that_reaches_no_other_refuses_what_it_does_not_know() {
    let mut hosts = start(2, two_versions()).await;
    let begun = begin(&hosts, &[0], "alone").await;
    hosts.kill(0);
    hosts.kill(1);
    hosts.change_stored_streams(Vec::clear).await;
    hosts.start_host(1).await;
    assert_eq!(resume(&hosts, &[1], &begun).await, 0);
}

/// Kills and restarts hosts while the versions of the targets change, at each host at another time.
#[tokio::test]
async fn no_stream_has_two_versions_and_most_go_on_while_hosts_restart_in_a_rollout() {
    let seeds = std::env::var("STREAM_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let (served, all) = roll_out(seed).await;
        println!("seed {seed}: {served} of {all} go on");
        assert!(all >= 12 && served * 2 >= all, "seed {seed}: {served} of {all} go on");
    }
}

/// Streams that go on, and all that callers take up again while two targets of their version serve.
async fn roll_out(seed: u64) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut hosts = start(HOSTS, two_versions()).await;
    let (mut served, mut all) = (0, 0);
    for round in 0..ROUNDS {
        let listed = random_versions(&mut random);
        let age = if random.random_bool(0.5) { OLD } else { Span::from_secs(1) };
        list_at_some(&mut hosts, &mut random, targets(&listed, age));
        let name = format!("{seed}-{round}");
        let begun = begin(&hosts, &hosts.live_indexes(), &name).await;
        let count = random.random_range(1..=2);
        let live = hosts.live_indexes();
        let killed: Vec<usize> = live.choose_multiple(&mut random, count).copied().collect();
        killed.iter().for_each(|index| hosts.kill(*index));
        let back = killed.first().copied().filter(|_| random.random_bool(0.5));
        hosts.list_everywhere();
        if let Some(index) = back {
            hosts.start_host(index).await;
        }
        let two_serve =
            |version: &str| listed.iter().filter(|other| **other == version).count() >= 2;
        let (kept, lost): (Vec<Begun>, Vec<Begun>) =
            begun.into_iter().partition(|stream| two_serve(&stream.version));
        let live = hosts.live_indexes();
        served += resume(&hosts, &live, &kept).await;
        all += kept.len();
        resume(&hosts, &live, &lost).await;
        for index in killed.into_iter().filter(|index| Some(*index) != back) {
            hosts.start_host(index).await;
        }
        hosts.wait_until_connected().await;
    }
    (served, all)
}

/// Versions of six targets: three, two or one.
fn random_versions(random: &mut SmallRng) -> Vec<&'static str> {
    let count = random.random_range(1..=3);
    let some: Vec<&str> = ["v1", "v2", "v3"].choose_multiple(random, count).copied().collect();
    (0..6).map(|number| some[number % count]).collect()
}
