//! Loading jobs with long logs from a platform that is slow or refuses requests.

use std::{collections::BTreeMap, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use oleander_core::{JobId, Span, Time, Tokens};
use oleander_host::clock;
use oleander_platform::{MemoryFaults, MemoryPlatform};
use oleander_worklist::{
    ItemOutcome, ItemResult, JobPhase, JobRecord, JobStore, NewItem, Owner, Part, Segment,
};
use tokio::time::{self, Instant};

use crate::fixture::{SlowStore, host, job, start_manager};

const SEGMENTS: u32 = 200;
/// Items in a part.
const PART_ITEMS: u32 = 20;
/// Time after which a job counts as never loaded.
const MAX_LOAD_TIME: Duration = Duration::from_secs(600);
const POLL: Duration = Duration::from_millis(100);

fn item_id(number: u32) -> String {
    format!("item-{number}")
}

fn part(number: u32) -> Part {
    let item = |number: u32| NewItem {
        id: item_id(number),
        path: "/drafts/1".to_owned(),
        headers: BTreeMap::new(),
        body: Bytes::from_static(b"body"),
        tokens: 1,
    };
    let first = number * PART_ITEMS;
    Part { items: (first..first + PART_ITEMS).map(|number| item(number).record()).collect() }
}

fn segment(number: u32) -> Segment {
    let result = ItemResult {
        item: item_id(number),
        state: ItemOutcome::Completed,
        output: "done".to_owned(),
    };
    Segment { writer: "entry-9@1:1".to_owned(), results: vec![result] }
}

fn owner(name: &str) -> Owner {
    Owner { host: host(name), started: Time(7) }
}

/// A job of which one result is in each of [`SEGMENTS`] segments, and more items are open.
async fn store_job(store: &JobStore<MemoryPlatform>, parts: u32) {
    for number in 0..parts {
        store.put_part(&job(), number, &part(number)).await.expect("up");
    }
    for number in 0..SEGMENTS {
        store.append(&job(), u64::from(number), &segment(number)).await.expect("up");
    }
    let record = JobRecord {
        job: job(),
        route: "drafts".to_owned(),
        host: "a.example".to_owned(),
        total: parts * PART_ITEMS,
        tokens: Tokens(10),
        parts,
        accepted: clock::now(),
        due: Span::from_secs(600),
        retention: Span::from_secs(3_600),
        attempts: 3,
        owner: Some(owner("entry-1")),
        phase: JobPhase::Open,
    };
    store.accept(&record).await.expect("up").expect("a new job");
}

/// Parts of a job whose results are in [`SEGMENTS`] segments, with open items.
const PARTS: u32 = SEGMENTS / PART_ITEMS + 1;

/// Whether the process under test has fenced the log, after which it runs the job.
async fn is_fenced(memory: &MemoryPlatform, id: &JobId) -> bool {
    let store = JobStore::new(memory.other_path());
    let fence = store.segment(id, u64::from(SEGMENTS)).await;
    let is_own = |writer: &str| writer.starts_with("entry-1@") && writer.ends_with(":load");
    matches!(fence, Ok(Some(segment)) if is_own(&segment.writer))
}

/// Time that a process takes to load its job while the platform has `faults`, and the number of
/// segments that it reads.
async fn load(faults: MemoryFaults) -> (Duration, usize) {
    let memory = MemoryPlatform::new();
    store_job(&JobStore::new(memory.clone()), PARTS).await;
    let slow = SlowStore::new(memory.clone());
    let start = Instant::now();
    memory.set_faults(faults);
    let _running = start_manager("entry-1", slow.clone());
    while start.elapsed() < MAX_LOAD_TIME && !is_fenced(&memory, &job()).await {
        time::sleep(POLL).await;
    }
    (start.elapsed(), slow.segment_reads.load(Ordering::Relaxed))
}

#[tokio::test(start_paused = true)]
async fn a_job_with_a_long_log_is_loaded_though_one_call_in_fifty_is_refused() {
    let (took, reads) = load(MemoryFaults { refuse_every: 50, ..MemoryFaults::default() }).await;
    assert!(took < Duration::from_secs(30), "{took:?}, {reads} reads of {SEGMENTS} segments");
    assert!(reads < SEGMENTS as usize + 20, "{reads} reads of {SEGMENTS} segments");
}

#[tokio::test(start_paused = true)]
async fn a_job_with_a_long_log_is_loaded_within_seconds_from_a_slow_platform() {
    let latency = Duration::from_millis(500);
    let (took, reads) = load(MemoryFaults { latency, ..MemoryFaults::default() }).await;
    assert!(took < Duration::from_secs(20), "{took:?}, {reads} reads of {SEGMENTS} segments");
}

#[tokio::test(start_paused = true)]
async fn a_job_is_loaded_from_a_slow_platform_that_refuses_calls() {
    let latency = Duration::from_millis(500);
    let faults = MemoryFaults { latency, refuse_every: 10, ..MemoryFaults::default() };
    let (took, reads) = load(faults).await;
    assert!(took < Duration::from_secs(60), "{took:?}, {reads} reads of {SEGMENTS} segments");
}

#[tokio::test(start_paused = true)]
async fn a_quick_platform_is_read_once_for_each_segment_and_the_end_of_the_log() {
    let (_, reads) = load(MemoryFaults::default()).await;
    assert_eq!(reads, SEGMENTS as usize + 1);
}

#[tokio::test(start_paused = true)]
async fn a_process_that_loses_a_job_while_it_loads_it_stops_reading() {
    let memory = MemoryPlatform::new();
    let store = JobStore::new(memory.clone());
    store_job(&store, PARTS).await;
    let slow = SlowStore::new(memory.clone());
    let (revision, record) = store.record(&job()).await.expect("up").expect("accepted");
    let latency = Duration::from_secs(1);
    memory.set_faults(MemoryFaults { latency, ..MemoryFaults::default() });
    let _running = start_manager("entry-1", slow.clone());
    while slow.segment_reads.load(Ordering::Relaxed) == 0 {
        time::sleep(POLL).await;
    }
    let other = JobRecord { owner: Some(owner("entry-2")), ..record };
    store.replace(&other, revision).await.expect("up").expect("unchanged");
    time::sleep(Duration::from_secs(3)).await;
    let reads = slow.segment_reads.load(Ordering::Relaxed);
    assert!(reads < SEGMENTS as usize, "the whole log was read");
    time::sleep(MAX_LOAD_TIME).await;
    assert_eq!(slow.segment_reads.load(Ordering::Relaxed), reads, "reads go on");
    assert!(!is_fenced(&memory, &job()).await, "the log of another owner's job is fenced");
}
