//! Takeover of a request from a target that makes no progress.
//!
//! A silent target may be sound and go on, so its connection stays open until another target has
//! accepted the request. Most targets treat a closed connection as a cancellation: if it were closed
//! first and no other target accepted the request, the response would be lost. Since a request must
//! not run at two targets for long, the silent one is left after [`MAX_OVERLAP`] at the latest.

use std::{pin::pin, sync::Arc};

use oleander_core::{Span, Time};
use oleander_host::clock;
use oleander_quarantine::{RequestParts, Standing};
use oleander_routing::Pick;
use tokio::time::{self, Instant};

use crate::{
    attempt::{AttemptOutcome, AttemptTimeouts, observe_outcome},
    crash::check_target,
    lease::{TargetLease, Ticket},
    pool::{Pool, VersionChoice},
    progress::Progress,
    relay::Relay,
    request::Request,
    retry::RetryState,
    route::Route,
    sending::Sending,
    target_list::TargetEntry,
    transport::{Dispatch, TargetTransport},
};

/// Minimum idle timeout of a stream.
const MIN_IDLE_TIMEOUT: Span = Span::from_millis(120);
/// Time for which two targets may have the same request; longer than a connect timeout.
const MAX_OVERLAP: Span = Span::from_millis(250);

/// Age of the list of targets up to which another target may take over a stream; many streams may
/// meet silence again and again, so that not each has the list read.
const MAX_LIST_AGE: Span = Span::from_secs(1);
/// Further time in which a response is read that arrived while this process paused.
const PAUSE_MARGIN: Span = Span::from_millis(5);

/// How an attempt ended.
pub(crate) struct AttemptEnd<B> {
    /// The outcome; `None` if the target was left because it made no progress.
    pub(crate) outcome: Option<AttemptOutcome>,
    /// The target that goes on with the request, if one has taken over.
    pub(crate) successor: Option<Successor<B>>,
}

/// Another target that has the request of an attempt in progress.
pub(crate) struct Successor<B> {
    pub(crate) lease: TargetLease,
    pub(crate) sending: Sending<B>,
}

/// Looks for another target while an attempt runs at one that makes no progress.
pub(crate) struct Takeover<'a, T: TargetTransport> {
    pub(crate) relay: &'a Relay<T>,
    pub(crate) pool: &'a Arc<Pool>,
    pub(crate) request: &'a Arc<Request>,
    pub(crate) route: &'a Route,
    pub(crate) deadline: Time,
    /// Versions that may take the request before its first event.
    pub(crate) versions: VersionChoice,
    pub(crate) parts: &'a Arc<RequestParts>,
    pub(crate) retry: &'a mut RetryState,
    /// Texts of the attempts so far, for the record of the request.
    pub(crate) attempts: &'a mut Vec<String>,
}

impl<T: TargetTransport> Takeover<'_, T> {
    /// Polls `forwarding`, an attempt at the target `current`, until it ends or another target has
    /// taken over.
    pub(crate) async fn watch<F>(
        mut self,
        current: &TargetEntry,
        forwarding: F,
        progress: &Progress,
    ) -> AttemptEnd<T::Body>
    where
        F: Future<Output = AttemptOutcome>,
    {
        let mut forwarding = pin!(forwarding);
        let mut checked = Instant::now();
        loop {
            tokio::select! {
                biased;
                outcome = forwarding.as_mut() => return AttemptEnd::of(outcome, None),
                () = progress.stalled(self.timeouts(), checked) => {}
            }
            if self.pool.is_disconnected() {
                return AttemptEnd { outcome: None, successor: None };
            }
            self.pool.record_link_failure();
            let mark = progress.last();
            let mut candidate = None;
            let accepted = tokio::select! {
                biased;
                outcome = forwarding.as_mut() => {
                    // A target that sent more before it broke off needs a request that goes on there.
                    let is_stale = progress.last() > mark;
                    return AttemptEnd::of(outcome, candidate.filter(|_| !is_stale));
                }
                () = progress.resumed(mark) => false,
                accepted = self.send_to_another(current, progress, &mut candidate) => accepted,
            };
            match candidate {
                Some(successor) if accepted => {
                    return AttemptEnd { outcome: None, successor: Some(successor) };
                }
                Some(candidate) => self.reject(candidate),
                None => {}
            }
            checked = Instant::now();
        }
    }

    /// Time limits of the current attempt; none if no other target may take over.
    fn timeouts(&self) -> AttemptTimeouts {
        if !self.retry.can_retry_again() {
            return AttemptTimeouts::default();
        }
        let first = Span(self.route.latency_goal.0 * 3 / 2);
        let pause = Span(self.route.max_pause.0 / 2).max(MIN_IDLE_TIMEOUT);
        AttemptTimeouts { first_byte: Some(first), idle: self.route.is_stream().then_some(pause) }
    }

    /// Sends the request to another target; returns whether that one has taken over.
    async fn send_to_another(
        &self,
        current: &TargetEntry,
        progress: &Progress,
        candidate: &mut Option<Successor<T::Body>>,
    ) -> bool {
        let mut excluded = self.retry.failed_targets().to_vec();
        excluded.push(current.id.clone());
        let versions = if progress.has_output() {
            VersionChoice::Only(current.version.clone())
        } else {
            self.versions.clone()
        };
        let ticket = Ticket::new(self.pool);
        let pick = Pick::online(ticket.id).exclude(excluded).deadline(self.deadline);
        if self.pool.quarantine.standing(self.parts) != Standing::Clear {
            // The silent target may be about to crash, and so would the other one.
            return false;
        }
        if progress.has_output() {
            let needed = clock::steady() - MAX_LIST_AGE;
            self.relay.pools.streams.confirm_as_of(needed).await;
        }
        let lease = self.pool.acquire_version(&pick, &versions, self.parts).await;
        let Ok(lease) = lease else { return false };
        let dispatch = Dispatch {
            request: Arc::clone(self.request),
            target: lease.target.clone(),
            budget: Some(self.deadline.since(clock::steady())),
            resume_after: progress.last_event(),
        };
        let sending = Sending::start(Arc::clone(&self.relay.transport), dispatch);
        let successor = candidate.insert(Successor { lease, sending });
        for wait in [MAX_OVERLAP, PAUSE_MARGIN] {
            let accepted = successor.sending.accepted();
            if let Ok(accepted) = time::timeout(wait.to_duration(), accepted).await {
                return accepted;
            }
        }
        // A target refuses at once; one that has not responded in time has queued the request.
        true
    }

    /// Records a target that has not taken over.
    fn reject(&mut self, candidate: Successor<T::Body>) {
        let Successor { mut lease, sending } = candidate;
        if sending.is_leaving() {
            lease.record_leaving();
        }
        let outcome = sending.into_outcome();
        self.retry.record_rejected(&lease.target.id, &outcome);
        observe_outcome(&mut lease, &outcome);
        let reason = match &outcome {
            AttemptOutcome::Cancelled => "the other target went on".to_owned(),
            outcome => outcome.to_string(),
        };
        self.attempts.push(format!("{lease}: did not take over: {reason}"));
        let transport = Arc::clone(&self.relay.transport);
        tokio::spawn(async move { check_target(&transport, lease).await });
    }
}

impl<B> AttemptEnd<B> {
    /// The end of an attempt, beside which the request may have been sent to another target.
    fn of(outcome: AttemptOutcome, successor: Option<Successor<B>>) -> Self {
        let over = matches!(outcome, AttemptOutcome::Complete | AttemptOutcome::Cancelled);
        Self { outcome: Some(outcome), successor: successor.filter(|_| !over) }
    }
}
