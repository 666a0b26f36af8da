//! Events that every process records in its timeline.

use serde::{Deserialize, Serialize};

use crate::{ids::HostId, units::Time, value};

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A request or job was accepted.
    Accepted,
    /// A request was rejected before it was sent to a target.
    Refused,
    /// A repeated request was attached to the run of the same call that is in progress.
    Joined,
    /// A request or item was sent to a target.
    Dispatched,
    /// The first token or byte of a response was received.
    FirstOutput,
    /// A target failed the request, or the attempt there was abandoned.
    TargetFailed,
    /// A partial run was resumed, for example on another target.
    Resumed,
    /// A result was stored durably.
    Recorded,
    /// A response was sent in full.
    Answered,
    /// This host claimed a lot.
    Claimed,
    /// A batch run was preempted to free capacity for online requests.
    Yielded,
    /// A job or request was cancelled.
    Cancelled,
    /// A job ended, or the work of this host on a lot.
    Finished,
    /// A configuration revision took effect.
    ConfigApplied,
    /// A host joined, left or failed.
    Membership,
    /// A process started, or began to shut down.
    Lifecycle,
}

value! {
    /// One entry of the timeline.
    pub struct Event {
        /// Host that recorded it.
        pub host: HostId,
        /// Sequence number on the recording host.
        pub sequence: u64,
        /// Lamport timestamp: larger than that of every event that this one depends on.
        pub logical: u64,
        /// Wall-clock time of the host.
        pub at: Time,
        /// What happened.
        pub kind: EventKind,
        /// Request, job or other object that the event is about; may be empty.
        pub subject: String,
        /// Short text with details.
        pub detail: String,
    }
}
