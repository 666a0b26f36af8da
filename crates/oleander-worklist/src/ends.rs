//! The ends of jobs that a host knows.

use std::collections::HashMap;

use oleander_core::{JobId, Span, Time};

use crate::lease::START_LEASE;

/// Since when this host knows of the ends of jobs, on the clock
/// [`since_boot`](oleander_host::clock::since_boot).
#[derive(Debug, Default)]
pub(crate) struct JobEnds {
    /// `None` once the end is confirmed.
    known: HashMap<JobId, Option<Time>>,
}

impl JobEnds {
    /// Records that a job has ended, unless that is known.
    pub(crate) fn learn(&mut self, job: &JobId, now: Time) {
        self.known.entry(job.clone()).or_insert(Some(now));
    }

    /// Records that no process starts items of an ended job any more.
    pub(crate) fn confirm(&mut self, job: &JobId) {
        if let Some(known) = self.known.get_mut(job) {
            *known = None;
        }
    }

    /// Whether it is known that no process starts items of an ended job any more.
    pub(crate) fn is_confirmed(&self, job: &JobId) -> bool {
        self.known.get(job).is_some_and(Option::is_none)
    }

    /// Removes a job.
    pub(crate) fn forget(&mut self, job: &JobId) {
        self.known.remove(job);
    }

    /// Time until no process has a lease for the job's items any more.
    pub(crate) fn remaining(&self, job: &JobId, now: Time) -> Span {
        match self.known.get(job) {
            Some(None) => Span::ZERO,
            Some(Some(known)) => (*known + START_LEASE).since(now),
            None => START_LEASE,
        }
    }
}
