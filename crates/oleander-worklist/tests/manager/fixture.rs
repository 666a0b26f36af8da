//! Managers on a store with latency, and targets that answer with one event.

use std::{
    collections::{BTreeMap, VecDeque},
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
    BodyError, Dispatch, Pools, Reach, Relay, Request, ResponseBody, ResponseHead, ResponseMemory,
    RetryPolicy, Route, RouteKind, RouteTable, SendError, TargetEntry, TargetList, TargetResponse,
    TargetTransport, TrafficShare,
};
use oleander_worklist::{
    JobManager, JobManagerConfig, JobPhase, JobRecord, JobStore, NewItem, Submission,
};
use parking_lot::Mutex;

/// Latency of each call to the store.
pub(crate) const CALL_LATENCY: Duration = Duration::from_millis(10);

/// Latency of the response to the create of a job record; the create takes effect immediately.
pub(crate) const CREATE_LATENCY: Duration = Duration::from_millis(80);

/// A store with latency, whose watches can be blocked.
#[derive(Debug, Clone)]
pub(crate) struct SlowStore {
    pub(crate) store: MemoryPlatform,
    pub(crate) watch_blocked: Arc<AtomicBool>,
    /// Whether the changes since the last watch are lost.
    pub(crate) history_gone: Arc<AtomicBool>,
    /// Whether the next job is ended by another host before its create is answered, which it is not.
    pub(crate) ends_unanswered: Arc<AtomicBool>,
    /// Whether objects can't be read.
    pub(crate) read_refused: Arc<AtomicBool>,
    /// Whether reads of objects get no answer.
    pub(crate) read_blocked: Arc<AtomicBool>,
    /// Reads of segments of results.
    pub(crate) segment_reads: Arc<AtomicUsize>,
}

impl SlowStore {
    pub(crate) fn new(store: MemoryPlatform) -> Self {
        Self {
            store,
            watch_blocked: Arc::default(),
            history_gone: Arc::default(),
            ends_unanswered: Arc::default(),
            read_refused: Arc::default(),
            read_blocked: Arc::default(),
            segment_reads: Arc::default(),
        }
    }
}

impl ObjectStore for SlowStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        if key.starts_with("jobresults/") {
            self.segment_reads.fetch_add(1, Ordering::Relaxed);
        }
        tokio::time::sleep(CALL_LATENCY).await;
        while self.read_blocked.load(Ordering::Relaxed) {
            tokio::time::sleep(CALL_LATENCY).await;
        }
        if self.read_refused.load(Ordering::Relaxed) {
            return Err(PlatformError::Busy("refused by the test".to_owned()));
        }
        self.store.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let created = self.store.create(key, body).await;
        if key.starts_with("joblist/") && self.ends_unanswered.swap(false, Ordering::Relaxed) {
            end_job(&self.store).await;
            return Err(PlatformError::NoResponse("lost by the test".to_owned()));
        }
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
        while self.watch_blocked.load(Ordering::Relaxed) {
            tokio::time::sleep(CALL_LATENCY).await;
        }
        if self.history_gone.swap(false, Ordering::Relaxed) {
            return Err(PlatformError::HistoryGone);
        }
        self.store.watch(prefix, from, wait).await
    }
}

/// Ends the job as a host does that dies before it notifies the owner.
pub(crate) async fn end_job(store: &MemoryPlatform) {
    let jobs = JobStore::new(store.clone());
    loop {
        let (revision, record) = jobs.record(&job()).await.expect("up").expect("accepted");
        let ended = JobRecord { phase: JobPhase::Cancelled, ..record };
        if jobs.replace(&ended, revision).await.expect("up").is_some() {
            return;
        }
    }
}

/// Targets that answer each request with one event, and count the requests.
#[derive(Default)]
pub(crate) struct EchoTargets {
    pub(crate) requests: AtomicUsize,
    paused: Arc<AtomicBool>,
    /// Time before each chunk of a body.
    pub(crate) delay: Mutex<Duration>,
    /// Whether the host has lost its links to them.
    pub(crate) unreachable: AtomicBool,
    /// Whether requests that resume a stream get its end without an event.
    pub(crate) ends_resumed: AtomicBool,
    /// What the first requests get, last one first.
    replies: Mutex<Vec<Reply>>,
}

impl EchoTargets {
    /// Holds back the bodies of responses, or releases them.
    pub(crate) fn pause(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
    }

