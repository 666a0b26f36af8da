//! Messages between members, encoded by position with postcard.

use oleander_core::{HostId, Revision, Time, value};
use serde::{Deserialize, Serialize};

use crate::{Incarnation, ListedState, Profile};

/// Largest payload of a host's facts, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;

/// Result of failure detection for a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It acknowledges probes.
    Live,
    /// It did not acknowledge a probe, directly or through other members.
    Suspect,
    /// It did not refute the suspicion before the timeout.
    Failed,
}

value! {
    /// Small versioned metadata that a host publishes about itself.
    #[derive(Default)]
    pub struct Facts {
        /// Increases with each change within one run of the process.
        pub version: u64,
        /// Configuration revision in force.
        pub revision: Option<Revision>,
        /// Opaque bytes, at most [`MAX_PAYLOAD_BYTES`].
        pub payload: Vec<u8>,
    }

    /// A message from one member to another.
    pub struct Message {
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// Whether the sender is leaving.
        pub leaving: bool,
        /// Newest configuration revision that the sender knows of.
        pub newest: Option<Revision>,
        /// The sender's own facts.
        pub facts: Facts,
        /// Purpose of the message.
        pub kind: MessageKind,
        /// Piggybacked information about members.
        pub updates: Vec<Update>,
    }

    /// Purpose of a message.
    pub enum MessageKind {
        /// Asks the receiver for an acknowledgement.
        Probe {
            /// Copied into the acknowledgement.
            sequence: u32,
            /// Requests a page of the member table from this position on.
            page: Option<Cursor>,
        },
        /// Acknowledges a probe.
        Ack {
            /// Sequence number of the probe.
            sequence: u32,
            /// Start of the next page, if a page was requested and more members follow.
            next: Option<Cursor>,
        },
        /// Asks the receiver to probe a third member.
        ProbeFor {
            /// Copied into the acknowledgement.
            sequence: u32,
            /// The member to probe.
            target: HostId,
        },
        /// Carries updates only; needs no response.
        Notice,
    }

    /// A position in the member table, which is ordered by host name.
    pub enum Cursor {
        /// Before the first member.
        Start,
        /// After this host.
        After(HostId),
    }

    /// New information about one member.
    pub enum Update {
        /// A process runs under this profile.
        Joined {
            /// Profile of the process.
            profile: Profile,
            /// Its refutations so far.
            refutations: u32,
        },
        /// Liveness of a member, and whether it is leaving.
        State {
            /// The member.
            host: HostId,
            /// The incarnation that the update refers to.
            incarnation: Incarnation,
            /// Result of failure detection.
            liveness: Liveness,
            /// Whether it announced that it is leaving.
            leaving: bool,
        },
        /// State of a host in the platform's host list.
        Listed {
            /// The host.
            host: HostId,
            /// Revision of the list.
            revision: Revision,
            /// State of the host in the list.
            state: ListedState,
        },
        /// Facts that a member published about itself.
        Facts {
            /// The member.
            host: HostId,
            /// Start of its process.
            started: Time,
            /// The facts.
            facts: Facts,
        },
    }
}

/// Size of `value` in its wire encoding.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(value, size).unwrap_or(usize::MAX)
}
