//! Submissions of many parts to a platform that is slow or refuses requests.

use std::{sync::Arc, time::Duration};

use oleander_core::Span;
use oleander_platform::{MemoryFaults, MemoryPlatform, ObjectStore};
use oleander_worklist::{JobManager, JobStore, SubmitError};
use tokio::time::{self, Instant};

use crate::fixture::{
    EchoTargets, SlowStore, job, route, start_with_objects, submission_with, wait_until_ready,
};

const ITEMS: u32 = 300;
/// Size of an object into which a few items fit.
const OBJECT_BYTES: usize = 6_000;
/// Wait of a caller for an answer.
const CALLER_WAIT: Duration = Duration::from_secs(3);

async fn start(memory: &MemoryPlatform) -> Arc<JobManager<SlowStore, EchoTargets>> {
    let store = SlowStore::new(memory.clone());
    let started = start_with_objects("entry-1", store, OBJECT_BYTES);
    started.relay.set_table(oleander_relay::RouteTable::new(1, vec![route()]));
    wait_until_ready(&started.manager).await;
    started.manager
}

/// Submits the job until it is accepted, `tries` times at most; returns the number of tries.
async fn submit(manager: &Arc<JobManager<SlowStore, EchoTargets>>, tries: u32) -> Option<u32> {
    for number in 1..=tries {
        let submission = submission_with("job-1", ITEMS, 1);
        let submitted = time::timeout(CALLER_WAIT, manager.submit(submission, &route())).await;
        if submitted == Ok(Ok(())) {
            return Some(number);
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    None
}

async fn part_count(memory: &MemoryPlatform) -> usize {
    memory.list("jobparts/", "", 1_000).await.expect("up").objects.len()
}

#[tokio::test(start_paused = true)]
async fn a_job_of_more_parts_than_writes_succeed_in_a_row_is_accepted() {
    let memory = MemoryPlatform::new();
    let manager = start(&memory).await;
    memory.set_faults(MemoryFaults { refuse_every: 10, ..MemoryFaults::default() });
    let tries = submit(&manager, 20).await;
    memory.set_faults(MemoryFaults::default());
    let parts = part_count(&memory).await;
    assert!(tries.is_some(), "not accepted by 20 tries, with {parts} parts written");
    assert!(parts > 10, "{parts} parts are written in a row");
}

#[tokio::test(start_paused = true)]
async fn a_job_whose_caller_leaves_again_and_again_is_accepted_by_a_slow_platform() {
    let memory = MemoryPlatform::new();
    let manager = start(&memory).await;
    let latency = Duration::from_millis(500);
    memory.set_faults(MemoryFaults { latency, ..MemoryFaults::default() });
    let requests = memory.requests();
    let tries = submit(&manager, 20).await;
    let writes = memory.requests() - requests;
    memory.set_faults(MemoryFaults::default());
    let parts = part_count(&memory).await;
    assert!(parts > 10, "{parts} parts are written while a caller waits");
    assert!(tries.is_some(), "not accepted by 20 tries, with {parts} parts written");
    assert!(writes < 2 * parts as u32, "{writes} requests for {parts} parts");
    let record = JobStore::new(memory).record(&job()).await;
    assert!(record.is_ok_and(|record| record.is_some()), "accepted, but not stored");
}

#[tokio::test(start_paused = true)]
async fn a_job_is_refused_at_once_while_the_platform_takes_no_writes() {
    let memory = MemoryPlatform::new();
    let manager = start(&memory).await;
    memory.set_faults(MemoryFaults { down: true, ..MemoryFaults::default() });
    let start = Instant::now();
    let refused = manager.submit(submission_with("job-1", ITEMS, 1), &route()).await;
    assert_eq!(refused, Err(SubmitError::Unavailable(Span::from_secs(1))));
    assert!(start.elapsed() < Duration::from_millis(100), "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_job_is_refused_within_a_second_once_the_platform_takes_no_more_writes() {
    let memory = MemoryPlatform::new();
    let manager = start(&memory).await;
    let latency = Duration::from_millis(100);
    memory.set_faults(MemoryFaults { latency, ..MemoryFaults::default() });
    let task = Arc::clone(&manager);
    let submitted =
        tokio::spawn(
            async move { task.submit(submission_with("job-1", ITEMS, 1), &route()).await },
        );
    time::sleep(latency * 5).await;
    memory.set_faults(MemoryFaults { down: true, ..MemoryFaults::default() });
    let start = Instant::now();
    let refused = submitted.await.expect("no panic");
    assert_eq!(refused, Err(SubmitError::Unavailable(Span::from_secs(1))));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}
