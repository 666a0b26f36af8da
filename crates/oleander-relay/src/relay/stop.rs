//! Requests that end with their time limit or with this process.
//!
//! A stopping process begins only what it can end: no attempt of a request whose time limit is later
//! than the end of the process. How long a target will take is not known, and a request that must
//! not run twice has no second chance; a refusal lets its caller go to another host at once. A
//! stream whose head has been sent can't be refused any more and goes on as long as it can.

use oleander_core::Span;

use super::{NO_TARGETS_RETRY_AFTER, PendingRequest};
use crate::{
    retry::NextStep,
    sink::{Refusal, RefusalReason},
    transport::TargetTransport,
};

/// `Retry-After` of a stopping host while no other host is known; some time after a restart.
const NO_HOST_RETRY_AFTER: Span = Span::from_secs(1);

/// What ends a request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Limit {
    /// The deadline of the request.
    Deadline,
    /// The end of this process.
    Exit,
}

impl Limit {
    const fn describe(self) -> &'static str {
        match self {
            Self::Deadline => "deadline passed",
            Self::Exit => "this process ends",
        }
    }

    /// Why a request that may have run ends without a response.
    const fn reason(self) -> RefusalReason {
        match self {
            Self::Deadline => RefusalReason::TimedOut,
            Self::Exit => RefusalReason::ResponseLost,
        }
    }
}

impl<T: TargetTransport> PendingRequest<'_, T> {
    /// Whether an attempt that begins now can end before this process does.
    pub(super) fn may_begin(&self) -> bool {
        self.head_sent || self.relay.exit.allows(self.deadline)
    }

    /// The last step of a request that begins no further attempt on this stopping host.
    pub(super) fn refuse_stopping(&mut self) -> NextStep {
        metrics::counter!("requests_refused_stopping_total").increment(1);
        self.summary.attempts.push("not begun: may last longer than this process".to_owned());
        self.retry.refuse(self.stopping_retry_after())
    }

    /// The last step of a request in progress at `limit`.
    pub(super) fn end_at(&mut self, limit: Limit) -> NextStep {
        if let Some(target) = self.current.take() {
            self.summary.attempts.push(format!("{target}: {}", limit.describe()));
        }
        if self.head_sent {
            return NextStep::Abort;
        }
        if self.retry.may_have_run() {
            return NextStep::Refuse(Refusal::new(limit.reason()));
        }
        self.retry.refuse(match limit {
            Limit::Deadline => NO_TARGETS_RETRY_AFTER,
            Limit::Exit => self.stopping_retry_after(),
        })
    }

    /// Another host can take the request at once.
    fn stopping_retry_after(&self) -> Span {
        if self.relay.pools.has_helpers() { Span::ZERO } else { NO_HOST_RETRY_AFTER }
    }
}
