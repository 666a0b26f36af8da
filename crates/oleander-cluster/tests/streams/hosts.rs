//! Targets whose events tell their software version.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::Span;
use oleander_relay::{
    BodyError, Dispatch, Request, RequestSummary, ResponseBody, ResponseHead, SendError,
    TargetEntry, TargetResponse, TargetTransport,
};
use rand::{Rng, rngs::SmallRng};
use tokio::time::sleep;

use crate::support::{Host, Hosts as AnyHosts, route, update};
pub(crate) use crate::support::{beginning, targets};

/// Hosts with targets of several versions.
pub(crate) type Hosts = AnyHosts<VersionTargets>;

/// Events of each stream.
pub(crate) const EVENTS: u64 = 4;
/// Last event before a new stream breaks off.
pub(crate) const LAST_BEFORE: u64 = 2;
/// Time before the first event of a stream; longer than new streams are collected.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Age of targets that started long ago.
pub(crate) const OLD: Span = Span::from_secs(120);

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
        Ok(TargetResponse::new(head, body))
    }
}

/// Starts hosts with these targets.
pub(crate) async fn start(count: usize, listed: Vec<TargetEntry>) -> Hosts {
    Hosts::start_following(Arc::new(VersionTargets), count, listed).await
}

/// Starts hosts with these targets that have not reached each other by probes.
pub(crate) async fn start_unprobed(count: usize, listed: Vec<TargetEntry>) -> Hosts {
    Hosts::start_unprobed(Arc::new(VersionTargets), count, listed).await
}

/// Sends a request to the targets of a host; returns the events of the response.
pub(crate) async fn forward(
    host: &Host<VersionTargets>,
    request: Arc<Request>,
) -> (RequestSummary, Vec<Event>) {
    let (summary, text) = host.forward(request, &route()).await;
    (summary, events(&text))
}

/// Changes the targets at about half of the hosts; the feeders of the others stand still.
pub(crate) fn list_at_some(hosts: &mut Hosts, random: &mut SmallRng, listed: Vec<TargetEntry>) {
    let some: Vec<bool> = hosts.live().map(|_| random.random_bool(0.5)).collect();
    hosts.live().zip(&some).for_each(|(host, learns)| host.stand_still(!learns));
    hosts.set_listed(listed);
    for (host, learns) in hosts.live().zip(some) {
        if learns {
            update(host, hosts.listed());
        }
    }
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

/// A request that takes up the stream which `first` began.
pub(crate) fn resuming(first: &str) -> Arc<Request> {
    let request = Request::clone(&beginning(&format!("{first}-again")));
    let resume_after = Some(LAST_BEFORE);
    Arc::new(Request { resume_after, resumes: Some(first.to_owned()), ..request })
}