    /// Answers the next requests with these bodies.
    pub(crate) fn reply(&self, replies: impl IntoIterator<Item = Reply>) {
        self.replies.lock().extend(replies);
    }
}

/// The body of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// These chunks.
    Chunks(VecDeque<Bytes>),
    /// Line feeds without end.
    LineFeeds,
    /// Events without end; the id of the next one.
    Events(u64),
    /// None: the task that reads it panics.
    Panic,
}

impl Reply {
    pub(crate) fn chunks(chunks: &[&str]) -> Self {
        Self::Chunks(chunks.iter().map(|chunk| Bytes::from((*chunk).to_owned())).collect())
    }

    fn next(&mut self) -> Option<Bytes> {
        match self {
            Self::Chunks(chunks) => chunks.pop_front(),
            Self::Panic => panic!("panic of the test"),
            Self::LineFeeds => Some(Bytes::from_static(&[b'\n'; 4 << 10])),
            Self::Events(next) => {
                let ids = *next..*next + EVENTS_PER_CHUNK;
                *next = ids.end;
                let data = "x".repeat(1_000);
                let events = ids.map(|id| format!("id: {id}\ndata: {data}\n\n"));
                Some(Bytes::from(events.collect::<String>()))
            }
        }
    }
}

/// Events in a chunk of a stream without end.
const EVENTS_PER_CHUNK: u64 = 20;

pub(crate) struct ReplyBody {
    reply: Reply,
    delay: Duration,
    paused: Arc<AtomicBool>,
}

impl ResponseBody for ReplyBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        while self.paused.load(Ordering::Relaxed) {
            tokio::time::sleep(CALL_LATENCY).await;
        }
        tokio::task::yield_now().await;
        if !self.delay.is_zero() {
            tokio::time::sleep(self.delay).await;
        }
        self.reply.next().map(Ok)
    }
}

impl TargetTransport for EchoTargets {
    type Body = ReplyBody;

    fn size(&self, request: &Request) -> Option<u32> {
        request.headers.get("x-tokens")?.to_str().ok()?.parse().ok()
    }

