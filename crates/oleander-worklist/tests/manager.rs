//! A desk with a store in memory and targets that answer at once.

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
    ItemOutcome, JobManager, JobManagerConfig, JobRecord, JobStore, NewItem, Owner, Submission,
    SubmitError,
};

/// Time that each call of the store takes.
const CALL_TIME: Duration = Duration::from_millis(10);

/// Time until the create of an entry is answered; it takes effect at once.
const ACCEPT_TIME: Duration = Duration::from_millis(80);

/// A store whose calls take a while, and whose watches are perhaps never answered.
#[derive(Debug, Clone)]
struct Slow {
    store: MemoryPlatform,
    deaf: Arc<AtomicBool>,
}

impl Slow {
    fn new(store: MemoryPlatform) -> Self {
        Self { store, deaf: Arc::default() }
    }
}

impl ObjectStore for Slow {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        tokio::time::sleep(CALL_TIME).await;
        self.store.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let created = self.store.create(key, body).await;
        let late = if key.starts_with("joblist/") { ACCEPT_TIME } else { CALL_TIME };
        tokio::time::sleep(late).await;
        created
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        let updated = self.store.update(key, body, expected).await;
        tokio::time::sleep(CALL_TIME).await;
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
        if self.deaf.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        self.store.watch(prefix, from, wait).await
    }
}

/// Targets that answer each request with one event, and count requests.
#[derive(Default)]
struct Echo {
    requests: AtomicUsize,
    held: Arc<AtomicBool>,
}

impl Echo {
    /// Holds answers back, or lets them end.
    fn hold(&self, held: bool) {
        self.held.store(held, Ordering::Relaxed);
    }
}

struct OneEvent {
    event: Option<Bytes>,
    held: Arc<AtomicBool>,
}

impl ResponseBody for OneEvent {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        while self.held.load(Ordering::Relaxed) {
            tokio::time::sleep(CALL_TIME).await;
        }
        self.event.take().map(Ok)
    }
}

