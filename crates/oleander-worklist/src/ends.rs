//! The ends of jobs that a host knows.

use std::collections::HashMap;

use oleander_core::{JobId, Span, Time};

use crate::lease::START_LEASE;

/// Since when this host knows of the ends of jobs, on the clock
/// [`since_boot`](oleander_host::clock::since_boot).
#[derive(Debug, Default)]
pub(crate) struct JobEnds {
    known: HashMap<JobId, Time>,
}

impl JobEnds {
    /// Records that a job has ended, unless that is known.
    pub(crate) fn learn(&mut self, job: &JobId, now: Time) {
        self.known.entry(job.clone()).or_insert(now);
    }

    /// Records that the owner of an ended job has stopped its items.
    pub(crate) fn confirm(&mut self, job: &JobId) {
        self.known.insert(job.clone(), Time(0));
    }

    /// Removes a job.
    pub(crate) fn forget(&mut self, job: &JobId) {
        self.known.remove(job);
    }

    /// Time until no process has a lease for the job's items any more.
    pub(crate) fn remaining(&self, job: &JobId, now: Time) -> Span {
        let known = self.known.get(job).copied().unwrap_or(now);
        (known + START_LEASE).since(now)
    }
}
