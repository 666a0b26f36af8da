//! Retry decisions after an attempt that did not deliver the whole response.
//!
//! The final response must be correct: "not run" only if no target can have run any attempt. A
//! route limits the number of targets that a request reaches; a failed connection does not count
//! towards that limit, since the target was not reached. A target that was left because it made no
//! progress may be sound: if the other one refuses, the request may go back to it, which reaches no
//! further target and adds no run.

use bytes::Bytes;
use http::StatusCode;
use oleander_core::{Span, TargetId};

use crate::{
    attempt::AttemptOutcome,
    request::ResponseHead,
    route::{RetryPolicy, Route},
    sink::{Refusal, RefusalReason},
};

/// Failed connections after which a request is refused; each takes one connect timeout at most.
const MAX_CONNECT_FAILURES: u32 = 4;
/// `Retry-After` when no target reached had capacity.
const NO_CAPACITY_RETRY_AFTER: Span = Span::from_millis(200);
/// `Retry-After` when targets could not be connected to.
const CONNECT_RETRY_AFTER: Span = Span::from_millis(500);

/// What follows an attempt.
#[derive(Debug)]
pub enum NextStep {
    /// The whole response has been sent.
    Done,
    /// The caller no longer waits.
    Cancelled,
    /// Send the request to another target, from the start or after the last event.
    Retry,
    /// Forward the error response of a target.
    Forward(ResponseHead, Bytes),
    /// Refuse the request.
    Refuse(Refusal),
    /// Abort the response; its head has been sent.
    Abort,
}

/// Attempts of one request so far.
#[derive(Debug, Clone)]
pub struct RetryState {
    policy: RetryPolicy,
    max_attempts: u32,
    sent: u32,
    connect_failures: u32,
    may_have_run: bool,
    /// Whether a target that has not taken over may have run the request.
    rejected_ran: bool,
    failed: Vec<TargetId>,
    /// The target that was left because it made no progress.
    left: Option<TargetId>,
}

impl RetryState {
    /// State of a request on `route` before its first attempt.
    #[must_use]
    pub const fn new(route: &Route) -> Self {
        Self {
            policy: route.retry,
            max_attempts: route.max_attempts,
            sent: 0,
            connect_failures: 0,
            may_have_run: false,
            rejected_ran: false,
            failed: Vec::new(),
            left: None,
        }
    }

    /// Targets of past attempts.
    #[must_use]
    pub fn failed_targets(&self) -> &[TargetId] {
        &self.failed
    }

    /// Number of attempts that reached a target.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether a target may have run the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the next attempt may be followed by another one.
    #[must_use]
    pub fn can_retry_again(&self) -> bool {
        self.policy != RetryPolicy::Never && self.sent + 1 < self.max_attempts
    }

    /// Records that a target was left for another one because it made no progress.
    pub fn record_left(&mut self, target: &TargetId) {
        self.left = Some(target.clone());
    }

    /// The target that the next attempt goes back to, if no further one may be reached.
    pub fn take_left(&mut self) -> Option<TargetId> {
        if self.sent < self.max_attempts {
            return None;
        }
        self.left.take()
    }

    /// Records that an attempt is about to be sent; until it ends, the target may be running it.
    pub const fn begin(&mut self) {
        self.may_have_run = true;
    }

    /// Decides what follows an attempt at `target`; `ran_before` is the value of
    /// [`may_have_run`](Self::may_have_run) before it began.
    pub fn end(
        &mut self,
        target: &TargetId,
        ran_before: bool,
        outcome: AttemptOutcome,
    ) -> NextStep {
        self.failed.push(target.clone());
        self.follow(ran_before, outcome)
    }

    /// Decides what follows an attempt, also one through another host.
    pub(crate) fn follow(&mut self, ran_before: bool, outcome: AttemptOutcome) -> NextStep {
        match outcome {
            AttemptOutcome::Complete => NextStep::Done,
            AttemptOutcome::Cancelled => NextStep::Cancelled,
            AttemptOutcome::NotSent(_) => {
                self.may_have_run = ran_before || self.rejected_ran;
                self.connect_failures += 1;
                if self.connect_failures < MAX_CONNECT_FAILURES {
                    NextStep::Retry
                } else {
                    self.refuse(CONNECT_RETRY_AFTER)
                }
            }
            AttemptOutcome::NotRun(_) => {
                self.sent += 1;
                self.may_have_run = ran_before || self.rejected_ran;
                if self.sent < self.max_attempts || self.left.is_some() {
                    NextStep::Retry
                } else {
                    self.refuse(NO_CAPACITY_RETRY_AFTER)
                }
            }
            AttemptOutcome::Failed(head, body) => {
                self.sent += 1;
                if self.can_retry() && head.status != StatusCode::UNPROCESSABLE_ENTITY {
                    return NextStep::Retry;
                }
                NextStep::Forward(head, body)
            }
            AttemptOutcome::Interrupted { head_sent, .. } => {
                self.sent += 1;
                if self.can_retry() {
                    return NextStep::Retry;
                }
                if head_sent {
                    NextStep::Abort
                } else {
                    NextStep::Refuse(Refusal::new(RefusalReason::ResponseLost))
                }
            }
        }
    }

    /// Decides what follows the refusal of another host to which the request was sent.
    pub(crate) fn end_refused(
        &mut self,
        ran_before: bool,
        refusal: Refusal,
        is_last: bool,
    ) -> NextStep {
        if refusal.reason == RefusalReason::NotRun && !is_last {
            self.may_have_run = ran_before;
            return NextStep::Retry;
        }
        self.may_have_run = ran_before || refusal.reason != RefusalReason::NotRun;
        if self.may_have_run {
            return NextStep::Refuse(Refusal::new(refusal.reason.after_run()));
        }
        NextStep::Refuse(refusal)
    }

    /// Whether a further target may get the request.
    pub(crate) const fn may_send(&self) -> bool {
        self.sent < self.max_attempts
    }

    /// Records that another host had sent the request to all but the last of `sent` targets.
    pub(crate) fn record_sent_before(&mut self, sent: u32) {
        self.sent = self.sent.max(sent.saturating_sub(1));
    }

    /// Counts the targets to which another host has sent the request.
    #[must_use]
    pub(crate) const fn after(mut self, sent: u32) -> Self {
        self.sent = sent;
        self
    }

    /// Records a target that got the request beside another one, and has not taken over.
    pub fn record_rejected(&mut self, target: &TargetId, outcome: &AttemptOutcome) {
        self.failed.push(target.clone());
        if matches!(outcome, AttemptOutcome::NotSent(_)) {
            return;
        }
        self.sent += 1;
        self.rejected_ran |= !matches!(outcome, AttemptOutcome::NotRun(_));
    }

    /// The refusal when there is no target left to send the request to.
    #[must_use]
    pub const fn refuse(&self, retry_after: Span) -> NextStep {
        if self.may_have_run {
            NextStep::Refuse(Refusal::new(RefusalReason::ResponseLost))
        } else {
            NextStep::Refuse(Refusal::not_run(retry_after))
        }
    }

    fn can_retry(&self) -> bool {
        self.policy != RetryPolicy::Never && self.sent < self.max_attempts
    }
}
