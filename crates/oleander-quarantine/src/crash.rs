//! A crash and what is known of its cause.

use std::collections::BTreeSet;

use oleander_core::{PromptPart, Time};

use crate::parts::{PartSet, TargetRun};

/// A crash of a target.
#[derive(Debug, Clone)]
pub(crate) struct Crash {
    /// When this host learned of it.
    pub(crate) known_at: Time,
    /// Requests that had no output from the target yet.
    pub(crate) suspects: BTreeSet<PartSet>,
    /// Parts with output from another target since then.
    pub(crate) cleared: PartSet,
    /// Whether the target accepts connections of this host, whatever others report.
    pub(crate) is_reached: bool,
}

/// The last crash of a target, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastCrash {
    /// When this host learned of it.
    pub known_at: Time,
    /// Whether the target accepts connections of this host all the same: the report was wrong, or
    /// the target has started again.
    pub is_reached: bool,
}

impl Crash {
    pub(crate) const fn new(now: Time) -> Self {
        let cleared = PartSet(BTreeSet::new());
        Self { known_at: now, suspects: BTreeSet::new(), cleared, is_reached: false }
    }

    /// Whether a host has shown that `run`, which is this one, goes on.
    pub(crate) fn is_refuted(&self, run: &TargetRun) -> bool {
        self.cleared.0.contains(&run.refutation())
    }

    /// Whether the target may still be down after the end of `run`, which is this one.
    pub(crate) fn may_last(&self, run: &TargetRun) -> bool {
        !self.is_reached && !self.is_refuted(run)
    }

    /// Records that `run`, which is this one, goes on, so that its suspects are none.
    pub(crate) fn refute(&mut self, run: &TargetRun) {
        let suspected = self.suspected();
        self.cleared.0.extend(suspected);
        self.cleared.0.insert(run.refutation());
    }

    /// Parts of suspects that are not cleared.
    pub(crate) fn suspected(&self) -> BTreeSet<PromptPart> {
        let all = self.suspects.iter().flat_map(|parts| parts.0.iter().copied());
        all.filter(|part| !self.cleared.0.contains(part)).collect()
    }

    /// Parts that are not cleared, of the suspects that have `part`.
    pub(crate) fn suspected_with(&self, part: PromptPart) -> BTreeSet<PromptPart> {
        let with = self.suspects.iter().filter(|parts| parts.0.contains(&part));
        let all = with.flat_map(|parts| parts.0.iter().copied());
        all.filter(|part| !self.cleared.0.contains(part)).collect()
    }

    /// Whether a suspect has `part`, which is not cleared.
    pub(crate) fn suspects(&self, part: PromptPart) -> bool {
        !self.cleared.0.contains(&part) && self.suspects.iter().any(|parts| parts.0.contains(&part))
    }

    /// Whether a request is a suspect with a part that is not cleared.
    pub(crate) fn is_open_for(&self, request: &PartSet) -> bool {
        self.suspects.contains(request)
            && request.0.iter().any(|part| !self.cleared.0.contains(part))
    }

    /// Clears parts; returns whether any was suspected.
    pub(crate) fn clear(&mut self, parts: &PartSet) -> bool {
        let cleared: Vec<PromptPart> =
            parts.0.iter().copied().filter(|part| self.suspects(*part)).collect();
        let any = !cleared.is_empty();
        self.cleared.0.extend(cleared);
        any
    }

    /// Whether a suspect has all of `parts`.
    pub(crate) fn is_explained_by(&self, parts: &PartSet) -> bool {
        self.suspects.iter().any(|suspect| parts.is_within(suspect))
    }
}