    async fn connect(&self, _: &TargetEntry) -> Reach {
        if self.unreachable.load(Ordering::Relaxed) { Reach::Refused } else { Reach::Accepted }
    }

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<ReplyBody>, SendError> {
        if self.unreachable.load(Ordering::Relaxed) {
            return Err(SendError::Refused("connection refused".to_owned()));
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let id = dispatch.resume_after.map_or(1, |last| last + 1);
        let event = format!("id: {id}\ndata: done {}\n\n", dispatch.request.id);
        let is_ended = dispatch.resume_after.is_some() && self.ends_resumed.load(Ordering::Relaxed);
        let reply = if is_ended {
            Reply::chunks(&[])
        } else {
            self.replies.lock().pop().unwrap_or_else(|| Reply::chunks(&[&event]))
        };
        let delay = *self.delay.lock();
        let body = ReplyBody { reply, delay, paused: Arc::clone(&self.paused) };
        Ok(TargetResponse::new(head, body))
    }
}

pub(crate) fn route() -> Route {
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

pub(crate) fn host(name: &str) -> HostId {
    name.parse().expect("name of a host")
}

pub(crate) fn zone() -> ZoneId {
    "near".parse().expect("name of a data centre")
}

/// A running manager on `store`.
pub(crate) fn manager(store: MemoryPlatform) -> Arc<JobManager<SlowStore, EchoTargets>> {
    manager_and_targets(store).0
}

pub(crate) fn manager_and_targets(
    store: MemoryPlatform,
) -> (Arc<JobManager<SlowStore, EchoTargets>>, Arc<EchoTargets>) {
    let (manager, targets, _) = start_manager("entry-1", SlowStore::new(store));
    (manager, targets)
}

/// Lists an entry host that the others may reach.
pub(crate) async fn list_host(store: &MemoryPlatform, name: &str) {
    let record = record_of(name);
    let body = Bytes::from(serde_json::to_vec(&record).expect("encodable"));
    drop(store.create(&format!("hosts/{name}"), body).await);
}

fn record_of(name: &str) -> HostRecord {
    HostRecord {
        host: host(name),
        zone: zone(),
        role: MemberRole::Entry,
        link: ([127, 0, 0, 1], 2).into(),
        callers: None,
        started: Time(7),
    }
}

pub(crate) fn start_manager(
    name: &str,
    store: SlowStore,
) -> (Arc<JobManager<SlowStore, EchoTargets>>, Arc<EchoTargets>, Arc<Pools>) {
    start_within(name, store, ResponseMemory::default())
}

/// Starts a manager whose targets' responses share `memory`.
pub(crate) fn start_within(
    name: &str,
    store: SlowStore,
    memory: ResponseMemory,
) -> (Arc<JobManager<SlowStore, EchoTargets>>, Arc<EchoTargets>, Arc<Pools>) {
    let Started { manager, targets, pools, relay } =
        start_with(name, store, memory, MAX_OBJECT_BYTES);
    relay.set_table(RouteTable::new(1, vec![route()]));
    (manager, targets, pools)
}

/// A running manager and what it uses.
pub(crate) struct Started {
    pub(crate) manager: Arc<JobManager<SlowStore, EchoTargets>>,
    pub(crate) targets: Arc<EchoTargets>,
    pub(crate) pools: Arc<Pools>,
    pub(crate) relay: Arc<Relay<EchoTargets>>,
}

/// Starts a manager that knows no routes yet.
pub(crate) fn start(name: &str, store: SlowStore) -> Started {
    start_with(name, store, ResponseMemory::default(), MAX_OBJECT_BYTES)
}

/// Starts a manager whose platform stores only objects of up to `object_bytes`.
pub(crate) fn start_with_objects(name: &str, store: SlowStore, object_bytes: usize) -> Started {
    start_with(name, store, ResponseMemory::default(), object_bytes)
}

/// Maximum size of an object at the platform.
const MAX_OBJECT_BYTES: usize = 1 << 20;

fn start_with(
    name: &str,
    store: SlowStore,
    memory: ResponseMemory,
    object_bytes: usize,
) -> Started {
    let (pools, yields) = Pools::new(host(name), zone(), 1);
    let mut targets = TargetList::default();
    targets.upsert(TargetEntry {
        id: "engine-1".parse().expect("name of a target"),
        service: "llm".parse().expect("name of a service"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone(),
        version: "v1".parse().expect("version"),
        slots: 8,
        leaving: false,
        started_at: None,
    });
    pools.update_targets(&targets);
    let pools = Arc::new(pools);
    let targets = Arc::new(EchoTargets::default());
    let relay = Relay::new(Arc::clone(&pools), Arc::clone(&targets)).with_memory(memory);
    let relay = Arc::new(relay);
    let local = record_of(name);
    let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
    let cluster = Cluster::new(local, key, Arc::clone(&pools));
    let id_header = HeaderName::from_static("x-id");
    let config = JobManagerConfig { id_header, object_bytes, loaded_bytes: 1 << 20 };
    tokio::spawn(Arc::clone(&relay).watch_links());
    tokio::spawn(Arc::clone(&cluster).follow_records(store.clone()));
    let manager = JobManager::new(config, store, Arc::clone(&relay), cluster);
    tokio::spawn(Arc::clone(&manager).follow_jobs());
    tokio::spawn(Arc::clone(&manager).dispatch());
    tokio::spawn(Arc::clone(&manager).handle_yields(yields));
    Started { manager, targets, pools, relay }
}

pub(crate) async fn wait_until_ready(manager: &JobManager<SlowStore, EchoTargets>) {
    while !manager.is_ready() {
        tokio::time::sleep(CALL_LATENCY).await;
    }
}

pub(crate) fn submission(tokens: u64) -> Submission {
    submission_of("job-1", tokens)
}

pub(crate) fn submission_of(name: &str, tokens: u64) -> Submission {
    submission_with(name, 3, tokens)
}

/// A job of `count` items of `tokens` each.
pub(crate) fn submission_with(name: &str, count: u32, tokens: u64) -> Submission {
    let item = |number: u32| NewItem {
        id: format!("{name}-item-{number}"),
        path: format!("/drafts/{number}"),
        headers: BTreeMap::new(),
        body: Bytes::from_static(b"body"),
        tokens,
    };
    let items = (0..count).map(item).collect();
    let job = name.parse().expect("name of a job");
    Submission { job, host: "a.example".to_owned(), items, received: Time(0) }
}

pub(crate) fn job() -> JobId {
    "job-1".parse().expect("name of a job")
}

/// Waits up to 10 s until all three results are committed; returns the number of results.
pub(crate) async fn wait_for_results(manager: &Arc<JobManager<SlowStore, EchoTargets>>) -> usize {
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
