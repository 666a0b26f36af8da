//! Forwards online requests: target selection, retries and the final response.

mod choice;
mod stop;

use std::sync::Arc;

use oleander_core::{HostId, Span, Time};
use oleander_host::{ExitTime, clock};
use oleander_quarantine::{RequestParts, Standing};
use parking_lot::RwLock;
use tokio::time::{self, Instant};

use self::stop::Limit;
use crate::{
    attempt::{Attempt, AttemptOutcome, AttemptTimeouts, forward, interrupt_stalled},
    confirmations::Confirmations,
    crash::{check_target, request_parts},
    events::EventReader,
    host::{HostSink, Origin},
    lease::TargetLease,
    memory::ResponseMemory,
    pool::Pool,
    pools::Pools,
    request::Request,
    retry::{NextStep, RetryState},
    route::{RetryPolicy, Route},
    sending::{Peeked, Sending},
    sink::ResponseSink,
    streams::{BegunSink, BegunStream},
    summary::RequestSummary,
    table::RouteTable,
    takeover::{AttemptEnd, Successor, Takeover},
    target_list::TargetEntry,
    timed_sink::TimedSink,
    transport::TargetTransport,
    version::SoftwareVersion,
};

/// `Retry-After` when the version that began a stream is not known or not served.
const NO_VERSION_RETRY_AFTER: Span = Span::from_secs(1);
/// Crashes under requests with the same part after which one of them is not sent again.
const MAX_CRASHES: usize = 2;
/// `Retry-After` when the service has no known target.
const NO_TARGETS_RETRY_AFTER: Span = Span::from_secs(1);

/// Forwards online requests to targets.
pub struct Relay<T> {
    /// Routes in force; `None` until a configuration is known.
    table: RwLock<Option<Arc<RouteTable>>>,
    pub(crate) confirmations: Confirmations,
    /// The targets of all services.
    pub pools: Arc<Pools>,
    /// Sends requests to targets.
    pub transport: Arc<T>,
    /// When this process ends its work.
    pub exit: ExitTime,
    /// Memory for the responses in progress.
    pub memory: ResponseMemory,
}

impl<T: TargetTransport> Relay<T> {
    /// Creates a relay without routes.
    #[must_use]
    pub fn new(pools: Arc<Pools>, transport: Arc<T>) -> Self {
        let confirmations = Confirmations::default();
        let exit = ExitTime::default();
        let memory = ResponseMemory::default();
        Self { table: RwLock::new(None), confirmations, pools, transport, exit, memory }
    }

    /// Sets the memory for the responses in progress.
    #[must_use]
    pub fn with_memory(self, memory: ResponseMemory) -> Self {
        Self { memory, ..self }
    }

    /// Routes in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().clone()
    }

    /// Replaces the routes unless `table` is not newer; returns whether it did.
    pub fn set_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.write();
        if current.as_ref().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        *current = Some(Arc::new(table));
        true
    }

    /// Forwards a request and sends its response to `sink`.
    ///
    /// The sink receives the whole response, or a head with an incomplete body, or nothing; the
    /// summary says which.
    pub async fn forward<S: ResponseSink>(
        &self,
        request: &Arc<Request>,
        route: &Route,
        sink: &mut S,
    ) -> RequestSummary {
        self.forward_from(Origin::default(), request, route, sink).await
    }

    /// Forwards a request of another host as [`forward`](Self::forward) does one of a caller; the
    /// head says of which version the target is.
    pub async fn forward_for_host<S: ResponseSink>(
        &self,
        origin: Origin,
        request: &Arc<Request>,
        route: &Route,
        sink: &mut S,
    ) -> RequestSummary {
        metrics::counter!("requests_of_hosts_total").increment(1);
        self.forward_from(origin, request, route, &mut HostSink::new(sink)).await
    }

    async fn forward_from<S: ResponseSink>(
        &self,
        origin: Origin,
        request: &Arc<Request>,
        route: &Route,
        sink: &mut S,
    ) -> RequestSummary {
        let budget = request.budget.map_or(route.timeout, |budget| budget.min(route.timeout));
        let deadline = request.received + budget;
        let parts = request_parts(self.transport.as_ref(), request);
        let mut pending = PendingRequest {
            relay: self,
            request,
            route,
            deadline,
            retry: RetryState::new(route).after(origin.sent),
            events: route.is_stream().then(|| EventReader::after(request.resume_after)),
            head_sent: false,
            list_needed: request.received,
            version: origin.version.clone(),
            current: None,
            origin,
            tried_hosts: Vec::new(),
            summary: RequestSummary::new(&route.name, &parts),
            parts,
        };
        let remaining = deadline.since(clock::steady()).to_duration();
        let mut timed = TimedSink::new(sink);
        let ended = tokio::select! {
            biased;
            step = time::timeout_at(Instant::now() + remaining, pending.run(&mut timed)) => {
                step.map_err(|_| Limit::Deadline)
            }
            () = self.exit.reached() => Err(Limit::Exit),
        };
        pending.head_sent = timed.head_at.is_some();
        pending.summary.first_byte = timed.head_at.map(|at| at.since(request.received));
        let step = ended.unwrap_or_else(|limit| pending.end_at(limit));
        pending.finish(step, sink).await
    }
}

