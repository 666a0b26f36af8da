//! Status that a process reports to operators.

use std::fmt;

use oleander_core::{HostId, Revision, TargetId, ZoneId, value};
use serde::{Deserialize, Serialize};

use crate::Role;

/// Whether a process accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Not yet: the process has no configuration document.
    #[default]
    Starting,
    /// Yes.
    Ready,
    /// No longer: the process finishes requests in flight.
    Draining,
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

value! {
    /// Status of one process.
    pub struct HostStatus {
        /// Name of the host.
        pub host: HostId,
        /// Role of the process.
        pub role: Role,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// Revision of the current configuration document.
        pub revision: Option<Revision>,
        /// Whether the process accepts work.
        pub state: HostState,
        /// Requests or batch items in flight.
        pub in_flight: u64,
        /// Targets and their load as known to this host.
        #[serde(default)]
        pub targets: Vec<TargetStatus>,
    }

    /// Status of one target as known to a host.
    pub struct TargetStatus {
        /// Name of the target.
        pub name: TargetId,
        /// Name of the router's state of the target.
        pub state: String,
        /// Online requests in flight, over all known hosts.
        pub online: u64,
        /// Batch items in flight, over all known hosts.
        pub batch: u64,
        /// Current limit of requests in flight.
        pub limit: u64,
    }
}
