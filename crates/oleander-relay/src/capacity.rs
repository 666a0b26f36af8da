//! Concurrency limits per target.
//!
//! Model engines admit requests in order of arrival, so requests that queue there can't be
//! reordered; no more are sent than run at once. Batch work leaves a share of the slots free for
//! bursts of online load.

use oleander_routing::Target;

use crate::target_list::TargetEntry;

/// Batch work leaves one slot free out of this many.
const RESERVE_DIVISOR: u32 = 8;

/// Derives the router's limits from listed targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    reserve_divisor: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { reserve_divisor: RESERVE_DIVISOR }
    }
}

impl Capacity {
    /// Router settings of a listed target.
    #[must_use]
    pub fn limits(self, entry: &TargetEntry) -> Target {
        let limit = entry.slots.max(1);
        Target {
            name: entry.id.clone(),
            zone: entry.zone.clone(),
            limit,
            reserve: limit / self.reserve_divisor,
        }
    }
}
