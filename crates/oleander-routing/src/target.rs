//! Targets as the router is told about them and as it reports them.

use oleander_core::{TargetId, ZoneId, value};

value! {
    /// A target and its configured bounds.
    pub struct Target {
        /// Name of the target.
        pub name: TargetId,
        /// Data centre of the target.
        pub zone: ZoneId,
        /// Most requests in flight, online and batch, over all hosts.
        pub limit: u32,
        /// Slots that batch leaves free for online requests.
        pub reserve: u32,
    }

    /// One target as this host sees it.
    pub struct TargetStatus {
        /// Name of the target.
        pub name: TargetId,
        /// Whether it takes new work.
        pub state: TargetState,
        /// Online requests in flight, over all known hosts.
        pub online: u32,
        /// Batch items in flight, over all known hosts.
        pub batch: u32,
        /// Limit in force, at most the configured one.
        pub limit: u32,
    }
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Takes nothing for a while, after faults or slow answers.
    Ejected,
    /// Takes one request at a time until one succeeds.
    Probing,
}
