//! Start and outcome of runs, and trials of suspects.

use oleander_core::{Span, TargetId, Time};

use super::{
    Lot,
    action::{LotAction, RunId, RunOutcome},
    item::{Item, ItemState, Trial},
};
use crate::record::{ItemError, ItemResult, LotRecord, MAX_RESPONSE_BYTES, Response};

const INITIAL_BACKOFF: Span = Span::from_millis(100);
const MAX_BACKOFF: Span = Span::from_secs(5);
const MAX_DOUBLINGS: u32 = 6;

impl Lot {
    /// Fails items that are past the deadline or have no tries left.
    pub(super) fn fail_items(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        for position in 0..self.items.len() {
            let item = &self.items[position];
            let Some(error) = item.failure_reason(now, &self.config) else { continue };
            if let ItemState::Running { run, .. } = item.state {
                actions.push(LotAction::CancelRun(run));
            }
            let result = ItemResult::failed(error, item.tries());
            self.record_result(now, position, result, actions);
        }
    }

    /// Requests a trial for each queued suspect without one.
    ///
    /// The suspect starts only after the trial is committed, so that all hosts count its trials.
    pub(super) fn request_trials(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        for position in 0..self.items.len() {
            if self.items[position].needs_trial() {
                self.request_trial(now, position, actions);
            }
        }
    }

    fn request_trial(&mut self, now: Time, position: usize, actions: &mut Vec<LotAction>) {
        let item = &mut self.items[position];
        item.trial = Trial::Requested;
        let number = item.losses + item.unresolved_trials + 1;
        self.append(now, LotRecord::Trial { item: self.index(position), number }, actions);
    }

    fn record_result(
        &mut self,
        now: Time,
        position: usize,
        result: ItemResult,
        actions: &mut Vec<LotAction>,
    ) {
        self.items[position].state = ItemState::Committing;
        self.items[position].partial = None;
        self.append(now, LotRecord::Outcome { item: self.index(position), result }, actions);
    }

    /// Position of a suspect that can start, at `target` or, if `None`, at any target.
    ///
    /// A lot runs one suspect at a time.
    pub(super) fn find_suspect(&self, now: Time, target: Option<&TargetId>) -> Option<usize> {
        if self.items.iter().any(|item| item.is_running() && item.suspect) {
            return None;
        }
        let target_count = self.config.target_count as usize;
        let matches_target =
            |item: &Item| target.is_none_or(|target| item.may_run_at(target, target_count));
        self.items.iter().position(|item| {
            item.is_ready(now)
                && item.suspect
                && item.trial == Trial::Granted
                && matches_target(item)
        })
    }

    /// Position of an item that can start at `target` along with others.
    pub(super) fn find_item(&self, now: Time, target: &TargetId) -> Option<usize> {
        let target_count = self.config.target_count as usize;
        self.items
            .iter()
            .position(|i| i.is_ready(now) && !i.suspect && i.may_run_at(target, target_count))
    }

    /// Starts an item in the offered slot, or declines the slot.
    pub(super) fn start(
        &mut self,
        now: Time,
        target: TargetId,
        alone: bool,
        actions: &mut Vec<LotAction>,
    ) {
        let found = match (self.is_held(), alone) {
            (false, _) => None,
            (true, true) => self.find_suspect(now, Some(&target)),
            (true, false) => self.find_item(now, &target),
        };
        let Some(position) = found else {
            actions.push(LotAction::DeclineSlot(target));
            return;
        };
        self.last_run += 1;
        let run = RunId { item: self.index(position), number: self.last_run };
        let item = &mut self.items[position];
        item.state = ItemState::Running { run, target: target.clone(), alone };
        actions.push(LotAction::StartRun { run, target, alone, partial: item.partial.take() });
    }

    pub(super) fn finish_run(
        &mut self,
        now: Time,
        run: RunId,
        outcome: RunOutcome,
        actions: &mut Vec<LotAction>,
    ) {
        let Some(position) = self.position(run.item) else { return };
        let Some(item) = self.items.get(position) else { return };
        let ItemState::Running { run: current, target, alone } = item.state.clone() else { return };
        if current != run {
            return;
        }
        match outcome {
            RunOutcome::Responded(response) => {
                self.progress_at = now;
                self.record_result(now, position, limit_size(response, item.tries()), actions);
            }
            RunOutcome::Failed { target_healthy: true } => {
                self.progress_at = now;
                self.items[position].state = ItemState::Committing;
                let record = LotRecord::TargetFailed { item: run.item, target };
                self.append(now, record, actions);
            }
            RunOutcome::TargetLost => self.record_loss(now, position, alone, actions),
            RunOutcome::Failed { target_healthy: false } | RunOutcome::NotRun => {
                self.items[position].back_off(now, INITIAL_BACKOFF, MAX_BACKOFF, MAX_DOUBLINGS);
            }
            RunOutcome::Yielded(partial) => {
                self.items[position].state = ItemState::Queued;
                self.items[position].partial = partial;
            }
        }
    }

    /// Records that a target was lost while it ran the item, and requests the next trial.
    fn record_loss(
        &mut self,
        now: Time,
        position: usize,
        alone: bool,
        actions: &mut Vec<LotAction>,
    ) {
        let item = self.index(position);
        self.items[position].state = ItemState::Committing;
        if !alone {
            self.append(now, LotRecord::Suspect { item }, actions);
            self.request_trial(now, position, actions);
            return;
        }
        self.append(now, LotRecord::TargetLost { item }, actions);
        if self.items[position].losses + 1 < self.config.max_tries {
            self.request_trial(now, position, actions);
        }
    }
}

/// Replaces a response that is too large to record by a failure.
fn limit_size(response: Response, tries: u32) -> ItemResult {
    if response.body.len() > MAX_RESPONSE_BYTES {
        return ItemResult::failed(ItemError::AnswerTooLarge, tries);
    }
    ItemResult::Response(response)
}
