//! Ends of jobs just before an outage of the platform, at hosts with real links.

use std::{sync::atomic::Ordering, time::Duration};

use oleander_core::hash;
use oleander_platform::{MemoryFaults, MemoryPlatform};
use oleander_worklist::{JobPhase, JobStore};

use crate::{
    fixture::{CALL_LATENCY, job, route, submission_with},
    linked::{Linked, start},
};

/// Time from the acknowledgement of an end after which no item of the job may reach a target.
const END_BOUND: Duration = Duration::from_secs(3);
/// Time for which targets are watched, and in which hosts get to know each other.
const WATCHED: Duration = Duration::from_secs(2);
const ITEMS: u32 = 400;

impl Linked {
    /// Starts the job at this host, whose watch is lost then.
    async fn run_job(&self) {
        let submitted = self.manager.submit(submission_with("job-1", ITEMS, 1), &route()).await;
        assert_eq!(submitted, Ok(()));
        tokio::time::sleep(WATCHED).await;
        assert!(self.targets.requests.load(Ordering::Relaxed) > 0, "no item runs before the end");
        self.store.watch_blocked.store(true, Ordering::Relaxed);
        // The watch in progress ends.
        tokio::time::sleep(WATCHED * 2).await;
    }

    /// Checks that no item reaches a target later than the bound after an end.
    async fn stays_stopped(&self) {
        tokio::time::sleep(END_BOUND).await;
        let before = self.targets.requests.load(Ordering::Relaxed);
        tokio::time::sleep(WATCHED).await;
        let late = self.targets.requests.load(Ordering::Relaxed) - before;
        assert_eq!(late, 0, "items reached targets later than {END_BOUND:?} after the end");
    }
}

/// Begins an outage as soon as the job's end is written.
async fn begin_outage_after_the_end(store: MemoryPlatform) {
    let jobs = JobStore::new(store.clone());
    loop {
        let (_, record) = jobs.record(&job()).await.expect("up").expect("accepted");
        if record.phase == JobPhase::Cancelled {
            break;
        }
        tokio::time::sleep(CALL_LATENCY / 10).await;
    }
    store.set_faults(MemoryFaults { down: true, ..MemoryFaults::default() });
}

/// Guards against an owner that goes on in an outage, since no host can write an end meanwhile, while
/// one that has written it just before acknowledges it.
#[tokio::test]
async fn items_do_not_start_after_an_end_that_was_written_just_before_an_outage() {
    let store = MemoryPlatform::new();
    let owner = start("entry-1", &store).await;
    let other = start("entry-2", &store).await;
    tokio::time::sleep(WATCHED).await;
    owner.run_job().await;
    let outage = tokio::spawn(begin_outage_after_the_end(store.clone()));
    let ended = other.manager.cancel(&job()).await;
    outage.await.expect("an outage");
    owner.stays_stopped().await;
    assert!(ended.is_err(), "acknowledged, though nobody reads the record any more: {ended:?}");
    store.set_faults(MemoryFaults::default());
    assert_eq!(other.manager.cancel(&job()).await, Ok(true));
}

/// Guards against an owner that takes the platform for out since a few hosts don't reach it, while
/// another one does and acknowledges an end.
#[tokio::test]
async fn items_do_not_start_after_an_end_at_a_host_that_alone_reaches_the_platform() {
    let store = MemoryPlatform::new();
    let owner = start("entry-1", &store).await;
    let mut names: Vec<String> = (2..=6).map(|number| format!("entry-{number}")).collect();
    // The order in which the owner asks hosts for the platform.
    names.sort_by_key(|name| hash::hash_parts(&["entry-1", name]));
    let mut others = Vec::new();
    for name in &names {
        others.push(start(name, &store).await);
    }
    let last = others.pop().expect("a host");
    tokio::time::sleep(WATCHED).await;
    owner.run_job().await;
    for cut in others.iter().chain([&owner]) {
        cut.store.read_refused.store(true, Ordering::Relaxed);
    }
    assert_eq!(last.manager.cancel(&job()).await, Ok(true));
    owner.stays_stopped().await;
}
