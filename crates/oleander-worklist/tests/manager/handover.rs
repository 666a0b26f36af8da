//! Jobs that a host gives away before it stops, while the platform is slow.

use std::{sync::atomic::Ordering, time::Duration};

use oleander_core::Span;
use oleander_host::clock;
use oleander_platform::{MemoryFaults, MemoryPlatform};
use oleander_worklist::JobStore;
use tokio::time::Instant;

use crate::fixture::{
    SlowStore, list_host, route, start_manager, submission_with, wait_until_ready,
};

const JOBS: u32 = 30;
/// Time that a host has from the signal to its end.
const GRACE: Span = Span::from_secs(8);

/// Number of jobs without an owner.
async fn released(memory: &MemoryPlatform) -> usize {
    let store = JobStore::new(memory.clone());
    let mut count = 0;
    for number in 0..JOBS {
        let job = format!("job-{number}").parse().expect("name of a job");
        let (_, record) = store.record(&job).await.expect("up").expect("accepted");
        count += usize::from(record.owner.is_none());
    }
    count
}

#[tokio::test(start_paused = true)]
async fn all_idle_jobs_are_given_away_within_the_grace_of_a_stop() {
    let memory = MemoryPlatform::new();
    list_host(&memory, "entry-1").await;
    let (manager, targets, _) = start_manager("entry-1", SlowStore::new(memory.clone()));
    wait_until_ready(&manager).await;
    targets.unreachable.store(true, Ordering::Relaxed);
    for number in 0..JOBS {
        let submission = submission_with(&format!("job-{number}"), 1, 1);
        assert_eq!(manager.submit(submission, &route()).await, Ok(()));
    }
    let latency = Duration::from_millis(500);
    memory.set_faults(MemoryFaults { latency, ..MemoryFaults::default() });
    let start = Instant::now();
    let end = clock::steady() + GRACE;
    let in_time = tokio::time::timeout(GRACE.to_duration(), manager.hand_over(end)).await;
    memory.set_faults(MemoryFaults::default());
    let released = released(&memory).await;
    assert_eq!(released, JOBS as usize, "jobs given away, after {:?}", start.elapsed());
    assert!(in_time.is_ok(), "not done by the end of the process");
}
