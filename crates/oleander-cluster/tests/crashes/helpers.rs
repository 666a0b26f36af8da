//! Hosts that send requests for others, and what becomes of these.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use oleander_relay::RefusalReason;

use crate::{
    HOSTS, TARGETS, WARM_UP, seeds,
    targets::Cut,
    traffic::{Fleet, Served},
};

/// Time in which a host finds out that it reaches no target, and others learn of it.
const DETECTION: Duration = Duration::from_millis(1_200);
/// Longest time until a request is refused that no host can serve.
const AT_ONCE: Duration = Duration::from_millis(150);

fn set_cuts(fleet: &Fleet, hosts: impl IntoIterator<Item = usize>, cut: Option<Cut>) {
    hosts.into_iter().for_each(|host| fleet.crashing.set_cut(host, cut));
}

#[tokio::test]
async fn hosts_that_reach_no_target_do_not_hand_requests_to_each_other() {
    for cut in [Cut::Refused, Cut::Silent] {
        let mut fleet = Fleet::start(0, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        set_cuts(&fleet, 0..HOSTS, Some(cut));
        fleet.run(DETECTION, 0).await;
        let served = fleet.run(Duration::from_millis(500), 0).await;
        for Served { summary, took, .. } in &served {
            assert!(*took < AT_ONCE, "{cut:?}: {took:?} for {summary:?}");
            assert!(summary.refusal.is_some_and(|one| one.retry_after.is_some()), "{summary:?}");
        }
        set_cuts(&fleet, 0..HOSTS, None);
        fleet.run(DETECTION, 0).await;
        let served = fleet.run(Duration::from_millis(500), 0).await;
        assert!(served.iter().all(|one| one.is_whole), "{cut:?}: used again");
    }
}

#[tokio::test]
async fn a_stream_goes_on_when_the_host_that_sends_it_to_targets_is_lost_midway() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        set_cuts(&fleet, [0], Some(Cut::Refused));
        fleet.run(DETECTION, 0).await;
        let streams: Vec<_> = (0..12).map(|own| tokio::spawn(fleet.copy(0x900 + own, 0))).collect();
        tokio::time::sleep(Duration::from_millis(80)).await;
        fleet.crashing.lose_helper(fleet.hosts.host(1).forward_address());
        fleet.hosts.kill(1);
        for stream in streams {
            let served = stream.await.expect("no panic");
            assert!(served[0].is_whole, "seed {seed}: {:?}", served[0].summary);
        }
    }
}

#[tokio::test]
async fn requests_of_a_host_without_links_are_spread_over_the_others() {
    let mut fleet = Fleet::start(0, HOSTS, TARGETS).await;
    fleet.run(WARM_UP, 0).await;
    set_cuts(&fleet, [0], Some(Cut::Refused));
    fleet.run(DETECTION, 0).await;
    let from = Instant::now();
    let copies: Vec<_> = (0..80).map(|own| tokio::spawn(fleet.copy(0x900 + own, 0))).collect();
    for copy in copies {
        assert!(copy.await.expect("no panic")[0].is_whole);
    }
    let mut by_host: BTreeMap<usize, usize> = BTreeMap::new();
    for run in fleet.crashing.runs().iter().filter(|run| run.at > from) {
        *by_host.entry(run.host).or_default() += 1;
    }
    assert_eq!(by_host.get(&0), None, "{by_host:?}");
    assert!(by_host.values().all(|count| (15..=25).contains(count)), "{by_host:?}");
}

#[tokio::test]
async fn short_cuts_in_series_do_not_make_a_host_change_sides_each_time() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        let mut served = Vec::new();
        for _ in 0..6 {
            set_cuts(&fleet, [0, 1], Some(Cut::Refused));
            served.extend(fleet.run(Duration::from_millis(350), 0).await);
            set_cuts(&fleet, [0, 1], None);
            served.extend(fleet.run(Duration::from_millis(150), 0).await);
        }
        let first = served.iter().filter(|one| !one.is_repeat);
        let (whole, all) =
            first.fold((0, 0), |(whole, all), one| (whole + usize::from(one.is_whole), all + 1));
        let lost = served.iter().find(|one| !one.is_whole);
        assert!(whole * 100 >= all * 95, "seed {seed}: {whole} of {all}, not {lost:?}");
    }
}

#[tokio::test]
async fn streams_under_way_go_on_through_another_host_within_their_responses() {
    for cut in [Cut::Refused, Cut::Reset, Cut::Silent] {
        let mut fleet = Fleet::start(0, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        let streams: Vec<_> = (0..8).map(|own| tokio::spawn(fleet.copy(0x900 + own, 0))).collect();
        tokio::time::sleep(Duration::from_millis(80)).await;
        set_cuts(&fleet, [0], Some(cut));
        for stream in streams {
            let served = stream.await.expect("no panic");
            assert!(served[0].is_whole, "{cut:?}: {:?}", served[0].summary);
        }
    }
}

#[tokio::test]
async fn requests_that_must_not_run_twice_are_not_sent_again_when_links_hang() {
    let mut fleet = Fleet::start(0, HOSTS, TARGETS).await;
    fleet.run(WARM_UP, 0).await;
    let calls: Vec<_> = (0..8).map(|own| tokio::spawn(fleet.send_never(0x900 + own, 0))).collect();
    tokio::time::sleep(Duration::from_millis(20)).await;
    set_cuts(&fleet, [0], Some(Cut::Silent));
    for call in calls {
        let summary = call.await.expect("no panic");
        let reason = summary.refusal.map(|refusal| refusal.reason);
        assert_ne!(reason, Some(RefusalReason::NotRun), "it may have run: {summary:?}");
    }
    let runs = fleet.crashing.runs();
    let runs = runs.iter().filter(|run| run.request.starts_with("never"));
    assert_eq!(runs.count(), 8, "each at one target");
}

#[tokio::test]
async fn a_helper_that_has_just_lost_its_links_does_not_cost_the_request() {
    for cut in [Cut::Refused, Cut::NewRefused] {
        let mut fleet = Fleet::start(0, HOSTS, TARGETS).await;
        fleet.run(WARM_UP, 0).await;
        set_cuts(&fleet, [0, 1], Some(cut));
        let copies: Vec<_> = (0..12).map(|own| tokio::spawn(fleet.copy(0x900 + own, 0))).collect();
        for copy in copies {
            let served = copy.await.expect("no panic");
            assert!(served[0].is_whole, "{cut:?}: {:?}", served[0].summary);
        }
    }
}
