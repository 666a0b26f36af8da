//! Permission to start the items of a job.
//!
//! A process starts items only under a lease that a read of the job's record has confirmed a short
//! time ago. Whatever delays the news of an end or of another owner thus bounds the time for which
//! items still start; see [`ending`](crate::ending).

use std::fmt;

use oleander_core::{Revision, Span, Time};

/// Time for which items start after the platform has confirmed that their job is open.
pub(crate) const START_LEASE: Span = Span::from_millis(2_500);
/// Age of a lease from which it is renewed when an item starts.
const RENEWAL_AGE: Span = Span::from_millis(1_500);
/// Time that a read may take to fail on all paths when an outage of the platform begins.
const OUTAGE_DELAY: Span = Span::from_secs(3);
/// Age at which a lease can no longer be extended in an outage.
pub(crate) const EXTENSION_LIMIT: Span = Span(START_LEASE.0 + OUTAGE_DELAY.0);

/// How a job's record reached this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// This process wrote it.
    Write,
    /// This process read it at the platform.
    Read,
    /// Another host's message made this process read it.
    Message,
    /// The watch of all records returned it.
    Watch,
}

impl fmt::Display for RecordSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Write => "write",
            Self::Read => "read",
            Self::Message => "message",
            Self::Watch => "watch",
        })
    }
}

/// Permission to start items of a job: when the platform last confirmed that the job is open and
/// that this process owns it; never, by default.
///
/// Times are on the clock [`since_boot`](oleander_host::clock::since_boot).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartLease {
    confirmed: Option<Time>,
    revision: Revision,
    /// Begin of the reads that may renew the lease; earlier ones may not know what has changed.
    contested: Time,
}

impl StartLease {
    /// Creates a lease that a call of the platform, begun at `asked`, confirmed at `revision`.
    #[must_use]
    pub const fn new(asked: Time, revision: Revision) -> Self {
        Self { confirmed: Some(asked), revision, contested: Time(0) }
    }

    /// Renews the lease by a call of the platform that began at `asked`.
    pub fn renew(&mut self, asked: Time, revision: Revision) {
        if asked < self.contested {
            return;
        }
        self.confirmed = self.confirmed.max(Some(asked));
        self.revision = self.revision.max(revision);
    }

    /// Extends the lease without a call of the platform, unless it has long been over at `asked`;
    /// returns whether it is extended.
    pub fn extend(&mut self, asked: Time) -> bool {
        let is_recent = self.age(asked).is_some_and(|age| age < EXTENSION_LIMIT);
        if is_recent {
            self.confirmed = self.confirmed.max(Some(asked));
        }
        is_recent
    }

    /// Ends the lease until a call of the platform that begins at `now` or later renews it.
    pub fn contest(&mut self, now: Time) {
        self.confirmed = None;
        self.contested = now;
    }

    /// Whether items may start.
    #[must_use]
    pub fn allows(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < START_LEASE)
    }

    /// Whether the lease should be renewed before it is over.
    #[must_use]
    pub fn is_due(&self, now: Time) -> bool {
        self.age(now).is_none_or(|age| age >= RENEWAL_AGE)
    }

    /// Time since the last confirmation; `None` without one.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Revision of the job's record at the last confirmation.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }
}
