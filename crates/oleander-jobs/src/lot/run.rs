//! Start and end of single runs, and the trials of suspects.

use oleander_core::{Span, TargetId, Time};

use super::{
    Lot,
    action::{LotAction, RunId, RunOutcome},
    item::{Item, State, Trial},
};
use crate::record::{ItemError, ItemResult, LotRecord, MAX_RESPONSE_BYTES, Response};

const FIRST_BACKOFF: Span = Span::from_millis(100);
const MAX_BACKOFF: Span = Span::from_secs(5);
const MAX_BACKOFF_STEPS: u32 = 6;

impl Lot {
    pub(super) fn fail_lost_items(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        for position in 0..self.items.len() {
            let item = &self.items[position];
            let Some(error) = item.verdict(now, &self.config) else { continue };
            if let State::Running { run, .. } = item.state {
                actions.push(LotAction::CancelRun(run));
            }
            let result = ItemResult::failed(error, item.tries());
            self.record(now, position, result, actions);
        }
    }

    pub(super) fn ask_trials(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        for position in 0..self.items.len() {
            if self.items[position].needs_trial() {
                self.ask_trial(now, position, actions);
            }
        }
    }

    fn ask_trial(&mut self, now: Time, position: usize, actions: &mut Vec<LotAction>) {
        let item = &mut self.items[position];
        item.trial = Trial::Asked;
        let number = item.strikes + item.lost_trials + 1;
        self.append(now, LotRecord::Trial { item: self.index(position), number }, actions);
    }

    fn record(
        &mut self,
        now: Time,
        position: usize,
        result: ItemResult,
        actions: &mut Vec<LotAction>,
    ) {
        self.items[position].state = State::Recording;
        self.items[position].partial = None;
        self.append(now, LotRecord::Outcome { item: self.index(position), result }, actions);
    }

    /// A suspect that may start alone, at this target or at any.
    pub(super) fn find_suspect(&self, now: Time, target: Option<&TargetId>) -> Option<usize> {
        if self.items.iter().any(|item| item.is_running() && item.suspect) {
            return None;
        }
        let targets = self.config.target_count as usize;
        let fits = |item: &Item| target.is_none_or(|target| item.may_run_at(target, targets));
        self.items.iter().position(|item| {
            item.is_ready(now) && item.suspect && item.trial == Trial::Granted && fits(item)
        })
    }

    pub(super) fn find_ready(&self, now: Time, target: &TargetId) -> Option<usize> {
        let targets = self.config.target_count as usize;
        self.items
            .iter()
            .position(|i| i.is_ready(now) && !i.suspect && i.may_run_at(target, targets))
    }

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
            (true, false) => self.find_ready(now, &target),
        };
        let Some(position) = found else {
            actions.push(LotAction::DeclineSlot(target));
            return;
        };
        self.runs += 1;
        let run = RunId { item: self.index(position), number: self.runs };
        let item = &mut self.items[position];
        item.state = State::Running { run, target: target.clone(), alone };
        actions.push(LotAction::StartRun { run, target, alone, partial: item.partial.take() });
    }

    pub(super) fn end_run(
        &mut self,
        now: Time,
        run: RunId,
        end: RunOutcome,
        actions: &mut Vec<LotAction>,
    ) {
        let Some(position) = self.position(run.item) else { return };
        let Some(item) = self.items.get(position) else { return };
        let State::Running { run: current, target, alone } = item.state.clone() else { return };
        if current != run {
            return;
        }
        match end {
            RunOutcome::Responded(answer) => {
                self.progress = now;
                self.record(now, position, checked(answer, item.tries()), actions);
            }
            RunOutcome::Failed { target_healthy: true } => {
                self.progress = now;
                self.items[position].state = State::Recording;
                let record = LotRecord::TargetFailed { item: run.item, target };
                self.append(now, record, actions);
            }
            RunOutcome::TargetLost => self.suspect(now, position, alone, actions),
            RunOutcome::Failed { target_healthy: false } | RunOutcome::NotRun => {
                self.items[position].back_off(now, FIRST_BACKOFF, MAX_BACKOFF, MAX_BACKOFF_STEPS);
            }
            RunOutcome::Yielded(partial) => {
                self.items[position].state = State::Queued;
                self.items[position].partial = partial;
            }
        }
    }

    /// Records that a target was lost under an item, and the trial that follows.
    fn suspect(&mut self, now: Time, position: usize, alone: bool, actions: &mut Vec<LotAction>) {
        let item = self.index(position);
        self.items[position].state = State::Recording;
        if !alone {
            self.append(now, LotRecord::Suspect { item }, actions);
            self.ask_trial(now, position, actions);
            return;
        }
        self.append(now, LotRecord::TargetLost { item }, actions);
        if self.items[position].strikes + 1 < self.config.max_tries {
            self.ask_trial(now, position, actions);
        }
    }
}

/// Replaces an answer that is too large to record.
fn checked(answer: Response, tries: u32) -> ItemResult {
    if answer.body.len() > MAX_RESPONSE_BYTES {
        return ItemResult::failed(ItemError::AnswerTooLarge, tries);
    }
    ItemResult::Response(answer)
}
