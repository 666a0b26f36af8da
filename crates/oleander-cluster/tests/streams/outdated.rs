//! Streams that callers take up again at hosts whose list of targets is out of date.
//!
//! Each test lets the hosts follow a service of one version for long enough that they take it for
//! the only one, and then starts targets of a second version.

use std::time::Duration;

use futures_util::future::join_all;
use oleander_core::Span;
use tokio::time::sleep;

use crate::{
    HOSTS, STREAMS, begin,
    hosts::{Hosts, OLD, start, targets},
    resume,
};

/// Time after which a service with one version counts as having no other.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(15_500);
/// Time after which a new version begins streams.
const NEW_VERSION: Duration = Duration::from_millis(2_300);
/// The host that begins the streams and then fails.
const FIRST: usize = 0;
/// The hosts at which callers take them up again.
const OTHERS: [usize; HOSTS - 1] = [1, 2, 3, 4, 5];

/// Hosts that know one version only.
async fn settled() -> Hosts {
    let hosts = start(HOSTS, targets(&["v1", "v1"], OLD)).await;
    sleep(SETTLE_TIME).await;
    hosts
}

fn two_versions() -> Vec<oleander_relay::TargetEntry> {
    let mut listed = targets(&["v1", "v1"], OLD);
    let mut new = targets(&["v1", "v1", "v2", "v2"], Span::from_millis(100));
    listed.extend(new.split_off(2));
    listed
}

/// Begins streams at the first host, of which some have the new version, and lets it fail.
async fn begin_and_fail(hosts: &mut Hosts, name: &str) -> Vec<crate::Begun> {
    let begun = begin(hosts, &[FIRST], name).await;
    assert!(begun.iter().any(|stream| stream.version == "v2"), "{begun:?}");
    hosts.kill(FIRST);
    begun
}

/// Guards against streams of two versions: "nothing has changed" of a feeder that had lost the
/// platform counted as a present list.
#[tokio::test]
async fn a_host_whose_feeder_stands_still_goes_on_at_the_version_that_began() {
    let mut hosts = settled().await;
    OTHERS.iter().for_each(|index| hosts.host(*index).stand_still(true));
    hosts.set_listed(two_versions());
    sleep(NEW_VERSION).await;
    let begun = begin_and_fail(&mut hosts, "feeder").await;
    assert_eq!(resume(&hosts, &OTHERS, &begun).await, STREAMS, "its version is known and serves");
}

/// Guards against streams that begin at a version of which nobody else has heard, at a host that
/// has just started.
#[tokio::test]
async fn a_host_that_has_just_started_begins_no_streams_at_a_new_version() {
    let mut hosts = settled().await;
    OTHERS.iter().for_each(|index| hosts.host(*index).stand_still(true));
    hosts.set_listed(two_versions());
    hosts.kill(FIRST);
    hosts.start_host(FIRST).await;
    hosts.wait_until_connected().await;
    let begun = begin(&hosts, &[FIRST], "start").await;
    assert!(begun.iter().all(|stream| stream.version == "v1"), "{begun:?}");
    hosts.kill(FIRST);
    assert_eq!(resume(&hosts, &OTHERS, &begun).await, STREAMS);
}

/// A host that is out of step for this time, of which it knows nothing, while targets of a new version join; callers take
/// their streams up again there during that time, if `early`, and right after it.
async fn out_of_step(time: Duration, early: bool) {
    let last = HOSTS - 1;
    let mut hosts = settled().await;
    hosts.host(last).stand_still(true);
    hosts.cut_off(last);
    hosts.set_listed(two_versions());
    let end = tokio::time::Instant::now() + time;
    sleep(NEW_VERSION).await;
    let begun = begin_and_fail(&mut hosts, &format!("{time:?}")).await;
    if early {
        // Nobody can tell the host; no stream may go on at another version.
        resume(&hosts, &[last], &begun).await;
    }
    tokio::time::sleep_until(end).await;
    hosts.reconnect(last);
    // It refuses streams until it reaches others.
    resume(&hosts, &[last], &begun).await;
    hosts.wait_until_connected().await;
    assert_eq!(resume(&hosts, &[last], &begun).await, STREAMS, "after {time:?}, {early}");
}

/// Guards against streams that are taken up at a host which was cut off, or stood still, while a
/// version joined, and go on at another one.
#[tokio::test]
async fn a_host_that_was_out_of_step_in_a_release_goes_on_at_no_other_version() {
    let times = [2, 4, 8].map(Duration::from_secs);
    let runs = times.into_iter().flat_map(|time| [(time, false), (time, true)]);
    join_all(runs.map(|(time, early)| out_of_step(time, early))).await;
}
