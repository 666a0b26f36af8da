//! Job managers with an in-memory store and targets that answer immediately.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode};
use oleander_cluster::{Cluster, HostRecord};
use oleander_core::{HostId, JobId, Revision, Span, Time, Tokens, ZoneId};
use oleander_link::LinkKey;
use oleander_members::MemberRole;
use oleander_platform::{
    Changes, Created, Listing, MemoryPlatform, Object, ObjectStore, Page, PlatformError, Updated,
};
use oleander_relay::{
    BodyError, Dispatch, Pools, Relay, ResponseBody, ResponseHead, RetryPolicy, Route, RouteKind,
    RouteTable, SendError, TargetEntry, TargetList, TargetResponse, TargetTransport, TrafficShare,
};
use oleander_routing::PeerCount;
use oleander_worklist::{
    ItemOutcome, ItemResult, JobManager, JobManagerConfig, JobRecord, JobStore, NewItem, Owner,
    Segment, Submission, SubmitError,
};

/// Latency of each call to the store.
const CALL_LATENCY: Duration = Duration::from_millis(10);

/// Latency of the response to the create of a job record; the create takes effect immediately.
const CREATE_LATENCY: Duration = Duration::from_millis(80);

/// A store with latency, whose watches can be blocked.
#[derive(Debug, Clone)]
struct SlowStore {
    store: MemoryPlatform,
    watch_blocked: Arc<AtomicBool>,
    /// Reads of segments of results.
    segment_reads: Arc<AtomicUsize>,
}

impl SlowStore {
    fn new(store: MemoryPlatform) -> Self {
        Self { store, watch_blocked: Arc::default(), segment_reads: Arc::default() }
    }
}

impl ObjectStore for SlowStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        if key.starts_with("jobresults/") {
            self.segment_reads.fetch_add(1, Ordering::Relaxed);
        }
        tokio::time::sleep(CALL_LATENCY).await;
        self.store.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let created = self.store.create(key, body).await;
        let latency = if key.starts_with("joblist/") { CREATE_LATENCY } else { CALL_LATENCY };
        tokio::time::sleep(latency).await;
        created
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        let updated = self.store.update(key, body, expected).await;
        tokio::time::sleep(CALL_LATENCY).await;
        updated
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.store.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.store.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.store.changed(prefix, from).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.store.scan(prefix, after).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        if self.watch_blocked.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        self.store.watch(prefix, from, wait).await
    }
}

/// Targets that answer each request with one event, and count the requests.
#[derive(Default)]
struct EchoTargets {
    requests: AtomicUsize,
    paused: Arc<AtomicBool>,
}

impl EchoTargets {
    /// Holds back the bodies of responses, or releases them.
    fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }
}

struct OneEventBody {
    event: Option<Bytes>,
    paused: Arc<AtomicBool>,
}

impl ResponseBody for OneEventBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        while self.paused.load(Ordering::Relaxed) {
            tokio::time::sleep(CALL_LATENCY).await;
        }
        self.event.take().map(Ok)
    }
}

impl TargetTransport for EchoTargets {
    type Body = OneEventBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<OneEventBody>, SendError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let event = format!("id: 1\ndata: done {}\n\n", dispatch.request.id);
        let body =
            OneEventBody { event: Some(Bytes::from(event)), paused: Arc::clone(&self.paused) };
        Ok(TargetResponse { head, not_run: false, load: None, body })
    }
}

fn route() -> Route {
    Route {
        name: "drafts".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/drafts/".to_owned(),
        kind: RouteKind::Batch {
            backlog: Some(Tokens(1_000)),
            due: Span::from_secs(18),
            retention: Span::from_secs(60),
        },
        retry: RetryPolicy::Never,
        timeout: Span::from_secs(5),
        latency_goal: Span::from_millis(500),
        max_pause: Span::from_millis(300),
        caller_timeout: None,
        priority: 2,
        max_attempts: 3,
        shares: vec![TrafficShare {
            service: "llm".parse().expect("name of a service"),
            weight: 1,
        }],
    }
}

