//! What this process knows of a job that it owns, and since when.

use std::fmt;

use oleander_core::{Revision, Span, Time};

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

/// When the platform last confirmed that this process owns an open job; never, by default.
///
/// Times are on the clock [`since_boot`](oleander_host::clock::since_boot).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StartLease {
    confirmed: Time,
    revision: Revision,
}

impl StartLease {
    /// Creates a lease that a call of the platform, begun at `asked`, confirmed at `revision`.
    #[must_use]
    pub const fn new(asked: Time, revision: Revision) -> Self {
        Self { confirmed: asked, revision }
    }

    /// Renews the lease by a call of the platform that began at `asked`.
    pub fn renew(&mut self, asked: Time, revision: Revision) {
        self.confirmed = self.confirmed.max(asked);
        self.revision = self.revision.max(revision);
    }

    /// Time since the last confirmation.
    #[must_use]
    pub const fn age(&self, now: Time) -> Span {
        now.since(self.confirmed)
    }

    /// Revision of the job's record at the last confirmation.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }
}
