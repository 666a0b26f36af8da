//! Ends of jobs whose owner hears of them late or not at all.
//!
//! Messages between the hosts of these tests are always lost.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use oleander_core::Span;
use oleander_host::clock;
use oleander_platform::MemoryPlatform;
use oleander_worklist::{JobManager, JobPhase, JobStore};

use crate::fixture::{
    EchoTargets, SlowStore, end_job, job, list_host, route, start_manager, submission_with,
    wait_until_ready,
};

/// Time from the acknowledgement of an end after which no item of the job may reach a target.
const END_BOUND: Duration = Duration::from_secs(3);
/// Time for which targets are watched.
const WATCHED: Duration = Duration::from_secs(1);
/// Number of items, which take longer than a test lasts.
const ITEMS: u32 = 400;
/// Time for each of the two reads of an item's response.
const ITEM_TIME: Duration = Duration::from_millis(150);

/// An owner that starts an item of the job whenever another one has finished.
struct Busy {
    manager: Arc<JobManager<SlowStore, EchoTargets>>,
    targets: Arc<EchoTargets>,
    store: SlowStore,
}

impl Busy {
    async fn start(store: &MemoryPlatform) -> Self {
        let store = SlowStore::new(store.clone());
        let (manager, targets, _) = start_manager("entry-1", store.clone());
        *targets.delay.lock() = ITEM_TIME;
        wait_until_ready(&manager).await;
        let submitted = manager.submit(submission_with("job-1", ITEMS, 1), &route()).await;
        assert_eq!(submitted, Ok(()));
        let busy = Self { manager, targets, store };
        assert!(busy.starts_within(WATCHED).await > 0, "no item runs before the end");
        busy
    }

    /// Number of items that reach targets within a time.
    async fn starts_within(&self, time: Duration) -> usize {
        let before = self.targets.requests.load(Ordering::Relaxed);
        tokio::time::sleep(time).await;
        self.targets.requests.load(Ordering::Relaxed) - before
    }

    /// Checks that no item reaches a target later than the bound after an end.
    async fn stays_stopped(&self) {
        tokio::time::sleep(END_BOUND).await;
        let late = self.starts_within(WATCHED).await;
        assert_eq!(late, 0, "items reached targets later than {END_BOUND:?} after the end");
    }
}

#[tokio::test]
async fn items_do_not_start_after_an_end_whose_message_and_watch_are_lost() {
    let store = MemoryPlatform::new();
    let owner = Busy::start(&store).await;
    let (other, _, _) = start_manager("entry-2", SlowStore::new(store.clone()));
    wait_until_ready(&other).await;
    owner.store.watch_blocked.store(true, Ordering::Relaxed);
    assert_eq!(other.cancel(&job()).await, Ok(true));
    owner.stays_stopped().await;
}

#[tokio::test]
async fn items_do_not_start_after_an_end_that_another_host_acknowledges_again() {
    let store = MemoryPlatform::new();
    let owner = Busy::start(&store).await;
    owner.store.watch_blocked.store(true, Ordering::Relaxed);
    end_job(&store).await;
    let (other, _, _) = start_manager("entry-2", SlowStore::new(store.clone()));
    wait_until_ready(&other).await;
    assert_eq!(other.cancel(&job()).await, Ok(true));
    owner.stays_stopped().await;
}

#[tokio::test]
async fn items_do_not_start_at_an_owner_that_is_cut_off_from_records_and_hosts() {
    let store = MemoryPlatform::new();
    list_host(&store, "entry-1").await;
    list_host(&store, "entry-2").await;
    let owner = Busy::start(&store).await;
    owner.store.watch_blocked.store(true, Ordering::Relaxed);
    owner.store.read_refused.store(true, Ordering::Relaxed);
    end_job(&store).await;
    owner.stays_stopped().await;
}

#[tokio::test]
async fn items_go_on_in_an_outage_of_the_platform() {
    let owner = Busy::start(&MemoryPlatform::new()).await;
    owner.store.watch_blocked.store(true, Ordering::Relaxed);
    owner.store.read_refused.store(true, Ordering::Relaxed);
    tokio::time::sleep(END_BOUND).await;
    assert!(owner.starts_within(WATCHED).await > 0, "nobody can end the job meanwhile");
}

#[tokio::test]
async fn an_end_is_acknowledged_at_once_where_the_job_runs() {
    let owner = Busy::start(&MemoryPlatform::new()).await;
    let job = job();
    let ended = tokio::time::timeout(Duration::from_millis(500), owner.manager.cancel(&job)).await;
    assert_eq!(ended, Ok(Ok(true)));
    assert_eq!(owner.starts_within(WATCHED).await, 0);
}

#[tokio::test]
async fn items_whose_record_is_removed_are_stopped() {
    let store = MemoryPlatform::new();
    let owner = Busy::start(&store).await;
    let jobs = JobStore::new(store.clone());
    let (revision, record) = jobs.record(&job()).await.expect("up").expect("accepted");
    jobs.remove(revision, &record).await.expect("up");
    owner.stays_stopped().await;
}

#[tokio::test]
async fn a_job_that_was_removed_while_the_history_was_lost_is_unknown() {
    let store = MemoryPlatform::new();
    let _owner = Busy::start(&store).await;
    let slow = SlowStore::new(store.clone());
    let (other, _, _) = start_manager("entry-2", slow.clone());
    wait_until_ready(&other).await;
    slow.watch_blocked.store(true, Ordering::Relaxed);
    tokio::time::sleep(END_BOUND).await;
    end_job(&store).await;
    let jobs = JobStore::new(store.clone());
    let (revision, record) = jobs.record(&job()).await.expect("up").expect("accepted");
    jobs.remove(revision, &record).await.expect("up");
    slow.history_gone.store(true, Ordering::Relaxed);
    slow.watch_blocked.store(false, Ordering::Relaxed);
    let deadline = tokio::time::Instant::now() + END_BOUND * 2;
    while other.read_results(&job(), 0, Span::ZERO).await != Ok(None) {
        assert!(tokio::time::Instant::now() < deadline, "the removed job is still known");
        tokio::time::sleep(ITEM_TIME).await;
    }
}

#[tokio::test]
async fn a_job_that_is_ended_before_its_acceptance_is_answered_stays_ended() {
    let store = MemoryPlatform::new();
    let slow = SlowStore::new(store.clone());
    let (manager, targets, _) = start_manager("entry-1", slow.clone());
    *targets.delay.lock() = ITEM_TIME;
    wait_until_ready(&manager).await;
    slow.ends_unanswered.store(true, Ordering::Relaxed);
    assert_eq!(manager.submit(submission_with("job-1", ITEMS, 1), &route()).await, Ok(()));
    tokio::time::sleep(WATCHED).await;
    assert_eq!(targets.requests.load(Ordering::Relaxed), 0, "items of an ended job ran");
    manager.hand_over(clock::steady() + Span::from_secs(8)).await;
    let (_, record) = JobStore::new(store).record(&job()).await.expect("up").expect("accepted");
    assert_eq!(record.phase, JobPhase::Cancelled, "the stop of its owner opened the job again");
}