fn host(name: &str) -> HostId {
    name.parse().expect("name of a host")
}

fn zone() -> ZoneId {
    "near".parse().expect("name of a data centre")
}

/// A running manager on `store`.
fn manager(store: MemoryPlatform) -> Arc<JobManager<SlowStore, EchoTargets>> {
    manager_and_targets(store).0
}

fn manager_and_targets(
    store: MemoryPlatform,
) -> (Arc<JobManager<SlowStore, EchoTargets>>, Arc<EchoTargets>) {
    let (manager, targets, _) = start_manager("entry-1", SlowStore::new(store));
    (manager, targets)
}

fn start_manager(
    name: &str,
    store: SlowStore,
) -> (Arc<JobManager<SlowStore, EchoTargets>>, Arc<EchoTargets>, Arc<Pools>) {
    let (pools, yields) = Pools::new(host(name), zone(), 1);
    let mut targets = TargetList::default();
    targets.upsert(TargetEntry {
        id: "engine-1".parse().expect("name of a target"),
        service: "llm".parse().expect("name of a service"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone(),
        slots: 8,
        leaving: false,
        started_at: None,
    });
    pools.update_targets(&targets);
    let pools = Arc::new(pools);
    let targets = Arc::new(EchoTargets::default());
    let relay = Arc::new(Relay::new(Arc::clone(&pools), Arc::clone(&targets)));
    relay.set_table(RouteTable::new(1, vec![route()]));
    let local = HostRecord {
        host: host(name),
        zone: zone(),
        role: MemberRole::Entry,
        link: ([127, 0, 0, 1], 2).into(),
        callers: None,
        started: Time(7),
    };
    let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
    let cluster = Cluster::new(local, key, Arc::clone(&pools));
    let id_header = HeaderName::from_static("x-id");
    let config = JobManagerConfig { id_header, object_bytes: 1 << 20, loaded_bytes: 1 << 20 };
    let manager = JobManager::new(config, store, relay, cluster);
    tokio::spawn(Arc::clone(&manager).follow_jobs());
    tokio::spawn(Arc::clone(&manager).dispatch());
    tokio::spawn(Arc::clone(&manager).handle_yields(yields));
    (manager, targets, pools)
}

async fn wait_until_ready(manager: &JobManager<SlowStore, EchoTargets>) {
    while !manager.is_ready() {
        tokio::time::sleep(CALL_LATENCY).await;
    }
}

fn submission(tokens: u64) -> Submission {
    submission_of("job-1", tokens)
}

fn submission_of(name: &str, tokens: u64) -> Submission {
    let item = |number: u32| NewItem {
        id: format!("{name}-item-{number}"),
        path: format!("/drafts/{number}"),
        headers: BTreeMap::new(),
        body: Bytes::from_static(b"body"),
        tokens,
    };
    let items = (0..3).map(item).collect();
    let job = name.parse().expect("name of a job");
    Submission { job, host: "a.example".to_owned(), items, received: Time(0) }
}

fn job() -> JobId {
    "job-1".parse().expect("name of a job")
}

/// Waits up to 10 s until all three results are committed; returns the number of results.
async fn wait_for_results(manager: &Arc<JobManager<SlowStore, EchoTargets>>) -> usize {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    loop {
        let read =
            manager.read_results(&job(), 0, Span::from_secs(1)).await.expect("the store is up");
        let committed = read.map_or(0, |read| read.results.len());
        if committed == 3 || tokio::time::Instant::now() > deadline {
            return committed;
        }
        tokio::time::sleep(CALL_LATENCY).await;
    }
}

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
    let handover = tokio::spawn(async move { stopping.hand_over().await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    let jobs = JobStore::new(store);
    let waiting = "job-2".parse().expect("name of a job");
    let (_, record) = jobs.record(&waiting).await.expect("up").expect("accepted");
    assert_eq!(record.owner, None, "a job without running items was not released");
    let (_, record) = jobs.record(&job()).await.expect("up").expect("accepted");
    assert!(record.owner.is_some(), "a job with running items was released");
    handover.abort();
}
