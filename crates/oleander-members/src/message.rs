//! Messages between members.

use oleander_core::{HostId, Revision, Time, value};
use serde::{Deserialize, Serialize};

use crate::{Incarnation, ListedState, Profile};

/// Largest payload of a host's facts, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64;

/// Whether a member answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Live,
    /// A probe went unanswered.
    Suspect,
    /// It did not refute the suspicion in time.
    Failed,
}

value! {
    /// Small versioned facts that a host tells about itself.
    #[derive(Default)]
    pub struct Facts {
        /// Rises with each change within one run of the process.
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
        /// Newest configuration revision that the sender has heard of.
        pub newest: Option<Revision>,
        /// The sender's own facts.
        pub facts: Facts,
        /// What the message is for.
        pub kind: MessageKind,
        /// News about members.
        pub updates: Vec<Update>,
    }

    /// What a message is for.
    pub enum MessageKind {
        /// Asks the receiver for an acknowledgement.
        Probe {
            /// Repeated in the acknowledgement.
            sequence: u32,
            /// Asks for a page of the members after this host.
            page: Option<Cursor>,
        },
        /// Acknowledges a probe.
        Ack {
            /// Sequence of the probe.
            sequence: u32,
            /// Where the next page starts, if a page was asked for and more follows.
            next: Option<Cursor>,
        },
        /// Asks the receiver to probe a third member.
        ProbeFor {
            /// Repeated in the acknowledgement.
            sequence: u32,
            /// The member to probe.
            target: HostId,
        },
        /// Carries news only.
        Notice,
    }

    /// A place in the table of members, ordered by name.
    pub enum Cursor {
        /// Before the first member.
        Start,
        /// After this host.
        After(HostId),
    }

    /// News about one member.
    pub enum Update {
        /// A process runs under this profile.
        Joined {
            /// Who it is.
            profile: Profile,
            /// Its refutations so far.
            refutations: u32,
        },
        /// Whether a member answers and stays.
        State {
            /// The member.
            host: HostId,
            /// The incarnation that this is about.
            incarnation: Incarnation,
            /// Whether it answers.
            liveness: Liveness,
            /// Whether it said that it is leaving.
            leaving: bool,
        },
        /// What the platform's list says of a host.
        Listed {
            /// The host.
            host: HostId,
            /// Revision of the list.
            revision: Revision,
            /// What the list says.
            state: ListedState,
        },
        /// Facts that a member told about itself.
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

/// Size of `value` as it is encoded on the wire.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(value, size).unwrap_or(usize::MAX)
}
