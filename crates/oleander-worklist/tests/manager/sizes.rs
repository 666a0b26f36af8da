//! Output and items that are larger than the platform stores.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use oleander_core::{Span, Time};
use oleander_platform::{MemoryFaults, MemoryPlatform};
use oleander_relay::ResponseMemory;
use oleander_worklist::{ItemOutcome, ItemResult, JobManager, NewItem, Submission, SubmitError};
use tokio::time;

use crate::fixture::{
    EchoTargets, Reply, SlowStore, job, manager, route, start_manager, start_within, submission,
    wait_until_ready,
};

/// Maximum size of an object, in bytes.
const OBJECT_BYTES: usize = 1 << 20;
/// Maximum size of a page of results, in bytes.
const PAGE_BYTES: usize = 1_000_000;
/// Time in which the results of a job are listed, though some runs went wrong.
const RESULTS_TIMEOUT: Duration = Duration::from_secs(10);

fn limited_store() -> MemoryPlatform {
    let store = MemoryPlatform::new();
    store.set_faults(MemoryFaults { max_bytes: Some(OBJECT_BYTES), ..MemoryFaults::default() });
    store
}

/// The outputs of the three items after a target sent `replies` to the first requests.
async fn outputs_after(replies: Vec<Reply>) -> Vec<String> {
    let (manager, targets, _) = start_manager("entry-1", SlowStore::new(limited_store()));
    targets.reply(replies);
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    let results = time::timeout(RESULTS_TIMEOUT, all_results(&manager)).await;
    let results = results.expect("an item is never listed");
    assert!(results.iter().all(|result| result.state == ItemOutcome::Completed));
    results.into_iter().map(|result| result.output).collect()
}

/// The results of all three items, which may take several pages.
async fn all_results(manager: &Arc<JobManager<SlowStore, EchoTargets>>) -> Vec<ItemResult> {
    let mut results = Vec::new();
    while results.len() < 3 {
        let read = manager.read_results(&job(), results.len(), Span::from_secs(1)).await;
        let page = read.expect("the store is up").expect("a job").results;
        let written = serde_json::to_vec(&page).expect("encodable").len();
        assert!(written <= PAGE_BYTES, "a page has {written} bytes");
        results.extend(page);
    }
    results
}

/// Guards against jobs that are never finished: the output after line feeds without end was larger
/// than an object of the platform, whose rejection was taken for an outage.
#[tokio::test]
async fn a_job_is_finished_after_a_target_sent_line_feeds_without_end() {
    let outputs = outputs_after(vec![Reply::LineFeeds]).await;
    assert!(outputs.iter().all(|output| output.starts_with("done ")));
}

/// Guards against the same failure, and a host without memory, when the events are sound but have
/// no end.
#[tokio::test]
async fn a_job_is_finished_after_a_target_sent_events_without_end() {
    let outputs = outputs_after(vec![Reply::Events(1), Reply::Events(1)]).await;
    assert!(outputs.iter().all(|output| output.starts_with("done ")));
}

/// Guards against sound results that wait behind one that the platform rejects, which was written
/// again and again.
#[tokio::test]
async fn a_result_that_the_platform_rejects_is_run_again_and_holds_up_no_others() {
    let store = MemoryPlatform::new();
    store.set_faults(MemoryFaults { max_bytes: Some(64 << 10), ..MemoryFaults::default() });
    let (manager, targets, _) = start_manager("entry-1", SlowStore::new(store));
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(100 << 10));
    targets.reply([Reply::chunks(&[&event])]);
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    let results = time::timeout(RESULTS_TIMEOUT, all_results(&manager)).await.expect("listed");
    assert!(results.iter().all(|result| result.output.starts_with("done ")));
    assert_eq!(results[2].item, "job-1-item-0", "the rejected result comes last");
}

