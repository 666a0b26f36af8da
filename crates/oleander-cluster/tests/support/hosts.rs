//! Hosts with real links on loopback, and one platform.

#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use oleander_cluster::{Cluster, FailoverStore, Handler, HostRecord};
use oleander_core::{HostId, ServiceId, Span, Time, ZoneId};
use oleander_host::clock;
use oleander_link::{LinkKey, Server};
use oleander_members::MemberRole;
use oleander_platform::{MemoryPlatform, ObjectStore, Updated};
use oleander_ports::free_address;
use oleander_relay::{
    Pools, Relay, Request, RequestSummary, ResponseHead, ResponseSink, RetryPolicy, Route,
    RouteKind, SinkClosed, StreamAnswer, StreamId, StreamQuery, TargetEntry, TargetList,
    TargetTransport, TrafficShare, follow_targets,
};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time::{Instant, sleep},
};

#[path = "lists.rs"]
mod lists;

use self::lists::{Feed, Lists, TARGETS};

/// Pause between two checks of a condition, and its limit.
const PAUSE: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(20);

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
pub(crate) struct Host<T> {
    pub(crate) relay: Arc<Relay<T>>,
    cluster: Arc<Cluster>,
    feed: Feed,
    server: Option<Server>,
    tasks: Vec<JoinHandle<()>>,
    /// Follows the list of targets, also while the host is cut off.
    follows: Option<JoinHandle<()>>,
}

impl<T> Drop for Host<T> {
    fn drop(&mut self) {
        self.follows.iter().for_each(JoinHandle::abort);
        self.tasks.iter().for_each(JoinHandle::abort);
        self.server = None;
    }
}

/// Sends requests to a host, also while that one is gone.
pub(crate) struct CallerOf<T> {
    relay: Arc<Relay<T>>,
}

impl<T: TargetTransport> CallerOf<T> {
    /// Sends a request to the targets; returns the text of the response.
    pub(crate) async fn forward(
        &self,
        request: Arc<Request>,
        route: &Route,
    ) -> (RequestSummary, String) {
        let mut caller = Caller::default();
        let summary = self.relay.forward(&request, route, &mut caller).await;
        (summary, caller.text)
    }
}

impl<T: TargetTransport> Host<T> {
    /// Lets the host reach the platform and the other hosts, and be reached by them.
    fn connect(&mut self, platform: &MemoryPlatform, probes: bool) {
        self.feed.cut(false);
        let (cluster, pools) = (&self.cluster, &self.relay.pools);
        let store = FailoverStore::<_, Cluster>::new(platform.clone());
        let server = cluster.serve(Arc::new(NoApplication), store);
        self.server = Some(server.expect("a free address"));
        self.tasks = vec![
            tokio::spawn(Arc::clone(cluster).follow_records(platform.clone())),
            tokio::spawn(Arc::clone(cluster).announce_streams()),
            tokio::spawn(Arc::clone(cluster).share_quarantine(platform.clone())),
            tokio::spawn(Arc::clone(&self.relay).verify_crashes()),
            tokio::spawn(Arc::clone(&self.relay).watch_links()),
            tokio::spawn(Arc::clone(cluster).share_links()),
            tokio::spawn(Arc::clone(cluster).share_rates()),
            tokio::spawn(Arc::clone(cluster).share_versions(platform.clone())),
            tokio::spawn(Arc::clone(cluster).inherit_versions()),
            tokio::spawn(Arc::clone(cluster).ask_about_streams(pools.streams.queries())),
        ];
        if probes {
            self.tasks.push(tokio::spawn(Arc::clone(cluster).run_probes()));
        }
    }

    /// Lets the host's feeder lose the platform, or reach it again.
    pub(crate) fn stand_still(&self, stands_still: bool) {
        self.feed.stand_still(stands_still);
    }

    /// Lets the host lose the list of targets, of which no other host tells it, or reach it again.
    pub(crate) fn lose_list(&self, lost: bool) {
        self.feed.cut(lost);
    }

