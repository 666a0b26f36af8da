//! Reads of results that wait, beside other messages on the same link.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use oleander_core::Span;
use oleander_host::clock;
use oleander_link::Link;
use oleander_platform::MemoryPlatform;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    fixture::{job, route, submission_with},
    linked::{Linked, QUESTION_TIMEOUT, answers, start},
};

/// Clients that read at the same time, at a host that passes their reads on.
const READERS: usize = 160;
/// Time between two reads of a client, and the longest wait of each.
const READ_INTERVAL: Duration = Duration::from_millis(500);
const READ_WAIT: Span = Span::from_secs(1);
/// Time for which the owner is asked, and between two questions.
const ASKED: Duration = Duration::from_secs(3);
const QUESTION_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which hosts get to know each other, and in which readers begin to wait.
const ACQUAINTANCE: Duration = Duration::from_millis(1_500);

/// Reads as a client does, about twice a second; returns the number of reads.
async fn read_on(host: Arc<Linked>) -> usize {
    let end = Instant::now() + ACQUAINTANCE + ASKED;
    let mut reads = 0;
    while Instant::now() < end {
        let next = Instant::now() + READ_INTERVAL;
        let read = host.manager.read_results(&job(), 0, READ_WAIT).await;
        let results = read.expect("the owner answers").expect("a job").results;
        assert_eq!(results, [], "no item has ended");
        reads += 1;
        sleep_until(next).await;
    }
    reads
}

/// Starts an owner of a job whose items don't end, and another host.
async fn start_two(store: &MemoryPlatform) -> (Arc<Linked>, Arc<Linked>) {
    let owner = Arc::new(start("entry-1", store).await);
    let other = Arc::new(start("entry-2", store).await);
    sleep(ACQUAINTANCE).await;
    *owner.targets.delay.lock() = Duration::ZERO;
    owner.targets.pause(true);
    let submitted = owner.manager.submit(submission_with("job-1", 3, 1), &route()).await;
    assert_eq!(submitted, Ok(()));
    while owner.targets.requests.load(Ordering::Relaxed) == 0 {
        sleep(QUESTION_INTERVAL).await;
    }
    (owner, other)
}

/// Guards against waits that hold all workers of a link, so that questions about streams, probes and
/// announcements wait longer than their senders do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn questions_are_answered_while_many_reads_wait_for_results() {
    let (owner, other) = start_two(&MemoryPlatform::new()).await;
    let mut readers: JoinSet<usize> = (0..READERS).map(|_| read_on(Arc::clone(&other))).collect();
    sleep(ACQUAINTANCE).await;
    let link = Link::new("entry-3".parse().expect("host"), owner.key.clone(), clock::now);
    let end = Instant::now() + ASKED;
    let (mut asked, mut unanswered) = (0, 0);
    while Instant::now() < end {
        asked += 1;
        unanswered += usize::from(!answers(&link, &owner).await);
        sleep(QUESTION_INTERVAL).await;
    }
    let mut reads = 0;
    while let Some(read) = readers.join_next().await {
        reads += read.expect("no panic");
    }
    let most = READERS * ((ACQUAINTANCE + ASKED).div_duration_f64(READ_INTERVAL).ceil() as usize);
    assert!(reads <= most, "{reads} reads, {most} at the pace of the clients");
    assert_eq!(unanswered, 0, "of {asked} questions; {reads} reads");
}

/// Guards against a bound for waits that ends them all: a single reader gets a result once it exists.
#[tokio::test]
async fn a_read_at_another_host_waits_for_a_result() {
    let (owner, other) = start_two(&MemoryPlatform::new()).await;
    let reader = tokio::spawn(async move {
        let read = other.manager.read_results(&job(), 0, READ_WAIT).await;
        read.expect("the owner answers").expect("a job").results.len()
    });
    sleep(QUESTION_TIMEOUT).await;
    assert!(!reader.is_finished(), "answered before there is a result");
    owner.targets.pause(false);
    assert!(reader.await.expect("no panic") > 0, "answered without a result");
}
