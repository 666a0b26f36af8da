//! Inputs and outputs of the state machine.

use oleander_core::{HostId, Revision};

use crate::{HostList, MemberState, Message};

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// Time passed; must come at least once per
    /// [tick interval](crate::MembersConfig::tick_interval).
    Tick,
    /// An authenticated message arrived.
    Received {
        /// The authenticated sender.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The platform's host list was read.
    Listed(HostList),
    /// Somebody waits for a host: it is probed at once if it is a candidate.
    Contact {
        /// The host.
        host: HostId,
    },
    /// A probe of a host has failed.
    Unanswered {
        /// The host.
        host: HostId,
        /// Whether the connection was refused, so that nothing listens at its address.
        is_refused: bool,
    },
    /// This host published new facts about itself.
    Published {
        /// Configuration revision in force.
        revision: Option<Revision>,
        /// Opaque bytes, truncated to [`MAX_PAYLOAD_BYTES`](crate::MAX_PAYLOAD_BYTES).
        payload: Vec<u8>,
    },
    /// This host is leaving.
    Leave,
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message; an acknowledgement may be returned as the response to the probe.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// A member's state changed. This host itself is reported only when it starts to leave, on its
    /// own or because the host list says so.
    StateChanged {
        /// The member.
        host: HostId,
        /// Its new state; [`MemberState::Failed`] also when it is removed from the table.
        state: MemberState,
    },
    /// A member's facts changed.
    FactsChanged {
        /// The member.
        host: HostId,
    },
    /// A configuration revision newer than any known before was received or published.
    NewestRevision(Revision),
}
