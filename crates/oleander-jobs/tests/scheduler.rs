//! Choice of the next lot: candidate hosts, takeover, deadlines and fairness.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use oleander_core::{HostId, JobId, LotIndex, Span, Time};
use oleander_jobs::{Counts, LotEnd, LotScheduler, ScheduledJob};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 3;
const TAKEOVER_DELAY: Span = Span::from_secs(10);
const START: Time = Time(1_000_000_000);

fn host(number: usize) -> HostId {
    format!("batch-{number}").parse().unwrap()
}

fn job(name: &str, lots: u32, deadline: Time) -> ScheduledJob {
    ScheduledJob {
        job: name.parse().unwrap(),
        service: "alarma-llm".parse().unwrap(),
        lots,
        deadline,
    }
}

fn take_all(scheduler: &mut LotScheduler, now: Time) -> Vec<(JobId, LotIndex)> {
    std::iter::from_fn(|| scheduler.pick(now, |_| true)).collect()
}

#[test]
fn each_lot_has_one_first_host_and_is_taken_over_by_another() {
    fn property(hosts: u8, lots: u8) -> bool {
        let hosts: Vec<HostId> = (0..usize::from(hosts % 12) + 2).map(host).collect();
        let lots = u32::from(lots) + 1;
        let mut first: BTreeMap<LotIndex, u32> = BTreeMap::new();
        let mut later: BTreeMap<LotIndex, u32> = BTreeMap::new();
        for host in &hosts {
            let mut scheduler = LotScheduler::new(host.clone(), TAKEOVER_DELAY);
            scheduler.set_hosts(START, hosts.clone());
            scheduler.add_job(START, job("j", lots, START + TAKEOVER_DELAY));
            take_all(&mut scheduler, START)
                .iter()
                .for_each(|(_, l)| *first.entry(*l).or_default() += 1);
            let now = START + TAKEOVER_DELAY;
            take_all(&mut scheduler, now)
                .iter()
                .for_each(|(_, l)| *later.entry(*l).or_default() += 1);
        }
        let is_each_once = |taken: &BTreeMap<LotIndex, u32>| {
            taken.len() as u32 == lots && taken.values().all(|&count| count == 1)
        };
        is_each_once(&first) && is_each_once(&later)
    }
    let gen_ = Gen::from_size_and_seed(50, SEED);
    QuickCheck::new().rng(gen_).tests(100).quickcheck(property as fn(u8, u8) -> bool);
}

#[test]
fn lots_of_a_lost_host_are_due_once_the_host_list_changes() {
    let mut scheduler = LotScheduler::new(host(0), TAKEOVER_DELAY);
    scheduler.set_hosts(START, vec![host(0), host(1)]);
    scheduler.add_job(START, job("j", 40, START + TAKEOVER_DELAY));
    let own = take_all(&mut scheduler, START).len();
    assert!(own < 40);
    scheduler.set_hosts(START, vec![host(0)]);
    assert_eq!(own + take_all(&mut scheduler, START).len(), 40);
}

#[test]
fn jobs_with_less_slack_go_first_and_no_job_starves() {
    let mut scheduler = LotScheduler::new(host(0), TAKEOVER_DELAY);
    scheduler.add_job(START, job("late", 200, START + Span::from_secs(90_000)));
    scheduler.add_job(START, job("soon", 200, START + Span::from_secs(15_000)));
    let taken: Vec<String> =
        take_all(&mut scheduler, START).iter().take(40).map(|(job, _)| job.to_string()).collect();
    let late = taken.iter().filter(|job| *job == "late").count();
    assert_eq!(late, 10);
    assert_eq!(taken[0], "soon");
}

#[test]
fn a_released_lot_waits_and_a_closed_one_is_removed() {
    let mut scheduler = LotScheduler::new(host(0), TAKEOVER_DELAY);
    scheduler.add_job(START, job("j", 2, START + Span::from_secs(900)));
    let taken = take_all(&mut scheduler, START);
    assert_eq!(taken.len(), 2);
    scheduler.record_end(START, &taken[0].0, taken[0].1, LotEnd::Closed(Counts::default()));
    scheduler.record_end(START, &taken[1].0, taken[1].1, LotEnd::Superseded);
    assert_eq!(scheduler.pick(START, |_| true), None);
    assert_eq!(scheduler.pick(START + TAKEOVER_DELAY, |_| false), None);
    assert_eq!(scheduler.pick(START + TAKEOVER_DELAY, |_| true), Some(taken[1].clone()));
    assert_eq!(scheduler.pick(START + TAKEOVER_DELAY, |_| true), None);
}

#[test]
fn one_host_runs_suspects_at_each_target() {
    let hosts: Vec<HostId> = (0..5).map(host).collect();
    for number in 0..40 {
        let target = format!("e{number}").parse().unwrap();
        let count = hosts.iter().filter(|host| {
            let mut scheduler = LotScheduler::new((*host).clone(), TAKEOVER_DELAY);
            scheduler.set_hosts(START, hosts.clone());
            scheduler.runs_suspects_at(&target)
        });
        assert_eq!(count.count(), 1);
    }
}
