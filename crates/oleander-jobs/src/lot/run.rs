//! Start and end of single runs, and the trials of suspects.

use oleander_core::{Span, TargetId, Time};

use super::{
    Lot,
    action::{ItemEnd, LotAction, RunId},
    state::{State, Trial},
};
use crate::record::{Answer, ItemError, ItemResult, LotRecord, MAX_ANSWER_BYTES};

const FIRST_BACKOFF: Span = Span::from_millis(100);
const MAX_BACKOFF: Span = Span::from_secs(5);
const MAX_BACKOFF_STEPS: u32 = 6;

impl Lot {
    pub(super) fn fail_lost_items(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        for position in 0..self.items.len() {
            let item = &self.items[position];
            let Some(error) = item.verdict(now, &self.config) else { continue };
            if let State::Running { run, .. } = item.state {
                actions.push(LotAction::Stop(run));
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

    pub(super) fn find_suspect(&self, now: Time) -> Option<usize> {
        if self.items.iter().any(|item| item.is_running() && item.suspect) {
            return None;
        }
        self.items.iter().position(|i| i.is_ready(now) && i.suspect && i.trial == Trial::Granted)
    }

    pub(super) fn find_ready(&self, now: Time, target: &TargetId) -> Option<usize> {
        let targets = self.config.targets as usize;
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
            (true, true) => self.find_suspect(now),
            (true, false) => self.find_ready(now, &target),
        };
        let Some(position) = found else {
            actions.push(LotAction::Spare(target));
            return;
        };
        self.runs += 1;
        let run = RunId { item: self.index(position), number: self.runs };
        let item = &mut self.items[position];
        item.state = State::Running { run, target: target.clone(), alone };
        actions.push(LotAction::Run { run, target, alone, partial: item.partial.take() });
    }

    pub(super) fn end_run(
        &mut self,
        now: Time,
        run: RunId,
        end: ItemEnd,
        actions: &mut Vec<LotAction>,
    ) {
        let Some(position) = self.position(run.item) else { return };
        let Some(item) = self.items.get(position) else { return };
        let State::Running { run: current, target, alone } = item.state.clone() else { return };
        if current != run {
            return;
        }
        match end {
            ItemEnd::Answered(answer) => {
                self.progress = now;
                self.record(now, position, checked(answer, item.tries()), actions);
            }
            ItemEnd::Failed { target_works: true } => {
                self.progress = now;
                self.items[position].state = State::Recording;
                let record = LotRecord::Refused { item: run.item, target };
                self.append(now, record, actions);
            }
            ItemEnd::Lost => self.suspect(now, position, alone, actions),
            ItemEnd::Failed { target_works: false } | ItemEnd::NotRun => {
                self.items[position].back_off(now, FIRST_BACKOFF, MAX_BACKOFF, MAX_BACKOFF_STEPS);
            }
            ItemEnd::Yielded(partial) => {
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
        self.append(now, LotRecord::Strike { item }, actions);
        if self.items[position].strikes + 1 < self.config.tries {
            self.ask_trial(now, position, actions);
        }
    }
}

/// Replaces an answer that is too large to record.
fn checked(answer: Answer, tries: u32) -> ItemResult {
    if answer.body.len() > MAX_ANSWER_BYTES {
        return ItemResult::failed(ItemError::AnswerTooLarge, tries);
    }
    ItemResult::Answer(answer)
}
