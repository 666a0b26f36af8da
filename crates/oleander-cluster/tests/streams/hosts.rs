//! Hosts with real links on loopback, and targets whose events tell their software version.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use oleander_cluster::{Cluster, FailoverStore, Handler, HostRecord};
use oleander_core::{HostId, ServiceId, Span, Time};
use oleander_host::clock;
use oleander_link::{LinkKey, Server};
use oleander_members::MemberRole;
use oleander_platform::{MemoryPlatform, ObjectStore};
use oleander_relay::{
    BodyError, Dispatch, Pools, Relay, Request, RequestSummary, ResponseBody, ResponseHead,
    ResponseSink, RetryPolicy, Route, RouteKind, SendError, SinkClosed, StreamAnswer, StreamId,
    StreamQuery, TargetEntry, TargetList, TargetResponse, TargetTransport, TrafficShare,
};
use rand::{Rng, rngs::SmallRng};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Events of each stream.
pub(crate) const EVENTS: u64 = 4;
/// Last event before a new stream breaks off.
pub(crate) const LAST_BEFORE: u64 = 2;
/// Time before the first event of a stream; longer than new streams are collected.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Age of targets that started long ago.
pub(crate) const OLD: Span = Span::from_secs(120);
/// Pause between two checks of a condition, and its limit.
const PAUSE: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(20);

/// Targets whose events tell their version; a stream breaks off unless it is resumed.
pub(crate) struct VersionTargets;

pub(crate) struct VersionBody {
    version: String,
    next: u64,
    end: u64,
}

impl ResponseBody for VersionBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.next > self.end {
            return (self.end < EVENTS).then(|| Err(BodyError("reset".to_owned())));
        }
        if self.next == 1 {
            sleep(FIRST_EVENT).await;
        }
        let event = format!("id: {}\ndata: {} {}\n\n", self.next, self.version, self.next);
        self.next += 1;
        Some(Ok(Bytes::from(event)))
    }
}

impl TargetTransport for VersionTargets {
    type Body = VersionBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<VersionBody>, SendError> {
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let end = if dispatch.resume_after.is_some() { EVENTS } else { LAST_BEFORE };
        let next = dispatch.resume_after.unwrap_or(0) + 1;
        let body = VersionBody { version: dispatch.target.version.to_string(), next, end };
        Ok(TargetResponse { head, not_run: false, load: None, body })
    }
}

/// What reaches the caller.
#[derive(Default)]
struct Caller {
    text: String,
}

impl ResponseSink for Caller {
    fn head(&mut self, _: ResponseHead) {}

    async fn chunk(&mut self, bytes: Bytes) -> Result<(), SinkClosed> {
        self.text.push_str(std::str::from_utf8(&bytes).expect("text"));
        Ok(())
    }

    async fn closed(&self) {
        std::future::pending::<()>().await;
    }
}

struct NoApplication;

impl Handler<(), ()> for NoApplication {
    async fn handle(self: Arc<Self>, _: HostId, (): ()) {}
}

/// A running host; it is gone when dropped.
pub(crate) struct Host {
    relay: Arc<Relay<VersionTargets>>,
    cluster: Arc<Cluster>,
    server: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.server = None;
    }
}

impl Host {
    /// Sends a request to the targets; returns the events of the response.
    pub(crate) async fn forward(&self, request: Arc<Request>) -> (RequestSummary, Vec<Event>) {
        let mut caller = Caller::default();
        let summary = self.relay.forward(&request, &route(), &mut caller).await;
        (summary, events(&caller.text))
    }

    /// Number of other hosts that answer this one.
    async fn reached(&self) -> usize {
        let (queries, receiver) = mpsc::unbounded_channel();
        let asking = tokio::spawn(Arc::clone(&self.cluster).ask_about_streams(receiver));
        let (answers, answered) = oneshot::channel();
        let query = StreamQuery { service: service(), stream: StreamId::new("none"), answers };
        queries.send(query).expect("a receiver");
        let answers = answered.await.unwrap_or_default();
        let count = answers.iter().filter(|answer| **answer != StreamAnswer::Unreached).count();
        asking.abort();
        count
    }
}

/// Several hosts with one platform, of which any may be gone.
pub(crate) struct Hosts {
    store: MemoryPlatform,
    addresses: Vec<SocketAddr>,
    listed: Vec<TargetEntry>,
    starts: u64,
    hosts: Vec<Option<Host>>,
}

impl Hosts {
    /// Starts `count` hosts with these targets, and waits until each reaches all others.
    pub(crate) async fn start(count: usize, listed: Vec<TargetEntry>) -> Self {
        let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let listeners: Vec<TcpListener> = listeners.collect();
        let addresses = listeners.iter().map(|one| one.local_addr().expect("address")).collect();
        drop(listeners);
        let (store, hosts) = (MemoryPlatform::new(), (0..count).map(|_| None).collect());
        let mut started = Self { store, addresses, listed, starts: 0, hosts };
        for index in 0..count {
            started.start_host(index).await;
        }
        started.wait_until_connected().await;
        started
    }

