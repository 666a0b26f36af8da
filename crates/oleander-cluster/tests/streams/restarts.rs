//! Streams of a killed host, while the others have started a short time before.
//!
//! All targets have one version. The host that is killed has followed it for long enough that it
//! announces its streams to nobody.

use std::time::Duration;

use oleander_core::Span;
use tokio::time::sleep;

use crate::{
    STREAMS, begin,
    hosts::{Hosts, OLD, start, targets},
    outdated::SETTLE_TIME,
    resume,
};

/// Time for which a host has to run until callers expect all of it.
const IN_TOUCH: Duration = Duration::from_secs(3);
const COUNT: usize = 3;
/// The host that is killed.
const KILLED: usize = 2;

async fn settled() -> Hosts {
    let hosts = start(COUNT, targets(&["v1", "v1"], OLD)).await;
    sleep(SETTLE_TIME).await;
    hosts
}

async fn restart(hosts: &mut Hosts, index: usize) {
    hosts.kill(index);
    hosts.start_host(index).await;
    hosts.wait_until_connected().await;
}

/// Takes the streams of the last host up again at the two others after it was killed.
async fn resume_after_kill(mut hosts: Hosts, name: &str) -> usize {
    sleep(IN_TOUCH).await;
    let begun = begin(&hosts, &[KILLED], name).await;
    hosts.kill(KILLED);
    resume(&hosts, &[0, 1], &begun).await
}

/// Guards against refusing the streams of a killed host at hosts that were restarted in turn, each
/// of which had to learn by itself that there is one version.
#[tokio::test]
async fn streams_of_a_killed_host_go_on_at_hosts_that_were_restarted_in_turn() {
    let mut hosts = settled().await;
    restart(&mut hosts, 0).await;
    restart(&mut hosts, 1).await;
    assert_eq!(resume_after_kill(hosts, "turn").await, STREAMS);
}

/// Guards against the same at hosts that were restarted at once, of which neither can tell the other.
#[tokio::test]
async fn streams_of_a_killed_host_go_on_at_hosts_that_were_restarted_at_once() {
    let mut hosts = settled().await;
    (0..KILLED).for_each(|index| hosts.kill(index));
    for index in 0..KILLED {
        hosts.start_host(index).await;
    }
    hosts.wait_until_connected().await;
    assert_eq!(resume_after_kill(hosts, "once").await, STREAMS);
}

/// Guards against a right that ends with the last host that has earned it by itself.
#[tokio::test]
async fn streams_of_a_killed_host_go_on_after_all_others_and_itself_were_restarted_in_turn() {
    let mut hosts = settled().await;
    for index in 0..COUNT {
        restart(&mut hosts, index).await;
        sleep(IN_TOUCH).await;
    }
    assert_eq!(resume_after_kill(hosts, "all").await, STREAMS);
}

/// Guards against streams of two versions: a host whose list stands still tells one that has just
/// started of a single version, while another has come and gone.
#[tokio::test]
async fn a_restarted_host_does_not_take_over_what_a_host_with_an_old_list_tells() {
    let mut hosts = settled().await;
    hosts.host(1).stand_still(true);
    hosts.set_listed(targets(&["v1", "v1", "v2", "v2"], Span::from_millis(100)));
    sleep(Duration::from_secs(4)).await;
    let begun = begin(&hosts, &[0], "old list").await;
    assert!(begun.iter().any(|stream| stream.version == "v2"), "{begun:?}");
    hosts.set_listed(targets(&["v1", "v1"], OLD));
    hosts.kill(0);
    hosts.start_host(0).await;
    hosts.wait_until_connected().await;
    sleep(IN_TOUCH).await;
    resume(&hosts, &[0], &begun).await;
}
