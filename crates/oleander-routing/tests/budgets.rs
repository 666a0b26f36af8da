//! Properties of retry budgets, rate limits, ejection and the adaptive concurrency limit.

#![allow(clippy::unwrap_used)]

mod common;

use common::{host, millis, properties, target_id};
use oleander_core::{Rate, Span, WorkspaceId};
use oleander_routing::{
    EjectionConfig, EjectionState, Ejector, HedgeConfig, Hedger, LatencyWindow, LimitConfig,
    LimitController, PrefixIndex, RetryBudget, WorkspaceLimiter,
};

fn workspace() -> WorkspaceId {
    "growers".parse().unwrap()
}

properties! {
    fn retries_stay_within_their_share(steps: Vec<(bool, u8)>) -> bool {
        let mut budget = RetryBudget::new().percent(10).min_rate(1).capacity(5);
        let (start, mut now) = (millis(0), millis(0));
        budget.record_request(start);
        let (mut requests, mut retries) = (1, 0);
        steps.into_iter().all(|(retry, ms)| {
            now = now + Span::from_millis(u64::from(ms));
            if retry {
                retries += u64::from(budget.try_withdraw(now));
            } else {
                budget.record_request(now);
                requests += 1;
            }
            let refilled = now.since(start).as_secs_ceil();
            retries <= 5 + requests / 10 + refilled
        })
    }

    fn hedges_stay_within_their_share_and_exclude_unrepeatable_calls(calls: Vec<u8>) -> bool {
        let mut hedger = Hedger::new(HedgeConfig::new().percent(5));
        for _ in 0..100 {
            hedger.record_first_token(Span::from_millis(100));
        }
        let mut hedges = 0;
        let sent = millis(0);
        for (count, wait) in calls.iter().enumerate() {
            hedger.record_request(sent);
            let now = sent + Span::from_millis(u64::from(*wait));
            if hedger.try_hedge(now, sent, false) {
                return false;
            }
            let hedged = hedger.try_hedge(now, sent, true);
            if hedged && *wait < 100 {
                return false;
            }
            hedges += usize::from(hedged);
            if hedges > 5 + (count + 1) / 20 {
                return false;
            }
        }
        hedger.delay(false).is_none()
    }

    fn all_hosts_together_stay_near_the_rate(demand: Vec<u8>, hosts: u8) -> bool {
        let hosts = usize::from(hosts % 6) + 2;
        let (rate, seconds) = (240, 10);
        let mut limiters = vec![WorkspaceLimiter::new(hosts as u32); hosts];
        limiters
            .iter_mut()
            .for_each(|limiter| limiter.set_rate(millis(0), &workspace(), Rate(rate)));
        let mut admitted = 0;
        for tick in 0..seconds * 10 {
            let now = millis(tick * 100);
            let requests = demand.get(tick as usize % demand.len().max(1)).map_or(0, |n| n % 40);
            for limiter in &mut limiters {
                admitted += (0..requests)
                    .filter(|_| limiter.try_acquire(now, &workspace()).is_ok())
                    .count();
            }
            exchange_usage(&mut limiters, tick);
        }
        admitted as u64 <= rate * seconds + 2 * rate
    }

    fn at_most_a_third_is_ejected(faults: Vec<(u8, bool)>, count: u8) -> bool {
        let count = usize::from(count % 20) + 1;
        let mut ejector = Ejector::new(EjectionConfig::new());
        (0..count).for_each(|index| ejector.add(&target_id(index)));
        let mut now = millis(0);
        faults.into_iter().all(|(which, ok)| {
            now = now + Span::from_millis(20);
            let id = target_id(usize::from(which) % count);
            if ok { ejector.record_success(now, &id) } else { ejector.record_fault(now, &id) }
            let is_ejected = |index| ejector.state(now, &target_id(index)) != EjectionState::Active;
            (0..count).filter(|index| is_ejected(*index)).count() <= count / 3
        })
    }

    fn ejection_time_after_faults_doubles_up_to_four_seconds(rounds: u8) -> bool {
        let mut ejector = Ejector::new(
            EjectionConfig::new().fault_threshold(1).base_duration(Span::from_secs(2)),
        );
        (0..3).for_each(|index| ejector.add(&target_id(index)));
        let mut now = millis(0);
        (0..u32::from(rounds % 12)).all(|round| {
            ejector.record_fault(now, &target_id(0));
            let EjectionState::Ejected(until) = ejector.state(now, &target_id(0))
            else { return false };
            let duration = until.since(now);
            now = until;
            let probing = ejector.state(now, &target_id(0)) == EjectionState::Probing;
            probing && duration == Span::from_secs(2 << round.min(1))
        })
    }

    fn an_unreachable_target_is_ejected_at_once(count: u8) -> bool {
        let count = usize::from(count % 20) + 3;
        let mut ejector = Ejector::new(EjectionConfig::new());
        (0..count).for_each(|index| ejector.add(&target_id(index)));
        ejector.record_unreachable(millis(0), &target_id(0));
        let ejected =
            ejector.state(millis(0), &target_id(0)) == EjectionState::Ejected(millis(2_000));
        ejected && ejector.state(millis(2_000), &target_id(0)) == EjectionState::Probing
    }

    fn a_target_that_answers_again_is_probed_within_four_seconds(down: u16) -> bool {
        let mut ejector = Ejector::new(EjectionConfig::new());
        (0..3).for_each(|index| ejector.add(&target_id(index)));
        let back = millis(u64::from(down));
        let mut now = millis(0);
        while now < back {
            if ejector.state(now, &target_id(0)) != EjectionState::Ejected(now) {
                ejector.record_fault(now, &target_id(0));
            }
            now = match ejector.state(now, &target_id(0)) {
                EjectionState::Ejected(until) => until,
                _ => now + Span::from_millis(50),
            };
        }
        now.since(back) <= Span::from_secs(4)
    }

    fn the_limit_stays_between_minimum_and_configured(
        samples: Vec<(u16, bool)>,
        configured: u8,
    ) -> bool {
        let config = LimitConfig::new().min_limit(2).window(Span::from_millis(100));
        let mut limit = LimitController::new(config, u32::from(configured));
        let mut now = millis(0);
        samples.into_iter().all(|(ms, first)| {
            now = now + Span::from_millis(7);
            let ms = Span::from_millis(u64::from(ms));
            if first { limit.record_first_token(now, ms) }
            else { limit.record_between_tokens(now, ms) }
            let current = limit.current();
            current <= u32::from(configured) && current >= u32::from(configured).min(2)
        })
    }

    fn quantiles_are_samples_at_their_rank(samples: Vec<u16>) -> bool {
        let mut window = LatencyWindow::new(1_000);
        samples.iter().for_each(|sample| window.record(Span(u64::from(*sample))));
        let Some(p95) = window.quantile(950) else { return samples.is_empty() };
        let above = samples.iter().filter(|sample| u64::from(**sample) > p95.0).count();
        let at_least = samples.iter().filter(|sample| u64::from(**sample) >= p95.0).count();
        above * 20 <= samples.len() && at_least * 20 >= samples.len()
    }

    fn the_prefix_index_is_bounded_and_keeps_the_latest(prefixes: Vec<(u16, u8)>) -> bool {
        let mut index = PrefixIndex::new(8);
        prefixes.into_iter().all(|(prefix, target)| {
            index.insert(u64::from(prefix), u32::from(target));
            let known = index.targets(u64::from(prefix));
            index.len() <= 16 && known.len() <= 4 && known.first() == Some(&u32::from(target))
        })
    }
}

