//! Forwarding through targets whose responses are scripted.
//!
//! A stream that a first target interrupts has sent its head and some events to the caller. What
//! the next target responds must then either continue the stream or abort it: an error body that
//! follows the events, or an end without the last events, would reach the caller as a complete
//! response.

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
    BodyError, Dispatch, Pools, Relay, Request, RequestSummary, ResponseBody, ResponseHead,
    ResponseSink, RetryPolicy, Route, RouteKind, SendError, SinkClosed, TargetEntry, TargetList,
    TargetResponse, TargetTransport, TrafficShare, batch_pick,
};
use parking_lot::Mutex;

/// Time between two bytes of a body that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(30);

/// What a target does with one request.
#[derive(Debug, Clone)]
enum Step {
    /// It responds with this status and these chunks, and then ends or breaks the body.
    Respond { status: u16, chunks: Vec<&'static str>, broken: bool },
    /// It responds with these chunks, and then with a byte now and then that completes no event.
    Drip(Vec<&'static str>),
    /// It states that it has not run the request.
    NotRun,
}

impl Step {
    fn broken(chunks: &[&'static str]) -> Self {
        Self::Respond { status: 200, chunks: chunks.to_vec(), broken: true }
    }

    fn complete(chunks: &[&'static str]) -> Self {
        Self::Respond { status: 200, chunks: chunks.to_vec(), broken: false }
    }

    fn error(status: u16, body: &'static str) -> Self {
        Self::Respond { status, chunks: vec![body], broken: false }
    }
}

/// Targets that take one step for each request, in the order in which these arrive.
#[derive(Debug, Default)]
struct Script {
    steps: Mutex<VecDeque<Step>>,
    dispatches: Mutex<Vec<Dispatch>>,
}

#[derive(Debug)]
struct ScriptBody {
    chunks: VecDeque<&'static str>,
    end: BodyEnd,
}

/// What follows the chunks of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Complete,
    Broken,
    Drip,
}

impl ResponseBody for ScriptBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self.chunks.pop_front() {
            Some(chunk) => Some(Ok(Bytes::from_static(chunk.as_bytes()))),
            None => match self.end {
                BodyEnd::Complete => None,
                BodyEnd::Broken => Some(Err(BodyError("connection reset".to_owned()))),
                BodyEnd::Drip => {
                    tokio::time::sleep(DRIP_INTERVAL).await;
                    Some(Ok(Bytes::from_static(b"x")))
                }
            },
        }
    }
}

impl TargetTransport for Script {
    type Body = ScriptBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<ScriptBody>, SendError> {
        self.dispatches.lock().push(dispatch);
        let step = self.steps.lock().pop_front().expect("a step for each request");
        let not_run = matches!(step, Step::NotRun);
        let (status, chunks, end) = match step {
            Step::Respond { status, chunks, broken: false } => (status, chunks, BodyEnd::Complete),
            Step::Respond { status, chunks, broken: true } => (status, chunks, BodyEnd::Broken),
            Step::Drip(chunks) => (200, chunks, BodyEnd::Drip),
            Step::NotRun => (503, Vec::new(), BodyEnd::Complete),
        };
        let status = StatusCode::from_u16(status).expect("status");
        let head = ResponseHead { status, headers: HeaderMap::new() };
        let body = ScriptBody { chunks: chunks.into(), end };
        Ok(TargetResponse { head, not_run, load: None, body })
    }
}

/// What reaches the caller.
#[derive(Debug, Default)]
struct Caller {
    status: Option<StatusCode>,
    text: String,
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

fn service() -> ServiceId {
    "model".parse().expect("service")
}

fn route(retry: RetryPolicy, max_attempts: u32) -> Route {
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

fn request() -> Arc<Request> {
    Arc::new(Request {
        id: "request-1".to_owned(),
        host: "a.example".to_owned(),
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        budget: None,
        resume_after: None,
        received: clock::steady(),
    })
}

fn target(number: u16) -> TargetEntry {
    TargetEntry {
        id: format!("engine-{number}").parse().expect("target"),
        service: service(),
        address: ([127, 0, 0, 1], number).into(),
        zone: "junin".parse().expect("data centre"),
        slots: 8,
        leaving: false,
        started_at: None,
    }
}

/// Pools of one host with `count` targets.
fn pools(count: u16) -> Pools {
    let (host, zone) = ("entry-1".parse().expect("host"), "junin".parse().expect("data centre"));
    let (pools, _yields) = Pools::new(host, zone, 7);
    let mut list = TargetList::default();
    (1..=count).for_each(|number| list.upsert(target(number)));
    pools.update_targets(&list);
    pools
}

/// Sends one request on `route` to two targets that take `steps`.
async fn forward(route: Route, steps: Vec<Step>) -> (RequestSummary, Caller, Vec<Dispatch>) {
    let pools = pools(2);
    let script = Arc::new(Script { steps: Mutex::new(steps.into()), ..Script::default() });
    let relay = Relay::new(Arc::new(pools), Arc::clone(&script));
    let mut caller = Caller::default();
    let summary = relay.forward(&request(), &route, &mut caller).await;
    let dispatches = script.dispatches.lock().clone();
    (summary, caller, dispatches)
}

const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";

#[tokio::test]
async fn an_interrupted_stream_continues_at_another_target() {
    let steps = vec![Step::broken(&[FIRST, "id: 2\nda"]), Step::complete(&[SECOND])];
    let (summary, caller, dispatches) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(!summary.interrupted && summary.refusal.is_none(), "{summary:?}");
    assert_eq!(caller.text, format!("{FIRST}{SECOND}"));
    assert_eq!(dispatches[1].resume_after, Some(1));
    assert_ne!(dispatches[0].target.id, dispatches[1].target.id);
}

/// Guards against a target that holds a stream by a byte now and then: only complete events count as
/// progress.
#[tokio::test]
async fn a_stream_that_drips_without_events_continues_at_another_target() {
    let steps = vec![Step::Drip(vec![FIRST]), Step::complete(&[SECOND])];
    let started = Instant::now();
    let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(!summary.interrupted, "{summary:?}");
    assert_eq!(caller.text, format!("{FIRST}{SECOND}"));
    assert!(started.elapsed() < Duration::from_secs(1), "after {:?}", started.elapsed());
}

/// Without the check, the caller received the first event, then the error body, and the end of a
/// complete response.
#[tokio::test]
async fn an_error_after_the_first_events_aborts_the_stream() {
    for status in [500, 504, 422] {
        let steps = vec![Step::broken(&[FIRST]), Step::error(status, "failed")];
        let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
        assert!(summary.interrupted, "{status}: {summary:?}");
        assert_eq!((caller.status, caller.text.as_str()), (Some(StatusCode::OK), FIRST));
    }
}

#[tokio::test]
async fn a_refusal_after_the_first_events_aborts_the_stream() {
    let steps = vec![Step::broken(&[FIRST]), Step::NotRun, Step::NotRun];
    let (summary, caller, _) = forward(route(RetryPolicy::Resume, 2), steps).await;
    assert!(summary.interrupted, "{summary:?}");
    assert_eq!(caller.text, FIRST);
}

#[tokio::test]
async fn an_error_before_any_event_is_forwarded() {
    let steps = vec![Step::error(500, "failed")];
    let (summary, caller, _) = forward(route(RetryPolicy::Never, 1), steps).await;
    assert!(!summary.interrupted && summary.refusal.is_none(), "{summary:?}");
    assert_eq!(caller.status, Some(StatusCode::INTERNAL_SERVER_ERROR));
    assert_eq!(caller.text, "failed");
}

/// With one of eight slots kept free for online requests, an eighth of the fleet stood idle between
/// bursts while items waited.
#[tokio::test]
async fn batch_items_take_every_slot_of_an_idle_target() {
    let pool = pools(1).get(&service()).expect("pool");
    let mut leases = Vec::new();
    let end = Instant::now() + Duration::from_secs(5);
    while leases.len() < 8 && Instant::now() < end {
        leases.extend(pool.try_acquire_batch(&batch_pick(Vec::new(), false)));
        // Starts at one target are spread out.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(leases.len(), 8);
}
