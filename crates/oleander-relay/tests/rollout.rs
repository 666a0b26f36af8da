//! Streams while the versions of a service's targets change.
//!
//! The targets' events tell their version, so that the text of a caller shows each mixture.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::Span;
use oleander_relay::{
    BodyError, Dispatch, Pools, Relay, Request, RequestSummary, ResponseBody, ResponseHead,
    RetryPolicy, Route, SendError, TargetEntry, TargetList, TargetResponse, TargetTransport,
};
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::support::{Caller, pools_of, request, resuming, route, target_of};

/// Events of each stream.
const EVENTS: u64 = 6;
/// Last event before a stream is interrupted.
const LAST_BEFORE: u64 = 2;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which a new version begins no streams beside another one.
const NEW_VERSION: Duration = Duration::from_secs(2);

/// Targets of five versions, two of each.
const FIVE_VERSIONS: [(u16, &str); 10] = [
    (1, "v1"),
    (2, "v2"),
    (3, "v3"),
    (4, "v4"),
    (5, "v5"),
    (6, "v1"),
    (7, "v5"),
    (8, "v4"),
    (9, "v3"),
    (10, "v2"),
];

/// What the first target of a stream does after [`LAST_BEFORE`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Middle {
    GoesOn,
    Breaks,
    FallsSilent,
    /// Sends nothing at all.
    NeverBegins,
}

/// Targets that write streams whose events tell their version.
struct VersionTargets {
    middle: Mutex<Middle>,
    sent: Mutex<Vec<String>>,
}

struct VersionBody {
    version: String,
    next: u64,
    middle: Middle,
}

impl ResponseBody for VersionBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.next > LAST_BEFORE {
            match self.middle {
                Middle::Breaks => return Some(Err(BodyError("reset".to_owned()))),
                Middle::FallsSilent | Middle::NeverBegins => std::future::pending().await,
                Middle::GoesOn => {}
            }
        }
        if self.next > EVENTS {
            return None;
        }
        sleep(EVENT_INTERVAL).await;
        let event = format!("id: {}\ndata: {} {}\n\n", self.next, self.version, self.next);
        self.next += 1;
        Some(Ok(Bytes::from(event)))
    }
}

impl TargetTransport for VersionTargets {
    type Body = VersionBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<VersionBody>, SendError> {
        let version = dispatch.target.version.to_string();
        self.sent.lock().push(version.clone());
        let middle = std::mem::replace(&mut *self.middle.lock(), Middle::GoesOn);
        if middle == Middle::NeverBegins {
            std::future::pending::<()>().await;
        }
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let body = VersionBody { version, next: dispatch.resume_after.unwrap_or(0) + 1, middle };
        Ok(TargetResponse::new(head, body))
    }
}

/// A host with the targets of one service.
struct Host {
    relay: Arc<Relay<VersionTargets>>,
    targets: Arc<VersionTargets>,
}

impl Host {
    fn new(listed: Vec<TargetEntry>) -> Self {
        let (middle, sent) = (Mutex::new(Middle::GoesOn), Mutex::default());
        let targets = Arc::new(VersionTargets { middle, sent });
        let relay = Arc::new(Relay::new(pools_of(listed), Arc::clone(&targets)));
        Self { relay, targets }
    }

    fn pools(&self) -> &Pools {
        &self.relay.pools
    }

    fn list(&self, listed: Vec<TargetEntry>) {
        let mut list = TargetList::default();
        listed.into_iter().for_each(|target| list.upsert(target));
        self.pools().update_targets(&list);
    }

    /// Sends a request whose first target does `middle`.
    async fn forward(&self, request: Arc<Request>, middle: Middle) -> (RequestSummary, String) {
        *self.targets.middle.lock() = middle;
        let mut caller = Caller::default();
        let summary = self.relay.forward(&request, &stream_route(3), &mut caller).await;
        (summary, caller.text)
    }

