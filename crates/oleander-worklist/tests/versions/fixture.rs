//! A manager, and targets of several software versions whose events tell their version.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode};
use oleander_cluster::{Cluster, HostRecord};
use oleander_core::{JobId, ServiceId, Span, Time, Tokens};
use oleander_link::LinkKey;
use oleander_members::MemberRole;
use oleander_platform::MemoryPlatform;
use oleander_relay::{
    BodyError, Dispatch, Pool, Pools, Relay, ResponseBody, ResponseHead, RetryPolicy, Route,
    RouteKind, RouteTable, SendError, SoftwareVersion, TargetEntry, TargetLease, TargetList,
    TargetResponse, TargetTransport, TrafficShare, VersionChoice,
};
use oleander_routing::Pick;
use oleander_worklist::{ItemResult, JobManager, JobManagerConfig, NewItem, Submission};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

/// Events of each item.
pub(crate) const EVENTS: u64 = 4;
/// Last event before an item's first run is interrupted.
pub(crate) const LAST_BEFORE: u64 = 2;
/// Pause between two checks of a condition.
const PAUSE: Duration = Duration::from_millis(10);
/// Maximum wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);

/// How the first run of an item ends after [`LAST_BEFORE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// The connection is reset.
    Broken,
    /// Nothing follows.
    Silent,
}

/// One request at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) item: String,
    pub(crate) version: String,
    pub(crate) after: Option<u64>,
}

/// Targets whose events tell their version; the first run of each item is interrupted.
pub(crate) struct VersionTargets {
    interruption: Interruption,
    pub(crate) runs: Mutex<Vec<Run>>,
    /// Runs that were interrupted after [`LAST_BEFORE`].
    interrupted: Arc<AtomicUsize>,
}

impl VersionTargets {
    fn new(interruption: Interruption) -> Self {
        Self { interruption, runs: Mutex::default(), interrupted: Arc::default() }
    }

    /// Whether any run has written events and was interrupted.
    pub(crate) fn has_interrupted(&self) -> bool {
        self.interrupted.load(Ordering::Relaxed) > 0
    }
}

pub(crate) struct VersionBody {
    version: String,
    next: u64,
    interruption: Option<Interruption>,
    interrupted: Arc<AtomicUsize>,
}

impl ResponseBody for VersionBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.next > LAST_BEFORE && self.interruption.is_some() {
            self.interrupted.fetch_add(1, Ordering::Relaxed);
            match self.interruption {
                Some(Interruption::Broken) => return Some(Err(BodyError("reset".to_owned()))),
                Some(Interruption::Silent) => std::future::pending().await,
                None => {}
            }
        }
        if self.next > EVENTS {
            return None;
        }
        let event = format!("id: {}\ndata: {} {}\n\n", self.next, self.version, self.next);
        self.next += 1;
        Some(Ok(Bytes::from(event)))
    }
}

impl TargetTransport for VersionTargets {
    type Body = VersionBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<VersionBody>, SendError> {
        let item = dispatch.request.id.clone();
        let version = dispatch.target.version.to_string();
        let mut runs = self.runs.lock();
        let is_first = runs.iter().all(|run| run.item != item);
        runs.push(Run { item, version: version.clone(), after: dispatch.resume_after });
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let next = dispatch.resume_after.unwrap_or(0) + 1;
        let interruption = is_first.then_some(self.interruption);
        let body =
            VersionBody { version, next, interruption, interrupted: Arc::clone(&self.interrupted) };
        Ok(TargetResponse::new(head, body))
    }
}

/// A manager with its targets.
pub(crate) struct Fixture {
    pub(crate) manager: Arc<JobManager<MemoryPlatform, VersionTargets>>,
    pub(crate) targets: Arc<VersionTargets>,
    pools: Arc<Pools>,
    route: Route,
}

impl Fixture {
    /// Starts a manager with targets of these numbers, versions and slots.
    pub(crate) async fn start(interruption: Interruption, listed: &[(u16, &str, u32)]) -> Self {
        let zone = "near".parse().expect("data centre");
        let (pools, yields) = Pools::new("entry-1".parse().expect("host"), zone, 1);
        let pools = Arc::new(pools);
        pools.update_targets(&target_list(listed));
        let targets = Arc::new(VersionTargets::new(interruption));
        let relay = Arc::new(Relay::new(Arc::clone(&pools), Arc::clone(&targets)));
        relay.set_table(RouteTable::new(1, vec![route()]));
        let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
        let cluster = Cluster::new(local(), key, Arc::clone(&pools));
        let id_header = HeaderName::from_static("x-id");
        let config = JobManagerConfig { id_header, object_bytes: 1 << 20, loaded_bytes: 1 << 20 };
        let manager = JobManager::new(config, MemoryPlatform::new(), relay, cluster);
        tokio::spawn(Arc::clone(&manager).follow_jobs());
        tokio::spawn(Arc::clone(&manager).dispatch());
        tokio::spawn(Arc::clone(&manager).handle_yields(yields));
        let fixture = Self { manager, targets, pools, route: route() };
        fixture.wait_until(|fixture| fixture.manager.is_ready()).await;
        fixture
    }

