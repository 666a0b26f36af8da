//! Forwarding of requests through another host, while this one reaches no target.

use std::sync::Arc;

use http::HeaderMap;
use oleander_core::Span;
use oleander_host::clock;
use tokio::time::Instant;

use crate::{
    attempt::{Attempt, AttemptOutcome, AttemptTimeouts, forward_response},
    host::{HelperUse, HostDispatch, HostResponse, SENT, VERSION},
    pool::Pool,
    progress::Progress,
    relay::PendingRequest,
    retry::NextStep,
    route::RetryPolicy,
    sending::Peeked,
    sink::{Refusal, RefusalReason, ResponseSink},
    transport::{SendError, TargetResponse, TargetTransport},
    version::SoftwareVersion,
};

/// Maximum number of other hosts that a request is sent to.
const MAX_HELPERS: usize = 3;
/// Maximum number of them that refuse it: one may have lost its links, too, without knowing yet.
const MAX_REFUSALS: usize = 2;
/// `Retry-After` while no host is known that reaches targets.
const NO_HELPER_RETRY_AFTER: Span = Span::from_secs(1);
/// Multiple of the latency goal and of the longest pause after which a host that sends nothing is
/// left; it leaves a silent target itself much earlier.
const SILENCE_FACTOR: u64 = 3;

/// How an attempt through another host ended.
enum HostOutcome {
    /// The host has refused the request.
    Refused(Refusal),
    /// As at a target.
    Attempt(AttemptOutcome),
}

impl<T: TargetTransport> PendingRequest<'_, T> {
    /// Whether the request goes through another host.
    pub(crate) fn goes_through_host(&self, pool: &Pool) -> bool {
        !self.origin.is_forwarded && pool.is_disconnected()
    }

    /// Sends the request through another host; returns what follows.
    pub(crate) async fn send_through_host<S: ResponseSink>(&mut self, sink: &mut S) -> NextStep {
        let may_send = self.retry.may_send() && self.tried_hosts.len() < MAX_HELPERS;
        let service = self.route.service(self.request.first_id());
        let (pools, tried) = (&self.relay.pools, &self.tried_hosts);
        let helper =
            service.and_then(|service| pools.choose_helper(service, tried, &self.request.id));
        let Some(mut helper) = helper.filter(|_| may_send) else {
            self.summary.attempts.push("no target is reached, and no host that does".to_owned());
            return self.retry.refuse(NO_HELPER_RETRY_AFTER);
        };
        let host = helper.helper.host.clone();
        self.tried_hosts.push(host.clone());
        let ran_before = self.retry.may_have_run();
        self.retry.begin();
        self.current = Some(format!("through {host}"));
        let outcome = self.attempt_at_host(&mut helper, sink).await;
        self.current = None;
        metrics::counter!("requests_forwarded_total").increment(1);
        match outcome {
            HostOutcome::Refused(refusal) => {
                self.summary.attempts.push(format!("through {host}: {}", refusal.reason));
                let is_last = self.tried_hosts.len() >= MAX_REFUSALS;
                self.retry.end_refused(ran_before, refusal, is_last)
            }
            HostOutcome::Attempt(outcome) => {
                self.summary.attempts.push(format!("through {host}: {outcome}"));
                self.retry.follow(ran_before, outcome)
            }
        }
    }

    async fn attempt_at_host<S: ResponseSink>(
        &mut self,
        helper: &mut HelperUse,
        sink: &mut S,
    ) -> HostOutcome {
        let timeouts = self.host_timeouts();
        let started = Instant::now();
        let mut attempt = Attempt {
            request: self.request,
            budget: None,
            events: self.events.as_mut(),
            head_sent: self.head_sent,
            buffer: self.route.retry == RetryPolicy::Always,
            timeouts,
            memory: &self.relay.memory,
        };
        let progress = attempt.progress(started);
        let dispatch = HostDispatch {
            request: Arc::clone(self.request),
            address: helper.helper.address,
            budget: self.deadline.since(clock::steady()),
            resume_after: attempt.last_event(),
            version: self.version.clone(),
            sent: self.retry.sent(),
        };
        let (mut version, mut sent) = (None, None);
        let transport = Arc::clone(&self.relay.transport);
        let forwarding = async {
            let response = tokio::select! {
                response = transport.send_to_host(dispatch) => response,
                () = sink.closed() => return HostOutcome::Attempt(AttemptOutcome::Cancelled),
            };
            let response = match response {
                Ok(HostResponse::Target(response)) => response,
                Ok(HostResponse::Refused(refusal)) => return HostOutcome::Refused(refusal),
                Err(error) => return HostOutcome::Attempt(failed(error, &progress)),
            };
            let mut response = Peeked::unread(response);
            (version, sent) = take_notes(&mut response);
            HostOutcome::Attempt(
                forward_response(helper, &mut attempt, response, &progress, sink).await,
            )
        };
        let outcome = tokio::select! {
            biased;
            outcome = forwarding => outcome,
            () = progress.stalled(timeouts, started) => HostOutcome::Attempt(silent(&progress)),
        };
        self.head_sent |= progress.head_sent();
        self.retry.record_sent_before(sent.unwrap_or(0));
        if let Some(version) = version.filter(|_| self.head_sent) {
            self.register(&version);
            self.version.get_or_insert(version);
        }
        outcome
    }

    /// Registers the stream, so that the caller can resume it at any host.
    fn register(&self, version: &SoftwareVersion) {
        let Some(service) = self.route.service(self.request.first_id()) else { return };
        if self.route.is_stream() {
            let streams = self.request.streams();
            self.relay.pools.streams.begin(service, streams, version, self.deadline);
        }
    }

    /// Time limits for the other host; none if no further one may get the request.
    fn host_timeouts(&self) -> AttemptTimeouts {
        if !self.retry.can_retry_again() {
            return AttemptTimeouts::default();
        }
        let idle = self.route.max_pause * SILENCE_FACTOR;
        AttemptTimeouts {
            first_byte: Some(self.route.latency_goal * SILENCE_FACTOR),
            idle: self.route.is_stream().then_some(idle),
        }
    }
}

/// Takes what the other host says of its target from the head of a response.
fn take_notes<B>(response: &mut TargetResponse<B>) -> (Option<SoftwareVersion>, Option<u32>) {
    let headers: &mut HeaderMap = &mut response.head.headers;
    let version = headers.remove(VERSION).and_then(|value| value.to_str().ok()?.parse().ok());
    let sent = headers.remove(SENT).and_then(|value| value.to_str().ok()?.parse().ok());
    (version, sent)
}

fn failed(error: SendError, progress: &Progress) -> AttemptOutcome {
    match error {
        SendError::NotSent(reason) | SendError::Refused(reason) => AttemptOutcome::NotSent(reason),
        SendError::NoResponse(reason) => {
            AttemptOutcome::Interrupted { reason, head_sent: progress.head_sent() }
        }
    }
}

fn silent(progress: &Progress) -> AttemptOutcome {
    AttemptOutcome::Interrupted {
        reason: progress.describe(Instant::now()),
        head_sent: progress.head_sent(),
    }
}

impl RefusalReason {
    /// The same refusal of a request that another target may have run before.
    pub(crate) const fn after_run(self) -> Self {
        match self {
            Self::NotRun => Self::ResponseLost,
            reason => reason,
        }
    }
}
