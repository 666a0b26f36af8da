//! Job managers with an in-memory store and targets that answer immediately.

mod ends;
mod fixture;
mod forgotten;
mod handover;
mod linked;
mod loading;
mod odd_records;
mod outage_ends;
mod placement;
mod routes;
mod sizes;
mod submissions;
mod waiting_changes;
mod waiting_reads;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use oleander_core::{PromptPart, Span, Time, hash};
use oleander_platform::MemoryPlatform;
use oleander_quarantine::{BlockNews, PartSet, QuarantineNews};
use oleander_routing::PeerCount;
use oleander_worklist::{
    ItemOutcome, ItemResult, JobManager, JobRecord, JobStore, Owner, Segment, SubmitError,
};

use fixture::{
    CALL_LATENCY, CREATE_LATENCY, EchoTargets, Reply, SlowStore, host, job, list_host, manager,
    manager_and_targets, route, start_manager, submission, submission_of, wait_for_results,
    wait_until_ready,
};

#[tokio::test]
async fn a_job_is_run_and_its_results_are_committed_once() {
    let manager = manager(MemoryPlatform::new());
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()), "the job exists already");
    assert_eq!(wait_for_results(&manager).await, 3);
    let read =
        manager.read_results(&job(), 1, Span::ZERO).await.expect("the store is up").expect("a job");
    assert_eq!((read.total, read.results.len()), (3, 2));
    assert_eq!(read.results[0].state, ItemOutcome::Completed);
    assert!(read.results[0].output.starts_with("done job-1-item-"));
}

/// Guards against losing a job whose caller disconnects while it is being accepted. This happened
/// after a power loss of all hosts: the request of a caller that had already timed out was read.
#[tokio::test]
async fn a_job_whose_caller_left_while_it_was_accepted_is_run() {
    let store = MemoryPlatform::new();
    let manager = manager(store.clone());
    wait_until_ready(&manager).await;
    let timeout = CALL_LATENCY * 3 / 2;
    let abandoned = tokio::time::timeout(timeout, manager.submit(submission(10), &route())).await;
    assert!(abandoned.is_err(), "the caller must disconnect before the create is answered");
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(wait_for_results(&manager).await, 3);
}

#[tokio::test]
async fn a_job_that_exceeds_the_backlog_of_its_route_is_refused() {
    let store = MemoryPlatform::new();
    let manager = manager(store.clone());
    wait_until_ready(&manager).await;
    let refused = manager.submit(submission(400), &route()).await;
    assert!(matches!(refused, Err(SubmitError::Full(_))), "{refused:?}");
}

#[tokio::test]
async fn a_cancelled_job_stays_cancelled() {
    let manager = manager(MemoryPlatform::new());
    wait_until_ready(&manager).await;
    assert_eq!(manager.cancel(&job()).await, Ok(false), "the job does not exist yet");
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(manager.cancel(&job()).await, Ok(true));
    assert_eq!(manager.cancel(&job()).await, Ok(true), "a repeated cancel succeeds");
}

#[tokio::test]
async fn a_job_that_is_cancelled_while_it_is_being_accepted_runs_no_item() {
    let (manager, targets) = manager_and_targets(MemoryPlatform::new());
    wait_until_ready(&manager).await;
    let accepting = tokio::spawn({
        let manager = Arc::clone(&manager);
        async move { manager.submit(submission(10), &route()).await }
    });
    tokio::time::sleep(CALL_LATENCY * 2).await;
    assert_eq!(manager.cancel(&job()).await, Ok(true), "the record exists already");
    assert!(accepting.await.expect("the task completes").is_ok());
    tokio::time::sleep(CREATE_LATENCY * 3).await;
    assert_eq!(
        targets.requests.load(Ordering::Relaxed),
        0,
        "an item of a cancelled job reached a target"
    );
}

/// Guards against online requests that queue behind batch items: if several hosts send to one
/// target at the same moment, each asks for too few preemptions, and no later request asks for
/// more.
#[tokio::test]
async fn items_are_interrupted_at_a_target_that_other_hosts_fill_with_online_requests() {
    let (manager, targets, pools) = start_manager("entry-1", SlowStore::new(MemoryPlatform::new()));
    wait_until_ready(&manager).await;
    targets.pause(true);
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    let pool = pools.get(&"llm".parse().expect("name of a service")).expect("a pool");
    let batch = || pool.counts().iter().map(|count| count.batch).sum::<u32>();
    while batch() < 3 {
        tokio::time::sleep(CALL_LATENCY).await;
    }
    let target = "engine-1".parse().expect("name of a target");
    let full = vec![PeerCount { target, online: 8, batch: 0 }];
    pool.update_peer(&"entry-2".parse().expect("name of a host"), full, Time(1));
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(batch(), 0, "items hold slots that online requests wait for");
}

