//! The platform's lagging list of hosts, as far as membership reads it.

use std::net::SocketAddr;

use oleander_core::{HostId, Revision, ZoneId, value};
use serde::{Deserialize, Serialize};

use crate::MemberRole;

/// What a list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ListedState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
    /// No longer in the list.
    Absent,
}

value! {
    /// One host of a list.
    pub struct ListedHost {
        /// Name of the host.
        pub host: HostId,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// What it runs.
        pub role: MemberRole,
        /// Address for peers.
        pub address: SocketAddr,
        /// Whether it is leaving.
        pub leaving: bool,
    }

    /// A whole list.
    pub struct HostList {
        /// Rises with each change of the list.
        pub revision: Revision,
        /// The hosts that are members; targets are left out.
        pub hosts: Vec<ListedHost>,
    }
}

impl ListedHost {
    /// What the list says of this host.
    pub(crate) const fn state(&self) -> ListedState {
        if self.leaving { ListedState::Leaving } else { ListedState::Live }
    }
}

/// What the newest list known says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListMark {
    /// Revision of that list.
    pub(crate) revision: Revision,
    /// What it says.
    pub(crate) state: ListedState,
}
