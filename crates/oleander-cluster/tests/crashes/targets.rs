//! Targets that crash when they begin to write a response for a prompt with a bad part.

use std::{
    collections::HashMap,
    future::poll_fn,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::{PromptPart, TargetId, hash};
use oleander_host::clock;
use oleander_relay::{
    BodyError, ChannelSink, Dispatch, HostDispatch, HostResponse, Origin, Reach, Request,
    ResponseBody, ResponseChunks, ResponseHead, SendError, TargetEntry, TargetResponse,
    TargetTransport, response_channel,
};
use parking_lot::Mutex;
use tokio::{
    sync::{
        mpsc::{self, UnboundedReceiver, UnboundedSender},
        watch,
    },
    time::sleep,
};

/// Header that lists the parts of a prompt, the request's own part last.
pub(crate) const PARTS: &str = "x-parts";
/// Time before the first event of a stream, and between two of them.
const FIRST_EVENT: Duration = Duration::from_millis(40);
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a connection that hangs is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Events of a stream.
pub(crate) const EVENTS: u64 = 6;

/// A request that reached a target.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) at: Instant,
    pub(crate) is_bad: bool,
    /// Part of the request's own.
    pub(crate) own: Option<PromptPart>,
    pub(crate) request: String,
    pub(crate) target: TargetId,
    pub(crate) host: usize,
}

/// A crash of a target.
#[derive(Debug, Clone, Copy)]
struct Crash {
    at: Instant,
    /// Own part of the request that caused it.
    own: Option<PromptPart>,
}

/// How the links of a host to all targets fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Open streams and new connections hang.
    Silent,
    /// Open streams break off, and new connections are refused.
    Refused,
    /// Open streams break off, and new connections are reset.
    Reset,
    /// Open streams go on, and new connections are refused.
    NewRefused,
    /// As [`Cut::Refused`], at half of the targets.
    SomeRefused,
    /// As [`Cut::Silent`], at half of the targets.
    SomeSilent,
}

/// A request of another host.
pub(crate) struct HostCall {
    pub(crate) origin: Origin,
    pub(crate) request: Arc<Request>,
    pub(crate) sink: ChannelSink,
}

/// Targets that crash, with all their streams, when they start output for the bad part.
///
/// Clones are the same targets.
#[derive(Debug, Clone)]
pub(crate) struct CrashTargets {
    bad: &'static [PromptPart],
    running: Arc<Mutex<HashMap<TargetId, watch::Sender<bool>>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    crashes: Arc<Mutex<Vec<Crash>>>,
    /// The host that sends to the targets.
    host: usize,
    cuts: watch::Sender<HashMap<usize, Cut>>,
    /// The hosts to which others may send requests, by address.
    helpers: Arc<Mutex<HashMap<SocketAddr, UnboundedSender<HostCall>>>>,
}

impl CrashTargets {
    pub(crate) fn new(bad: &'static [PromptPart]) -> Self {
        Self {
            bad,
            running: Arc::default(),
            runs: Arc::default(),
            crashes: Arc::default(),
            host: 0,
            cuts: watch::Sender::new(HashMap::new()),
            helpers: Arc::default(),
        }
    }

    /// The same targets as a host reaches them.
    pub(crate) fn seen_by(&self, host: usize) -> Self {
        Self { host, ..self.clone() }
    }

    /// Lets other hosts send requests to the host at `address`; returns what receives them.
    pub(crate) fn add_helper(&self, address: SocketAddr) -> UnboundedReceiver<HostCall> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.helpers.lock().insert(address, sender);
        receiver
    }

    /// Ends a host for the requests of others, with those that it has.
    pub(crate) fn lose_helper(&self, address: SocketAddr) {
        self.helpers.lock().remove(&address);
    }

    /// Cuts a host off from all targets, or ends its cut.
    pub(crate) fn set_cut(&self, host: usize, cut: Option<Cut>) {
        self.cuts.send_modify(|cuts| match cut {
            Some(cut) => drop(cuts.insert(host, cut)),
            None => drop(cuts.remove(&host)),
        });
    }

    /// How the links of the host to a target fail.
    fn cut(&self, target: &TargetId) -> Option<Cut> {
        cut_at(&self.cuts.borrow(), self.host, target)
    }

    /// Starts a target.
    pub(crate) fn start(&self, target: &TargetId) {
        self.running.lock().insert(target.clone(), watch::Sender::new(true));
    }

    /// Ends a target with all its streams; returns whether it ran.
    pub(crate) fn end(&self, target: &TargetId) -> bool {
        let ended = self.running.lock().remove(target);
        ended.is_some_and(|running| running.send(false).is_ok() || running.is_closed())
    }

    fn crash(&self, target: &TargetId, own: Option<PromptPart>) {
        if self.end(target) {
            self.crashes.lock().push(Crash { at: Instant::now(), own });
        }
    }

    pub(crate) fn is_running(&self, target: &TargetId) -> bool {
        self.running.lock().contains_key(target)
    }

    /// When targets crashed, in order.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().iter().map(|crash| crash.at).collect()
    }

    /// When targets crashed under requests with this own part, in order.
    pub(crate) fn crashes_under(&self, own: PromptPart) -> Vec<Instant> {
        let crashes = self.crashes.lock();
        crashes.iter().filter(|crash| crash.own == Some(own)).map(|crash| crash.at).collect()
    }

    /// Requests that reached targets, in order.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }
}

