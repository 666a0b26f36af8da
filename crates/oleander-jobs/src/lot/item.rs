//! State of one item of a lot.

use oleander_core::{Span, TargetId, Time};

use super::{LotConfig, MAX_UNRESOLVED_TRIALS, PartialOutput, RunId};
use crate::record::ItemError;

/// State of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ItemState {
    /// It waits for a slot.
    Queued,
    /// It runs.
    Running { run: RunId, target: TargetId, alone: bool },
    /// A record of its result or of a failed run is not committed yet.
    Committing,
    /// Its result is committed.
    Done,
}

/// State of a suspect's trial: a run alone at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trial {
    /// There is no trial.
    None,
    /// The record of the trial is not committed yet.
    Requested,
    /// The record is committed; the suspect may run.
    Granted,
    /// The trial belongs to another claim.
    Foreign,
}

/// One item of a lot.
#[derive(Debug, Clone)]
pub(super) struct Item {
    pub(super) state: ItemState,
    pub(super) suspect: bool,
    pub(super) trial: Trial,
    /// Number of targets lost during trials.
    pub(super) losses: u32,
    /// Number of trials that ended with the claim.
    pub(super) unresolved_trials: u32,
    pub(super) partial: Option<PartialOutput>,
    /// Healthy targets that failed the item, one entry for each failure.
    failed_at: Vec<TargetId>,
    /// Number of runs that ended in a fault and did not count as tries.
    faults: u32,
    /// End of the backoff.
    ready_at: Time,
}

impl Item {
    pub(super) const fn new() -> Self {
        Self {
            state: ItemState::Queued,
            suspect: false,
            trial: Trial::None,
            losses: 0,
            unresolved_trials: 0,
            partial: None,
            failed_at: Vec::new(),
            faults: 0,
            ready_at: Time(0),
        }
    }

    pub(super) fn is_ready(&self, now: Time) -> bool {
        self.state == ItemState::Queued && self.ready_at <= now
    }

    pub(super) const fn is_running(&self) -> bool {
        matches!(self.state, ItemState::Running { .. })
    }

    pub(super) fn needs_trial(&self) -> bool {
        self.state == ItemState::Queued && self.suspect && self.trial == Trial::None
    }

    /// Whether the item may run at the target: not again where it failed, until it has failed as
    /// often as the service has targets.
    pub(super) fn may_run_at(&self, target: &TargetId, target_count: usize) -> bool {
        !self.failed_at.contains(target) || self.failed_at.len() >= target_count
    }

    /// Number of tries that count towards the limit.
    pub(super) const fn tries(&self) -> u32 {
        self.losses + self.failed_at.len() as u32
    }

    /// Reason to fail the item now, if there is one.
    pub(super) fn failure_reason(&self, now: Time, config: &LotConfig) -> Option<ItemError> {
        if matches!(self.state, ItemState::Committing | ItemState::Done) {
            return None;
        }
        if now >= config.deadline {
            return Some(ItemError::DeadlineExceeded);
        }
        if self.is_running() {
            return None;
        }
        let is_lost =
            self.losses >= config.max_tries || self.unresolved_trials >= MAX_UNRESOLVED_TRIALS;
        if is_lost {
            return Some(ItemError::TargetLost);
        }
        (self.failed_at.len() as u32 >= config.max_tries).then_some(ItemError::TargetFailed)
    }

    pub(super) fn mark_suspect(&mut self) {
        self.suspect = true;
        self.requeue();
    }

    pub(super) const fn start_trial(&mut self, is_own: bool) {
        self.suspect = true;
        self.trial = if is_own { Trial::Granted } else { Trial::Foreign };
    }

    pub(super) const fn end_trial(&mut self) {
        self.trial = Trial::None;
    }

    /// Counts a trial as unresolved: its claim was replaced before an outcome was recorded.
    pub(super) fn abandon_trial(&mut self) {
        if matches!(self.trial, Trial::Foreign | Trial::Granted) {
            self.unresolved_trials += 1;
        }
        self.trial = Trial::None;
    }

    pub(super) fn add_loss(&mut self) {
        self.losses += 1;
        // The next trial may have been requested along with the record of this loss.
        if self.trial != Trial::Requested {
            self.trial = Trial::None;
        }
        self.requeue();
    }

    pub(super) fn add_failure(&mut self, target: TargetId) {
        self.failed_at.push(target);
        self.requeue();
    }

    /// Requeues the item after a fault that doesn't count as a try, with exponential backoff.
    pub(super) fn back_off(&mut self, now: Time, initial: Span, max: Span, doublings: u32) {
        self.state = ItemState::Queued;
        self.ready_at = now + (initial * (1 << self.faults.min(doublings))).min(max);
        self.faults += 1;
    }

    fn requeue(&mut self) {
        if self.state == ItemState::Committing {
            self.state = ItemState::Queued;
        }
    }
}