impl TargetTransport for Echo {
    type Body = OneEvent;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<OneEvent>, SendError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let event = format!("id: 1\ndata: done {}\n\n", dispatch.request.id);
        let body = OneEvent { event: Some(Bytes::from(event)), held: Arc::clone(&self.held) };
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

/// A desk that runs on `store`.
fn desk(store: MemoryPlatform) -> Arc<JobManager<Slow, Echo>> {
    desk_and_targets(store).0
}

fn desk_and_targets(store: MemoryPlatform) -> (Arc<JobManager<Slow, Echo>>, Arc<Echo>) {
    let (desk, targets, _) = parts("entry-1", Slow::new(store));
    (desk, targets)
}

fn parts(name: &str, store: Slow) -> (Arc<JobManager<Slow, Echo>>, Arc<Echo>, Arc<Pools>) {
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
    let targets = Arc::new(Echo::default());
    let relay = Arc::new(Relay::new(Arc::clone(&pools), Arc::clone(&targets)));
    relay.set_table(RouteTable::new(1, vec![route()]));
    let me = HostRecord {
        host: host(name),
        zone: zone(),
        role: MemberRole::Entry,
        link: ([127, 0, 0, 1], 2).into(),
        callers: None,
        started: Time(7),
    };
    let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
    let cluster = Cluster::new(me, key, Arc::clone(&pools));
    let id_header = HeaderName::from_static("x-id");
    let config = JobManagerConfig { id_header, object_bytes: 1 << 20, loaded_bytes: 1 << 20 };
    let desk = JobManager::new(config, store, relay, cluster);
    tokio::spawn(Arc::clone(&desk).follow_jobs());
    tokio::spawn(Arc::clone(&desk).dispatch());
    tokio::spawn(Arc::clone(&desk).handle_yields(yields));
    (desk, targets, pools)
}

async fn ready(desk: &JobManager<Slow, Echo>) {
    while !desk.is_ready() {
        tokio::time::sleep(CALL_TIME).await;
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

/// Waits until all three results are listed.
async fn results(desk: &Arc<JobManager<Slow, Echo>>) -> usize {
    let end = tokio::time::Instant::now() + Duration::from_secs(10);
    loop {
        let read = desk.read_results(&job(), 0, Span::from_secs(1)).await.expect("the store is up");
        let listed = read.map_or(0, |read| read.results.len());
        if listed == 3 || tokio::time::Instant::now() > end {
            return listed;
        }
        tokio::time::sleep(CALL_TIME).await;
    }
}

#[tokio::test]
async fn a_job_is_run_and_its_results_are_listed_once() {
    let desk = desk(MemoryPlatform::new());
    ready(&desk).await;
    assert_eq!(desk.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(desk.submit(submission(10), &route()).await, Ok(()), "a resend finds the job");
    assert_eq!(results(&desk).await, 3);
    let read =
        desk.read_results(&job(), 1, Span::ZERO).await.expect("the store is up").expect("a job");
    assert_eq!((read.total, read.results.len()), (3, 2));
    assert_eq!(read.results[0].state, ItemOutcome::Completed);
    assert!(read.results[0].output.starts_with("done job-1-item-"));
}

/// A finding: after all hosts had lost power, a caller that had given up on its connection was
/// read all the same and left while its job was being accepted.
#[tokio::test]
async fn a_job_whose_caller_left_while_it_was_accepted_is_run() {
    let store = MemoryPlatform::new();
    let desk = desk(store.clone());
    ready(&desk).await;
    let leaving = CALL_TIME * 3 / 2;
    let left = tokio::time::timeout(leaving, desk.submit(submission(10), &route())).await;
    assert!(left.is_err(), "the caller left between the create of the entry and its answer");
    assert_eq!(desk.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(results(&desk).await, 3);
}

#[tokio::test]
async fn a_job_that_does_not_fit_is_refused_unless_it_stands_already() {
    let store = MemoryPlatform::new();
    let desk = desk(store.clone());
    ready(&desk).await;
    let refused = desk.submit(submission(400), &route()).await;
    assert!(matches!(refused, Err(SubmitError::Full(_))), "{refused:?}");
}

#[tokio::test]
async fn an_ended_job_stays_ended() {
    let desk = desk(MemoryPlatform::new());
    ready(&desk).await;
    assert_eq!(desk.cancel(&job()).await, Ok(false), "there is no such job yet");
    assert_eq!(desk.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(desk.cancel(&job()).await, Ok(true));
    assert_eq!(desk.cancel(&job()).await, Ok(true), "also when it is asked again");
}

#[tokio::test]
async fn a_job_that_is_ended_while_it_is_being_accepted_runs_nothing() {
    let (desk, targets) = desk_and_targets(MemoryPlatform::new());
    ready(&desk).await;
    let accepting = tokio::spawn({
        let desk = Arc::clone(&desk);
        async move { desk.submit(submission(10), &route()).await }
    });
    tokio::time::sleep(CALL_TIME * 2).await;
    assert_eq!(desk.cancel(&job()).await, Ok(true), "the entry stands already");
    assert!(accepting.await.expect("it ends").is_ok());
    tokio::time::sleep(ACCEPT_TIME * 3).await;
    assert_eq!(
        targets.requests.load(Ordering::Relaxed),
        0,
        "no item of an ended job reaches a target"
    );
}

/// Answers a rush in which several hosts send to one target at the same moment: each asks for too
/// little room, and no further request comes that would ask for more.
#[tokio::test]
async fn items_leave_a_target_that_other_hosts_have_filled_with_online_requests() {
    let (desk, targets, pools) = parts("entry-1", Slow::new(MemoryPlatform::new()));
    ready(&desk).await;
    targets.hold(true);
    assert_eq!(desk.submit(submission(10), &route()).await, Ok(()));
    let pool = pools.get(&"llm".parse().expect("name of a service")).expect("a pool");
    let batch = || pool.counts().iter().map(|count| count.batch).sum::<u32>();
    while batch() < 3 {
        tokio::time::sleep(CALL_TIME).await;
    }
    let target = "engine-1".parse().expect("name of a target");
    let full = vec![PeerCount { target, online: 8, batch: 0 }];
    pool.update_peer(&"entry-2".parse().expect("name of a host"), full, Time(1));
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(batch(), 0, "items still hold slots that online requests wait for");
}

/// A finding (own day power, harrow-tray): a host that was paused went on with a job that another
/// had taken over, and showed a result that the new owner did not know for seconds.
#[tokio::test]
async fn a_former_owner_shows_no_result_that_the_new_owner_does_not_know() {
    let store = MemoryPlatform::new();
    let former = Slow::new(store.clone());
    let (first, targets, _) = parts("entry-1", former.clone());
    let (second, stuck, _) = parts("entry-2", Slow::new(store.clone()));
    ready(&first).await;
    ready(&second).await;
    targets.hold(true);
    stuck.hold(true);
    former.deaf.store(true, Ordering::Relaxed);
    assert_eq!(first.submit(submission(10), &route()).await, Ok(()));
    tokio::time::sleep(ACCEPT_TIME).await;
    give_to(&store, "entry-2").await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    targets.hold(false);
    for _ in 0..60 {
        let shown = listed(&first).await;
        let known = listed(&second).await;
        assert!(known >= shown, "{shown} results were shown, and then there were {known}");
        tokio::time::sleep(CALL_TIME).await;
    }
    stuck.hold(false);
    assert_eq!(results(&second).await, 3, "the new owner goes on");
}

/// Makes another process the owner of the job, as a take-over does.
async fn give_to(store: &MemoryPlatform, name: &str) {
    let jobs = JobStore::new(store.clone());
    let (revision, record) = jobs.record(&job()).await.expect("up").expect("accepted");
    let owner = Some(Owner { host: host(name), started: Time(7) });
    let taken = JobRecord { owner, ..record };
    assert!(jobs.replace(&taken, revision).await.expect("up").is_some());
}

/// Number of results that a desk shows now.
async fn listed(desk: &Arc<JobManager<Slow, Echo>>) -> usize {
    let read = desk.read_results(&job(), 0, Span::ZERO).await.expect("the store is up");
    read.map_or(0, |read| read.results.len())
}

/// A finding of the recorded day of vpu: while a host was stopped as planned, jobs whose items had not
/// been started stood still until those of other jobs had ended.
#[tokio::test]
async fn a_host_that_stops_gives_away_at_once_what_it_does_not_run() {
    let store = MemoryPlatform::new();
    let (desk, targets, pools) = parts("entry-1", Slow::new(store.clone()));
    ready(&desk).await;
    targets.hold(true);
    assert_eq!(desk.submit(submission(10), &route()).await, Ok(()));
    let target = "engine-1".parse().expect("name of a target");
    let pool = pools.get(&"llm".parse().expect("name of a service")).expect("a pool");
    while pool.counts().iter().map(|count| count.batch).sum::<u32>() < 3 {
        tokio::time::sleep(CALL_TIME).await;
    }
    // Four online requests and three items fill what batch may use.
    let counts = vec![PeerCount { target, online: 4, batch: 0 }];
    pool.update_peer(&host("entry-2"), counts, Time(1));
    assert_eq!(desk.submit(submission_of("job-2", 10), &route()).await, Ok(()));
    let leaving = Arc::clone(&desk);
    let handing = tokio::spawn(async move { leaving.hand_over().await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    let jobs = JobStore::new(store);
    let waiting = "job-2".parse().expect("name of a job");
    let (_, record) = jobs.record(&waiting).await.expect("up").expect("accepted");
    assert_eq!(record.owner, None, "it waits for the items of another job");
    let (_, record) = jobs.record(&job()).await.expect("up").expect("accepted");
    assert!(record.owner.is_some(), "its items are running and may end here");
    handing.abort();
}
