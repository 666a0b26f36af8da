//! Limit on the tokens that are queued on a route, over all hosts.
//!
//! Bounds the load of a burst of jobs. Each host counts the open jobs that it knows of, so jobs
//! accepted by other hosts in the last moments may be missing; the limit allows for that.

use oleander_core::Tokens;

use crate::index::JobIndex;
use crate::record::JobPhase;

/// The route's backlog has no capacity for the job now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogFull;

/// Tokens queued on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// Tokens of unfinished items in open jobs.
    pub waiting: Tokens,
}

impl Backlog {
    /// Counts the tokens of the open jobs of `route`, less the `finished` tokens of their items.
    #[must_use]
    pub fn of(index: &JobIndex, route: &str, finished: Tokens) -> Self {
        let open = index
            .records()
            .filter(|record| record.phase == JobPhase::Open && record.route == route);
        let sum = open.fold(0_u64, |sum, record| sum.saturating_add(record.tokens.0));
        Self { waiting: Tokens(sum.saturating_sub(finished.0)) }
    }

    /// Checks that a job of `job` tokens fits within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`BacklogFull`] if the backlog would exceed the limit.
    pub fn admit(self, job: Tokens, limit: Option<Tokens>) -> Result<(), BacklogFull> {
        let fits = limit.is_none_or(|limit| self.waiting.0.saturating_add(job.0) <= limit.0);
        if fits { Ok(()) } else { Err(BacklogFull) }
    }
}
