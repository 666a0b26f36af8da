//! Requests that go to targets through another host.
//!
//! A host that is disconnected sends a request to a host that reaches targets, which decides on it like
//! on one of its own callers: routes, limits, blocks and leaving targets are those that it knows.
//! There is one hop at most. Both hosts share the time and the targets that the request may use, and
//! the outcome says truthfully whether the request may have run.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use oleander_core::{HostId, ServiceId, Span, ZoneId};
use oleander_routing::Observation;

use crate::{
    lease::TargetLease,
    request::{Request, ResponseHead},
    sink::{Refusal, ResponseSink, SinkClosed},
    transport::TargetResponse,
    version::SoftwareVersion,
};

/// Software version of the target that responds, or that has begun a stream.
pub const VERSION: HeaderName = HeaderName::from_static("oleander-version");
/// Targets that the request has been sent to.
pub const SENT: HeaderName = HeaderName::from_static("oleander-sent");

/// How a request came to this host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Origin {
    /// Whether another host has forwarded it, so that it goes to targets or is refused.
    pub is_forwarded: bool,
    /// Version that has begun the stream.
    pub version: Option<SoftwareVersion>,
    /// Targets that the request has been sent to before.
    pub sent: u32,
}

/// A request to a target through another host.
#[derive(Debug, Clone)]
pub struct HostDispatch {
    /// The request.
    pub request: Arc<Request>,
    /// Address of the other host for such requests.
    pub address: SocketAddr,
    /// Time limit for the response.
    pub budget: Span,
    /// Id of the event after which the stream goes on.
    pub resume_after: Option<u64>,
    /// Version that has begun the stream.
    pub version: Option<SoftwareVersion>,
    /// Targets that the request has been sent to.
    pub sent: u32,
}

/// The response of another host.
#[derive(Debug)]
pub enum HostResponse<B> {
    /// The response of a target.
    Target(TargetResponse<B>),
    /// The host has refused the request.
    Refused(Refusal),
}

/// A host through which requests can reach targets.
#[derive(Debug, Clone)]
pub struct Helper {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Its address for requests of other hosts.
    pub address: SocketAddr,
    /// Services whose targets it does not reach.
    lost: Vec<ServiceId>,
    /// Requests of this host that it has.
    in_flight: Arc<AtomicUsize>,
}

impl Helper {
    /// A host without requests of this one.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneId, address: SocketAddr) -> Self {
        Self { host, zone, address, lost: Vec::new(), in_flight: Arc::default() }
    }

    /// Sets the services whose targets it does not reach.
    #[must_use]
    pub fn lost(mut self, services: Vec<ServiceId>) -> Self {
        self.lost = services;
        self
    }

    /// Whether it reaches targets of a service.
    pub(crate) fn reaches(&self, service: &ServiceId) -> bool {
        !self.lost.contains(service)
    }

    /// The same host as `known` before, with the requests that it has.
    pub(crate) fn replacing(self, known: &Self) -> Self {
        Self { in_flight: Arc::clone(&known.in_flight), ..self }
    }

    pub(crate) fn load(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Receives what becomes of a request, where it is sent to.
pub(crate) trait Reservation: Send {
    /// Records an observation of the request.
    fn observe(&mut self, observation: Observation);
    /// Records output.
    fn record_output(&mut self);
    /// Whether there was output.
    fn has_output(&self) -> bool;
}

impl Reservation for TargetLease {
    fn observe(&mut self, observation: Observation) {
        Self::observe(self, observation);
    }

    fn record_output(&mut self) {
        Self::record_output(self);
    }

    fn has_output(&self) -> bool {
        self.has_output
    }
}

/// A request at a helper; ends on drop.
pub(crate) struct HelperUse {
    pub(crate) helper: Helper,
    has_output: bool,
}

impl HelperUse {
    pub(crate) fn new(helper: Helper) -> Self {
        helper.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { helper, has_output: false }
    }
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        self.helper.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Reservation for HelperUse {
    fn observe(&mut self, _: Observation) {}

    fn record_output(&mut self) {
        self.has_output = true;
    }

    fn has_output(&self) -> bool {
        self.has_output
    }
}

/// Adds what another host has to know to the head of a response.
pub(crate) struct HostSink<'a, S> {
    sink: &'a mut S,
    headers: HeaderMap,
}

impl<'a, S> HostSink<'a, S> {
    pub(crate) fn new(sink: &'a mut S) -> Self {
        Self { sink, headers: HeaderMap::new() }
    }
}

impl<S: ResponseSink> ResponseSink for HostSink<'_, S> {
    fn attempt(&mut self, version: &SoftwareVersion, sent: u32) {
        if let Ok(version) = HeaderValue::from_str(&version.to_string()) {
            self.headers.insert(VERSION, version);
        }
        self.headers.insert(SENT, sent.into());
    }

    fn head(&mut self, mut head: ResponseHead) {
        head.headers.extend(self.headers.clone());
        self.sink.head(head);
    }

    fn chunk(&mut self, bytes: Bytes) -> impl Future<Output = Result<(), SinkClosed>> + Send {
        self.sink.chunk(bytes)
    }

    fn held(&self) -> usize {
        self.sink.held()
    }

    fn discard(&mut self) {
        self.sink.discard();
    }

    fn closed(&self) -> impl Future<Output = ()> + Send {
        self.sink.closed()
    }
}
