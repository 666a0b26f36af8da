//! An owner of an earlier build, which starts items without a lease and answers before it has read.

use std::{sync::atomic::Ordering, time::Duration};

use oleander_worklist::{JobPhase, JobRecord, JobStore};
use tokio::time::sleep;

use crate::{
    fleet::Fleet,
    jobs::{job, submission},
    process::NOTED_UNREAD,
};

/// Time after which a host has seen a change by its watch, and longer than a lease lasts.
const SEEN: Duration = Duration::from_secs(5);

async fn old_owner() -> Fleet {
    let fleet = Fleet::start(2).await;
    fleet.host(0).set_loss(NOTED_UNREAD);
    fleet.accept(0, submission("ended", 2_000)).await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_of_an_earlier_build_is_told_of_an_end() {
    let (fleet, ended) = (old_owner().await, job("ended"));
    assert_eq!(fleet.host(1).cancel(&ended).await.expect("no panic"), Ok(true));
    assert_eq!(fleet.host(0).told.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_of_an_earlier_build_is_told_of_an_end_that_is_acknowledged_long_after() {
    let (fleet, ended) = (old_owner().await, job("ended"));
    let jobs = JobStore::new(fleet.platform.clone());
    let (revision, record) = jobs.record(&ended).await.expect("up").expect("accepted");
    let record = JobRecord { phase: JobPhase::Cancelled, ..record };
    assert!(jobs.replace(&record, revision).await.expect("up").is_some());
    sleep(SEEN).await;
    assert_eq!(fleet.host(1).cancel(&ended).await.expect("no panic"), Ok(true));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.host(0).told.load(Ordering::Relaxed), 1);
}
