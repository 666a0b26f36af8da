//! Identity of a member, and the run of its process that a message refers to.

use std::net::SocketAddr;

use oleander_core::{HostId, Time, ZoneId, value};
use serde::{Deserialize, Serialize};

/// Kind of process that a member runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Serves callers.
    Entry,
    /// Runs batch jobs.
    Batch,
}

value! {
    /// Attributes of a process that stay the same while it runs.
    pub struct Profile {
        /// Name of the host.
        pub host: HostId,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// Kind of process.
        pub role: MemberRole,
        /// Address that peers connect to.
        pub address: SocketAddr,
        /// Start of the process; distinguishes it from earlier runs.
        pub started: Time,
    }
}

/// A run of a process and its refutations so far; the larger value is newer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Start of the process; zero for a host known from the host list only.
    pub started: Time,
    /// Times that this run has refuted a suspicion or failure.
    pub refutations: u32,
}
