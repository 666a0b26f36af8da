//! Health of targets, as observed from the items that ran there.

use std::collections::HashMap;

use oleander_core::{Span, TargetId, Time};

/// Time after which an observation no longer counts.
const RETENTION: Span = Span::from_secs(30);

/// Doubled with each consecutive fault: the backoff is 100 ms after the first.
const BASE_BACKOFF: Span = Span::from_millis(50);
const MAX_BACKOFF: Span = Span::from_secs(5);
const MAX_DOUBLINGS: u32 = 7;

#[derive(Debug, Clone, Copy, Default)]
struct Observations {
    output: Option<Time>,
    success: Option<Time>,
    fault: Option<Time>,
    /// Number of faults since the last success.
    faults: u32,
}

/// The latest outputs, successes and faults of targets.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    targets: HashMap<TargetId, Observations>,
}

impl TargetHealth {
    /// Creates a record without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the target sent output of an item.
    pub fn record_output(&mut self, now: Time, target: &TargetId) {
        match self.targets.get_mut(target) {
            Some(seen) => seen.output = Some(now),
            None => self.targets.entry(target.clone()).or_default().output = Some(now),
        }
    }

    /// Records that an item succeeded at the target.
    pub fn record_success(&mut self, now: Time, target: &TargetId) {
        let seen = self.targets.entry(target.clone()).or_default();
        seen.success = Some(now);
        seen.faults = 0;
    }

    /// Records that the target failed an item or could not be reached.
    pub fn record_fault(&mut self, now: Time, target: &TargetId) {
        let seen = self.targets.entry(target.clone()).or_default();
        seen.fault = Some(now);
        seen.faults += 1;
    }

    /// Whether an item has succeeded at the target recently, with no fault since.
    #[must_use]
    pub fn is_healthy(&self, now: Time, target: &TargetId) -> bool {
        let Some(seen) = self.targets.get(target) else { return false };
        seen.success
            .is_some_and(|at| now.since(at) <= RETENTION && seen.fault.is_none_or(|f| f <= at))
    }

    /// Whether the target has sent output of any item since `since`.
    #[must_use]
    pub fn has_output_since(&self, since: Time, target: &TargetId) -> bool {
        let seen = self.targets.get(target);
        seen.and_then(|seen| seen.output).is_some_and(|at| at >= since)
    }

    /// Targets that get no new items for now, because of consecutive faults.
    ///
    /// A target that fails requests at once always has free slots, so that without the backoff
    /// most items would be sent to it.
    #[must_use]
    pub fn in_backoff(&self, now: Time) -> Vec<TargetId> {
        let targets = self.targets.iter().filter(|(_, seen)| {
            let backoff = (BASE_BACKOFF * (1 << seen.faults.min(MAX_DOUBLINGS))).min(MAX_BACKOFF);
            seen.faults > 0 && seen.fault.is_some_and(|at| now.since(at) < backoff)
        });
        targets.map(|(target, _)| target.clone()).collect()
    }

    /// Removes targets without recent observations.
    pub fn expire(&mut self, now: Time) {
        self.targets.retain(|_, seen| {
            seen.success
                .max(seen.fault)
                .max(seen.output)
                .is_some_and(|at| now.since(at) <= RETENTION)
        });
    }
}
