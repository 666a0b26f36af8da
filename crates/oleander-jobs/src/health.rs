//! Which targets work, seen from the items that ran there.

use std::collections::HashMap;

use oleander_core::{Span, TargetId, Time};

/// Time for which a success shows that a target works.
const WINDOW: Span = Span::from_secs(30);

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    output: Option<Time>,
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

    /// An item received output there.
    pub fn gave_output(&mut self, now: Time, target: &TargetId) {
        match self.targets.get_mut(target) {
            Some(seen) => seen.output = Some(now),
            None => self.targets.entry(target.clone()).or_default().output = Some(now),
        }
    }

    /// An item succeeded there.
    pub fn succeeded(&mut self, now: Time, target: &TargetId) {
        self.targets.entry(target.clone()).or_default().success = Some(now);
    }

    /// The target failed an item, or could not be reached.
    pub fn faulted(&mut self, now: Time, target: &TargetId) {
        self.targets.entry(target.clone()).or_default().fault = Some(now);
    }

    /// Whether items have succeeded there of late, with no fault since.
    #[must_use]
    pub fn works(&self, now: Time, target: &TargetId) -> bool {
        let Some(seen) = self.targets.get(target) else { return false };
        seen.success.is_some_and(|at| now.since(at) <= WINDOW && seen.fault.is_none_or(|f| f <= at))
    }

    /// Whether any item received output there since `since`.
    #[must_use]
    pub fn is_active(&self, since: Time, target: &TargetId) -> bool {
        let seen = self.targets.get(target);
        seen.and_then(|seen| seen.output).is_some_and(|at| at >= since)
    }

    /// Drops what no longer matters.
    pub fn expire(&mut self, now: Time) {
        self.targets.retain(|_, seen| {
            seen.success.max(seen.fault).max(seen.output).is_some_and(|at| now.since(at) <= WINDOW)
        });
    }
}
