//! What a read is answered with, and when.

use std::{sync::atomic::Ordering, time::Duration};

use oleander_core::Span;
use oleander_platform::ObjectStore;
use oleander_worklist::{JobStore, ReadMemory, Segment, StateUnknown};
use tokio::time::{Instant, sleep};

use crate::{
    fixture::{
        Manager, Reading, Shape, StoredJob, WAIT, job, list_silent_host, owner_of, result,
        start_host,
    },
    store::SlowStore,
};

/// Time after its wait within which a read is answered.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Size of each output, in bytes.
const BYTES: usize = 20;

/// An open job with results, whose owner is `owner`.
async fn open_job(segments: Vec<usize>, open_items: usize, owner: &str) -> StoredJob {
    let owner = Some(owner_of(owner));
    StoredJob::write(&Shape { segments, open_items, bytes: BYTES, owner }).await
}

/// Number of results in a page from `after` on, and the time of the read.
async fn read(host: &Manager, after: usize) -> (Result<usize, StateUnknown>, Duration) {
    let began = Instant::now();
    let page = host.read_results(&job(), after, WAIT).await;
    (page.map(|page| page.expect("the job exists").results.len()), began.elapsed())
}

/// Guards against an empty page, which says that nobody has read more, from a host that can't know.
#[tokio::test(start_paused = true)]
async fn a_read_without_a_result_is_put_off_in_time_while_the_platform_refuses() {
    let job = open_job(vec![1, 1], 1, "gone-1").await;
    let store = SlowStore::new(job.platform.clone(), Duration::from_millis(10));
    let host = start_host("entry-1", &store);
    assert_eq!(read(&host, 0).await.0, Ok(2));
    store.faults.lock().refused = true;
    let (page, took) = read(&host, 2).await;
    assert!(page.is_err(), "{page:?}");
    assert!(took <= WAIT.to_duration() + ANSWER_TIME, "put off after {took:?}");
    assert_eq!(read(&host, 0).await.0, Ok(2), "what has been read is an answer");
    store.faults.lock().refused = false;
    assert_eq!(read(&host, 2).await.0, Ok(0));
}

/// Guards against an empty page whose proof is older than the read: another reader has got a result
/// meanwhile.
#[tokio::test(start_paused = true)]
async fn a_result_that_was_stored_before_a_read_is_in_it_though_others_read_all_the_time() {
    let stored = open_job(vec![1], 20, "gone-1").await;
    let store = SlowStore::new(stored.platform.clone(), Duration::from_millis(300));
    let host = start_host("entry-1", &store);
    let jobs = JobStore::new(stored.platform.clone());
    for _ in 0..3 {
        let host = Manager::clone(&host);
        tokio::spawn(async move {
            loop {
                drop(host.read_results(&job(), 20, Span::ZERO).await);
                sleep(Duration::from_millis(70)).await;
            }
        });
    }
    for known in 1..20 {
        assert_eq!(read(&host, known).await.0, Ok(0));
        sleep(Duration::from_millis(known as u64 * 31)).await;
        let results = vec![result(known, BYTES)];
        let segment = Segment { writer: format!("w{known}"), results };
        jobs.append(&job(), known as u64, &segment).await.expect("up");
        let (page, took) = read(&host, known).await;
        assert_eq!(page, Ok(1), "result {known}, after {took:?}");
    }
}

/// Guards against reads that wait for the same silent owner, one after the other.
#[tokio::test(start_paused = true)]
async fn an_owner_that_did_not_answer_one_read_does_not_delay_the_next() {
    let stored = open_job(vec![1; 3], 1, "silent-1").await;
    let silent = list_silent_host(&stored.platform, "silent-1").await;
    let store = SlowStore::new(stored.platform.clone(), Duration::from_millis(10));
    let host = start_host("entry-1", &store);
    sleep(Duration::from_secs(1)).await;
    let (page, took) = read(&host, 0).await;
    assert_eq!(page, Ok(3));
    assert!(took >= WAIT.to_duration(), "the owner has the wait of its reader, not {took:?}");
    sleep(Duration::from_millis(500)).await;
    let (page, took) = read(&host, 0).await;
    assert_eq!(page, Ok(3));
    assert!(took < Duration::from_millis(300), "{took:?}");
    drop(silent);
}

/// Guards against calls that are wasted on segments which don't exist: each has a price.
#[tokio::test(start_paused = true)]
async fn few_segments_that_do_not_exist_are_read() {
    for latency in [10, 500] {
        let stored = StoredJob::write(&Shape::finished(vec![1; 40])).await;
        let store = SlowStore::new(stored.platform.clone(), Duration::from_millis(latency));
        let host = start_host("entry-1", &store);
        let mut known = 0;
        while known < 40 {
            known += read(&host, known).await.0.expect("an answer");
        }
        sleep(Duration::from_secs(20)).await;
        assert_eq!(store.segment_reads.load(Ordering::Relaxed), 40, "{latency} ms a call");
    }
}

/// Guards against a read of all results that is put off, at a host that hasn't read the log yet.
#[tokio::test(start_paused = true)]
async fn a_read_behind_the_last_item_needs_no_log() {
    let stored = StoredJob::write(&Shape::finished(vec![1; 40])).await;
    let store = SlowStore::new(stored.platform.clone(), Duration::from_millis(900));
    let host = start_host("entry-1", &store);
    assert_eq!(read(&host, 40).await.0, Ok(0));
    assert_eq!(store.segment_reads.load(Ordering::Relaxed), 0);
}

/// Guards against a host that keeps all results of a large job, or that can't read again what it has
/// released.
#[tokio::test(start_paused = true)]
async fn a_job_larger_than_the_memory_for_reads_comes_again_whole_twice() {
    let shape = Shape { bytes: 900_000, ..Shape::finished(vec![1; 30]) };
    let stored = StoredJob::write(&shape).await;
    let store = SlowStore::new(stored.platform.clone(), Duration::from_millis(20));
    let host = start_host("entry-1", &store);
    for _ in 0..2 {
        let reading = Reading::read_whole(&stored, 30, || Manager::clone(&host)).await;
        reading.expect_whole(&stored);
        assert!(host.read_memory().contents <= ReadMemory::MAX.contents);
    }
    let reads = store.segment_reads.load(Ordering::Relaxed);
    assert!(reads <= 60, "{reads} reads of 30 segments");
    // The job is being removed.
    for index in 0..30 {
        let key = format!("jobresults/{}.{index:06}", job());
        let object = stored.platform.get(&key).await.expect("up").expect("a segment");
        stored.platform.remove(&key, object.revision).await.expect("up");
    }
    let (_, took) = read(&host, 0).await;
    assert!(took <= WAIT.to_duration() + ANSWER_TIME, "{took:?}");
    sleep(Duration::from_secs(20)).await;
    assert!(store.segment_reads.load(Ordering::Relaxed) <= reads + 10);
}