/// Sends each host's usage to the others.
fn exchange_usage(limiters: &mut [WorkspaceLimiter], tick: u64) {
    let now = millis(tick * 100 + 50);
    let used: Vec<Rate> =
        limiters.iter_mut().map(|limiter| limiter.usage(now, &workspace())).collect();
    for (index, limiter) in limiters.iter_mut().enumerate() {
        for (from, rate) in used.iter().enumerate().filter(|(from, _)| *from != index) {
            limiter.update_peer(now, &host(from), &workspace(), *rate);
        }
    }
}

#[test]
fn one_host_gets_nearly_the_whole_rate_when_others_are_idle() {
    let mut limiters = vec![WorkspaceLimiter::new(8); 8];
    limiters.iter_mut().for_each(|limiter| limiter.set_rate(millis(0), &workspace(), Rate(80)));
    let mut admitted = 0;
    for tick in 0..100 {
        let now = millis(tick * 100);
        let requests =
            (0..50).filter(|_| limiters[0].try_acquire(now, &workspace()).is_ok()).count();
        admitted += if tick < 20 { 0 } else { requests };
        exchange_usage(&mut limiters, tick);
    }
    assert!((608..=720).contains(&admitted), "{admitted} admitted in the last 8 of 10 s at 80/s");
}

#[test]
fn a_refused_request_is_admitted_after_the_returned_time() {
    let mut limiter = WorkspaceLimiter::new(1).burst(Span::from_millis(100));
    limiter.set_rate(millis(0), &workspace(), Rate(10));
    assert_eq!(limiter.try_acquire(millis(0), &workspace()), Ok(()));
    let wait = limiter.try_acquire(millis(10), &workspace()).unwrap_err();
    assert!(limiter.try_acquire(millis(9) + wait, &workspace()).is_err());
    assert_eq!(limiter.try_acquire(millis(10) + wait, &workspace()), Ok(()));
}

#[test]
fn a_slow_target_is_ejected_and_the_others_stay() {
    let mut ejector = Ejector::new(EjectionConfig::new().slow_factor(4));
    (0..4).for_each(|index| ejector.add(&target_id(index)));
    for _ in 0..32 {
        for index in 0..4 {
            let took = Span::from_millis(if index == 0 { 900 } else { 200 });
            ejector.record_first_token(millis(0), &target_id(index), took);
        }
    }
    let states: Vec<EjectionState> =
        (0..4).map(|index| ejector.state(millis(0), &target_id(index))).collect();
    assert!(matches!(states[0], EjectionState::Ejected(_)));
    assert_eq!(&states[1..], &[EjectionState::Active; 3]);
}

#[test]
fn a_lowered_limit_recovers_without_samples() {
    let config = LimitConfig::new().first_token(Span::from_millis(100));
    let mut limit = LimitController::new(config, 40);
    (0..400).for_each(|tick| limit.record_first_token(millis(tick * 50), Span::from_millis(300)));
    let lowered = limit.current();
    (0..120).for_each(|tick| limit.recover(millis(20_000 + tick * 1_000)));
    assert!(lowered < 10, "{lowered} after 20 s of late responses");
    assert_eq!(limit.current(), 40, "after two minutes without samples");
}

#[test]
fn the_limit_falls_under_late_answers_and_recovers() {
    let config = LimitConfig::new().first_token(Span::from_millis(100));
    let mut limit = LimitController::new(config, 40);
    let record = |limit: &mut LimitController, from: u64, took: u64| {
        for tick in 0..400 {
            limit.record_first_token(millis(from + tick * 50), Span::from_millis(took));
        }
    };
    record(&mut limit, 0, 300);
    let lowered = limit.current();
    record(&mut limit, 20_000, 50);
    assert!(lowered < 10, "{lowered} after 20 s of late responses");
    assert!(limit.current() >= lowered + 15, "{} after 20 s of timely responses", limit.current());
}
