//! Permission to start the items of jobs.
//!
//! A host starts items of a job only for a short time after it began a read of the job's record
//! that found the job open. Whatever hides the job's end from a host thus bounds the time for which
//! its items still start there: a lost notice, a slow or failed read, or a suspension.

use std::collections::HashMap;

use oleander_core::{JobId, Span, Time};

/// Time for which items start after the begin of a read that found their job open.
pub const START_LEASE: Span = Span::from_secs(5);

/// When the reads began that last found jobs open.
///
/// Times are on a clock that also counts while the machine is suspended.
#[derive(Debug, Clone, Default)]
pub struct StartLeases {
    confirmed: HashMap<JobId, Time>,
}

impl StartLeases {
    /// Records that a read begun at `asked` found the job open.
    pub fn renew(&mut self, job: &JobId, asked: Time) {
        let confirmed = self.confirmed.entry(job.clone()).or_insert(asked);
        *confirmed = asked.max(*confirmed);
    }

    /// Ends the permission for a job.
    pub fn remove(&mut self, job: &JobId) {
        self.confirmed.remove(job);
    }

    /// Whether items of the job may start.
    #[must_use]
    pub fn allows(&self, job: &JobId, now: Time) -> bool {
        self.confirmed.get(job).is_some_and(|confirmed| now.since(*confirmed) < START_LEASE)
    }
}
