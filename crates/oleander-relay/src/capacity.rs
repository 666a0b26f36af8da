//! How much work is sent to a target.
//!
//! Engines let requests in as they come, so that whatever waits there can't be reordered: no more
//! is sent than runs at once. For the jumps of online load, batch leaves a part of the slots free.

use oleander_routing::Target;

use crate::target_list::TargetEntry;

/// Part of the slots that batch leaves free, as a divisor.
const RESERVE_PART: u32 = 8;

/// Bounds of the work sent to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    reserve_part: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { reserve_part: RESERVE_PART }
    }
}

impl Capacity {
    /// The router's view of a listed target.
    #[must_use]
    pub fn bounds(self, entry: &TargetEntry) -> Target {
        let limit = entry.slots.max(1);
        Target {
            name: entry.id.clone(),
            zone: entry.zone.clone(),
            limit,
            reserve: limit / self.reserve_part,
        }
    }
}
