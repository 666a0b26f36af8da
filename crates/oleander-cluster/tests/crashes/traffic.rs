//! Callers of several hosts, and an operator that starts a new target for each that has ended.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use oleander_core::{PromptPart, Span};
use oleander_relay::{
    Refusal, RefusalReason, Relay, Request, RequestSummary, RetryPolicy, Route, RouteKind,
    TargetEntry,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::{Semaphore, SemaphorePermit, mpsc::UnboundedReceiver},
    task::JoinSet,
    time::sleep,
};

use crate::{
    support::{CallerOf, Hosts, beginning, route, targets},
    targets::{CrashTargets, EVENTS, HostCall, PARTS},
};

/// The part that crashes targets.
pub(crate) const BAD: PromptPart = PromptPart(0xbad);
/// Own part of a request without other parts, whose response is no stream, that crashes targets.
pub(crate) const BAD_SINGLE: PromptPart = PromptPart(0xbad1);
const ALL_BAD: &[PromptPart] = &[BAD, BAD_SINGLE];
/// First part of most requests.
pub(crate) const FIRST: u64 = 0xa;
/// First part of the others.
const OTHER_FIRST: u64 = 0xc;
/// Time from one arrival to the next.
const ARRIVAL: Duration = Duration::from_millis(15);
/// Parts that a few sound requests share.
const SESSIONS: u64 = 30;
/// Time after which a new target is listed for one that has ended.
const RESTART: Duration = Duration::from_millis(700);
/// Pause between two looks of the operator.
const LOOK: Duration = Duration::from_millis(50);
const SLOTS: u32 = 8;

/// A request and what its caller got.
#[derive(Debug, Clone)]
pub(crate) struct Served {
    pub(crate) at: Instant,
    /// The host that got it.
    pub(crate) host: usize,
    pub(crate) took: Duration,
    pub(crate) is_bad: bool,
    pub(crate) is_repeat: bool,
    pub(crate) is_whole: bool,
    pub(crate) summary: RequestSummary,
}

/// Limits the fleets that run at once, so that tests in parallel don't slow each other down.
static FLEETS: Semaphore = Semaphore::const_new(3);

/// Hosts, their targets, and requests at all of them.
pub(crate) struct Fleet {
    _permit: SemaphorePermit<'static>,
    pub(crate) hosts: Hosts<CrashTargets>,
    pub(crate) crashing: CrashTargets,
    pub(crate) random: SmallRng,
    sent: u64,
    started: u16,
}

impl Fleet {
    pub(crate) async fn start(seed: u64, hosts: usize, count: usize) -> Self {
        Self::start_with(seed, count, |transport, listed| {
            let seen_by = |host| Arc::new(transport.seen_by(host));
            Hosts::start_each((0..hosts).map(seen_by).collect(), listed)
        })
        .await
    }

    /// Starts hosts that have not reached each other by probes.
    pub(crate) async fn start_unprobed(seed: u64, hosts: usize, count: usize) -> Self {
        Self::start_with(seed, count, |transport, listed| {
            Hosts::start_unprobed(transport, hosts, listed)
        })
        .await
    }

    async fn start_with<F>(
        seed: u64,
        count: usize,
        start: impl FnOnce(Arc<CrashTargets>, Vec<TargetEntry>) -> F,
    ) -> Self
    where
        F: Future<Output = Hosts<CrashTargets>>,
    {
        let permit = FLEETS.acquire().await.expect("never closed");
        let crashing = CrashTargets::new(ALL_BAD);
        let listed: Vec<TargetEntry> = targets(&vec!["v1"; count], Span::from_secs(60))
            .into_iter()
            .map(|target| TargetEntry { slots: SLOTS, ..target })
            .collect();
        listed.iter().for_each(|target| crashing.start(&target.id));
        let transport = Arc::new(crashing.clone());
        let hosts = start(transport, listed).await;
        for host in hosts.live() {
            let calls = crashing.add_helper(host.forward_address());
            tokio::spawn(help(calls, Arc::downgrade(&host.relay)));
        }
        let random = SmallRng::seed_from_u64(seed);
        Self { _permit: permit, hosts, crashing, random, sent: 0, started: count as u16 }
    }

