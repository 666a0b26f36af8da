//! What a waiting item needs of a target, and which needs no target meets now.
//!
//! Some of what an item asks is a condition: its service, and the version that wrote its output for
//! as long as that is waited for. The rest is a preference, which must not keep it from an idle
//! target for long: another target than that of its last run, and one in this data centre.

use oleander_core::{ServiceId, Span, TargetId, Time};
use oleander_relay::VersionChoice;

/// Time for which an item waits for another target than that of its last run.
pub const AVOID_WAIT: Span = Span::from_secs(1);

/// What a waiting item needs of a target now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SlotNeed {
    /// Service of the target.
    pub service: ServiceId,
    /// Permitted versions.
    pub versions: VersionChoice,
    /// Target at which the item does not run yet.
    pub avoid: Option<TargetId>,
    /// Whether targets of other data centres are not used while this one has any.
    pub local_only: bool,
}

impl SlotNeed {
    /// Whether each target that meets `other` meets this need, too.
    fn includes(&self, other: &Self) -> bool {
        self.service == other.service
            && (self.versions == VersionChoice::Any || self.versions == other.versions)
            && (self.avoid.is_none() || self.avoid == other.avoid)
            && (!self.local_only || other.local_only)
    }
}

/// Needs that no target met when they were last checked.
#[derive(Debug, Clone, Default)]
pub struct UnmetNeeds(Vec<SlotNeed>);

impl UnmetNeeds {
    /// Records that no target meets a need.
    pub fn add(&mut self, need: SlotNeed) {
        self.0.push(need);
    }

    /// Whether no target meets this need, by what is recorded of it or of a wider one.
    #[must_use]
    pub fn covers(&self, need: &SlotNeed) -> bool {
        self.0.iter().any(|unmet| unmet.includes(need))
    }
}

/// What an item that has run before may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Avoidance {
    /// When the item could first run again.
    pub since: Time,
    /// Whether a run failed, which counts as one of the item's attempts.
    pub failed: bool,
    /// Whether any other target takes the item, now or once it has a free slot.
    pub has_other: bool,
}

impl Avoidance {
    /// Whether the item may run again at the target of its last run.
    ///
    /// Where it has failed it does so only if no other target takes it: it would use up its
    /// attempts at a target that fails everything.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        let has_waited = now.since(self.since) >= AVOID_WAIT;
        !self.has_other || (has_waited && !self.failed)
    }
}