    /// Cuts the host off from the platform and the other hosts, but not from callers and targets.
    fn cut_off(&mut self) {
        self.tasks.drain(..).for_each(|task| task.abort());
        self.server = None;
        self.feed.cut(true);
    }

    /// Reports the host's load to the others, by which targets are assigned to hosts.
    pub(crate) fn publish_load(&mut self) {
        self.tasks.push(tokio::spawn(Arc::clone(&self.cluster).publish_load()));
    }

    /// A caller of this host.
    pub(crate) fn caller(&self) -> CallerOf<T> {
        CallerOf { relay: Arc::clone(&self.relay) }
    }

    /// Sends a request to the targets; returns the text of the response.
    pub(crate) async fn forward(
        &self,
        request: Arc<Request>,
        route: &Route,
    ) -> (RequestSummary, String) {
        self.caller().forward(request, route).await
    }

    /// Address for the requests of other hosts.
    pub(crate) fn forward_address(&self) -> SocketAddr {
        self.cluster.local.forward_address()
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
pub(crate) struct Hosts<T> {
    /// The way to the targets, by host.
    transports: Vec<Arc<T>>,
    store: MemoryPlatform,
    addresses: Vec<SocketAddr>,
    lists: Lists,
    listed: Vec<TargetEntry>,
    starts: u64,
    /// Whether hosts probe each other.
    probes: bool,
    /// Whether hosts follow the list of targets at the platform, beside the updates of the test.
    follows: bool,
    hosts: Vec<Option<Host<T>>>,
}

impl<T: TargetTransport> Hosts<T> {
    /// Starts `count` hosts with these targets, and waits until each reaches all others.
    pub(crate) async fn start(transport: Arc<T>, count: usize, listed: Vec<TargetEntry>) -> Self {
        Self::start_each(vec![transport; count], listed).await
    }

    /// Starts a host for each of these ways to the targets.
    pub(crate) async fn start_each(transports: Vec<Arc<T>>, listed: Vec<TargetEntry>) -> Self {
        let mut hosts = Self::new(transports, listed);
        for index in 0..hosts.hosts.len() {
            hosts.start_host(index).await;
        }
        hosts.wait_until_connected().await;
        hosts
    }

    /// Starts hosts that answer each other but have not reached each other by probes.
    pub(crate) async fn start_unprobed(
        transport: Arc<T>,
        count: usize,
        listed: Vec<TargetEntry>,
    ) -> Self {
        let mut hosts = Self { probes: false, ..Self::new(vec![transport; count], listed) };
        for index in 0..count {
            hosts.start_host(index).await;
        }
        hosts.wait_until_connected().await;
        hosts
    }

    /// Starts hosts as [`start`](Self::start) does, which also follow the list at the platform.
    pub(crate) async fn start_following(
        transport: Arc<T>,
        count: usize,
        listed: Vec<TargetEntry>,
    ) -> Self {
        let mut hosts = Self { follows: true, ..Self::new(vec![transport; count], listed) };
        for index in 0..count {
            hosts.start_host(index).await;
        }
        hosts.wait_until_connected().await;
        hosts
    }

    fn new(transports: Vec<Arc<T>>, listed: Vec<TargetEntry>) -> Self {
        let count = transports.len();
        let addresses = (0..count).map(|_| free_address()).collect();
        let (store, hosts) = (MemoryPlatform::new(), (0..count).map(|_| None).collect());
        let lists = Lists::default();
        lists.set(&listed);
        let (probes, follows) = (true, false);
        Self { transports, store, addresses, lists, listed, starts: 0, probes, follows, hosts }
    }

    /// Starts a host that is gone, with nothing of what it knew.
    pub(crate) async fn start_host(&mut self, index: usize) {
        self.starts += 1;
        let zone: ZoneId = "near".parse().expect("data centre");
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
        let relay = Arc::new(Relay::new(pools, Arc::clone(&self.transports[index])));
        let feed = Feed::of(&self.lists);
        let pools = Arc::clone(&relay.pools);
        let follow = follow_targets(feed.clone(), TARGETS, lists::parse, pools);
        let follows = self.follows.then(|| tokio::spawn(follow));
        let mut host = Host { relay, cluster, feed, server: None, tasks: Vec::new(), follows };
        update(&host, &self.listed);
        host.connect(&self.store, self.probes);
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

    /// Changes the streams in each stored record of versions.
    pub(crate) async fn change_stored_streams(&self, change: impl Fn(&mut Vec<serde_json::Value>)) {
        let page = self.store.scan("streamversions/", "").await.expect("up");
        for (key, object) in page.objects {
            let mut record: serde_json::Value = serde_json::from_slice(&object.body).expect("JSON");
            if let Some(streams) = record.get_mut("streams").and_then(|field| field.as_array_mut())
            {
                change(streams);
            }
            let body = Bytes::from(serde_json::to_vec(&record).expect("encodable"));
            let updated = self.store.update(&key, body, object.revision).await;
            assert!(matches!(updated, Ok(Updated::Done(_))), "{updated:?}");
        }
    }

    /// Stops all hosts at once and starts them again.
    pub(crate) async fn restart_all(&mut self) {
        let all = 0..self.hosts.len();
        all.clone().for_each(|index| self.kill(index));
        for index in all {
            self.start_host(index).await;
        }
        self.wait_until_connected().await;
    }

    /// Stops a host without notice.
    pub(crate) fn kill(&mut self, index: usize) {
        self.hosts[index] = None;
    }

    /// Changes the targets at all hosts.
    pub(crate) fn list(&mut self, listed: Vec<TargetEntry>) {
        self.set_listed(listed);
        self.list_everywhere();
    }

    /// Brings the targets of all hosts up to date.
    pub(crate) fn list_everywhere(&self) {
        self.live().for_each(|host| {
            host.stand_still(false);
            update(host, &self.listed);
        });
    }

    /// Changes the targets that hosts learn of next, but at no host yet.
    pub(crate) fn set_listed(&mut self, listed: Vec<TargetEntry>) {
        self.lists.set(&listed);
        self.listed = listed;
    }

    /// The targets of the last change.
    pub(crate) fn listed(&self) -> &[TargetEntry] {
        &self.listed
    }

    pub(crate) fn live_indexes(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|index| self.hosts[*index].is_some()).collect()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Host<T>> {
        self.hosts.iter().flatten()
    }

    pub(crate) fn host(&self, index: usize) -> &Host<T> {
        self.hosts[index].as_ref().expect("a live host")
    }

    pub(crate) fn host_mut(&mut self, index: usize) -> &mut Host<T> {
        self.hosts[index].as_mut().expect("a live host")
    }

    /// Cuts a host off from the platform and the other hosts.
    pub(crate) fn cut_off(&mut self, index: usize) {
        self.host_mut(index).cut_off();
    }

    /// Ends the cut of a host.
    pub(crate) fn reconnect(&mut self, index: usize) {
        let (store, probes) = (self.store.clone(), self.probes);
        self.host_mut(index).connect(&store, probes);
    }

    /// Makes all live hosts report their load.
    pub(crate) fn publish_load(&mut self) {
        self.hosts.iter_mut().flatten().for_each(Host::publish_load);
    }

    /// A caller of a live host.
    pub(crate) fn caller(&self, index: usize) -> CallerOf<T> {
        self.host(index).caller()
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

/// Changes the targets at one host.
pub(crate) fn update<T: TargetTransport>(host: &Host<T>, listed: &[TargetEntry]) {
    let mut list = TargetList::default();
    listed.iter().cloned().for_each(|target| list.upsert(target));
    host.relay.pools.update_targets(&list);
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

/// The service of all targets.
pub(crate) fn service() -> ServiceId {
    "model".parse().expect("service")
}

/// A route of resumable streams with one attempt.
pub(crate) fn route() -> Route {
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
