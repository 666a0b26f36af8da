//! What follows when an attempt did not bring the whole answer.
//!
//! The answer that a caller gets must be true: "not run" only if no target can have run any
//! attempt. A route bounds the number of targets that a request reaches; a target that could not
//! be connected to was not reached.

use bytes::Bytes;
use http::StatusCode;
use oleander_core::{Span, TargetId};

use crate::{
    attempt::AttemptOutcome,
    request::ResponseHead,
    route::{RetryPolicy, Route},
    sink::{Refusal, RefusalReason},
};

/// Failed connects after which a request is given up; each takes a connect timeout at most.
const MAX_CONNECTS: u32 = 4;
/// Time to come back after every target reached was full.
const FULL_RETRY: Span = Span::from_millis(200);
/// Time to come back after targets could not be connected to.
const CONNECT_RETRY: Span = Span::from_millis(500);

/// What to do next.
#[derive(Debug)]
pub enum NextStep {
    /// The whole answer is out.
    Done,
    /// Nobody waits any more.
    Cancelled,
    /// Send it to another target, from the start or after the last event.
    Retry,
    /// Pass on the failure that a target answered with.
    Forward(ResponseHead, Bytes),
    /// Answer so.
    Refuse(Refusal),
    /// Break the answer off; its head is out.
    Abort,
}

/// The attempts of one request so far.
#[derive(Debug, Clone)]
pub struct RetryState {
    retry: RetryPolicy,
    most: u32,
    sent: u32,
    connects: u32,
    may_have_run: bool,
    tried: Vec<TargetId>,
}

impl RetryState {
    /// No attempts yet of a request on `route`.
    #[must_use]
    pub const fn new(route: &Route) -> Self {
        Self {
            retry: route.retry,
            most: route.max_attempts,
            sent: 0,
            connects: 0,
            may_have_run: false,
            tried: Vec::new(),
        }
    }

    /// TargetTransport that failed this request.
    #[must_use]
    pub fn failed_targets(&self) -> &[TargetId] {
        &self.tried
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

    /// Whether one more attempt could follow the next one.
    #[must_use]
    pub fn can_retry_again(&self) -> bool {
        self.retry != RetryPolicy::Never && self.sent + 1 < self.most
    }

    /// An attempt is about to be sent; until it has ended the target may be running it.
    pub const fn begin(&mut self) {
        self.may_have_run = true;
    }

    /// Decides what follows an attempt at `target`; `ran_before` is what was known before it.
    pub fn end(&mut self, target: &TargetId, ran_before: bool, ended: AttemptOutcome) -> NextStep {
        self.tried.push(target.clone());
        match ended {
            AttemptOutcome::Complete => NextStep::Done,
            AttemptOutcome::Cancelled => NextStep::Cancelled,
            AttemptOutcome::NotSent(_) => {
                self.may_have_run = ran_before;
                self.connects += 1;
                if self.connects < MAX_CONNECTS {
                    NextStep::Retry
                } else {
                    self.refuse(CONNECT_RETRY)
                }
            }
            AttemptOutcome::NotRun(_) => {
                self.sent += 1;
                self.may_have_run = ran_before;
                if self.sent < self.most { NextStep::Retry } else { self.refuse(FULL_RETRY) }
            }
            AttemptOutcome::Failed(head, body) => {
                self.sent += 1;
                if self.may_repeat() && head.status != StatusCode::UNPROCESSABLE_ENTITY {
                    return NextStep::Retry;
                }
                NextStep::Forward(head, body)
            }
            AttemptOutcome::Interrupted { head_sent, .. } => {
                self.sent += 1;
                if self.may_repeat() {
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

    /// What to answer when there is no target to send it to.
    #[must_use]
    pub const fn refuse(&self, retry_after: Span) -> NextStep {
        if self.may_have_run {
            NextStep::Refuse(Refusal::new(RefusalReason::ResponseLost))
        } else {
            NextStep::Refuse(Refusal::not_run(retry_after))
        }
    }

    fn may_repeat(&self) -> bool {
        self.retry != RetryPolicy::Never && self.sent < self.most
    }
}
