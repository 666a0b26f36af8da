//! The status that a process reports to operators.

use std::fmt;

use oleander_core::{HostId, Revision, TargetId, ZoneId, value};
use serde::{Deserialize, Serialize};

use crate::Role;

/// Whether a process takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Not yet: no configuration is in force.
    #[default]
    Starting,
    /// Yes.
    Ready,
    /// No longer: it finishes what it has.
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
        /// Job of the process.
        pub role: Role,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// Configuration revision in force.
        pub revision: Option<Revision>,
        /// Whether the process takes work.
        pub state: HostState,
        /// Requests or items under way.
        pub in_flight: u64,
        /// Targets as this host sees them.
        #[serde(default)]
        pub targets: Vec<TargetStatus>,
    }

    /// One target as a host sees it.
    pub struct TargetStatus {
        /// Name of the target.
        pub name: TargetId,
        /// State in the words of the routing decisions.
        pub state: String,
        /// Online requests that this host has there.
        pub online: u64,
        /// Batch items that this host has there.
        pub batch: u64,
        /// Limit of requests in flight.
        pub limit: u64,
    }
}
