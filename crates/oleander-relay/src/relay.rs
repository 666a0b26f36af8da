//! Carries one online request from its route to the end of its answer.

use std::sync::Arc;

use bytes::Bytes;
use oleander_core::{Span, Time};
use oleander_host::clock;
use parking_lot::RwLock;
use tokio::time::{self, Instant};

use crate::{
    attempt::{Attempt, AttemptOutcome, AttemptTimeouts, run_attempt},
    events::EventReader,
    pool::{Pool, Pools, TargetLease, online_pick},
    request::{Request, ResponseHead},
    retry::{NextStep, RetryState},
    route::{RetryPolicy, Route},
    sink::{Refusal, RefusalReason, ResponseSink, SinkClosed},
    table::RouteTable,
    transport::TargetTransport,
};

/// Time to come back while no target of the service is known.
const NO_TARGETS_RETRY: Span = Span::from_secs(1);
/// Shortest time for which a target's silence is put up with.
const LEAST_PAUSE: Span = Span::from_millis(120);

/// Online requests on their way.
pub struct Relay<T> {
    /// Routes in force; `None` until a configuration is known.
    table: RwLock<Option<Arc<RouteTable>>>,
    /// The targets of all services.
    pub pools: Arc<Pools>,
    /// Sends requests.
    pub transport: Arc<T>,
}

/// What became of a request, for its log line.
#[derive(Debug, Clone)]
pub struct RequestSummary {
    /// Name of the route.
    pub route: String,
    /// Attempts at targets, with what each was based on and what came of it.
    pub attempts: Vec<String>,
    /// Time spent waiting for a target.
    pub waited: Span,
    /// Time from the arrival to the first byte passed on.
    pub first_byte: Option<Span>,
    /// What the caller got; `None` if the answer is complete.
    pub refusal: Option<Refusal>,
    /// Whether the answer was broken off after its head.
    pub interrupted: bool,
    /// Whether the caller left first.
    pub disconnected: bool,
}

impl<T: TargetTransport> Relay<T> {
    /// A relay without routes.
    #[must_use]
    pub fn new(pools: Arc<Pools>, transport: Arc<T>) -> Self {
        Self { table: RwLock::new(None), pools, transport }
    }

    /// Routes in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().clone()
    }

    /// Puts routes in force unless those in force are newer; tells whether it did.
    pub fn set_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.write();
        if current.as_ref().is_some_and(|current| current.version >= table.version) {
            return false;
        }
        *current = Some(Arc::new(table));
        true
    }

    /// Runs a request and passes its answer to `sink`.
    ///
    /// The sink got either the whole answer, or a head that was followed by less than the whole
    /// body, or nothing; the summary says which.
    pub async fn forward<S: ResponseSink>(
        &self,
        request: &Arc<Request>,
        route: &Route,
        sink: &mut S,
    ) -> RequestSummary {
        let budget = request.budget.map_or(route.timeout, |budget| budget.min(route.timeout));
        let deadline = request.received + budget;
        let mut call = Call {
            relay: self,
            request,
            route,
            deadline,
            tries: RetryState::new(route),
            events: route.is_stream().then(|| EventReader::after(request.resume_after)),
            head_sent: false,
            summary: RequestSummary::new(&route.name),
        };
        let left = deadline.since(clock::steady()).to_duration();
        let step = time::timeout_at(Instant::now() + left, call.run(sink)).await;
        let step = step.unwrap_or_else(|_| call.timed_out());
        call.finish(step, sink).await
    }
}

impl RequestSummary {
    fn new(route: &str) -> Self {
        Self {
            route: route.to_owned(),
            attempts: Vec::new(),
            waited: Span::ZERO,
            first_byte: None,
            refusal: None,
            interrupted: false,
            disconnected: false,
        }
    }
}

/// One request under way.
struct Call<'a, T> {
    relay: &'a Relay<T>,
    request: &'a Arc<Request>,
    route: &'a Route,
    deadline: Time,
    tries: RetryState,
    events: Option<EventReader>,
    head_sent: bool,
    summary: RequestSummary,
}

