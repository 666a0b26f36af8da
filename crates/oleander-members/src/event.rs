//! What drives the state machine, and what it asks for.

use oleander_core::{HostId, Revision};

use crate::{HostList, MemberState, Message};

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// Time passed; due at least once a [tick interval](crate::MembersConfig::tick_interval).
    Tick,
    /// An authenticated message arrived.
    Received {
        /// Host that sealed the message.
        from: HostId,
        /// The message.
        message: Message,
    },
    /// The platform's list was read.
    Listed(HostList),
    /// This host's own facts changed.
    Published {
        /// Configuration revision in force.
        revision: Option<Revision>,
        /// Opaque bytes; those beyond the bound are cut off.
        payload: Vec<u8>,
    },
    /// This host is leaving.
    Leave,
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message. An acknowledgement may travel as the answer to the probe's own call.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// A member's state changed; the host itself is reported when it or the list says it leaves.
    StateChanged {
        /// The member.
        host: HostId,
        /// Its new state; [`MemberState::Failed`] too when it is forgotten.
        state: MemberState,
    },
    /// A member's facts changed.
    FactsChanged {
        /// The member.
        host: HostId,
    },
    /// A configuration revision newer than all before was heard of.
    NewestRevision(Revision),
}
