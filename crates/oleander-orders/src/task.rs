//! Reconciliation of one target, in rounds: confirm the record, wait, read the engine's state, send
//! an order, and read the state again.
//!
//! An order may be sent only within the validity time from the start of a read or write that showed
//! its record to be the newest. Any newer record was therefore written after that start. The first
//! order of the newer record is delayed by the validity time plus the timeout of a call, so that
//! all calls with orders of the older record have ended by then.

use oleander_core::{Fence, ModelId, Revision, Span, Time};

use crate::{
    config::OrdersConfig,
    event::{ReadOutcome, SendOutcome, StoredRecord, WriteOutcome},
    goal::{Command, Goal},
};

/// Retries after which the task of a removed target ends if its engine does not respond.
const MAX_REMOVED_RETRIES: u32 = 10;
/// Time for which the engine of a removed target is rechecked, from when its orders may be sent.
const REMOVED_WATCH_TIME: Span = Span::from_secs(60);
/// Maximum exponent of the retry delay, against overflow.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// Next step of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Wait until the task is due.
    Wait,
    /// The goal is reached: wait until the state is to be read again.
    Recheck,
    /// Read the record.
    ReadRecord,
    /// Write the record.
    WriteRecord { expected: Option<Revision>, assigned: Vec<ModelId> },
    /// Read the engine's state.
    ReadState,
    /// Send an order.
    SendOrder { fence: Fence, command: Command, not_after: Time },
    /// End the task.
    Finish,
}

/// The record that was last read or written, and when its orders may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ConfirmedRecord {
    revision: Revision,
    not_before: Time,
    not_after: Time,
}

/// Reconciliation of one target.
#[derive(Debug)]
pub(crate) struct Task {
    /// `None` until the record of a removed target has been read.
    pub(crate) goal: Option<Goal>,
    pub(crate) document: Revision,
    /// Number of the pending action.
    pub(crate) pending: Option<u64>,
    pub(crate) due: Time,
    /// When the last action started.
    started_at: Time,
    confirmed: Option<ConfirmedRecord>,
    /// Last command that the engine accepted in this round.
    accepted: Option<Command>,
    retries: u32,
}

impl Task {
    /// Task of a target that is in the document.
    pub(crate) fn new(goal: Goal, document: Revision, due: Time) -> Self {
        Self { goal: Some(goal), ..Self::removed(document, due) }
    }

    /// Task of a target that is not in the document; its goal is derived from its record.
    pub(crate) const fn removed(document: Revision, due: Time) -> Self {
        Self {
            goal: None,
            document,
            pending: None,
            due,
            started_at: due,
            confirmed: None,
            accepted: None,
            retries: 0,
        }
    }

    /// Revision of the record when it was last read or written.
    pub(crate) fn confirmed_revision(&self) -> Option<Revision> {
        self.confirmed.map(|record| record.revision)
    }

    /// Replaces the goal and resets the task.
    pub(crate) fn set_goal(&mut self, goal: Goal, document: Revision, due: Time) {
        *self = Self::new(goal, document, due);
    }

    /// Sets the revision of a document with the same goal.
    ///
    /// A task without a confirmed record may be waiting for a newer document, so it becomes due.
    pub(crate) fn set_document(&mut self, document: Revision, due: Time) {
        self.document = document;
        if self.confirmed.is_none() {
            self.due = self.due.min(due);
        }
    }

    /// Marks an action as pending.
    pub(crate) const fn start_action(&mut self, now: Time, number: u64) {
        self.started_at = now;
        self.pending = Some(number);
    }

    /// Starts the next round of a waiting task.
    pub(crate) fn start_round(&mut self) -> Step {
        self.accepted = None;
        match self.confirmed {
            Some(_) if self.retries == 0 => Step::ReadState,
            _ => Step::ReadRecord,
        }
    }

