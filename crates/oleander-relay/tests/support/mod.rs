//! Targets whose responses are scripted, and the caller that receives what the relay forwards.

#![allow(dead_code, unreachable_pub)]

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use oleander_core::{ServiceId, Span};
use oleander_host::clock;
use oleander_relay::{
    BodyError, Dispatch, Origin, Pools, Relay, Request, RequestSummary, ResponseBody, ResponseHead,
    ResponseSink, RetryPolicy, Route, RouteKind, SendError, SinkClosed, TargetEntry, TargetList,
    TargetResponse, TargetTransport, TrafficShare,
};
use parking_lot::Mutex;

/// Time between two bytes of a body that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(30);

/// The first and the second event of a stream.
pub const FIRST: &str = "id: 1\ndata: a\n\n";
pub const SECOND: &str = "id: 2\ndata: b\n\n";
pub const THIRD: &str = "id: 3\ndata: c\n\n";

/// What a target does with one request.
#[derive(Debug, Clone)]
pub struct Step {
    /// Time before its response head.
    pub delay: Duration,
    pub status: u16,
    /// Whether it states that it has not run the request.
    pub not_run: bool,
    /// Whether it states that it is about to stop.
    pub is_leaving: bool,
    pub body: Vec<Part>,
    pub end: BodyEnd,
}

/// A part of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    Chunk(&'static str),
    /// No bytes for this time.
    Silence(Duration),
}

/// What follows the parts of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    Complete,
    Broken,
    /// The end of the connection, without a length or chunks that tell the end of the body.
    Closed,
    /// A byte now and then that completes no event.
    Drip,
    /// Nothing.
    Silent,
}