impl<T: TargetTransport> Call<'_, T> {
    async fn run<S: ResponseSink>(&mut self, sink: &mut S) -> NextStep {
        let service = self.route.service(&self.request.id);
        let Some(pool) = service.and_then(|service| self.relay.pools.get(service)) else {
            return self.tries.refuse(NO_TARGETS_RETRY);
        };
        loop {
            let granted = tokio::select! {
                granted = self.acquire(&pool) => granted,
                () = sink.closed() => return NextStep::Cancelled,
            };
            let mut granted = match granted {
                Ok(granted) => granted,
                Err(_) if self.head_sent => return NextStep::Abort,
                Err(retry_after) => {
                    let (waiting, targets) = (pool.waiting(), pool.len());
                    let text = format!("no room: {waiting} wait for {targets} targets");
                    self.summary.attempts.push(text);
                    return self.tries.refuse(retry_after);
                }
            };
            let ran_before = self.tries.may_have_run();
            self.tries.begin();
            let ended = self.attempt(&mut granted, sink).await;
            let target = granted.target.id.clone();
            let choice = format!("{target} ({})", granted.seen);
            drop(granted);
            self.note(&choice, &ended);
            match self.tries.end(&target, ran_before, ended) {
                NextStep::Retry => {}
                NextStep::Refuse(_) if self.head_sent => return NextStep::Abort,
                step => return step,
            }
        }
    }

    async fn acquire(&mut self, pool: &Arc<Pool>) -> Result<TargetLease, Span> {
        let ticket = pool.ticket();
        let asked = clock::steady();
        // A request that waited for longer than its latency_goal is better served by coming back.
        let latest = asked + self.route.latency_goal;
        let latest = if self.head_sent { self.deadline } else { latest.min(self.deadline) };
        let _place = Place { pool, ticket };
        let pick = online_pick(ticket, latest, self.tries.failed_targets().to_vec());
        let mut granted = pool.acquire(&pick).await;
        if granted.is_err() && self.head_sent {
            // Every other target is out of reach: the one that failed may be back by now.
            granted = pool.acquire(&online_pick(ticket, latest, Vec::new())).await;
        }
        self.summary.waited = self.summary.waited + clock::steady().since(asked);
        granted
    }

    async fn attempt<S: ResponseSink>(
        &mut self,
        granted: &mut TargetLease,
        sink: &mut S,
    ) -> AttemptOutcome {
        let budget = self.deadline.since(clock::steady());
        let timeouts = self.timeouts();
        let collect = self.route.retry == RetryPolicy::Always;
        let attempt_of = Attempt {
            request: self.request,
            budget: Some(budget),
            events: self.events.as_mut(),
            head_sent: self.head_sent,
            collect,
            timeouts,
        };
        let mut timed = Timed { sink, head_at: None };
        let ended =
            run_attempt(self.relay.transport.as_ref(), granted, attempt_of, &mut timed).await;
        let first = timed.head_at.map(|at| at.since(self.request.received));
        self.summary.first_byte = self.summary.first_byte.or(first);
        if let AttemptOutcome::Interrupted { head_sent, .. } = &ended {
            self.head_sent |= *head_sent;
        }
        ended
    }

    /// A silent target is left only while another may go on in its place.
    fn timeouts(&self) -> AttemptTimeouts {
        if !self.tries.can_retry_again() {
            return AttemptTimeouts::default();
        }
        let first = Span(self.route.latency_goal.0 * 3 / 2);
        let pause = Span(self.route.max_pause.0 / 2).max(LEAST_PAUSE);
        AttemptTimeouts { first_byte: Some(first), idle: self.events.is_some().then_some(pause) }
    }

    fn note(&mut self, choice: &str, ended: &AttemptOutcome) {
        let text = match ended {
            AttemptOutcome::Complete => format!("{choice}: complete"),
            AttemptOutcome::NotSent(reason) => format!("{choice}: not sent: {reason}"),
            AttemptOutcome::NotRun(head) => format!("{choice}: not run: {}", head.status.as_u16()),
            AttemptOutcome::Failed(head, _) => {
                format!("{choice}: failed: {}", head.status.as_u16())
            }
            AttemptOutcome::Interrupted { reason, .. } => format!("{choice}: broken: {reason}"),
            AttemptOutcome::Cancelled => format!("{choice}: caller left"),
        };
        self.summary.attempts.push(text);
    }

    fn timed_out(&self) -> NextStep {
        if self.head_sent {
            return NextStep::Abort;
        }
        if self.tries.may_have_run() {
            return NextStep::Refuse(Refusal::new(RefusalReason::TimedOut));
        }
        self.tries.refuse(NO_TARGETS_RETRY)
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

/// Notes when the head of the answer is passed on.
struct Timed<'a, S> {
    sink: &'a mut S,
    head_at: Option<Time>,
}

impl<S: ResponseSink> ResponseSink for Timed<'_, S> {
    fn head(&mut self, head: ResponseHead) {
        self.head_at = Some(clock::steady());
        self.sink.head(head);
    }

    fn chunk(&mut self, bytes: Bytes) -> impl Future<Output = Result<(), SinkClosed>> + Send {
        self.sink.chunk(bytes)
    }

    fn closed(&self) -> impl Future<Output = ()> + Send {
        self.sink.closed()
    }
}

/// A place in the queue, given up when dropped.
struct Place<'a> {
    pool: &'a Pool,
    ticket: oleander_routing::TicketId,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.pool.release_ticket(self.ticket);
    }
}
