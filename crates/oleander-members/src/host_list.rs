//! The platform's host list, reduced to what membership needs; it may lag behind.

use std::net::SocketAddr;

use oleander_core::{HostId, Revision, ZoneId, value};
use serde::{Deserialize, Serialize};

use crate::MemberRole;

/// State of a host according to the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ListedState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
    /// No longer listed.
    Absent,
}

value! {
    /// One entry of the host list.
    pub struct ListedHost {
        /// Name of the host.
        pub host: HostId,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// Kind of process that it runs.
        pub role: MemberRole,
        /// Address that peers connect to.
        pub address: SocketAddr,
        /// Whether it is leaving.
        pub leaving: bool,
    }

    /// The complete host list at one revision.
    pub struct HostList {
        /// Increases with each change of the list.
        pub revision: Revision,
        /// The hosts that take part in membership; targets do not.
        pub hosts: Vec<ListedHost>,
    }
}

impl ListedHost {
    /// State that this entry gives the host.
    pub(crate) const fn state(&self) -> ListedState {
        if self.leaving { ListedState::Leaving } else { ListedState::Live }
    }
}

/// State of a host in the newest host list known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListEntry {
    /// Revision of the list.
    pub(crate) revision: Revision,
    /// State of the host in it.
    pub(crate) state: ListedState,
}
