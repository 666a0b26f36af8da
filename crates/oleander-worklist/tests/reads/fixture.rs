//! Jobs at a store, hosts that serve them, and readers that leave.

use std::{collections::BTreeMap, net::TcpListener, sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::HeaderName;
use oleander_cluster::{Cluster, HostRecord};
use oleander_core::{JobId, Span, Time, Tokens, ZoneId};
use oleander_link::LinkKey;
use oleander_members::MemberRole;
use oleander_platform::{MemoryPlatform, ObjectStore};
use oleander_relay::{
    BodyError, Dispatch, Pools, Relay, ResponseBody, RetryPolicy, Route, RouteKind, SendError,
    TargetResponse, TargetTransport, TrafficShare,
};
use oleander_worklist::{
    ItemOutcome, ItemRecord, ItemResult, JobManager, JobManagerConfig, JobPhase, JobRecord,
    JobStore, NewItem, Owner, Part, Segment, StateUnknown, Submission,
};
use tokio::time::{sleep, timeout};

use crate::store::SlowStore;

/// Wait that readers ask for, and time after which they leave.
pub(crate) const WAIT: Span = Span::from_secs(1);
pub(crate) const PATIENCE: Duration = Duration::from_millis(2_500);
/// Pause of a reader after a read without an answer, or put off.
const PAUSE: Duration = Duration::from_millis(100);
/// Number of items in a stored part.
const PART_ITEMS: usize = 8;

pub(crate) type Manager = Arc<JobManager<SlowStore, NoTargets>>;

/// Targets that can't be reached.
pub(crate) struct NoTargets;

/// A body that is never sent.
pub(crate) struct NoBody;

impl ResponseBody for NoBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        None
    }
}

impl TargetTransport for NoTargets {
    type Body = NoBody;

    async fn send(&self, _: Dispatch) -> Result<TargetResponse<NoBody>, SendError> {
        Err(SendError::Refused("no targets".to_owned()))
    }
}

pub(crate) fn job() -> JobId {
    "job-1".parse().expect("name of a job")
}

fn zone() -> ZoneId {
    "near".parse().expect("name of a data centre")
}