fn cut_at(cuts: &HashMap<usize, Cut>, host: usize, target: &TargetId) -> Option<Cut> {
    let is_cut = hash::hash_parts(&[target.as_str()]).is_multiple_of(2);
    match cuts.get(&host).copied() {
        Some(Cut::SomeRefused) => is_cut.then_some(Cut::Refused),
        Some(Cut::SomeSilent) => is_cut.then_some(Cut::Silent),
        cut => cut,
    }
}

fn parts(request: &Request) -> Vec<PromptPart> {
    let text = request.headers.get(PARTS).and_then(|value| value.to_str().ok()).unwrap_or("");
    text.split(',').filter_map(|part| part.parse().ok()).collect()
}

impl TargetTransport for CrashTargets {
    type Body = CrashBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<CrashBody>, SendError> {
        let target = dispatch.target.id.clone();
        let running = self.running.lock().get(&target).map(watch::Sender::subscribe);
        match self.cut(&target) {
            Some(Cut::Silent | Cut::SomeSilent) => {
                sleep(CONNECT_TIMEOUT).await;
                return Err(SendError::NotSent("timed out".to_owned()));
            }
            Some(Cut::Reset) => return Err(SendError::NotSent("connection reset".to_owned())),
            Some(Cut::Refused | Cut::NewRefused | Cut::SomeRefused) => {
                return Err(SendError::Refused("connection refused".to_owned()));
            }
            None => {}
        }
        let Some(running) = running else {
            return Err(SendError::Refused("connection refused".to_owned()));
        };
        let parts = parts(&dispatch.request);
        let (own, is_bad) =
            (parts.last().copied(), parts.iter().any(|part| self.bad.contains(part)));
        let request = dispatch.request.id.clone();
        let at = Instant::now();
        let run = Run { at, is_bad, own, request, target: target.clone(), host: self.host };
        self.runs.lock().push(run);
        let next = dispatch.resume_after.unwrap_or(0) + 1;
        let body =
            TargetBody { targets: self.clone(), target, own, is_bad, running, next, sent: 0 };
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        Ok(TargetResponse::new(head, CrashBody::Target(body)))
    }

    async fn send_to_host(
        &self,
        dispatch: HostDispatch,
    ) -> Result<HostResponse<CrashBody>, SendError> {
        let HostDispatch { request, budget, resume_after, version, sent, address } = dispatch;
        let helper = self.helpers.lock().get(&address).cloned();
        let origin = Origin { is_forwarded: true, version, sent };
        let received = clock::steady();
        let request =
            Request { budget: Some(budget), resume_after, received, ..(*request).clone() };
        let (sink, head, chunks) = response_channel();
        let call = HostCall { origin, request: Arc::new(request), sink };
        if helper.is_none_or(|helper| helper.send(call).is_err()) {
            return Err(SendError::NotSent("connection refused".to_owned()));
        }
        match head.await {
            Ok(Ok(head)) => {
                let body = CrashBody::Host(chunks);
                let response = TargetResponse::new(head, body);
                Ok(HostResponse::Target(response))
            }
            Ok(Err(refusal)) => Ok(HostResponse::Refused(refusal)),
            Err(_) => Err(SendError::NoResponse("the host has ended".to_owned())),
        }
    }

    fn shared_parts(&self, request: &Request) -> Vec<PromptPart> {
        let mut parts = parts(request);
        parts.pop();
        parts
    }

    async fn connect(&self, target: &TargetEntry) -> Reach {
        match self.cut(&target.id) {
            Some(Cut::Refused | Cut::NewRefused | Cut::SomeRefused) => Reach::Refused,
            Some(Cut::Silent | Cut::SomeSilent | Cut::Reset) => Reach::Failed,
            None if self.is_running(&target.id) => Reach::Accepted,
            None => Reach::Refused,
        }
    }
}

/// The body of a response.
#[derive(Debug)]
pub(crate) enum CrashBody {
    Target(TargetBody),
    Host(ResponseChunks),
}

impl ResponseBody for CrashBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self {
            Self::Target(body) => body.next_chunk().await,
            Self::Host(chunks) => {
                let chunk = poll_fn(|context| chunks.poll_recv(context)).await;
                chunk.map(|chunk| chunk.map_err(|_| BodyError("broken off".to_owned())))
            }
        }
    }
}

#[derive(Debug)]
pub(crate) struct TargetBody {
    targets: CrashTargets,
    target: TargetId,
    own: Option<PromptPart>,
    is_bad: bool,
    running: watch::Receiver<bool>,
    next: u64,
    sent: u64,
}

impl TargetBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.next > EVENTS {
            return None;
        }
        let pause = if self.sent == 0 { FIRST_EVENT } else { EVENT_INTERVAL };
        let (mut cuts, host) = (self.targets.cuts.subscribe(), self.targets.host);
        let ended =
            |cuts: &HashMap<usize, Cut>| matches!(cuts.get(&host), Some(Cut::Refused | Cut::Reset));
        tokio::select! {
            () = sleep(pause) => {}
            _ = self.running.wait_for(|running| !running) => {
                return Some(Err(BodyError("end of file".to_owned())));
            }
            _ = cuts.wait_for(ended) => return Some(Err(BodyError("reset".to_owned()))),
        }
        // A silent cut holds what the target sends until its end.
        let _ = cuts.wait_for(|cuts| cut_at(cuts, host, &self.target) != Some(Cut::Silent)).await;
        if self.is_bad {
            self.targets.crash(&self.target, self.own);
            return Some(Err(BodyError("end of file".to_owned())));
        }
        let event = format!("id: {0}\ndata: {0}\n\n", self.next);
        self.next += 1;
        self.sent += 1;
        Some(Ok(Bytes::from(event)))
    }
}