/// Guards against results that disappear for a reader. A paused host resumed a job that another
/// host had taken over, and showed a result that the new owner did not know for seconds. Seen in
/// the power-loss scenario of harrow-tray.
#[tokio::test]
async fn a_former_owner_shows_no_result_that_the_new_owner_does_not_know() {
    let store = MemoryPlatform::new();
    let former = SlowStore::new(store.clone());
    let (first, targets, _) = start_manager("entry-1", former.clone());
    let (second, second_targets, _) = start_manager("entry-2", SlowStore::new(store.clone()));
    wait_until_ready(&first).await;
    wait_until_ready(&second).await;
    targets.pause(true);
    second_targets.pause(true);
    former.watch_blocked.store(true, Ordering::Relaxed);
    assert_eq!(first.submit(submission(10), &route()).await, Ok(()));
    tokio::time::sleep(CREATE_LATENCY).await;
    set_owner(&store, "entry-2").await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    targets.pause(false);
    for _ in 0..60 {
        let shown = committed_count(&first).await;
        let known = committed_count(&second).await;
        assert!(known >= shown, "the former owner shows {shown} results, the new one {known}");
        tokio::time::sleep(CALL_LATENCY).await;
    }
    second_targets.pause(false);
    assert_eq!(wait_for_results(&second).await, 3, "the new owner completes the job");
}

/// Makes another process the owner of the job, like a take-over.
async fn set_owner(store: &MemoryPlatform, name: &str) {
    let jobs = JobStore::new(store.clone());
    let (revision, record) = jobs.record(&job()).await.expect("up").expect("accepted");
    let owner = Some(Owner { host: host(name), started: Time(7) });
    let taken = JobRecord { owner, ..record };
    assert!(jobs.replace(&taken, revision).await.expect("up").is_some());
}

/// Guards against a flood of reads at the platform while jobs have no running owner, as after a
/// restart of all hosts: callers poll, and each poll read the whole log of results again.
#[tokio::test]
async fn results_at_the_platform_are_read_once() {
    let store = SlowStore::new(MemoryPlatform::new());
    let (manager, _, _) = start_manager("entry-1", store.clone());
    wait_until_ready(&manager).await;
    let jobs = JobStore::new(store.store.clone());
    let record = submission(10).record(Time(1), &route(), 0, None);
    jobs.accept(&record).await.expect("up").expect("a new job");
    for index in 0..2 {
        let result = ItemResult {
            item: format!("job-1-item-{index}"),
            state: ItemOutcome::Completed,
            output: "done".to_owned(),
        };
        let segment = Segment { writer: format!("w{index}"), results: vec![result] };
        jobs.append(&job(), index, &segment).await.expect("up");
    }
    for _ in 0..4 {
        assert_eq!(committed_count(&manager).await, 2);
    }
    let reads = store.segment_reads.load(Ordering::Relaxed);
    assert_eq!(reads, 2 + 4, "each segment once, and the next one with each read");
}

/// Number of results that a manager returns to a reader now.
async fn committed_count(manager: &Arc<JobManager<SlowStore, EchoTargets>>) -> usize {
    let read = manager.read_results(&job(), 0, Span::ZERO).await.expect("the store is up");
    read.map_or(0, |read| read.results.len())
}