/// Guards against a run that goes on after all tokens that the item asks for: each event has one.
#[tokio::test]
async fn a_run_ends_at_the_tokens_that_its_item_asks_for() {
    let (manager, targets, _) = start_manager("entry-1", SlowStore::new(limited_store()));
    let reply = |count: u64| {
        let events = (1..=count).map(|id| format!("id: {id}\ndata: {id}\n\n"));
        Reply::chunks(&[&events.collect::<String>()])
    };
    targets.reply([reply(4), reply(5)]);
    wait_until_ready(&manager).await;
    let mut submission = submission(10);
    for item in &mut submission.items {
        item.headers.insert("x-tokens".to_owned(), "4".to_owned());
    }
    assert_eq!(manager.submit(submission, &route()).await, Ok(()));
    let results = time::timeout(RESULTS_TIMEOUT, all_results(&manager)).await.expect("listed");
    let whole = results.iter().filter(|result| result.output == "1\n2\n3\n4").count();
    assert_eq!(whole, 1, "{results:?}");
    assert!(!results.iter().any(|result| result.output.ends_with('5')), "{results:?}");
}

/// Guards against texts that begin with what another target in trouble had sent.
#[tokio::test]
async fn an_output_has_nothing_of_a_run_that_turned_out_unsound() {
    let garbage = Reply::chunks(&["x\n\n", "id: 1\ndata: done job-1", "\n\n\u{1}"]);
    let later = Reply::chunks(&["id: 1\ndata: done ", "job-1\n\n", "garbage\n\n"]);
    let outputs = outputs_after(vec![later, garbage]).await;
    for output in outputs {
        assert!(output.lines().all(|line| line.starts_with("done job-1")), "{output:?}");
    }
}

/// Guards against a segment that exceeds an object, since a control character takes six bytes.
#[tokio::test]
async fn outputs_that_grow_in_json_are_listed() {
    let text = "\u{1}".repeat(60 << 10);
    let event = format!("id: 1\ndata: {text}\n\n");
    let reply = Reply::chunks(&[&event]);
    let outputs = outputs_after(vec![reply.clone(), reply.clone(), reply]).await;
    assert!(outputs.iter().all(|output| *output == text));
}

/// Guards against a job that is refused for an outage each time it is sent, as one of its items is
/// larger than the platform stores.
#[tokio::test]
async fn a_job_with_an_item_that_can_not_be_stored_is_refused_for_good() {
    let manager = manager(limited_store());
    wait_until_ready(&manager).await;
    let item = NewItem {
        id: "item-1".to_owned(),
        path: "/drafts/1".to_owned(),
        headers: BTreeMap::new(),
        body: Bytes::from(vec![0; 900 << 10]),
        tokens: 10,
    };
    let host = "a.example".to_owned();
    let large = Submission { job: job(), host, items: vec![item], received: Time(0) };
    assert_eq!(manager.submit(large, &route()).await, Err(SubmitError::TooLarge));
}

/// Guards against an item that is never listed: its output has an event that had begun and that no
/// target sends when it goes on.
#[tokio::test]
async fn an_item_starts_again_when_a_run_ends_before_an_event_that_had_begun() {
    let (manager, targets, _) = start_manager("entry-1", SlowStore::new(limited_store()));
    let broken = Reply::chunks(&["id: 1\ndata: a\n\nid: 2\nda"]);
    targets.reply(vec![broken; 3]);
    targets.ends_resumed.store(true, Ordering::Relaxed);
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    let results = time::timeout(RESULTS_TIMEOUT, all_results(&manager)).await;
    let results = results.expect("an item is never listed");
    assert!(results.iter().all(|result| result.output.starts_with("done ")), "{results:?}");
}

/// Guards against items whose output uses up the memory of a host, each below its own limit.
#[tokio::test]
async fn an_item_starts_again_when_its_output_takes_too_much_memory() {
    let memory = ResponseMemory::new(OBJECT_BYTES / 4);
    let store = SlowStore::new(limited_store());
    let (manager, targets, _) = start_within("entry-1", store, memory.clone());
    let data = "x".repeat(OBJECT_BYTES / 10);
    let events = (1..=6).map(|id| format!("id: {id}\ndata: {data}\n\n")).collect::<Vec<_>>();
    let events = events.iter().map(String::as_str).collect::<Vec<_>>();
    targets.reply(vec![Reply::chunks(&events)]);
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    let results = time::timeout(RESULTS_TIMEOUT, all_results(&manager)).await;
    let results = results.expect("an item is never listed");
    assert!(results.iter().all(|result| result.output.starts_with("done ")));
    assert_eq!(memory.held(), 0);
}