impl Step {
    fn respond(status: u16, chunks: &[&'static str], end: BodyEnd) -> Self {
        let body = chunks.iter().copied().map(Part::Chunk).collect();
        Self { delay: Duration::ZERO, status, not_run: false, is_leaving: false, body, end }
    }

    pub fn broken(chunks: &[&'static str]) -> Self {
        Self::respond(200, chunks, BodyEnd::Broken)
    }

    /// Sends these chunks and closes the connection, which alone tells the end of the body.
    pub fn closed(chunks: &[&'static str]) -> Self {
        Self::respond(200, chunks, BodyEnd::Closed)
    }

    pub fn complete(chunks: &[&'static str]) -> Self {
        Self::respond(200, chunks, BodyEnd::Complete)
    }

    pub fn drip(chunks: &[&'static str]) -> Self {
        Self::respond(200, chunks, BodyEnd::Drip)
    }

    /// Sends these chunks and then nothing, with the connection open.
    pub fn silent(chunks: &[&'static str]) -> Self {
        Self::respond(200, chunks, BodyEnd::Silent)
    }

    pub fn error(status: u16, body: &'static str) -> Self {
        Self::respond(status, &[body], BodyEnd::Complete)
    }

    pub fn not_run() -> Self {
        Self { not_run: true, ..Self::respond(503, &[], BodyEnd::Complete) }
    }

    /// Sends `before`, is silent for `pause`, and then sends `after` and ends.
    pub fn pause(before: &[&'static str], pause: Duration, after: &[&'static str]) -> Self {
        let mut step = Self::complete(before);
        step.body.push(Part::Silence(pause));
        step.body.extend(after.iter().copied().map(Part::Chunk));
        step
    }

    /// States that the target is about to stop.
    pub const fn leaving(mut self) -> Self {
        self.is_leaving = true;
        self
    }

    /// Delays the response head.
    pub const fn delayed(mut self, delay: Duration) -> Self {
        self.delay = delay;
        self
    }
}

/// Targets that take one step for each request, in the order in which these arrive.
#[derive(Debug, Default)]
pub struct Script {
    pub steps: Mutex<VecDeque<Step>>,
    pub dispatches: Mutex<Vec<Dispatch>>,
    /// When each request was sent, and when its connection was closed or its response ended.
    pub sent: Mutex<Vec<Instant>>,
    pub closed: Arc<Mutex<Vec<Option<Instant>>>>,
}

impl Script {
    pub fn new(steps: Vec<Step>) -> Arc<Self> {
        Arc::new(Self { steps: Mutex::new(steps.into()), ..Self::default() })
    }

    /// Time for which the targets of two requests worked at once.
    pub fn overlap(&self, first: usize, second: usize) -> Duration {
        let closed = self.closed.lock()[first].unwrap_or_else(Instant::now);
        closed.saturating_duration_since(self.sent.lock()[second])
    }
}

/// Records when a request ends at its target.
#[derive(Debug)]
struct OpenRequest {
    index: usize,
    closed: Arc<Mutex<Vec<Option<Instant>>>>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.closed.lock()[self.index] = Some(Instant::now());
    }
}

#[derive(Debug)]
pub struct ScriptBody {
    parts: VecDeque<Part>,
    end: BodyEnd,
    open: Option<OpenRequest>,
}

impl ResponseBody for ScriptBody {
    fn is_framed(&self) -> bool {
        self.end != BodyEnd::Closed
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.parts.front().copied() {
                Some(Part::Chunk(chunk)) => {
                    self.parts.pop_front();
                    return Some(Ok(Bytes::from_static(chunk.as_bytes())));
                }
                Some(Part::Silence(pause)) => {
                    // The relay may stop waiting for this chunk and wait for it again.
                    let end = Instant::now() + pause;
                    self.parts[0] = Part::Silence(Duration::ZERO);
                    let rest = Rest { parts: &mut self.parts, end };
                    tokio::time::sleep_until(end.into()).await;
                    drop(rest);
                }
                None => break,
            }
        }
        match self.end {
            BodyEnd::Complete | BodyEnd::Closed => {
                self.open = None;
                None
            }
            BodyEnd::Broken => Some(Err(BodyError("connection reset".to_owned()))),
            BodyEnd::Drip => {
                tokio::time::sleep(DRIP_INTERVAL).await;
                Some(Ok(Bytes::from_static(b"x")))
            }
            BodyEnd::Silent => std::future::pending().await,
        }
    }
}

/// Keeps the rest of a silence when the wait for it is dropped.
struct Rest<'a> {
    parts: &'a mut VecDeque<Part>,
    end: Instant,
}

impl Drop for Rest<'_> {
    fn drop(&mut self) {
        let rest = self.end.saturating_duration_since(Instant::now());
        if rest.is_zero() {
            self.parts.pop_front();
        } else {
            self.parts[0] = Part::Silence(rest);
        }
    }
}

impl TargetTransport for Script {
    type Body = ScriptBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<ScriptBody>, SendError> {
        self.dispatches.lock().push(dispatch);
        self.sent.lock().push(Instant::now());
        let index = self.sent.lock().len() - 1;
        self.closed.lock().push(None);
        let open = OpenRequest { index, closed: Arc::clone(&self.closed) };
        let step = self.steps.lock().pop_front().expect("a step for each request");
        tokio::time::sleep(step.delay).await;
        let status = StatusCode::from_u16(step.status).expect("status");
        let head = ResponseHead { status, headers: HeaderMap::new() };
        let body = ScriptBody { parts: step.body.into(), end: step.end, open: Some(open) };
        Ok(TargetResponse {
            head,
            not_run: step.not_run,
            load: None,
            rate_limit: None,
            is_leaving: step.is_leaving,
            body,
        })
    }
}

/// What reaches the caller.
#[derive(Debug, Default)]
pub struct Caller {
    pub status: Option<StatusCode>,
    pub text: String,
}

impl ResponseSink for Caller {
    fn head(&mut self, head: ResponseHead) {
        self.status.get_or_insert(head.status);
    }

    async fn chunk(&mut self, bytes: Bytes) -> Result<(), SinkClosed> {
        self.text.push_str(std::str::from_utf8(&bytes).expect("text"));
        Ok(())
    }

    async fn closed(&self) {
        std::future::pending::<()>().await;
    }
}

pub fn service() -> ServiceId {
    "model".parse().expect("service")
}

pub fn route(retry: RetryPolicy, max_attempts: u32) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream,
        retry,
        timeout: Span::from_secs(5),
        latency_goal: Span::from_millis(300),
        max_pause: Span::from_millis(200),
        caller_timeout: None,
        priority: 0,
        max_attempts,
        shares: vec![TrafficShare { service: service(), weight: 1 }],
    }
}

