//! What a lot knows of one item.

use oleander_core::{Span, TargetId, Time};

use super::{LotConfig, MAX_LOST_TRIALS, PartialOutput, RunId};
use crate::record::ItemError;

/// Where an item stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum State {
    /// It waits for a place.
    Queued,
    /// It runs.
    Running { run: RunId, target: TargetId, alone: bool },
    /// A record about it is not committed yet.
    Recording,
    /// Its outcome is committed.
    Done,
}

/// Whether a suspect may run alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trial {
    /// None is under way.
    None,
    /// The record of the trial is not committed yet.
    Asked,
    /// It may run alone.
    Granted,
    /// Another claim opened it.
    Foreign,
}

/// One item of a lot.
#[derive(Debug, Clone)]
pub(super) struct Item {
    pub(super) state: State,
    pub(super) suspect: bool,
    pub(super) trial: Trial,
    pub(super) strikes: u32,
    pub(super) lost_trials: u32,
    pub(super) partial: Option<PartialOutput>,
    refused: Vec<TargetId>,
    faults: u32,
    ready_at: Time,
}

impl Item {
    pub(super) const fn new() -> Self {
        Self {
            state: State::Queued,
            suspect: false,
            trial: Trial::None,
            strikes: 0,
            lost_trials: 0,
            partial: None,
            refused: Vec::new(),
            faults: 0,
            ready_at: Time(0),
        }
    }

    pub(super) fn is_ready(&self, now: Time) -> bool {
        self.state == State::Queued && self.ready_at <= now
    }

    pub(super) const fn is_running(&self) -> bool {
        matches!(self.state, State::Running { .. })
    }

    pub(super) fn needs_trial(&self) -> bool {
        self.state == State::Queued && self.suspect && self.trial == Trial::None
    }

    /// Whether the item may run there: not where it was refused, while others remain.
    pub(super) fn may_run_at(&self, target: &TargetId, targets: usize) -> bool {
        !self.refused.contains(target) || self.refused.len() >= targets
    }

    /// Tries that count against the item.
    pub(super) const fn tries(&self) -> u32 {
        self.strikes + self.refused.len() as u32
    }

    /// Why the item ends without an answer, if it does.
    pub(super) fn verdict(&self, now: Time, config: &LotConfig) -> Option<ItemError> {
        if matches!(self.state, State::Recording | State::Done) {
            return None;
        }
        if now >= config.deadline {
            return Some(ItemError::DeadlineExceeded);
        }
        if self.is_running() {
            return None;
        }
        let lost = self.strikes >= config.max_tries || self.lost_trials >= MAX_LOST_TRIALS;
        if lost {
            return Some(ItemError::TargetLost);
        }
        (self.refused.len() as u32 >= config.max_tries).then_some(ItemError::TargetFailed)
    }

    pub(super) fn add_suspicion(&mut self) {
        self.suspect = true;
        self.requeue();
    }

    pub(super) const fn open_trial(&mut self, own: bool) {
        self.suspect = true;
        self.trial = if own { Trial::Granted } else { Trial::Foreign };
    }

    pub(super) const fn end_trial(&mut self) {
        self.trial = Trial::None;
    }

    /// Counts a trial whose holder was replaced before it told how the trial ended.
    pub(super) fn lose_trial(&mut self) {
        if matches!(self.trial, Trial::Foreign | Trial::Granted) {
            self.lost_trials += 1;
        }
        self.trial = Trial::None;
    }

    pub(super) fn add_strike(&mut self) {
        self.strikes += 1;
        if self.trial != Trial::Asked {
            self.trial = Trial::None;
        }
        self.requeue();
    }

    pub(super) fn add_refusal(&mut self, target: TargetId) {
        self.refused.push(target);
        self.requeue();
    }

    /// Waits longer after each fault of a target.
    pub(super) fn back_off(&mut self, now: Time, first: Span, most: Span, steps: u32) {
        self.state = State::Queued;
        self.ready_at = now + (first * (1 << self.faults.min(steps))).min(most);
        self.faults += 1;
    }

    fn requeue(&mut self) {
        if self.state == State::Recording {
            self.state = State::Queued;
        }
    }
}