fn route() -> Route {
    Route {
        name: "drafts".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/drafts/".to_owned(),
        kind: RouteKind::Batch {
            backlog: Some(Tokens(100_000)),
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

pub(crate) fn item_name(number: usize) -> String {
    format!("item-{number}")
}

/// The output of an item, which its number decides.
pub(crate) fn output(number: usize, bytes: usize) -> String {
    format!("output {number} {}", "x".repeat(bytes))
}

/// A job whose results are stored in segments of the given sizes.
pub(crate) struct StoredJob {
    pub(crate) platform: MemoryPlatform,
    pub(crate) results: Vec<ItemResult>,
}

/// What is stored of a job.
#[derive(Debug, Clone)]
pub(crate) struct Shape {
    /// Number of results in each segment.
    pub(crate) segments: Vec<usize>,
    /// Number of items without a result.
    pub(crate) open_items: usize,
    /// Size of each output and each body, in bytes.
    pub(crate) bytes: usize,
    pub(crate) owner: Option<Owner>,
}

impl Shape {
    /// A finished job whose owner is gone.
    pub(crate) fn finished(segments: Vec<usize>) -> Self {
        Self { segments, open_items: 0, bytes: 20, owner: Some(owner_of("gone-1")) }
    }
}

pub(crate) fn owner_of(host: &str) -> Owner {
    Owner { host: host.parse().expect("name of a host"), started: Time(7) }
}

impl StoredJob {
    pub(crate) async fn write(shape: &Shape) -> Self {
        let platform = MemoryPlatform::new();
        let listed = shape.segments.iter().sum::<usize>();
        let jobs = JobStore::new(platform.clone());
        let items = (0..listed + shape.open_items).map(|number| new_item(number, shape.bytes));
        let submission = Submission {
            job: job(),
            host: "a.example".to_owned(),
            items: items.collect(),
            received: Time(0),
        };
        let parts: Vec<Part> = submission.items.chunks(PART_ITEMS).map(part).collect();
        let phase = if shape.open_items == 0 { JobPhase::Done } else { JobPhase::Open };
        let accepted = oleander_host::clock::now();
        let record = submission.record(accepted, &route(), parts.len() as u32, shape.owner.clone());
        for (index, part) in parts.iter().enumerate() {
            jobs.put_part(&job(), index as u32, part).await.expect("up");
        }
        let record = JobRecord { phase, ..record };
        jobs.accept(&record).await.expect("up").expect("a new job");
        let results: Vec<ItemResult> = (0..listed).map(|n| result(n, shape.bytes)).collect();
        let mut next = 0;
        for (index, count) in shape.segments.iter().enumerate() {
            let results = results[next..next + count].to_vec();
            next += count;
            let segment = Segment { writer: format!("w{index}"), results };
            jobs.append(&job(), index as u64, &segment).await.expect("up");
        }
        Self { platform, results }
    }
}

fn part(items: &[NewItem]) -> Part {
    let record = |item: &NewItem| ItemRecord {
        id: item.id.clone(),
        path: item.path.clone(),
        headers: BTreeMap::new(),
        body: BASE64_STANDARD.encode(&item.body),
        tokens: item.tokens,
    };
    Part { items: items.iter().map(record).collect() }
}

fn new_item(number: usize, bytes: usize) -> NewItem {
    NewItem {
        id: item_name(number),
        path: format!("/drafts/{number}"),
        headers: BTreeMap::new(),
        body: Bytes::from(output(number, bytes)),
        tokens: 1,
    }
}

pub(crate) fn result(number: usize, bytes: usize) -> ItemResult {
    let (item, output) = (item_name(number), output(number, bytes));
    ItemResult { item, state: ItemOutcome::Completed, output }
}

fn host_record(name: &str, port: u16) -> HostRecord {
    HostRecord {
        host: name.parse().expect("name of a host"),
        zone: zone(),
        role: MemberRole::Entry,
        link: ([127, 0, 0, 1], port).into(),
        callers: None,
        started: Time(7),
    }
}

/// A host that counts as live and never answers, until the listener is dropped.
pub(crate) async fn list_silent_host(platform: &MemoryPlatform, name: &str) -> TcpListener {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    let body = serde_json::to_vec(&host_record(name, port)).expect("encodable");
    platform.create(&format!("hosts/{name}"), Bytes::from(body)).await.expect("up");
    listener
}

/// A host that has just started, with nothing in its memory.
pub(crate) fn start_host(name: &str, store: &SlowStore) -> Manager {
    let manager = start_host_without_watch(name, store);
    tokio::spawn(Arc::clone(&manager).follow_jobs());
    manager
}

/// A host whose list of the jobs never comes.
pub(crate) fn start_host_without_watch(name: &str, store: &SlowStore) -> Manager {
    let (pools, _yields) = Pools::new(name.parse().expect("name of a host"), zone(), 1);
    let pools = Arc::new(pools);
    let relay = Arc::new(Relay::new(Arc::clone(&pools), Arc::new(NoTargets)));
    let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
    let cluster = Cluster::new(host_record(name, 1), key, pools);
    let id_header = HeaderName::from_static("x-id");
    let config = JobManagerConfig { id_header, object_bytes: 1 << 20, loaded_bytes: 1 << 20 };
    tokio::spawn(Arc::clone(&cluster).follow_records(store.clone()));
    JobManager::new(config, store.clone(), relay, cluster)
}

/// What a reader has got so far.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    pub(crate) results: Vec<ItemResult>,
    pub(crate) reads: usize,
    /// Reads that its caller left.
    pub(crate) left: usize,
    /// Reads that were put off.
    pub(crate) put_off: usize,
}

impl Reading {
    /// Reads the next page; returns whether the read was answered.
    pub(crate) async fn read_page(&mut self, host: &Manager) -> bool {
        self.reads += 1;
        let job = job();
        let read = host.read_results(&job, self.results.len(), WAIT);
        match timeout(PATIENCE, read).await {
            Ok(Ok(page)) => {
                self.results.extend(page.expect("the job exists").results);
                true
            }
            Ok(Err(StateUnknown(_))) => {
                self.put_off += 1;
                sleep(PAUSE).await;
                false
            }
            Err(_) => {
                self.left += 1;
                sleep(PAUSE).await;
                false
            }
        }
    }

    /// Reads pages until all results have come or `limit` reads are over; after each read without an
    /// answer, `next_host` names another host.
    pub(crate) async fn read_whole(
        job: &StoredJob,
        limit: usize,
        mut next_host: impl FnMut() -> Manager,
    ) -> Self {
        let (mut reading, mut host) = (Self::default(), next_host());
        while reading.results.len() < job.results.len() && reading.reads < limit {
            if !reading.read_page(&host).await {
                host = next_host();
            }
        }
        reading
    }

    /// Checks that all results have come again as they are stored.
    pub(crate) fn expect_whole(&self, job: &StoredJob) {
        let Self { results, reads, left, put_off } = self;
        assert!(
            results.len() == job.results.len(),
            "{} of {} results came again in {reads} reads ({left} without an answer, {put_off} put off)",
            results.len(),
            job.results.len(),
        );
        assert_eq!(*results, job.results, "results have changed");
    }
}
