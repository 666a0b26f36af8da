//! Prints the mean time to handle a new document and a change of the live hosts, for several
//! numbers of targets and hosts.

use std::{hint::black_box, time::Instant};

use oleander_core::{HostId, Revision, Time};
use oleander_orders::{Goal, OrderEvent, OrdersConfig, Reconciler, TargetGoal};

const ROUNDS: u32 = 20;

fn hosts(count: usize) -> Option<Vec<HostId>> {
    (0..count).map(|i| format!("host-{i}").parse().ok()).collect()
}

fn goal(index: usize) -> Option<TargetGoal> {
    let model = "model".parse().ok()?;
    let goal = Goal::Hold { address: format!("10.0.0.1:{index}"), model };
    Some(TargetGoal { target: format!("target-{index}").parse().ok()?, goal })
}

fn measure(targets: usize, host_count: usize) -> Option<()> {
    let hosts = hosts(host_count)?;
    let goals: Vec<TargetGoal> = (0..targets).map(goal).collect::<Option<_>>()?;
    let mut reconciler = Reconciler::new(OrdersConfig::new(), hosts.first()?.clone(), 1, 1);
    reconciler.handle(Time(1), OrderEvent::Hosts(hosts.clone()));
    let start = Instant::now();
    for round in 1..=ROUNDS {
        let revision = Revision(u64::from(round));
        let event = OrderEvent::Document { revision, goals: goals.clone() };
        black_box(reconciler.handle(Time(u64::from(round)), event));
    }
    let document_time = start.elapsed() / ROUNDS;
    let start = Instant::now();
    for round in 0..ROUNDS as usize {
        let live = hosts.iter().take(host_count - round % 2).cloned().collect();
        black_box(reconciler.handle(Time(100), OrderEvent::Hosts(live)));
    }
    let hosts_time = start.elapsed() / ROUNDS;
    let owned = reconciler.owned();
    eprintln!("{targets:>7} {host_count:>6} {owned:>6} {document_time:>12.1?} {hosts_time:>12.1?}");
    Some(())
}

fn main() {
    eprintln!("targets  hosts  owned     document        hosts");
    for (targets, hosts) in [(20, 9), (1_200, 79), (12_000, 79), (12_000, 790)] {
        measure(targets, hosts);
    }
}