    /// Handles the outcome of reading the record.
    pub(crate) fn handle_read(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        outcome: ReadOutcome,
    ) -> Step {
        match outcome {
            ReadOutcome::Failed => self.retry(config, now),
            ReadOutcome::Absent if self.goal.is_none() => Step::Finish,
            ReadOutcome::Absent => Step::WriteRecord { expected: None, assigned: Vec::new() },
            ReadOutcome::Found(stored) => self.handle_found(config, now, stored),
        }
    }

    fn handle_found(&mut self, config: &OrdersConfig, now: Time, stored: StoredRecord) -> Step {
        let StoredRecord { revision, record } = stored;
        if record.document > self.document {
            self.confirmed = None;
            return self.retry(config, now);
        }
        let goal = self.goal.get_or_insert_with(|| record.drop_goal());
        if record.goal != *goal {
            return Step::WriteRecord { expected: Some(revision), assigned: record.assigned };
        }
        let delay = if record.first { Span::ZERO } else { config.order_delay };
        self.confirm_record(config, now, revision, delay)
    }

    /// Handles the outcome of writing the record.
    pub(crate) fn handle_write(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        outcome: WriteOutcome,
        first: bool,
    ) -> Step {
        match outcome {
            WriteOutcome::Done(revision) => {
                let delay = if first { Span::ZERO } else { config.order_delay };
                self.confirm_record(config, now, revision, delay)
            }
            WriteOutcome::Conflict | WriteOutcome::Failed => self.retry(config, now),
        }
    }

    fn confirm_record(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        revision: Revision,
        delay: Span,
    ) -> Step {
        let known = self.confirmed.filter(|record| record.revision == revision);
        let not_before = known.map_or(now + delay, |record| record.not_before);
        let not_after = self.started_at + config.order_validity;
        self.confirmed = Some(ConfirmedRecord { revision, not_before, not_after });
        Step::ReadState
    }

    /// Handles the models that the engine has loaded; `None` if its state could not be read.
    pub(crate) fn handle_state(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        loaded: Option<&[ModelId]>,
    ) -> Step {
        let Some(goal) = &self.goal else { return self.retry(config, now) };
        let Some(loaded) = loaded else { return self.handle_no_state(config, now) };
        let Some(command) = goal.next_command(loaded) else { return self.handle_goal_reached(now) };
        if self.accepted.as_ref() == Some(&command) {
            return self.retry(config, now);
        }
        let Some(record) = self.confirmed else { return Step::ReadRecord };
        if now < record.not_before {
            // A retry reads the record, which renews the validity of its orders.
            self.retries = self.retries.max(1);
            self.due = record.not_before;
            return Step::Wait;
        }
        if now > record.not_after {
            return Step::ReadRecord;
        }
        Step::SendOrder { fence: Fence(record.revision.0), command, not_after: record.not_after }
    }

    fn handle_goal_reached(&mut self, now: Time) -> Step {
        self.retries = 0;
        let watched =
            self.confirmed.is_some_and(|record| now >= record.not_before + REMOVED_WATCH_TIME);
        if watched && self.goal.as_ref().is_some_and(Goal::is_drop) {
            return Step::Finish;
        }
        Step::Recheck
    }

    /// Retries, or ends the task of a removed target after too many retries.
    fn handle_no_state(&mut self, config: &OrdersConfig, now: Time) -> Step {
        let removed = self.goal.as_ref().is_some_and(Goal::is_drop);
        if removed && self.retries >= MAX_REMOVED_RETRIES {
            return Step::Finish;
        }
        self.retry(config, now)
    }

    /// Handles the outcome of sending an order; the engine's state then shows its effect.
    pub(crate) fn handle_sent(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        command: Command,
        outcome: SendOutcome,
    ) -> Step {
        if outcome != SendOutcome::Accepted {
            return self.retry(config, now);
        }
        self.accepted = Some(command);
        Step::ReadState
    }

    fn retry(&mut self, config: &OrdersConfig, now: Time) -> Step {
        let delay = config.min_delay * (1 << self.retries.min(MAX_BACKOFF_EXPONENT));
        self.retries += 1;
        self.due = now + delay.min(config.max_delay);
        Step::Wait
    }
}