/// A request in progress.
pub(crate) struct PendingRequest<'a, T> {
    pub(crate) relay: &'a Relay<T>,
    pub(crate) request: &'a Arc<Request>,
    pub(crate) route: &'a Route,
    pub(crate) deadline: Time,
    pub(crate) retry: RetryState,
    parts: Arc<RequestParts>,
    pub(crate) events: Option<EventReader>,
    pub(crate) head_sent: bool,
    /// Time as of which the list of targets must be known for the next attempt, if that goes on with
    /// a stream.
    pub(crate) list_needed: Time,
    /// Version that began the stream; `None` before its first event.
    pub(crate) version: Option<SoftwareVersion>,
    /// Target, or other host, of the attempt in progress.
    pub(crate) current: Option<String>,
    pub(crate) origin: Origin,
    /// Other hosts that have got the request.
    pub(crate) tried_hosts: Vec<HostId>,
    pub(crate) summary: RequestSummary,
}

impl<T: TargetTransport> PendingRequest<'_, T> {
    async fn run<S: ResponseSink>(&mut self, sink: &mut S) -> NextStep {
        if !self.may_begin() {
            return self.refuse_stopping();
        }
        let service = self.route.service(self.request.first_id());
        let Some(pool) = service.and_then(|service| self.relay.pools.get(service)) else {
            return self.retry.refuse(NO_TARGETS_RETRY_AFTER);
        };
        if self.route.is_stream() && self.request.resume_after.is_some() && self.version.is_none() {
            tokio::select! {
                version = self.resolve_version(&pool) => self.version = version,
                () = sink.closed() => return NextStep::Cancelled,
            }
            if self.version.is_none() {
                return self.retry.refuse(NO_VERSION_RETRY_AFTER);
            }
        }
        let mut successor = None;
        loop {
            if successor.is_none() && !self.may_begin() {
                return self.refuse_stopping();
            }
            if successor.is_none() && self.goes_through_host(&pool) {
                match self.send_through_host(sink).await {
                    NextStep::Retry => continue,
                    NextStep::Refuse(_) | NextStep::Forward(..) if self.head_sent => {
                        return NextStep::Abort;
                    }
                    step => return step,
                }
            }
            let (mut lease, sending) = match successor.take() {
                Some(Successor { lease, sending }) => (lease, Some(sending)),
                None => match self.acquire_next(&pool, sink).await {
                    Ok(lease) => (lease, None),
                    Err(_) if self.goes_through_host(&pool) => continue,
                    Err(step) => return step,
                },
            };
            sink.attempt(&lease.target.version, self.retry.sent() + 1);
            let ran_before = self.retry.may_have_run();
            self.retry.begin();
            self.current = Some(lease.to_string());
            let (outcome, next) = self.attempt(&pool, &mut lease, sending, sink).await;
            self.current = None;
            self.list_needed = clock::steady();
            let target = lease.target.id.clone();
            self.record_attempt(&lease, &outcome);
            let has_begun =
                lease.has_output || !matches!(outcome, AttemptOutcome::Interrupted { .. });
            let is_unreached = matches!(outcome, AttemptOutcome::NotSent(_));
            check_target(&self.relay.transport, lease).await;
            if is_unreached && !self.origin.is_forwarded {
                pool.settle_links().await;
            }
            match self.retry.end(&target, ran_before, outcome) {
                NextStep::Refuse(_) if is_unreached && self.goes_through_host(&pool) => {}
                NextStep::Retry if !has_begun && next.is_none() && self.crashes_targets(&pool) => {
                    return self.give_up();
                }
                NextStep::Retry => successor = next,
                // After the head, an error body would look like the end of a complete response.
                NextStep::Refuse(_) | NextStep::Forward(..) if self.head_sent => {
                    return NextStep::Abort;
                }
                step => return step,
            }
        }
    }

    /// Adds an attempt to the record of the request, and checks a target that broke off.
    fn record_attempt(&mut self, lease: &TargetLease, outcome: &AttemptOutcome) {
        let mut text = format!("{lease}: {outcome}");
        if matches!(outcome, AttemptOutcome::Interrupted { .. }) {
            text.push_str(if lease.has_output { ", after output" } else { ", before any output" });
        }
        self.summary.attempts.push(text);
    }

    /// Whether several targets have crashed under requests like this one, so that another run
    /// would most likely end one more.
    fn crashes_targets(&mut self, pool: &Pool) -> bool {
        let part = match pool.quarantine.standing(&self.parts) {
            Standing::Suspect { part, crashes } if crashes >= MAX_CRASHES => part,
            Standing::Alone { content } => content,
            Standing::Clear | Standing::Suspect { .. } | Standing::Blocked { .. } => return false,
        };
        let text = format!("not sent again: several targets have crashed under {part}");
        self.summary.attempts.push(text);
        true
    }

    /// The last step of a request that is not sent again.
    const fn give_up(&self) -> NextStep {
        if self.head_sent { NextStep::Abort } else { self.retry.refuse(NO_TARGETS_RETRY_AFTER) }
    }

    /// Runs one attempt at the leased target, to which the request is sent unless it is already.
    ///
    /// Returns its outcome, and the target that goes on with the request if one has taken over.
    async fn attempt<S: ResponseSink>(
        &mut self,
        pool: &Arc<Pool>,
        lease: &mut TargetLease,
        sending: Option<Sending<T::Body>>,
        sink: &mut S,
    ) -> (AttemptOutcome, Option<Successor<T::Body>>) {
        let versions = self.versions();
        let begun = self.begun_stream(&lease.target);
        let mut attempt = Attempt {
            request: self.request,
            budget: Some(self.deadline.since(clock::steady())),
            events: self.events.as_mut(),
            head_sent: self.head_sent,
            buffer: self.route.retry == RetryPolicy::Always,
            timeouts: AttemptTimeouts::default(),
            memory: &self.relay.memory,
        };
        let progress = attempt.progress(Instant::now());
        if self.route.is_stream() {
            let TargetEntry { service, version, .. } = &lease.target;
            let streams = self.request.streams();
            self.relay.pools.streams.begin(service, streams, version, self.deadline);
        }
        let takeover = Takeover {
            relay: self.relay,
            pool,
            request: self.request,
            route: self.route,
            deadline: self.deadline,
            versions,
            parts: &self.parts,
            retry: &mut self.retry,
            attempts: &mut self.summary.attempts,
        };
        let target = lease.target.clone();
        let mut sink = BegunSink::new(sink, &self.relay.pools.streams, begun);
        let dispatch = attempt.dispatch(lease);
        let response = async {
            match sending {
                Some(sending) => sending.response().await,
                None => self.relay.transport.send(dispatch).await.map(Peeked::unread),
            }
        };
        let forwarding = forward(lease, response, &mut attempt, &progress, &mut sink);
        let AttemptEnd { outcome, successor } =
            takeover.watch(&target, forwarding, &progress).await;
        self.head_sent |= progress.head_sent();
        if self.head_sent {
            self.version.get_or_insert(target.version);
        }
        let outcome = outcome.unwrap_or_else(|| {
            self.retry.record_left(&lease.target.id);
            interrupt_stalled(lease, &progress)
        });
        (outcome, successor)
    }

    /// The stream that an attempt at `target` begins for a caller of this host.
    fn begun_stream(&self, target: &TargetEntry) -> Option<BegunStream> {
        let is_own = self.route.is_stream() && !self.origin.is_forwarded;
        let [stream, _] = self.request.streams();
        let TargetEntry { service, version, .. } = target.clone();
        is_own.then_some(BegunStream { service, stream, version })
    }

    async fn finish<S: ResponseSink>(mut self, step: NextStep, sink: &mut S) -> RequestSummary {
        match step {
            NextStep::Done | NextStep::Retry => {}
            NextStep::Cancelled => self.summary.disconnected = true,
            NextStep::Abort => self.summary.interrupted = true,
            NextStep::Refuse(refusal) => self.summary.refusal = Some(refusal),
            NextStep::Forward(head, body) => {
                sink.head(head);
                self.summary.disconnected = sink.chunk(body).await.is_err();
            }
        }
        self.summary
    }
}