    /// Version that gets a new stream, which is complete.
    async fn begin(&self, id: &str) -> String {
        let (summary, text) = self.forward(named(id), Middle::GoesOn).await;
        let expected = EVENTS as usize;
        assert_eq!(lines(&text).len(), expected, "{summary:?}");
        only_version(&text).expect("a version")
    }

    /// Begins a stream at this host which is broken off, with no target to go on at.
    async fn begin_broken(&self, id: &str) -> String {
        *self.targets.middle.lock() = Middle::Breaks;
        let mut caller = Caller::default();
        let summary = self.relay.forward(&named(id), &stream_route(1), &mut caller).await;
        assert!(summary.interrupted, "{summary:?}");
        only_version(&caller.text).expect("a version")
    }
}

fn stream_route(max_attempts: u32) -> Route {
    Route { timeout: Span::from_secs(4), ..route(RetryPolicy::Resume, max_attempts) }
}

fn named(id: &str) -> Arc<Request> {
    Arc::new(Request { id: id.to_owned(), ..Request::clone(&request()) })
}

/// The request that takes up the stream which `first` began, after [`LAST_BEFORE`].
fn resumed(first: &str) -> Arc<Request> {
    let again = Request::clone(&resuming(first));
    let resume_after = Some(LAST_BEFORE);
    Arc::new(Request { id: format!("{first}-again"), resume_after, ..again })
}

fn targets(listed: &[(u16, &str)]) -> Vec<TargetEntry> {
    listed.iter().map(|(number, version)| target_of(*number, version)).collect()
}

fn leaving(entry: TargetEntry) -> TargetEntry {
    TargetEntry { leaving: true, ..entry }
}

/// Version and number of each event.
fn lines(text: &str) -> Vec<(String, String)> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let pairs = data.map(|line| line.split_once(' ').expect("version and number"));
    pairs.map(|(version, number)| (version.to_owned(), number.to_owned())).collect()
}

/// The version of all events of a text; `None` without events.
fn only_version(text: &str) -> Option<String> {
    let events = lines(text);
    let version = events.first()?.0.clone();
    assert!(events.iter().all(|(other, _)| *other == version), "two versions: {text:?}");
    Some(version)
}

#[tokio::test]
async fn a_stream_whose_target_drains_ends_at_its_own_version() {
    for middle in [Middle::GoesOn, Middle::Breaks, Middle::FallsSilent] {
        let host = Host::new(targets(&[(1, "v1"), (6, "v1")]));
        let drain = async {
            sleep(EVENT_INTERVAL * 3 / 2).await;
            // The stream's target is one of these; the other one of its version stays.
            let mut listed = targets(&FIVE_VERSIONS);
            let current = host.pools().get(&support::service()).expect("a pool").counts();
            let busy = current.iter().find(|count| count.online > 0).expect("a busy target");
            for entry in &mut listed {
                entry.leaving = entry.id == busy.target;
            }
            host.list(listed);
        };
        let ((summary, text), ()) = tokio::join!(host.forward(named("request-1"), middle), drain);
        assert_eq!(only_version(&text).as_deref(), Some("v1"));
        assert_eq!(lines(&text).len(), EVENTS as usize, "{middle:?}: {summary:?}");
    }
}

/// Guards against a takeover by another version when all targets of the stream's own are leaving.
#[tokio::test]
async fn a_stream_whose_version_drains_does_not_go_on_at_another() {
    for middle in [Middle::Breaks, Middle::FallsSilent] {
        let host = Host::new(targets(&[(1, "v1"), (2, "v1")]));
        let drain = async {
            sleep(EVENT_INTERVAL * 3 / 2).await;
            let old = targets(&[(1, "v1"), (2, "v1")]).into_iter().map(leaving);
            host.list(old.chain(targets(&[(3, "v2"), (4, "v2")])).collect());
        };
        let ((summary, text), ()) = tokio::join!(host.forward(named("request-1"), middle), drain);
        assert_eq!(only_version(&text).as_deref(), Some("v1"), "{summary:?}");
        assert_eq!(lines(&text).len() as u64, LAST_BEFORE, "{middle:?}: {summary:?}");
        assert_eq!(*host.targets.sent.lock(), ["v1"], "{summary:?}");
    }
}

