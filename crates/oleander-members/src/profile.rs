//! Who a host is, and which run of its process a message is about.

use std::net::SocketAddr;

use oleander_core::{HostId, Time, ZoneId, value};
use serde::{Deserialize, Serialize};

/// What a member runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Serves callers.
    Entry,
    /// Runs batch jobs.
    Batch,
}

value! {
    /// What does not change while a process runs.
    pub struct Profile {
        /// Name of the host.
        pub host: HostId,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// What the process runs.
        pub role: MemberRole,
        /// Address for peers.
        pub address: SocketAddr,
        /// Start of the process; tells a restarted process from its former run.
        pub started: Time,
    }
}

/// A run of a process and the number of times it refuted its failure; larger is newer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Start of the process; zero for a host known from the list only.
    pub started: Time,
    /// Refutations since.
    pub refutations: u32,
}
