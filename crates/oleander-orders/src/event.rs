//! What the orderer hears, and what it wants done.

use oleander_core::{Fence, HostId, ModelId, Revision, TargetId, Time};

use crate::{
    goal::{Command, TargetGoal},
    record::OrderRecord,
};

/// Ties an answer to the call that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Target that the call is for.
    pub target: TargetId,
    /// Number of the call.
    pub number: u64,
}

/// A record with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Revision of the object.
    pub revision: Revision,
    /// The record.
    pub record: OrderRecord,
}

/// A listed record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredKey {
    /// Target of the record.
    pub target: TargetId,
    /// Revision of the object.
    pub revision: Revision,
}

/// What a read of a record gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordRead {
    /// The record.
    Found(Stored),
    /// There is none.
    Absent,
    /// No answer came, or no record was in it.
    Failed,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record stands at this revision.
    Done(Revision),
    /// Another write came first.
    Conflict,
    /// No answer came; it may have taken effect.
    Failed,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// The engine took it.
    Taken,
    /// The engine has seen a higher fencing number.
    Refused(Fence),
    /// It was too late to send it.
    Expired,
    /// No answer came; it may be in force.
    Failed,
}

/// What the orderer hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// Time has passed.
    Tick,
    /// A document came into force.
    Document {
        /// Its revision.
        revision: Revision,
        /// Goals of all its engine targets.
        goals: Vec<TargetGoal>,
    },
    /// These entry hosts are live; this host is among them unless it leaves.
    Hosts(Vec<HostId>),
    /// Answer to [`OrderAction::ReadRecord`].
    Record(Ticket, RecordRead),
    /// Answer to [`OrderAction::Write`].
    Written(Ticket, WriteOutcome),
    /// Answer to [`OrderAction::ReadState`]: the models held, or `None` without an answer.
    State(Ticket, Option<Vec<ModelId>>),
    /// Answer to [`OrderAction::Order`].
    Ordered(Ticket, Ordered),
    /// Answer to [`OrderAction::List`]; empty if it failed.
    Listed(Vec<StoredKey>),
}

/// What the orderer wants done; each but `List` is answered once with its ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the target's record.
    ReadRecord(Ticket),
    /// Create the record, or replace the one at the expected revision.
    Write {
        /// The call.
        ticket: Ticket,
        /// Revision to replace; `None` to create.
        expected: Option<Revision>,
        /// The new record.
        record: OrderRecord,
    },
    /// Read an engine's state.
    ReadState {
        /// The call.
        ticket: Ticket,
        /// Address of the engine.
        address: String,
    },
    /// Send an order, unless `not_after` has passed.
    Order {
        /// The call.
        ticket: Ticket,
        /// Address of the engine.
        address: String,
        /// Fencing number.
        fence: Fence,
        /// The order.
        command: Command,
        /// Last moment at which it may be sent; checked right before.
        not_after: Time,
    },
    /// List all records.
    List,
}
