//! Load as reported by targets and exchanged between hosts.

use oleander_core::{TargetId, Time, value};

value! {
    /// A target's own report of its load; it lags.
    pub struct LoadReport {
        /// Requests in the running batch.
        pub running: u32,
        /// Requests in the target's queue.
        pub waiting: u32,
        /// When the target took the figures.
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

    /// Batch items of this host that a target has no room for.
    pub struct BatchExcess {
        /// The target.
        pub target: TargetId,
        /// Items to cancel now.
        pub count: u32,
    }
}

impl LoadReport {
    /// Everything the target had in hand.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
