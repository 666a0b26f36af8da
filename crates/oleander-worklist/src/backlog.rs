//! How many tokens may wait on a route, over all hosts.
//!
//! Answers the load of a burst of jobs: each host counts all open jobs that it knows of, so a job
//! that another host accepted within the last moments may be missing; the bound allows for that.

use oleander_core::Tokens;

use crate::index::JobIndex;
use crate::record::JobPhase;

/// The route has no room for a job now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BacklogFull;

/// Tokens that wait on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// Tokens of all open jobs.
    pub waiting: Tokens,
}

impl Backlog {
    /// Counts the open jobs of `route`; `done` are tokens of their items that have ended.
    #[must_use]
    pub fn of(index: &JobIndex, route: &str, done: Tokens) -> Self {
        let open =
            index.entries().filter(|entry| entry.phase == JobPhase::Open && entry.route == route);
        let sum: u64 = open.map(|entry| entry.tokens.0).sum();
        Self { waiting: Tokens(sum.saturating_sub(done.0)) }
    }

    /// Checks that a job fits.
    ///
    /// # Errors
    ///
    /// Returns [`BacklogFull`] if the route would hold more than `most` tokens.
    pub fn admit(self, job: Tokens, most: Option<Tokens>) -> Result<(), BacklogFull> {
        let fits = most.is_none_or(|most| self.waiting.0.saturating_add(job.0) <= most.0);
        if fits { Ok(()) } else { Err(BacklogFull) }
    }
}
