//! Load figures from targets and between hosts.

use oleander_core::{TargetId, Time, value};

value! {
    /// A target's own report of its load; it arrives late.
    pub struct LoadReport {
        /// Requests in execution.
        pub running: u32,
        /// Requests in the target's queue.
        pub waiting: u32,
        /// When the figures were measured.
        pub measured_at: Time,
    }

    /// One host's requests in flight at one target.
    pub struct PeerCount {
        /// The target.
        pub target: TargetId,
        /// Online requests.
        pub online: u32,
        /// Batch items.
        pub batch: u32,
    }

    /// Batch items of this host beyond a target's capacity.
    pub struct BatchExcess {
        /// The target.
        pub target: TargetId,
        /// Items to cancel now.
        pub count: u32,
    }
}

impl LoadReport {
    /// All requests at the target, running or queued.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
