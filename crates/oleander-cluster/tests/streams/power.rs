//! All hosts lose power at once, while targets of several versions serve.

use std::time::Duration;

use oleander_core::Span;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{OLD, STREAMS, begin, random_versions, resume, start, targets, two_versions};

/// Longer than it takes until a begun stream is stored, and shorter than most streams last.
const SAVED: Duration = Duration::from_millis(400);
/// The same for streams that began before a second version joined.
const JOINED: Duration = Duration::from_millis(1_000);
/// Limit for the hosts to have read what is stored.
const READ: Duration = Duration::from_secs(5);
const SEEDS: u64 = 4;

/// Takes streams up again until all go on, or the time is up; returns how many did.
async fn resume_all(hosts: &crate::Hosts, begun: &[crate::Begun]) -> usize {
    let end = Instant::now() + READ;
    loop {
        let served = resume(hosts, &[0, 1, 2], begun).await;
        if served == begun.len() || Instant::now() > end {
            return served;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against hosts that all forget, in one loss of power, which version began a stream.
#[tokio::test]
async fn after_a_loss_of_all_hosts_in_a_release_streams_go_on_at_their_versions() {
    let mut hosts = start(3, two_versions()).await;
    let begun = begin(&hosts, &[0, 1, 2], "power").await;
    assert!(begun.iter().any(|stream| stream.version != begun[0].version), "{begun:?}");
    sleep(SAVED).await;
    hosts.restart_all().await;
    assert_eq!(resume_all(&hosts, &begun).await, STREAMS);
}

/// Guards against streams that began while their version was the only one, and are forgotten.
#[tokio::test]
async fn after_a_loss_of_all_hosts_just_after_a_version_joined_older_streams_go_on() {
    let mut hosts = start(3, targets(&["v1", "v1"], OLD)).await;
    let begun = begin(&hosts, &[0, 1, 2], "older").await;
    let mut listed = targets(&["v1", "v1"], OLD);
    listed.extend(targets(&["v1", "v1", "v2"], Span::from_millis(100)).split_off(2));
    hosts.list(listed);
    sleep(JOINED).await;
    hosts.restart_all().await;
    assert_eq!(resume_all(&hosts, &begun).await, STREAMS);
}

/// Guards against a second loss of power that takes what the first one left.
#[tokio::test]
async fn streams_go_on_after_a_second_loss_of_all_hosts() {
    let mut hosts = start(3, two_versions()).await;
    let begun = begin(&hosts, &[0, 1, 2], "twice").await;
    sleep(SAVED).await;
    hosts.restart_all().await;
    let later = begin(&hosts, &[0, 1, 2], "later").await;
    sleep(SAVED).await;
    hosts.restart_all().await;
    assert_eq!(resume_all(&hosts, &begun).await, STREAMS);
    assert_eq!(resume_all(&hosts, &later).await, STREAMS);
}

/// Guards against a stream that goes on at one of two versions, either of which may have begun it.
#[tokio::test]
async fn a_stream_that_is_stored_with_two_versions_goes_on_at_neither() {
    let mut hosts = start(3, two_versions()).await;
    let begun = begin(&hosts, &[0, 1, 2], "both").await;
    sleep(SAVED).await;
    let double = |streams: &mut Vec<Value>| {
        let mut others = streams.clone();
        for other in &mut others {
            let is_first = other["version"] == "v1";
            other["version"] = Value::from(if is_first { "v2" } else { "v1" });
        }
        streams.extend(others);
    };
    (0..3).for_each(|index| hosts.kill(index));
    hosts.change_stored_streams(double).await;
    for index in 0..3 {
        hosts.start_host(index).await;
    }
    hosts.wait_until_connected().await;
    sleep(JOINED).await;
    assert_eq!(resume(&hosts, &[0, 1, 2], &begun).await, 0);
}

/// All hosts lose power at random times of a release; [`resume`] fails at a stream of two versions.
#[tokio::test]
async fn no_stream_has_two_versions_after_losses_of_all_hosts_at_random_times() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hosts = start(3, two_versions()).await;
        for round in 0..4 {
            let listed = random_versions(&mut random);
            let age = if random.random_bool(0.5) { OLD } else { Span::from_secs(1) };
            hosts.list(targets(&listed, age));
            let begun = begin(&hosts, &[0, 1, 2], &format!("{seed}-{round}")).await;
            sleep(Duration::from_millis(random.random_range(0..1_500))).await;
            hosts.restart_all().await;
            resume(&hosts, &[0, 1, 2], &begun).await;
        }
    }
}