    /// Starts a host that is gone, with nothing of what it knew.
    pub(crate) async fn start_host(&mut self, index: usize) {
        self.starts += 1;
        let zone: oleander_core::ZoneId = "near".parse().expect("data centre");
        let local = HostRecord {
            host: format!("entry-{index}").parse().expect("host"),
            zone: zone.clone(),
            role: MemberRole::Entry,
            link: self.addresses[index],
            callers: None,
            started: Time(clock::now().0 + self.starts),
        };
        self.write_record(&local).await;
        let (pools, _yields) = Pools::new(local.host.clone(), zone, index as u64);
        let pools = Arc::new(pools);
        let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
        let cluster = Cluster::new(local, key, Arc::clone(&pools));
        let store = FailoverStore::<_, Cluster>::new(self.store.clone());
        let server = cluster.serve(Arc::new(NoApplication), store).expect("a free address");
        let tasks = vec![
            tokio::spawn(Arc::clone(&cluster).follow_records(self.store.clone())),
            tokio::spawn(Arc::clone(&cluster).run_probes()),
            tokio::spawn(Arc::clone(&cluster).announce_streams()),
            tokio::spawn(Arc::clone(&cluster).ask_about_streams(pools.streams.queries())),
        ];
        let relay = Arc::new(Relay::new(pools, Arc::new(VersionTargets)));
        let host = Host { relay, cluster, server: Some(server), tasks };
        update(&host, &self.listed);
        self.hosts[index] = Some(host);
    }

    async fn write_record(&self, record: &HostRecord) {
        let key = format!("hosts/{}", record.host);
        let body = Bytes::from(serde_json::to_vec(record).expect("encodable"));
        match self.store.get(&key).await.expect("up") {
            Some(object) => drop(self.store.update(&key, body, object.revision).await),
            None => drop(self.store.create(&key, body).await),
        }
    }

    /// Stops a host without notice.
    pub(crate) fn kill(&mut self, index: usize) {
        self.hosts[index] = None;
    }

    /// Changes the targets at all hosts.
    pub(crate) fn list(&mut self, listed: Vec<TargetEntry>) {
        self.listed = listed;
        self.list_everywhere();
    }

    /// Changes the targets at about half of the hosts; the others learn of it later.
    pub(crate) fn list_at_some(&mut self, random: &mut SmallRng, listed: Vec<TargetEntry>) {
        self.listed = listed;
        let hosts = self.live().filter(|_| random.random_bool(0.5));
        hosts.for_each(|host| update(host, &self.listed));
    }

    /// Brings the targets of all hosts up to date.
    pub(crate) fn list_everywhere(&self) {
        self.live().for_each(|host| update(host, &self.listed));
    }

    pub(crate) fn live_indexes(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|index| self.hosts[*index].is_some()).collect()
    }

    fn live(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().flatten()
    }

    pub(crate) fn host(&self, index: usize) -> &Host {
        self.hosts[index].as_ref().expect("a live host")
    }

    /// Waits until each live host reaches all other live ones.
    pub(crate) async fn wait_until_connected(&self) {
        let others = self.live().count() - 1;
        let end = Instant::now() + LIMIT;
        for host in self.live() {
            while host.reached().await != others {
                assert!(Instant::now() < end, "hosts do not reach each other");
                sleep(PAUSE).await;
            }
        }
    }
}

fn update(host: &Host, listed: &[TargetEntry]) {
    let mut list = TargetList::default();
    listed.iter().cloned().for_each(|target| list.upsert(target));
    host.relay.pools.update_targets(&list);
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) version: String,
    pub(crate) number: u64,
}

fn events(text: &str) -> Vec<Event> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let pairs = data.map(|line| line.split_once(' ').expect("version and number"));
    let event = |(version, number): (&str, &str)| Event {
        version: version.to_owned(),
        number: number.parse().expect("number"),
    };
    pairs.map(event).collect()
}

/// Targets with these versions that have run for `age`.
pub(crate) fn targets(versions: &[&str], age: Span) -> Vec<TargetEntry> {
    let started = (clock::now().0.saturating_sub(age.0)) / 1_000;
    let target = |(number, version): (u16, &&str)| TargetEntry {
        id: format!("engine-{number}-{version}").parse().expect("target"),
        service: service(),
        address: ([127, 0, 0, 1], number).into(),
        zone: "near".parse().expect("data centre"),
        version: version.parse().expect("version"),
        slots: 64,
        leaving: false,
        started_at: Some(started),
    };
    (1..).zip(versions).map(target).collect()
}

/// A request that begins a stream.
pub(crate) fn beginning(id: &str) -> Arc<Request> {
    Arc::new(Request {
        id: id.to_owned(),
        host: "a.example".to_owned(),
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        budget: None,
        resume_after: None,
        resumes: None,
        received: clock::steady(),
    })
}

/// A request that takes up the stream which `first` began.
pub(crate) fn resuming(first: &str) -> Arc<Request> {
    let request = Request::clone(&beginning(&format!("{first}-again")));
    let resume_after = Some(LAST_BEFORE);
    Arc::new(Request { resume_after, resumes: Some(first.to_owned()), ..request })
}

fn service() -> ServiceId {
    "model".parse().expect("service")
}

fn route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream,
        retry: RetryPolicy::Resume,
        timeout: Span::from_secs(5),
        latency_goal: Span::from_millis(300),
        max_pause: Span::from_millis(200),
        caller_timeout: None,
        priority: 0,
        max_attempts: 1,
        shares: vec![TrafficShare { service: service(), weight: 1 }],
    }
}