    /// Ends half of the targets at one moment.
    pub(crate) fn end_half(&mut self) {
        let listed = self.hosts.listed().to_vec();
        for target in listed.iter().step_by(2) {
            self.crashing.end(&target.id);
        }
    }

    /// Sends the same request, whose own part is `own`, at these hosts at one moment; each caller
    /// repeats it once. Returns what the callers got, after `time` with other requests.
    pub(crate) async fn send_copies(
        &mut self,
        own: u64,
        hosts: &[usize],
        time: Duration,
    ) -> Vec<Served> {
        let mut copies = JoinSet::new();
        for host in hosts {
            copies.spawn(self.copy(own, *host));
        }
        self.run(time, 0).await;
        copies.join_all().await.into_iter().flatten().collect()
    }

    /// The request whose own part is `own`, at one target of a host.
    pub(crate) fn send_once(&mut self, own: u64, host: usize) -> impl Future<Output = ()> + use<> {
        self.sent += 1;
        let (id, parts) = (format!("once-{}", self.sent), format!("{FIRST:x},{own:x}"));
        let caller = self.hosts.caller(host);
        async move {
            let route = Route { max_attempts: 1, ..resumable() };
            caller.forward(request(&id, &parts), &route).await;
        }
    }

    /// The request whose own part is `own`, on a route of requests that must not run twice.
    pub(crate) fn send_never(
        &mut self,
        own: u64,
        host: usize,
    ) -> impl Future<Output = RequestSummary> + use<> {
        self.sent += 1;
        let (id, parts) = (format!("never-{}", self.sent), format!("{FIRST:x},{own:x}"));
        let caller = self.hosts.caller(host);
        let timeout = Span::from_millis(1_500);
        async move {
            let route = Route { retry: RetryPolicy::Never, timeout, ..resumable() };
            caller.forward(request(&id, &parts), &route).await.0
        }
    }

    /// The request whose own part is `own`, at a host and, if its response is lost, at the next.
    pub(crate) fn copy(
        &mut self,
        own: u64,
        host: usize,
    ) -> impl Future<Output = Vec<Served>> + use<> {
        self.sent += 1;
        let id = format!("copy-{}", self.sent);
        let is_single = own == BAD_SINGLE.0;
        let parts = if is_single { format!("{own:x}") } else { format!("{FIRST:x},{own:x}") };
        let route = if is_single { single() } else { resumable() };
        let repeat = (host + 1) % self.hosts.live_indexes().len();
        let callers = [host, repeat].map(|host| (host, self.hosts.caller(host)));
        call(callers, route, id, parts, ALL_BAD.contains(&PromptPart(own)))
    }

    /// Sends bad requests at all hosts, one after the other; returns how many were sent to targets.
    pub(crate) async fn send_bad(&mut self, count: usize) -> usize {
        let before = self.crashing.runs().len();
        for _ in 0..count {
            let mut requests = JoinSet::new();
            let parts = self.parts(true);
            self.send(&mut requests, parts, true);
            requests.join_all().await;
        }
        self.crashing.runs().len() - before
    }

    /// Sends requests for a time, of which a share in per mille has the bad part.
    pub(crate) async fn run(&mut self, time: Duration, bad_per_mille: u32) -> Vec<Served> {
        let end = Instant::now() + time;
        let mut requests = JoinSet::new();
        let mut looked = Instant::now();
        while Instant::now() < end {
            let is_bad = self.random.random_ratio(bad_per_mille, 1_000);
            let parts = self.parts(is_bad);
            self.send(&mut requests, parts, is_bad);
            sleep(ARRIVAL).await;
            if looked.elapsed() >= LOOK {
                looked = Instant::now();
                self.replace_ended();
            }
        }
        let mut served: Vec<Served> = requests.join_all().await.into_iter().flatten().collect();
        served.sort_by_key(|one| one.at);
        served
    }