pub fn request() -> Arc<Request> {
    Arc::new(Request {
        id: "request-1".to_owned(),
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

pub fn target(number: u16) -> TargetEntry {
    TargetEntry {
        id: format!("engine-{number}").parse().expect("target"),
        service: service(),
        address: ([127, 0, 0, 1], number).into(),
        zone: "junin".parse().expect("data centre"),
        version: "v1".parse().expect("version"),
        slots: 8,
        leaving: false,
        started_at: None,
    }
}

/// A target with a version of its own.
pub fn target_of(number: u16, version: &str) -> TargetEntry {
    TargetEntry { version: version.parse().expect("version"), ..target(number) }
}

/// A request by which a caller resumes the stream that its attempt `first` began.
pub fn resuming(first: &str) -> Arc<Request> {
    let mut request = Request::clone(&request());
    request.id = "request-2".to_owned();
    request.resume_after = Some(1);
    request.resumes = Some(first.to_owned());
    Arc::new(request)
}

/// Pools of one host with these targets.
pub fn pools_of(targets: Vec<TargetEntry>) -> Arc<Pools> {
    let (host, zone) = ("entry-1".parse().expect("host"), "junin".parse().expect("data centre"));
    let (pools, _yields) = Pools::new(host, zone, 7);
    let mut list = TargetList::default();
    targets.into_iter().for_each(|target| list.upsert(target));
    pools.update_targets(&list);
    Arc::new(pools)
}

/// Pools of one host with `count` targets.
pub fn pools(count: u16) -> Arc<Pools> {
    pools_of((1..=count).map(target).collect())
}

/// What became of one request.
pub struct Forwarded {
    pub summary: RequestSummary,
    pub caller: Caller,
    pub script: Arc<Script>,
}

/// Sends one request on `route` to targets of `pools` that take `steps`.
pub async fn forward_to(pools: Arc<Pools>, route: Route, steps: Vec<Step>) -> Forwarded {
    forward_request(pools, request(), route, steps).await
}

/// Sends `request` on `route` to targets of `pools` that take `steps`.
pub async fn forward_request(
    pools: Arc<Pools>,
    request: Arc<Request>,
    route: Route,
    steps: Vec<Step>,
) -> Forwarded {
    let script = Script::new(steps);
    let relay = Relay::new(pools, Arc::clone(&script));
    let mut caller = Caller::default();
    let summary = relay.forward(&request, &route, &mut caller).await;
    Forwarded { summary, caller, script }
}

/// Sends one request of another host's caller on `route` to the targets of `pools`.
pub async fn forward_for_host(
    pools: Arc<Pools>,
    request: Arc<Request>,
    route: Route,
    steps: Vec<Step>,
) -> Forwarded {
    let script = Script::new(steps);
    let relay = Relay::new(pools, Arc::clone(&script));
    let mut caller = Caller::default();
    let origin = Origin { is_forwarded: true, ..Origin::default() };
    let summary = relay.forward_for_host(origin, &request, &route, &mut caller).await;
    Forwarded { summary, caller, script }
}

/// Sends one request on `route` to two targets that take `steps`.
pub async fn forward(route: Route, steps: Vec<Step>) -> (RequestSummary, Caller, Vec<Dispatch>) {
    let Forwarded { summary, caller, script } = forward_to(pools(2), route, steps).await;
    let dispatches = script.dispatches.lock().clone();
    (summary, caller, dispatches)
}
