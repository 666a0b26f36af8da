//! Events of the time line that every process records.

use serde::{Deserialize, Serialize};

use crate::{ids::HostId, units::Time, value};

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A request or job was accepted.
    Accepted,
    /// A request was refused before any target saw it.
    Refused,
    /// A request joined a run that is already under way.
    Joined,
    /// A request or item was sent to a target.
    Dispatched,
    /// The first token or byte came back.
    FirstOutput,
    /// A target failed the request, or was given up on.
    TargetFailed,
    /// A stream went on at another target.
    Resumed,
    /// A result was recorded durably.
    Recorded,
    /// An answer was sent in full.
    Answered,
    /// A lot was claimed.
    Claimed,
    /// Work was given back to make room for online requests.
    Yielded,
    /// A job or request was cancelled.
    Cancelled,
    /// A job came to its end.
    Finished,
    /// A configuration revision came into force.
    ConfigApplied,
    /// A host joined, left or failed.
    Membership,
    /// A process started or began to shut down.
    Lifecycle,
}

value! {
    /// One entry of the time line.
    pub struct Event {
        /// Host that recorded it.
        pub host: HostId,
        /// Position in the host's own order.
        pub sequence: u64,
        /// Logical time: larger than every event this one depends on.
        pub logical: u64,
        /// Wall clock of the host.
        pub at: Time,
        /// What happened.
        pub kind: EventKind,
        /// Request or job concerned; empty for none.
        pub subject: String,
        /// Short text with the particulars.
        pub detail: String,
    }
}