    /// The parts of a new request.
    fn parts(&mut self, is_bad: bool) -> String {
        let first = if self.random.random_ratio(1, 5) { OTHER_FIRST } else { FIRST };
        let second = if is_bad { BAD.0 } else { 0x100 + self.random.random_range(0..SESSIONS) };
        format!("{first:x},{second:x},{:x}", 0x1_0000 + self.sent)
    }

    fn send(&mut self, requests: &mut JoinSet<Vec<Served>>, parts: String, is_bad: bool) {
        self.sent += 1;
        let live = self.hosts.live_indexes();
        let mut at = || live[self.random.random_range(0..live.len())];
        let callers = [at(), at()].map(|host| (host, self.hosts.caller(host)));
        requests.spawn(call(callers, resumable(), format!("r-{}", self.sent), parts, is_bad));
    }

    /// Lists a new target at all hosts for each that has ended a while ago.
    fn replace_ended(&mut self) {
        let now = Instant::now();
        let ready = self.crashing.crashes().iter().filter(|at| now - **at >= RESTART).count();
        let mut listed = self.hosts.listed().to_vec();
        let mut ended: Vec<usize> = (0..listed.len())
            .filter(|index| !self.crashing.is_running(&listed[*index].id))
            .collect();
        let crashes = self.crashing.crashes().len();
        ended.truncate(ended.len().saturating_sub(crashes - ready.min(crashes)));
        if ended.is_empty() {
            return;
        }
        for index in ended {
            self.started += 1;
            let id = format!("engine-{}-v1", self.started).parse().expect("target");
            listed[index] = TargetEntry { id, ..listed[index].clone() };
            self.crashing.start(&listed[index].id);
        }
        self.hosts.list(listed);
    }
}

/// Serves the requests of other hosts while the host exists.
async fn help(mut calls: UnboundedReceiver<HostCall>, relay: Weak<Relay<CrashTargets>>) {
    while let (Some(call), Some(relay)) = (calls.recv().await, relay.upgrade()) {
        let HostCall { origin, request, mut sink } = call;
        tokio::spawn(async move {
            let summary = relay.forward_for_host(origin, &request, &resumable(), &mut sink).await;
            match summary.refusal {
                Some(refusal) => sink.refuse(refusal).await,
                None if summary.interrupted => {
                    sink.refuse(Refusal::new(RefusalReason::ResponseLost)).await;
                }
                None => sink.finish(),
            }
        });
    }
}

/// Sends a request at the first host and, if its response is lost, again at the second.
async fn call(
    callers: [(usize, CallerOf<CrashTargets>); 2],
    route: Route,
    id: String,
    parts: String,
    is_bad: bool,
) -> Vec<Served> {
    let mut served = Vec::new();
    for ((host, caller), id) in callers.into_iter().zip([id.clone(), format!("{id}-again")]) {
        let at = Instant::now();
        let (summary, text) = caller.forward(request(&id, &parts), &route).await;
        let is_whole = text.matches("data:").count() as u64 == EVENTS;
        let is_lost = summary.interrupted
            || summary.refusal.is_some_and(|one| one.reason == RefusalReason::ResponseLost);
        let is_repeat = !served.is_empty();
        served.push(Served { at, host, took: at.elapsed(), is_bad, is_repeat, is_whole, summary });
        if !is_lost {
            break;
        }
    }
    served
}

fn request(id: &str, parts: &str) -> Arc<Request> {
    let mut request = Request::clone(&beginning(id));
    request.headers.insert(PARTS, parts.parse().expect("header value"));
    request.body = parts.to_owned().into();
    Arc::new(request)
}

/// A route of streams that go on at a second target.
fn resumable() -> Route {
    Route { retry: RetryPolicy::Resume, max_attempts: 2, ..route() }
}

/// A route of single responses, which may run again from the start.
fn single() -> Route {
    Route { kind: RouteKind::Single, retry: RetryPolicy::Always, max_attempts: 2, ..route() }
}