/// Guards against jobs that stand still during a planned stop: a stopping host kept jobs without
/// running items until the items of its other jobs had finished. Seen in the recorded
/// day of vpu.
#[tokio::test]
async fn a_stopping_host_releases_jobs_without_running_items_at_once() {
    let store = MemoryPlatform::new();
    let (manager, targets, pools) = start_manager("entry-1", SlowStore::new(store.clone()));
    wait_until_ready(&manager).await;
    targets.pause(true);
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    let target = "engine-1".parse().expect("name of a target");
    let pool = pools.get(&"llm".parse().expect("name of a service")).expect("a pool");
    while pool.counts().iter().map(|count| count.batch).sum::<u32>() < 3 {
        tokio::time::sleep(CALL_LATENCY).await;
    }
    // Four online requests and three items use up the slots available to batch items.
    let counts = vec![PeerCount { target, online: 4, batch: 0 }];
    pool.update_peer(&host("entry-2"), counts, Time(1));
    assert_eq!(manager.submit(submission_of("job-2", 10), &route()).await, Ok(()));
    let stopping = Arc::clone(&manager);
    let handover = tokio::spawn(async move {
        stopping.hand_over(oleander_host::clock::steady() + Span::from_secs(8)).await;
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    let jobs = JobStore::new(store);
    let waiting = "job-2".parse().expect("name of a job");
    let (_, record) = jobs.record(&waiting).await.expect("up").expect("accepted");
    assert_eq!(record.owner, None, "a job without running items was not released");
    let (_, record) = jobs.record(&job()).await.expect("up").expect("accepted");
    assert!(record.owner.is_some(), "a job with running items was released");
    handover.abort();
}

#[tokio::test]
async fn an_item_whose_parts_are_blocked_is_not_failed() {
    let (manager, targets, pools) = start_manager("entry-1", SlowStore::new(MemoryPlatform::new()));
    let body = hash::hash_bytes(b"body").to_string();
    let content = hash::hash_parts(&["a.example", "/drafts/1", &body]);
    let blocked = BlockNews {
        parts: PartSet([PromptPart(content)].into()),
        cleared: PartSet::default(),
        count: 1,
        remaining: Span::from_secs(600),
    };
    let news = QuarantineNews { crashes: Vec::new(), blocks: vec![blocked] };
    pools.merge_quarantine(&"llm".parse().expect("name of a service"), news);
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(wait_for_results(&manager).await, 3);
    let read =
        manager.read_results(&job(), 0, Span::ZERO).await.expect("the store is up").expect("a job");
    let completed = read.results.iter().filter(|one| one.state == ItemOutcome::Completed);
    assert_eq!(completed.count(), 3, "{:?}", read.results);
    assert_eq!(targets.requests.load(Ordering::Relaxed), 3, "each item is sent once");
}

/// The owner of the job after a host without links to targets has had time to give it away.
async fn owner_at_a_host_without_targets(hosts: &[&str]) -> Option<Owner> {
    let store = MemoryPlatform::new();
    for host in hosts {
        list_host(&store, host).await;
    }
    let (manager, targets, pools) = start_manager("entry-1", SlowStore::new(store.clone()));
    tokio::spawn(Arc::clone(&manager).take_over());
    targets.unreachable.store(true, Ordering::Relaxed);
    wait_until_ready(&manager).await;
    while !pools.is_disconnected() {
        tokio::time::sleep(CALL_LATENCY).await;
    }
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(targets.requests.load(Ordering::Relaxed), 0, "no item is sent");
    let (_, record) = JobStore::new(store).record(&job()).await.expect("up").expect("accepted");
    record.owner
}

#[tokio::test]
async fn a_host_without_links_to_targets_gives_its_jobs_to_hosts_that_have_them() {
    assert_eq!(owner_at_a_host_without_targets(&["entry-1", "entry-2"]).await, None);
    assert!(owner_at_a_host_without_targets(&["entry-1"]).await.is_some(), "nobody else runs it");
}

#[tokio::test]
async fn items_that_waited_while_a_host_reached_no_target_are_run_once_it_does() {
    let (manager, targets, pools) = start_manager("entry-1", SlowStore::new(MemoryPlatform::new()));
    targets.unreachable.store(true, Ordering::Relaxed);
    wait_until_ready(&manager).await;
    while !pools.is_disconnected() {
        tokio::time::sleep(CALL_LATENCY).await;
    }
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    tokio::time::sleep(Duration::from_millis(300)).await;
    targets.unreachable.store(false, Ordering::Relaxed);
    assert_eq!(wait_for_results(&manager).await, 3);
}

/// Guards against an item that stays running for good after a panic in the task of its run.
#[tokio::test]
async fn an_item_whose_run_panics_is_run_again() {
    let (manager, targets, pools) = start_manager("entry-1", SlowStore::new(MemoryPlatform::new()));
    targets.reply([Reply::Panic, Reply::Panic]);
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(wait_for_results(&manager).await, 3);
    let pool = pools.get(&"llm".parse().expect("name of a service")).expect("a pool");
    let busy = pool.counts().iter().map(|count| count.batch).sum::<u32>();
    assert_eq!(busy, 0, "the slots of the panicked runs are free");
}
