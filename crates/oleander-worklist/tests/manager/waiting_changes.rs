//! Messages of changed jobs whose records can't be read soon, beside others on the same link.

use std::{sync::atomic::Ordering, time::Duration};

use oleander_cluster::{PeerRequest, PeerResponse};
use oleander_host::clock;
use oleander_link::Link;
use oleander_platform::MemoryPlatform;
use oleander_worklist::{JobRequest, JobResponse};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    fixture::{job, route, submission_with},
    linked::{Linked, answers, start},
};

/// Messages of changed jobs at the same time.
const MESSAGES: usize = 200;
/// Maximum wait of their senders.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time in which the job's items run.
const RUN_TIME: Duration = Duration::from_secs(1);
/// Time for which the owner is asked, and between two questions.
const ASKED: Duration = Duration::from_millis(1_200);
const QUESTION_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which an item that has been sent reaches a target.
const SEND_TIME: Duration = Duration::from_millis(200);

async fn tell(link: Link, address: String) -> Option<JobResponse> {
    let request = PeerRequest::App(JobRequest::Changed { job: job() });
    match link.call(&address, &request, MESSAGE_TIMEOUT).await {
        Ok(PeerResponse::App(response)) => Some(response),
        _ => None,
    }
}

fn link(owner: &Linked, name: &str) -> Link {
    Link::new(name.parse().expect("host"), owner.key.clone(), clock::now)
}

/// Starts an owner whose job runs, and blocks its reads.
async fn start_blocked() -> Linked {
    let owner = start("entry-1", &MemoryPlatform::new()).await;
    let submitted = owner.manager.submit(submission_with("job-1", 400, 1), &route()).await;
    assert_eq!(submitted, Ok(()));
    sleep(RUN_TIME).await;
    assert!(owner.targets.requests.load(Ordering::Relaxed) > 0, "no item runs");
    owner.store.read_blocked.store(true, Ordering::Relaxed);
    owner
}

/// Guards against reads of changed records at a silent platform that hold all workers of a link, so
/// that questions about streams, probes and announcements wait longer than their senders do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn questions_are_answered_while_many_changed_jobs_are_read_at_a_silent_platform() {
    let owner = start_blocked().await;
    let (telling, address) = (link(&owner, "entry-2"), owner.record.link.to_string());
    let mut messages: JoinSet<Option<JobResponse>> =
        (0..MESSAGES).map(|_| tell(telling.clone(), address.clone())).collect();
    sleep(QUESTION_INTERVAL).await;
    let asking = link(&owner, "entry-3");
    let end = Instant::now() + ASKED;
    let (mut asked, mut unanswered) = (0, 0);
    while Instant::now() < end {
        asked += 1;
        unanswered += usize::from(!answers(&asking, &owner).await);
        sleep(QUESTION_INTERVAL).await;
    }
    assert_eq!(unanswered, 0, "of {asked} questions");
    while let Some(response) = messages.join_next().await {
        let response = response.expect("no panic");
        assert!(matches!(response, Some(JobResponse::NotHere)), "{response:?}");
    }
    let sent = owner.targets.requests.load(Ordering::Relaxed);
    sleep(SEND_TIME * 3).await;
    let later = owner.targets.requests.load(Ordering::Relaxed) - sent;
    assert_eq!(later, 0, "items started under a lease that a change has ended");
}

/// Guards against a read that is dropped when its sender no longer waits: the owner then learns of the
/// change only by its watch.
#[tokio::test]
async fn a_changed_job_whose_record_is_read_late_is_stopped_all_the_same() {
    let owner = start_blocked().await;
    owner.store.watch_blocked.store(true, Ordering::Relaxed);
    sleep(RUN_TIME * 2).await;
    crate::fixture::end_job(&owner.store.store).await;
    let (telling, address) = (link(&owner, "entry-2"), owner.record.link.to_string());
    let response = tell(telling, address).await;
    assert!(!matches!(response, Some(JobResponse::Noted)), "{response:?}");
    owner.store.read_blocked.store(false, Ordering::Relaxed);
    sleep(SEND_TIME).await;
    let sent = owner.targets.requests.load(Ordering::Relaxed);
    sleep(RUN_TIME).await;
    let later = owner.targets.requests.load(Ordering::Relaxed) - sent;
    assert_eq!(later, 0, "items of an ended job started");
}
