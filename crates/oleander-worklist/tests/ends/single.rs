//! Single schedules, each of one way by which an owner doesn't hear of an end.

use std::time::Duration;

use oleander_core::JobId;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    fleet::Fleet,
    jobs::{job, submission},
    process::MESSAGE_LOST,
    store::Path,
};

/// Time from the acknowledgement of an end after which no item of the job may reach a target.
const END_BOUND: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_secs(1);
const ITEMS: u32 = 2_000;
const KEPT_ITEMS: u32 = 80;
/// Time in which these items are done.
const DONE: Duration = Duration::from_secs(10);
const OWNER: usize = 0;
/// Time in which an end is acknowledged.
const ACKNOWLEDGED: Duration = Duration::from_secs(10);

async fn running(hosts: usize) -> (Fleet, JobId) {
    let fleet = Fleet::start(hosts).await;
    fleet.accept(OWNER, submission("ended", ITEMS)).await;
    (fleet, job("ended"))
}

/// Ends the job at a host, and checks that no item of it starts too late.
async fn ends(fleet: &Fleet, host: usize, job: &JobId) {
    let from = Instant::now();
    loop {
        let answer = timeout(ACKNOWLEDGED, fleet.host(host).cancel(job)).await;
        if matches!(answer, Ok(Ok(Ok(true)))) {
            break;
        }
        assert!(from.elapsed() < ACKNOWLEDGED, "not acknowledged: {answer:?}");
        sleep(Duration::from_millis(100)).await;
    }
    let at = std::time::Instant::now();
    sleep(END_BOUND + WATCHED).await;
    let starts = fleet.starts_of(job);
    let late = starts.iter().filter(|start| start.at > at + END_BOUND).count();
    assert_eq!(late, 0, "items reached targets later than {END_BOUND:?} after the end");
}

#[tokio::test(flavor = "multi_thread")]
async fn items_do_not_start_after_an_end_while_the_feeder_stands_still_and_messages_are_lost() {
    let (fleet, job) = running(3).await;
    fleet.feeder.path.faults.lock().stands_still = true;
    sleep(WATCHED).await;
    fleet.host(OWNER).set_loss(MESSAGE_LOST);
    ends(&fleet, 1, &job).await;
}

/// The owner asks only some of the hosts whether they reach the platform.
#[tokio::test(flavor = "multi_thread")]
async fn items_do_not_start_after_an_end_at_one_of_many_hosts_that_reaches_the_platform() {
    for spared in 1..6 {
        let (fleet, job) = running(6).await;
        (0..6).filter(|host| *host != spared).for_each(|host| {
            fleet.host(host).path.faults.lock().path = Path::Refused;
        });
        fleet.feeder.path.faults.lock().path = Path::Refused;
        sleep(WATCHED).await;
        ends(&fleet, spared, &job).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn items_do_not_start_after_an_end_beyond_a_partition_with_the_platform() {
    let (fleet, job) = running(5).await;
    for host in 0..2 {
        fleet.host(host).path.faults.lock().path = Path::Refused;
    }
    for host in 2..5 {
        fleet.host(host).cut_off();
    }
    fleet.feeder.cut_off();
    sleep(Duration::from_secs(4)).await;
    ends(&fleet, 3, &job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn items_go_on_in_an_outage_while_a_host_is_dead() {
    let (mut fleet, job) = running(4).await;
    fleet.set_paths(Path::Refused);
    drop(fleet.hosts[3].take());
    sleep(Duration::from_secs(4)).await;
    let from = std::time::Instant::now();
    sleep(WATCHED * 2).await;
    let starts = fleet.starts_of(&job);
    let count = starts.iter().filter(|start| start.at > from).count();
    assert!(count > 20, "{count} items start in an outage");
}

/// Two processes of one host took the job from each other, and neither committed a result.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_done_while_an_earlier_process_of_its_host_still_runs() {
    let mut fleet = Fleet::start(1).await;
    fleet.start_host(OWNER).await;
    let kept = job("kept");
    sleep(WATCHED * 4).await;
    fleet.host(OWNER).submit(submission("kept", KEPT_ITEMS)).await;
    let done = fleet.wait_for_results(&kept, KEPT_ITEMS as usize);
    let done = timeout(DONE, done).await;
    assert_eq!(done, Ok(KEPT_ITEMS as usize), "{} runs", fleet.starts_of(&kept).len());
}