    pub(crate) fn list(&self, listed: &[(u16, &str, u32)]) {
        self.pools.update_targets(&target_list(listed));
    }

    pub(crate) fn pool(&self) -> Arc<Pool> {
        self.pools.get(&service()).expect("a pool")
    }

    /// Submits a job of `count` items.
    pub(crate) async fn submit(&self, count: u32) {
        let item = |number: u32| NewItem {
            id: format!("item-{number}"),
            path: format!("/drafts/{number}"),
            headers: BTreeMap::new(),
            body: Bytes::from_static(b"body"),
            tokens: 1,
        };
        let items = (0..count).map(item).collect();
        let submission =
            Submission { job: job(), host: "a.example".to_owned(), items, received: Time(0) };
        assert_eq!(self.manager.submit(submission, &self.route).await, Ok(()));
    }

    /// Takes a slot at a target of `version` for an online request; batch items have to yield.
    pub(crate) async fn take_online(&self, version: &str) -> TargetLease {
        let pool = self.pool();
        let pick = Pick::online(pool.ticket());
        let versions = VersionChoice::Only(version.parse().expect("version"));
        pool.acquire_version(&pick, &versions, &Arc::default()).await.expect("a slot")
    }

    pub(crate) async fn wait_until(&self, is_reached: impl Fn(&Self) -> bool) {
        let end = Instant::now() + LIMIT;
        while !is_reached(self) {
            assert!(Instant::now() < end, "not reached; runs: {:?}", self.targets.runs.lock());
            sleep(PAUSE).await;
        }
    }

    pub(crate) async fn results(&self) -> Vec<ItemResult> {
        let read = self.manager.read_results(&job(), 0, Span::ZERO).await.expect("up");
        read.map_or_else(Vec::new, |read| read.results)
    }

    /// Waits until `count` results are committed.
    pub(crate) async fn wait_for_results(&self, count: usize) -> Vec<ItemResult> {
        let end = Instant::now() + LIMIT;
        loop {
            let results = self.results().await;
            if results.len() >= count {
                return results;
            }
            assert!(Instant::now() < end, "{results:?}; runs: {:?}", self.targets.runs.lock());
            sleep(PAUSE).await;
        }
    }

    /// Runs of one item, in order.
    pub(crate) fn runs_of(&self, item: &str) -> Vec<Run> {
        self.targets.runs.lock().iter().filter(|run| run.item == item).cloned().collect()
    }
}

/// Checks that an output has each event once, all of one version, and returns the version.
pub(crate) fn only_version(output: &str) -> String {
    let lines: Vec<(&str, &str)> =
        output.lines().map(|line| line.split_once(' ').expect("version and number")).collect();
    let numbers: Vec<String> = lines.iter().map(|(_, number)| (*number).to_owned()).collect();
    let expected: Vec<String> = (1..=EVENTS).map(|number| number.to_string()).collect();
    assert_eq!(numbers, expected, "each event once: {output:?}");
    let versions: HashSet<&str> = lines.iter().map(|(version, _)| *version).collect();
    assert_eq!(versions.len(), 1, "events of several versions: {output:?}");
    lines[0].0.to_owned()
}

fn target_list(listed: &[(u16, &str, u32)]) -> TargetList {
    let mut list = TargetList::default();
    for (number, version, slots) in listed {
        let version: SoftwareVersion = version.parse().expect("version");
        list.upsert(TargetEntry {
            id: format!("engine-{number}").parse().expect("target"),
            service: service(),
            address: ([127, 0, 0, 1], *number).into(),
            zone: "near".parse().expect("data centre"),
            version,
            slots: *slots,
            leaving: false,
            started_at: None,
        });
    }
    list
}

fn service() -> ServiceId {
    "llm".parse().expect("service")
}

fn job() -> JobId {
    "job-1".parse().expect("job")
}

fn local() -> HostRecord {
    HostRecord {
        host: "entry-1".parse().expect("host"),
        zone: "near".parse().expect("data centre"),
        role: MemberRole::Entry,
        link: ([127, 0, 0, 1], 2).into(),
        callers: None,
        started: Time(7),
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
        shares: vec![TrafficShare { service: service(), weight: 1 }],
    }
}
