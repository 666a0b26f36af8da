//! Configuration and status of targets.

use oleander_core::{TargetId, ZoneId, value};

value! {
    /// A target with its configured limits.
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

    /// Status of a target as seen by this host.
    pub struct TargetStatus {
        /// Name of the target.
        pub name: TargetId,
        /// Whether it takes new work.
        pub state: TargetState,
        /// Online requests in flight, over all known hosts.
        pub online: u32,
        /// Batch items in flight, over all known hosts.
        pub batch: u32,
        /// Current concurrency limit, at most the configured one.
        pub limit: u32,
    }
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes its current work and takes no new work.
    Leaving,
    /// Takes no new work for some time, after faults or slow responses.
    Ejected,
    /// After an ejection: takes one request at a time until one succeeds.
    Probing,
}
