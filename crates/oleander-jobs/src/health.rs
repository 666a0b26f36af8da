//! Which targets work, seen from the items that ran there.

use std::collections::HashMap;

use oleander_core::{Span, TargetId, Time};

/// Time for which a success shows that a target works.
const WINDOW: Span = Span::from_secs(30);

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    success: Option<Time>,
    fault: Option<Time>,
}

/// The last successes and faults of targets.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    targets: HashMap<TargetId, Seen>,
}

impl TargetHealth {
    /// Nothing seen yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An item succeeded there.
    pub fn succeeded(&mut self, now: Time, target: &TargetId) {
        self.targets.entry(target.clone()).or_default().success = Some(now);
    }

    /// The target refused a connection, broke one or was overloaded.
    pub fn faulted(&mut self, now: Time, target: &TargetId) {
        self.targets.entry(target.clone()).or_default().fault = Some(now);
    }

    /// Whether items have succeeded there of late, with no fault since.
    #[must_use]
    pub fn works(&self, now: Time, target: &TargetId) -> bool {
        let Some(seen) = self.targets.get(target) else { return false };
        seen.success.is_some_and(|at| now.since(at) <= WINDOW && seen.fault.is_none_or(|f| f <= at))
    }

    /// Drops what no longer matters.
    pub fn expire(&mut self, now: Time) {
        self.targets.retain(|_, seen| {
            seen.success.max(seen.fault).is_some_and(|at| now.since(at) <= WINDOW)
        });
    }
}