#[tokio::test]
async fn a_silent_target_is_taken_over_only_by_its_own_version_once_events_were_forwarded() {
    for _ in 0..4 {
        let host = Host::new(targets(&FIVE_VERSIONS));
        let (summary, text) = host.forward(named("request-1"), Middle::FallsSilent).await;
        let version = only_version(&text).expect("a version");
        assert_eq!(*host.targets.sent.lock(), [version.clone(), version], "{summary:?}");
        assert_eq!(lines(&text).len(), EVENTS as usize, "{summary:?}");
    }
}

/// Guards against remembering the version of a target that never sent an event of the stream.
#[tokio::test]
async fn a_stream_taken_over_before_its_first_event_goes_on_at_the_version_that_sent_it() {
    let host = Host::new(targets(&[(1, "v1"), (2, "v2")]));
    let (summary, text) = host.forward(named("request-1"), Middle::NeverBegins).await;
    let version = only_version(&text).expect("a version");
    let sent = host.targets.sent.lock().clone();
    assert_eq!(sent.last(), Some(&version), "{summary:?}");
    assert_ne!(sent[0], sent[1], "the other target takes over: {summary:?}");
    let (summary, text) = host.forward(resumed("request-1"), Middle::GoesOn).await;
    assert_eq!(only_version(&text), Some(version), "{summary:?}");
}

#[tokio::test]
async fn a_stream_is_refused_while_its_version_is_gone_and_goes_on_when_it_is_back() {
    let host = Host::new(targets(&FIVE_VERSIONS));
    let first = host.begin_broken("request-1").await;
    let remaining = FIVE_VERSIONS.into_iter().filter(|(_, version)| *version != first);
    host.list(targets(&remaining.collect::<Vec<_>>()));
    let started = Instant::now();
    let (summary, text) = host.forward(resumed("request-1"), Middle::GoesOn).await;
    assert!(summary.refusal.is_some() && text.is_empty(), "{summary:?}");
    assert!(started.elapsed() < Duration::from_millis(200), "refused late: {summary:?}");
    host.list(targets(&FIVE_VERSIONS));
    let (summary, text) = host.forward(resumed("request-1"), Middle::GoesOn).await;
    assert_eq!(only_version(&text), Some(first), "{summary:?}");
    assert_eq!(lines(&text).len() as u64, EVENTS - LAST_BEFORE, "{summary:?}");
}

/// Guards against hosts that take the service for one of a single version while a second begins
/// streams that they do not know.
#[tokio::test]
async fn a_new_version_begins_no_streams_before_all_hosts_know_it() {
    let host = Host::new(targets(&[(1, "v1"), (2, "v1")]));
    let added = Instant::now();
    host.list(targets(&[(1, "v1"), (2, "v1"), (3, "v2"), (4, "v2"), (5, "v2"), (6, "v2")]));
    while added.elapsed() < NEW_VERSION - EVENT_INTERVAL * 10 {
        assert_eq!(host.begin("request").await, "v1");
    }
    tokio::time::sleep_until((added + NEW_VERSION + EVENT_INTERVAL).into()).await;
    let mut begun = Vec::new();
    for number in 0..8 {
        begun.push(host.begin(&format!("later-{number}")).await);
    }
    assert!(begun.iter().any(|version| version == "v2"), "{begun:?}");
}

#[tokio::test]
async fn a_new_version_begins_streams_at_once_when_it_is_the_only_one() {
    let host = Host::new(targets(&[(1, "v1"), (2, "v1")]));
    host.list(targets(&[(3, "v2"), (4, "v2")]));
    assert_eq!(host.begin("request-1").await, "v2");
    // The old targets take nothing more, so that the new ones must.
    let other = Host::new(targets(&[(1, "v1")]));
    let mut listed = targets(&[(3, "v2")]);
    listed.extend(targets(&[(1, "v1")]).into_iter().map(leaving));
    other.list(listed);
    assert_eq!(other.begin("request-1").await, "v2");
}
