//! Reads of jobs that nobody has in memory, by callers who leave.

mod answers;
mod bodies;
mod fixture;
mod plays;
mod store;

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use oleander_core::Span;
use tokio::{
    runtime::Builder,
    time::{sleep, timeout},
};

use fixture::{
    PATIENCE, Reading, Shape, StoredJob, item_name, job, list_silent_host, output, owner_of,
    start_host, start_host_without_watch,
};
use plays::Play;
use store::SlowStore;

/// Time of a call to the store, such that a log takes longer than a reader stays.
const SLOW_CALL: Duration = Duration::from_millis(500);
/// Time in which a host that has started knows the others.
const HOSTS_KNOWN: Duration = Duration::from_secs(1);
/// Number of segments of one result each.
const SEGMENTS: usize = 12;
/// Number of reads in which a job comes again: one for each result, and a few that find nothing yet.
const READS: usize = SEGMENTS + 3;

/// Guards against a job that never comes again because each read begins the log anew: the readers'
/// patience ended before the log had been read, and what had been read was dropped with the read.
#[tokio::test(start_paused = true)]
async fn a_job_comes_again_whole_though_each_reader_leaves_before_the_log_is_read() {
    let job = StoredJob::write(&Shape::finished(vec![1; SEGMENTS])).await;
    let host = start_host("entry-1", &SlowStore::new(job.platform.clone(), SLOW_CALL));
    let reading = Reading::read_whole(&job, READS, || Arc::clone(&host)).await;
    reading.expect_whole(&job);
}

/// Guards against the same failure at hosts that have just started, as after a loss of power.
#[tokio::test(start_paused = true)]
async fn a_job_comes_again_whole_though_each_failed_reader_turns_to_a_host_that_has_just_started() {
    let job = StoredJob::write(&Shape::finished(vec![1; SEGMENTS])).await;
    let store = SlowStore::new(job.platform.clone(), SLOW_CALL);
    let mut started = 0;
    let next_host = || {
        started += 1;
        start_host(&format!("entry-{started}"), &store)
    };
    let reading = Reading::read_whole(&job, READS, next_host).await;
    reading.expect_whole(&job);
}

/// Guards against results that no host reaches in the time of one read, if each read is at another host.
#[tokio::test(start_paused = true)]
async fn a_job_comes_again_whole_though_each_read_meets_a_host_that_has_just_started() {
    let stored = StoredJob::write(&Shape::finished(vec![1; SEGMENTS])).await;
    let store = SlowStore::new(stored.platform.clone(), SLOW_CALL);
    let (mut after, mut unanswered) = (0, 0);
    for number in 0..READS {
        let host = start_host(&format!("entry-{number}"), &store);
        let job = job();
        let read = host.read_results(&job, after, Span::from_secs(1));
        match timeout(PATIENCE, read).await {
            Ok(Ok(Some(page))) => after += page.results.len(),
            _ => unanswered += 1,
        }
    }
    assert_eq!(after, SEGMENTS, "{unanswered} of {READS} reads without an answer");
}

/// Guards against reads that first wait for an owner which never answers, each one anew, and then
/// have no time left for the store.
#[tokio::test(start_paused = true)]
async fn a_job_comes_again_whole_though_its_owner_counts_as_live_and_is_silent() {
    let owner = Some(owner_of("entry-9"));
    let shape = Shape { owner, ..Shape::finished(vec![1; SEGMENTS]) };
    let job = StoredJob::write(&shape).await;
    let silent = list_silent_host(&job.platform, "entry-9").await;
    let store = SlowStore::new(job.platform.clone(), Duration::from_millis(150));
    let host = start_host("entry-1", &store);
    sleep(HOSTS_KNOWN).await;
    let reading = Reading::read_whole(&job, READS, || Arc::clone(&host)).await;
    reading.expect_whole(&job);
    drop(silent);
}

/// Guards against a record that is never found because each read asks for it anew, and leaves before
/// the answer.
#[tokio::test(start_paused = true)]
async fn a_job_comes_again_whole_though_each_reader_leaves_before_its_record_is_read() {
    let job = StoredJob::write(&Shape::finished(vec![1; 3])).await;
    let store = SlowStore::new(job.platform.clone(), Duration::from_secs(3));
    let host = start_host_without_watch("entry-1", &store);
    let reading = Reading::read_whole(&job, 9, || Arc::clone(&host)).await;
    reading.expect_whole(&job);
    assert_eq!(reading.left, 0, "each read is answered in time");
}

/// Guards against bodies that are never found because each read begins the log and the parts anew.
#[tokio::test(start_paused = true)]
async fn a_body_is_found_though_each_reader_leaves_before_the_log_is_read() {
    let shape = Shape { open_items: 1, owner: None, ..Shape::finished(vec![1; SEGMENTS]) };
    let stored = StoredJob::write(&shape).await;
    let host = start_host("entry-1", &SlowStore::new(stored.platform.clone(), SLOW_CALL));
    let (open, listed) = (item_name(SEGMENTS), item_name(0));
    let (mut found, mut failures) = (None, Vec::new());
    for _ in 0..4 {
        match timeout(PATIENCE, host.read_body(&job(), &open)).await {
            Ok(Ok(body)) => {
                found = body;
                break;
            }
            failure => failures.push(format!("{failure:?}")),
        }
    }
    let found =
        found.unwrap_or_else(|| panic!("no body in {} reads: {failures:?}", failures.len()));
    assert_eq!(found, output(SEGMENTS, shape.bytes));
    let body = timeout(PATIENCE, host.read_body(&job(), &listed)).await;
    assert_eq!(body.expect("in time"), Ok(None), "the item is listed");
}

/// Seeds of the test, unless `READ_SEEDS` names another number of them.
const SEEDS: u64 = 6;

/// The number that a variable of the environment names.
fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Plays at a time.
const AT_A_TIME: usize = 2;

/// Runs a play on a clock of its own; its hosts end with it.
fn run_play(seed: u64) {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(Play::new(seed).run());
}

/// Guards against the class of the failures above: work that is lost when its caller leaves, so that
/// it never ends. `READ_SEED` names the first seed.
#[test]
fn jobs_come_again_whole_in_a_number_of_reads_that_their_size_bounds() {
    let first = number("READ_SEED").unwrap_or(0);
    let seeds: Vec<u64> = (first..first + number("READ_SEEDS").unwrap_or(SEEDS)).collect();
    let mut failed = Vec::new();
    for group in seeds.chunks(AT_A_TIME) {
        let plays = group.iter().copied().map(|seed| thread::spawn(move || run_play(seed)));
        let plays: Vec<JoinHandle<()>> = plays.collect();
        for (play, seed) in plays.into_iter().zip(group) {
            failed.extend(play.join().is_err().then_some(*seed));
        }
    }
    assert!(failed.is_empty(), "plays of seeds {failed:?} failed");
}
