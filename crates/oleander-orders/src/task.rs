//! The work on one target: record, wait, state, order, and back to the state.
//!
//! Each order rests on a permit: a read or write of the record, issued at most the validity ago,
//! that showed it as the newest. A later record therefore takes effect after that moment, and its
//! own orders wait until the permit and the calls made under it have run out.

use oleander_core::{Fence, ModelId, Revision, Span, Time};

use crate::{
    config::OrdersConfig,
    event::{ReadOutcome, SendOutcome, StoredRecord, WriteOutcome},
    goal::{Command, Goal},
};

/// Retries after which the engine of a dropped target is assigned up.
const DROP_TRIES: u32 = 10;
/// Time for which the engine of a dropped target is looked at after its last record.
const DROP_WATCH: Span = Span::from_secs(60);
/// Largest exponent of the retry delay.
const MAX_EXPONENT: u32 = 16;

/// What the task wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Next {
    /// Nothing before the task is due.
    Rest,
    /// Nothing before the next look at the state.
    Settled,
    /// Read the record.
    ReadRecord,
    /// Write the record.
    Write { expected: Option<Revision>, assigned: Vec<ModelId> },
    /// Read the engine's state.
    ReadState,
    /// Send an order.
    Order { fence: Fence, command: Command, not_after: Time },
    /// Nothing ever again.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    revision: Revision,
    first_order: Time,
    permit: Time,
}

/// The work on one target.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) goal: Option<Goal>,
    pub(crate) document: Revision,
    /// Number of the call under way.
    pub(crate) pending: Option<u64>,
    pub(crate) due: Time,
    issued: Time,
    seen: Option<Seen>,
    /// Order that the engine has taken in this round.
    taken: Option<Command>,
    tries: u32,
}

impl Task {
    /// Work on a target whose goal is in the document.
    pub(crate) fn new(goal: Goal, document: Revision, due: Time) -> Self {
        Self { goal: Some(goal), ..Self::retired(document, due) }
    }

    /// Work on a target that is not in the document; its record tells what to drop.
    pub(crate) const fn retired(document: Revision, due: Time) -> Self {
        Self {
            goal: None,
            document,
            pending: None,
            due,
            issued: due,
            seen: None,
            taken: None,
            tries: 0,
        }
    }

    /// Revision of the record, as last confirmed.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.seen.map(|seen| seen.revision)
    }

    /// Takes another goal, and forgets what was known for the former one.
    pub(crate) fn replace(&mut self, goal: Goal, document: Revision, due: Time) {
        *self = Self::new(goal, document, due);
    }

    /// Follows a document with the same goal; work that waited for it is due.
    pub(crate) fn advance(&mut self, document: Revision, due: Time) {
        self.document = document;
        if self.seen.is_none() {
            self.due = self.due.min(due);
        }
    }

    /// Notes that a call is made now.
    pub(crate) const fn issue(&mut self, now: Time, number: u64) {
        self.issued = now;
        self.pending = Some(number);
    }

    /// Starts the next round of a resting task.
    pub(crate) fn wake(&mut self) -> Next {
        self.taken = None;
        match self.seen {
            Some(_) if self.tries == 0 => Next::ReadState,
            _ => Next::ReadRecord,
        }
    }

    /// Takes the record as read.
    pub(crate) fn read(&mut self, config: &OrdersConfig, now: Time, read: ReadOutcome) -> Next {
        match read {
            ReadOutcome::Failed => self.retry(config, now),
            ReadOutcome::Absent if self.goal.is_none() => Next::Done,
            ReadOutcome::Absent => Next::Write { expected: None, assigned: Vec::new() },
            ReadOutcome::Found(stored) => self.found(config, now, stored),
        }
    }

    fn found(&mut self, config: &OrdersConfig, now: Time, stored: StoredRecord) -> Next {
        let StoredRecord { revision, record } = stored;
        if record.document > self.document {
            self.seen = None;
            return self.retry(config, now);
        }
        let goal = self.goal.get_or_insert_with(|| record.drop_goal());
        if record.goal != *goal {
            return Next::Write { expected: Some(revision), assigned: record.assigned };
        }
        let hold = if record.first { Span::ZERO } else { config.order_delay };
        self.confirm(config, now, revision, hold)
    }

    /// Takes the outcome of a write.
    pub(crate) fn written(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        outcome: WriteOutcome,
        first: bool,
    ) -> Next {
        match outcome {
            WriteOutcome::Done(revision) => {
                let hold = if first { Span::ZERO } else { config.order_delay };
                self.confirm(config, now, revision, hold)
            }
            WriteOutcome::Conflict | WriteOutcome::Failed => self.retry(config, now),
        }
    }

    fn confirm(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        revision: Revision,
        hold: Span,
    ) -> Next {
        let known = self.seen.filter(|seen| seen.revision == revision);
        let first_order = known.map_or(now + hold, |seen| seen.first_order);
        let permit = self.issued + config.order_validity;
        self.seen = Some(Seen { revision, first_order, permit });
        Next::ReadState
    }

    /// Takes the models that the engine holds.
    pub(crate) fn state(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        models: Option<&[ModelId]>,
    ) -> Next {
        let Some(goal) = &self.goal else { return self.retry(config, now) };
        let Some(models) = models else { return self.unread(config, now) };
        let Some(command) = goal.next_command(models) else { return self.reached(now) };
        if self.taken.as_ref() == Some(&command) {
            return self.retry(config, now);
        }
        let Some(seen) = self.seen else { return Next::ReadRecord };
        if now < seen.first_order {
            self.tries = self.tries.max(1);
            self.due = seen.first_order;
            return Next::Rest;
        }
        if now > seen.permit {
            return Next::ReadRecord;
        }
        Next::Order { fence: Fence(seen.revision.0), command, not_after: seen.permit }
    }

    fn reached(&mut self, now: Time) -> Next {
        self.tries = 0;
        let watched = self.seen.is_some_and(|seen| now >= seen.first_order + DROP_WATCH);
        if watched && self.goal.as_ref().is_some_and(Goal::is_drop) {
            return Next::Done;
        }
        Next::Settled
    }

    /// Gives up on the engine of a dropped target that does not answer.
    fn unread(&mut self, config: &OrdersConfig, now: Time) -> Next {
        let dropped = self.goal.as_ref().is_some_and(Goal::is_drop);
        if dropped && self.tries >= DROP_TRIES {
            return Next::Done;
        }
        self.retry(config, now)
    }

    /// Takes what became of an order; the engine's state tells whether it is in force.
    pub(crate) fn ordered(
        &mut self,
        config: &OrdersConfig,
        now: Time,
        command: Command,
        ordered: SendOutcome,
    ) -> Next {
        if ordered != SendOutcome::Accepted {
            return self.retry(config, now);
        }
        self.taken = Some(command);
        Next::ReadState
    }

    fn retry(&mut self, config: &OrdersConfig, now: Time) -> Next {
        let delay = config.min_delay * (1 << self.tries.min(MAX_EXPONENT));
        self.tries += 1;
        self.due = now + delay.min(config.max_delay);
        Next::Rest
    }
}
