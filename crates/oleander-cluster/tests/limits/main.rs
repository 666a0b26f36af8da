//! Requests at several hosts, while some targets name a limit for all hosts together.

#[path = "../support/hosts.rs"]
mod support;
mod targets;

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use oleander_core::{Span, TargetId};
use oleander_relay::TargetEntry;
use oleander_routing::RequestRate;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{task::JoinSet, time::sleep};

use support::{Hosts, beginning, route, service, targets};
use targets::LimitTargets;

/// Seeds of the tests, unless `LIMIT_SEEDS` names another number of them.
const SEEDS: u64 = 2;
const HOSTS: usize = 6;
const TARGETS: usize = 6;
/// Targets that name a limit, the first ones.
const LIMITED: usize = 4;
/// Time from one arrival to the next.
const ARRIVAL: Duration = Duration::from_millis(12);
/// Time in which hosts may still learn of a limit, and of its end.
const CONTACT: Duration = Duration::from_secs(1);
/// Span over which a limit is checked.
const WINDOW: Duration = Duration::from_secs(4);

fn seeds() -> u64 {
    std::env::var("LIMIT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Hosts, their targets, and requests at all of them.
struct Fleet {
    hosts: Hosts<LimitTargets>,
    targets: LimitTargets,
    random: SmallRng,
    sent: u64,
}

impl Fleet {
    async fn start(seed: u64) -> Self {
        let listed = targets(&["v1"; TARGETS], Span::from_secs(60));
        let listed: Vec<TargetEntry> =
            listed.into_iter().map(|target| TargetEntry { slots: 8, ..target }).collect();
        let limited: HashSet<TargetId> =
            listed.iter().take(LIMITED).map(|target| target.id.clone()).collect();
        let targets = LimitTargets::new(limited);
        let mut hosts = Hosts::start(Arc::new(targets.clone()), HOSTS, listed).await;
        hosts.publish_load();
        Self { hosts, targets, random: SmallRng::seed_from_u64(seed), sent: 0 }
    }

    /// Sends requests for a time, with pauses and bursts; returns the share served, in per mille.
    async fn run(&mut self, time: Duration) -> usize {
        let end = Instant::now() + time;
        let mut requests = JoinSet::new();
        while Instant::now() < end {
            let count = if self.random.random_ratio(1, 50) { 20 } else { 1 };
            (0..count).for_each(|_| self.send(&mut requests));
            sleep(ARRIVAL).await;
        }
        let served: Vec<bool> = requests.join_all().await;
        served.iter().filter(|served| **served).count() * 1_000 / served.len()
    }

    fn send(&mut self, requests: &mut JoinSet<bool>) {
        self.sent += 1;
        let live = self.hosts.live_indexes();
        let caller = self.hosts.caller(live[self.random.random_range(0..live.len())]);
        let request = beginning(&format!("r-{}", self.sent));
        requests.spawn(async move { !caller.forward(request, &route()).await.1.is_empty() });
    }

    /// Most requests that reached a limited target in a span of 4 s after `from`.
    fn most_in_window(&self, from: Instant) -> usize {
        let arrivals = self.targets.arrivals();
        let limited = arrivals.iter().filter(|(target, _)| self.targets.is_limited(target));
        let most = limited.map(|(_, times)| {
            let times: Vec<Instant> = times.iter().copied().filter(|at| *at > from).collect();
            let within = |start: &Instant| {
                times.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
            };
            times.iter().map(within).max().unwrap_or(0)
        });
        most.max().unwrap_or(0)
    }
}

/// Requests that may reach a target that takes `rate` in [`WINDOW`].
fn allowed(rate: RequestRate) -> usize {
    (rate.per_second() * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

#[tokio::test]
async fn hosts_together_do_not_send_more_than_a_target_takes() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed).await;
        fleet.run(Duration::from_millis(500)).await;
        let rate: RequestRate = "3".parse().expect("a rate");
        fleet.targets.set_rate(Some(rate));
        fleet.run(CONTACT).await;
        let from = Instant::now();
        let served = fleet.run(Duration::from_secs(6)).await;
        let most = fleet.most_in_window(from);
        assert!(most <= allowed(rate), "seed {seed}: {most}, allowed {}", allowed(rate));
        assert!(served > 950, "seed {seed}: {served} per mille served");
    }
}

#[tokio::test]
async fn a_host_that_starts_anew_does_not_add_to_what_a_limited_target_gets() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed).await;
        let rate: RequestRate = "3".parse().expect("a rate");
        fleet.targets.set_rate(Some(rate));
        fleet.run(CONTACT).await;
        let from = Instant::now();
        fleet.hosts.kill(0);
        fleet.run(Duration::from_secs(2)).await;
        fleet.hosts.start_host(0).await;
        fleet.hosts.host_mut(0).publish_load();
        fleet.run(Duration::from_secs(3)).await;
        let most = fleet.most_in_window(from);
        assert!(most <= allowed(rate), "seed {seed}: {most}, allowed {}", allowed(rate));
    }
}

#[tokio::test]
async fn all_hosts_use_a_target_again_after_the_end_of_its_limit() {
    for seed in 0..seeds() {
        let mut fleet = Fleet::start(seed).await;
        fleet.targets.set_rate(Some("1".parse().expect("a rate")));
        fleet.run(CONTACT * 2).await;
        fleet.targets.set_rate(None);
        fleet.run(CONTACT * 4).await;
        for index in fleet.hosts.live_indexes() {
            let pool = fleet.hosts.host(index).relay.pools.get(&service()).expect("a pool");
            let limited = pool.rate_news().into_iter().filter(|news| news.rate.is_some());
            assert_eq!(limited.count(), 0, "seed {seed}, host {index}");
        }
    }
}
