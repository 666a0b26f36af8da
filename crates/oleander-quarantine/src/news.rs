//! Messages between hosts.

use std::collections::BTreeSet;

use oleander_core::{Span, value};

use crate::parts::{PartSet, TargetRun};

value! {
    /// What a host knows of crashes and blocked parts, or what is new of it.
    #[derive(Default)]
    pub struct QuarantineNews {
        /// Crashes of targets.
        pub crashes: Vec<CrashNews>,
        /// Blocked parts.
        pub blocks: Vec<BlockNews>,
    }

    /// A crash of a target.
    pub struct CrashNews {
        /// The run that ended.
        pub run: TargetRun,
        /// Requests that had no output from it yet.
        pub suspects: BTreeSet<PartSet>,
        /// Parts with output from another target since then.
        pub cleared: PartSet,
    }

    /// Parts of which no request may have all.
    pub struct BlockNews {
        /// The parts.
        pub parts: PartSet,
        /// Those with output since then.
        pub cleared: PartSet,
        /// How often the parts were blocked; zero for a request that runs alone.
        pub count: u32,
        /// Time until the block ends.
        pub remaining: Span,
    }
}

impl QuarantineNews {
    /// Whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.blocks.is_empty()
    }
}
