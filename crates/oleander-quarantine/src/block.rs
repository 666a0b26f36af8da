//! Parts that are blocked.

use oleander_core::{Span, Time};

use crate::parts::PartSet;

/// Duration of the first block; doubles each time that the parts crash a target again.
const BASE_DURATION: Span = Span::from_secs(10 * 60);
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 7;

/// A block of the requests that have all of some parts.
#[derive(Debug, Clone)]
pub(crate) struct Block {
    /// Parts with output since they were blocked.
    pub(crate) cleared: PartSet,
    /// How often the parts were blocked; zero for a request that runs alone.
    pub(crate) count: u32,
    pub(crate) ends: Time,
}

impl Block {
    /// The block that begins at `now`, after `earlier` ones of the same parts.
    pub(crate) fn begin(now: Time, earlier: u32) -> Self {
        let duration = BASE_DURATION * (1 << earlier.min(MAX_DOUBLINGS));
        Self { cleared: PartSet::default(), count: earlier + 1, ends: now + duration }
    }

    /// The record of a request that runs alone, of which the next crash begins the first block.
    pub(crate) fn isolate(now: Time) -> Self {
        Self { cleared: PartSet::default(), count: 0, ends: now }
    }

    /// Whether it only records that a request runs alone.
    pub(crate) const fn is_isolation(&self) -> bool {
        self.count == 0
    }

    pub(crate) fn is_active(&self, now: Time) -> bool {
        now < self.ends
    }
}
