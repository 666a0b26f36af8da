//! Which targets work, seen from the items that ran there.

use std::collections::HashMap;

use oleander_core::{Span, TargetId, Time};

/// Time for which a success shows that a target works.
const WINDOW: Span = Span::from_secs(30);

const FIRST_REST: Span = Span::from_millis(50);
const MAX_REST: Span = Span::from_secs(5);
const MAX_REST_STEPS: u32 = 7;

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    output: Option<Time>,
    success: Option<Time>,
    fault: Option<Time>,
    /// Faults since the last success.
    faults: u32,
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
    pub fn record_output(&mut self, now: Time, target: &TargetId) {
        match self.targets.get_mut(target) {
            Some(seen) => seen.output = Some(now),
            None => self.targets.entry(target.clone()).or_default().output = Some(now),
        }
    }

    /// An item succeeded there.
    pub fn record_success(&mut self, now: Time, target: &TargetId) {
        let seen = self.targets.entry(target.clone()).or_default();
        seen.success = Some(now);
        seen.faults = 0;
    }

    /// The target failed an item, or could not be reached.
    pub fn record_fault(&mut self, now: Time, target: &TargetId) {
        let seen = self.targets.entry(target.clone()).or_default();
        seen.fault = Some(now);
        seen.faults += 1;
    }

    /// Whether items have succeeded there of late, with no fault since.
    #[must_use]
    pub fn is_healthy(&self, now: Time, target: &TargetId) -> bool {
        let Some(seen) = self.targets.get(target) else { return false };
        seen.success.is_some_and(|at| now.since(at) <= WINDOW && seen.fault.is_none_or(|f| f <= at))
    }

    /// Whether any item received output there since `since`.
    #[must_use]
    pub fn has_output_since(&self, since: Time, target: &TargetId) -> bool {
        let seen = self.targets.get(target);
        seen.and_then(|seen| seen.output).is_some_and(|at| at >= since)
    }

    /// Targets that get no new items for a while after faults in a row.
    ///
    /// A target that fails at once would else take in all items, since it always has room.
    #[must_use]
    pub fn in_backoff(&self, now: Time) -> Vec<TargetId> {
        let resting = self.targets.iter().filter(|(_, seen)| {
            let rest = (FIRST_REST * (1 << seen.faults.min(MAX_REST_STEPS))).min(MAX_REST);
            seen.faults > 0 && seen.fault.is_some_and(|at| now.since(at) < rest)
        });
        resting.map(|(target, _)| target.clone()).collect()
    }

    /// Drops what no longer matters.
    pub fn expire(&mut self, now: Time) {
        self.targets.retain(|_, seen| {
            seen.success.max(seen.fault).max(seen.output).is_some_and(|at| now.since(at) <= WINDOW)
        });
    }
}
