//! Properties of routers that receive each other's counts late.

#![allow(clippy::unwrap_used)]

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod naive;

use common::{
    config, fill_batch, host, millis, pick_online, properties, router, sent, target_id, targets,
};
use fleet::{EXCHANGE, Fleet};
use naive::{
    CHOICE_HOSTS, CHOICE_REQUESTS, CHOICE_TARGETS, max_load, naive_cancel, naive_choice,
    naive_start,
};
use oleander_core::Span;
use oleander_routing::{
    LeaseId, LoadReport, Observation, PeerCount, Pick, Router, cap_level, even_share, floor_level,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 8;
const CAPACITY: u32 = 28;

properties! {
    fn hosts_that_start_together_stay_within_capacity(hosts: u8, lag_ms: u8, seed: u64) -> bool {
        let hosts = usize::from(hosts % 8) + 1;
        let mut fleet = Fleet::new(hosts, 3, 32, 4, Span::from_millis(u64::from(lag_ms % 90)));
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        for index in 0..hosts {
            fleet.start(index, &Pick::batch());
        }
        fleet.advance(EXCHANGE);
        fleet.advance(Span::from_millis(90));
        for _ in 0..2_000 {
            let index = rng.random_range(0..hosts);
            fleet.start(index, &Pick::batch());
        }
        fleet.max_at_one_target(3) <= 28 && fleet.open.iter().flatten().count() >= 3 * 28 - 2
    }

    fn overshoot_of_batch_is_bounded(hosts: u8, lag_ms: u8, seed: u64) -> bool {
        let hosts = usize::from(hosts % 8) + 1;
        let mut fleet = Fleet::new(hosts, 2, 32, 4, Span::from_millis(u64::from(lag_ms % 100)));
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        (0..60).all(|round| {
            for _ in 0..4 {
                let index = rng.random_range(0..hosts);
                if rng.random_bool(0.6) {
                    while fleet.start(index, &Pick::batch()) {}
                } else {
                    (0..rng.random_range(0..16)).for_each(|_| fleet.finish(index, &mut rng));
                }
            }
            fleet.advance(Span::from_millis(20));
            (0..hosts).for_each(|index| fleet.cancel_excess(index));
            round < 10 || fleet.max_at_one_target(2) <= 2 * 28

        })
    }

    fn overshoot_of_online_is_bounded(hosts: u8, lag_ms: u8, seed: u64) -> bool {
        let hosts = usize::from(hosts % 8) + 1;
        let mut fleet = Fleet::new(hosts, 2, 32, 4, Span::from_millis(u64::from(lag_ms % 100)));
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        (0..60).all(|round| {
            for _ in 0..40 {
                let index = rng.random_range(0..hosts);
                if rng.random_bool(0.6) {
                    let ticket = fleet.routers[index].ticket();
                    fleet.start(index, &Pick::online(ticket));
                    fleet.routers[index].cancel_ticket(ticket);
                } else {
                    fleet.finish(index, &mut rng);
                }
            }
            fleet.advance(Span::from_millis(20));
            round < 10 || fleet.max_at_one_target(2) <= 32 + 16 + 8 * hosts as u32
        })
    }

    fn excess_is_cancelled_exactly_once(items: Vec<u8>, online: u8, actor: u8) -> bool {
        let items: Vec<u32> = items.into_iter().take(8).map(|n| u32::from(n % 12)).collect();
        let (limit, reserve) = (200, 10);
        let mut routers: Vec<Router> = Vec::new();
        for (index, count) in items.iter().enumerate() {
            let mut router = Router::new(config(index).yield_margin(0), index as u64);
            router.set_targets(targets(1, limit, reserve));
            for _ in 0..*count {
                sent(router.pick(millis(0), &Pick::batch())).unwrap();
            }
            routers.push(router);
        }
        let messages: Vec<_> = routers.iter().map(Router::counts).collect();
        let online = limit - reserve - 30 + u32::from(online % 30);
        for (index, router) in routers.iter_mut().enumerate() {
            for (from, counts) in messages.iter().enumerate().filter(|(from, _)| *from != index) {
                router.update_peer(millis(1), &host(from), counts.clone(), millis(1));
            }
            let burst = vec![PeerCount { target: target_id(0), online, batch: 0 }];
            router.update_peer(millis(2), &host(99), burst, millis(2));
        }
        let excess = |router: &Router| -> u32 {
            router.batch_excess(millis(3)).iter().map(|e| e.count).sum()
        };
        let excesses: Vec<u32> = routers.iter().map(excess).collect();
        let capacity = limit - reserve - online;
        let total: u32 = items.iter().sum();
        let exact = excesses.iter().sum::<u32>() == total.saturating_sub(capacity);
        let Some(router) = routers.get_mut(usize::from(actor) % items.len().max(1)) else {
            return exact;
        };
        let mut pending = excesses[usize::from(actor) % items.len()];
        for lease in (0..).map(LeaseId) {
            if pending == 0 {
                break;
            }
            router.observe(millis(4), lease, Observation::Cancelled);
            pending -= 1;
        }
        exact && excess(router) == 0
    }

    fn cap_level_is_the_largest_that_fits(capacity: u16, counts: Vec<u8>) -> bool {
        let counts: Vec<u32> = counts.into_iter().map(u32::from).collect();
        let capacity = u32::from(capacity % 2_000);
        let used = |level: u32| counts.iter().map(|count| *count.min(&level)).sum::<u32>();
        let level = cap_level(capacity, &counts);
        let all_fit = counts.iter().sum::<u32>() <= capacity;
        used(level) <= capacity && (all_fit || used(level + 1) > capacity)
    }

    fn floor_level_is_the_largest_that_fits(capacity: u16, counts: Vec<u8>) -> bool {
        let counts: Vec<u32> = counts.into_iter().map(u32::from).collect();
        let capacity = u32::from(capacity % 2_000);
        let used = |level: u32| counts.iter().map(|count| *count.max(&level)).sum::<u32>();
        let level = floor_level(capacity, &counts);
        let none_fits = counts.is_empty() || used(0) > capacity;
        none_fits || (used(level) <= capacity && used(level + 1) > capacity)
    }

    fn even_shares_add_up_to_the_free_slots(free: u16, hosts: u8) -> bool {
        let hosts = u32::from(hosts) + 1;
        let shares = (0..hosts).map(|rank| even_share(u32::from(free), rank, hosts));
        shares.sum::<u32>() == u32::from(free)
    }

    fn counts_of_stale_peers_expire_before_their_shares(online: u8) -> bool {
        let mut router = router(0, 1, 32, 4);
        let count = PeerCount { target: target_id(0), online: u32::from(online), batch: 3 };
        router.update_peer(millis(0), &host(1), vec![count], millis(0));
        let before = router.snapshot()[0].clone();
        let mut after = |ms| {
            fill_batch(&mut router, millis(ms));
            let status = router.snapshot()[0].clone();
            (status.online, status.batch)
        };
        (before.online, before.batch) == (u32::from(online), 3)
            && after(3_000) == (0, 14)
            && after(60_000) == (0, 28)
    }

    fn messages_older_than_the_last_one_of_a_peer_are_ignored(sent: Vec<u8>) -> bool {
        let mut router = router(0, 1, 1_000, 4);
        let mut newest = 0;
        sent.into_iter().all(|at| {
            let at = u32::from(at);
            newest = newest.max(at);
            let count = PeerCount { target: target_id(0), online: at, batch: 0 };
            router.update_peer(millis(500), &host(1), vec![count], millis(u64::from(at)));
            router.snapshot()[0].online == newest
        })
    }
}

#[test]
fn slots_of_a_removed_peer_are_free_at_once() {
    let mut router = router(0, 1, 32, 4);
    let count = PeerCount { target: target_id(0), online: 2, batch: 13 };
    router.update_peer(millis(0), &host(1), vec![count], millis(0));
    assert_eq!(fill_batch(&mut router, millis(0)).len(), 13);
    router.remove_peer(millis(1), &host(1));
    assert_eq!(fill_batch(&mut router, millis(1)).len(), 15);
}

#[test]
fn hosts_without_contact_keep_to_their_shares() {
    let lag = Span::from_millis(10);
    let mut fleet = Fleet::new(4, 2, 32, 4, lag);
    for _ in 0..10 {
        fleet.advance(EXCHANGE);
        (0..4).for_each(|index| while fleet.start(index, &Pick::batch()) {});
        (0..4).for_each(|index| fleet.cancel_excess(index));
    }
    fleet.messages.clear();
    for _ in 0..100 {
        fleet.now = fleet.now + EXCHANGE;
        (0..4).for_each(|index| while fleet.start(index, &Pick::batch()) {});
    }
    let max = fleet.max_at_one_target(2);
    assert!((28..=30).contains(&max), "{max} at a target with capacity 28 and a margin of 2");
}

#[test]
fn naive_starts_by_late_counts_exceed_the_capacity() {
    let mut items = [0; HOSTS];
    items.iter_mut().for_each(|own| naive_start(CAPACITY, 0, own));
    assert_eq!(items.iter().sum::<u32>(), HOSTS as u32 * CAPACITY);
}

#[test]
fn naive_cancellation_repeats_while_counts_are_late() {
    let (capacity, late) = (10, 10);
    let (mut naive, mut capped) = (10, 10);
    for _ in 0..5 {
        naive_cancel(capacity, late, &mut naive);
        capped = capped.min(cap_level(capacity, &[late, capped]));
    }
    assert_eq!(capped, 5, "half of the capacity for each of two hosts");
    assert!(naive <= 1, "{naive} left");
}

#[test]
fn choice_by_late_reports_alone_sends_all_requests_to_one_target() {
    let max = max_load(|_, reports, _| naive_choice(reports));
    assert_eq!(max, 400, "all requests between two reports go to one target");
}

#[test]
fn choice_by_corrected_counts_spreads_requests_despite_late_reports() {
    let mut routers: Vec<Router> =
        (0..CHOICE_HOSTS).map(|index| router(index, CHOICE_TARGETS, 400, 10)).collect();
    let mut now = millis(0);
    let max = max_load(|index, reports, fresh| {
        now = now + Span::from_millis(1);
        for (target, load) in reports.iter().enumerate().filter(|_| fresh) {
            let report = LoadReport { running: *load, waiting: 0, measured_at: now };
            routers.iter_mut().for_each(|r| r.update_load(now, &target_id(target), report.clone()));
        }
        let (target, ..) = sent(pick_online(&mut routers[index], now)).unwrap();
        (0..CHOICE_TARGETS).find(|known| target_id(*known) == target).unwrap()
    });
    let mean = CHOICE_REQUESTS / CHOICE_TARGETS as u32;
    assert!(max <= mean * 5 / 4, "{max} at one target, {mean} on average");
}
