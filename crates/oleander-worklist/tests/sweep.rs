//! Removal of ended jobs whose results are no longer available to callers.

use bytes::Bytes;
use oleander_core::{Revision, Span, Time, Tokens};
use oleander_platform::{
    Created, Listing, MemoryFaults, MemoryPlatform, Object, ObjectStore, Page, PlatformError,
    Updated,
};
use oleander_worklist::{JobPhase, JobRecord, JobStore, Owner, Part, Segment, sweep_once};

const KEEP: Span = Span::from_secs(180);
const NOW: Time = Time(1_000_000_000_000);

fn owner() -> Owner {
    Owner { host: "keeper-1".parse().expect("name of a host"), started: Time(1) }
}

async fn put(store: &JobStore<MemoryPlatform>, job: &str, phase: JobPhase, age: Span) {
    let record = JobRecord {
        job: job.parse().expect("name of a job"),
        route: "route".to_owned(),
        host: "a.example".to_owned(),
        total: 1,
        tokens: Tokens(1),
        parts: 1,
        accepted: NOW - age,
        due: Span::from_secs(18),
        retention: Span::from_secs(60),
        attempts: 3,
        owner: None,
        phase,
    };
    store.put_part(&record.job, 0, &Part { items: Vec::new() }).await.expect("store is up");
    let segment = Segment { writer: "w".to_owned(), results: Vec::new() };
    store.append(&record.job, 0, &segment).await.expect("store is up");
    store.accept(&record).await.expect("store is up").expect("a new job");
}

#[tokio::test]
async fn only_ended_jobs_accepted_long_ago_are_removed_with_all_their_objects() {
    let memory = MemoryPlatform::new();
    let store = JobStore::new(memory.clone());
    put(&store, "old-done", JobPhase::Done, KEEP * 2).await;
    put(&store, "old-ended", JobPhase::Cancelled, KEEP * 2).await;
    put(&store, "old-open", JobPhase::Open, KEEP * 2).await;
    put(&store, "young-done", JobPhase::Done, Span(KEEP.0 / 2)).await;
    let other = memory.create("jobparts/other.0000", Bytes::from_static(b"{}")).await;
    assert!(other.is_ok());
    assert_eq!(sweep_once(&store, &owner(), NOW, KEEP).await, Ok(2));
    let left = memory.list("job", "", 100).await.expect("store is up");
    let left: Vec<String> = left.objects.into_iter().map(|row| row.key).collect();
    assert_eq!(
        left,
        [
            "joblist/old-open",
            "joblist/young-done",
            "jobparts/old-open.0000",
            "jobparts/other.0000",
            "jobparts/young-done.0000",
            "jobresults/old-open.000000",
            "jobresults/young-done.000000",
        ]
    );
    assert_eq!(sweep_once(&store, &owner(), NOW, KEEP).await, Ok(0));
}

/// Adds segments to the log of a job that has one.
async fn add_segments(store: &JobStore<MemoryPlatform>, job: &str, count: u64) {
    let job = job.parse().expect("name of a job");
    let segment = Segment { writer: "w".to_owned(), results: Vec::new() };
    for index in 1..=count {
        store.append(&job, index, &segment).await.expect("store is up");
    }
}

async fn object_count(memory: &MemoryPlatform, prefix: &str) -> usize {
    memory.list(prefix, "", 1_000).await.expect("store is up").objects.len()
}

#[tokio::test(start_paused = true)]
async fn a_removal_that_was_interrupted_leaves_no_segments_behind() {
    let memory = MemoryPlatform::new();
    let store = JobStore::new(memory.clone());
    put(&store, "old-done", JobPhase::Done, KEEP * 2).await;
    add_segments(&store, "old-done", 30).await;
    let latency = std::time::Duration::from_millis(10);
    memory.set_faults(MemoryFaults { latency, ..MemoryFaults::default() });
    let (swept, local) = (JobStore::new(memory.other_path()), owner());
    let sweep = sweep_once(&swept, &local, NOW, KEEP);
    assert!(tokio::time::timeout(latency * 50, sweep).await.is_err(), "interrupted");
    memory.set_faults(MemoryFaults::default());
    let left = object_count(&memory, "jobresults/").await;
    assert!((1..31).contains(&left), "{left} of 31 segments are left by the first removal");
    assert_eq!(sweep_once(&store, &owner(), NOW, KEEP).await, Ok(1));
    assert_eq!(object_count(&memory, "job").await, 0, "objects that no removal finds");
}

#[tokio::test(start_paused = true)]
async fn a_refused_call_ends_no_sweep() {
    let memory = MemoryPlatform::new();
    let store = JobStore::new(memory.clone());
    for number in 0..20 {
        let job = format!("old-{number}");
        put(&store, &job, JobPhase::Done, KEEP * 2).await;
        add_segments(&store, &job, 10).await;
    }
    memory.set_faults(MemoryFaults { refuse_every: 50, ..MemoryFaults::default() });
    let swept = sweep_once(&store, &owner(), NOW, KEEP).await;
    memory.set_faults(MemoryFaults::default());
    let left = object_count(&memory, "joblist/").await;
    assert_eq!((swept, left), (Ok(20), 0), "records removed, records left of 20");
}

#[tokio::test(start_paused = true)]
async fn a_sweep_ends_soon_while_the_platform_is_out() {
    let memory = MemoryPlatform::new();
    let store = JobStore::new(memory.clone());
    for number in 0..50 {
        put(&store, &format!("old-{number}"), JobPhase::Done, KEEP * 2).await;
    }
    let latency = std::time::Duration::from_millis(10);
    memory.set_faults(MemoryFaults { latency, ..MemoryFaults::default() });
    let (swept, local) = (JobStore::new(memory.clone()), owner());
    let sweep = tokio::spawn(async move { sweep_once(&swept, &local, NOW, KEEP).await });
    tokio::time::sleep(latency * 10).await;
    memory.set_faults(MemoryFaults { down: true, ..MemoryFaults::default() });
    let start = tokio::time::Instant::now();
    assert!(sweep.await.expect("no panic").is_err());
    assert!(start.elapsed() < std::time::Duration::from_secs(10), "{:?}", start.elapsed());
}

/// A store that refuses to read the segments of one job.
#[derive(Debug, Clone)]
struct StuckStore(MemoryPlatform);

impl ObjectStore for StuckStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        if key.starts_with("jobresults/stuck") {
            return Err(PlatformError::Busy("refused by the test".to_owned()));
        }
        self.0.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        self.0.create(key, body).await
    }

    async fn update(&self, key: &str, body: Bytes, at: Revision) -> Result<Updated, PlatformError> {
        self.0.update(key, body, at).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.0.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.0.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.0.changed(prefix, from).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.0.scan(prefix, after).await
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_that_cannot_be_removed_holds_up_no_other() {
    let memory = MemoryPlatform::new();
    let store = JobStore::new(memory.clone());
    put(&store, "stuck", JobPhase::Done, KEEP * 2).await;
    for number in 0..20 {
        put(&store, &format!("old-{number}"), JobPhase::Done, KEEP * 2).await;
    }
    let swept = sweep_once(&JobStore::new(StuckStore(memory.clone())), &owner(), NOW, KEEP).await;
    assert!(swept.is_err(), "{swept:?}");
    let left = memory.list("joblist/", "", 100).await.expect("store is up").objects;
    let left: Vec<&str> = left.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(left, ["joblist/stuck"]);
}
