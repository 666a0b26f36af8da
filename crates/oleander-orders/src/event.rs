//! Events that the reconciler handles, and actions that it requests.

use oleander_core::{Fence, HostId, ModelId, Revision, TargetId, Time};

use crate::{
    goal::{Command, TargetGoal},
    record::OrderRecord,
};

/// Identifies an action in the event that reports its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActionId {
    /// Target that the action is for.
    pub target: TargetId,
    /// Sequence number, unique in one reconciler.
    pub number: u64,
}

/// A record with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Revision of the object.
    pub revision: Revision,
    /// The record.
    pub record: OrderRecord,
}

/// An entry of a listing of the records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRecord {
    /// Target of the record.
    pub target: TargetId,
    /// Revision of the object.
    pub revision: Revision,
}

/// Outcome of reading a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The record.
    Found(StoredRecord),
    /// The target has no record.
    Absent,
    /// The read failed, or the object could not be decoded.
    Failed,
}

/// Outcome of writing a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record is stored at this revision.
    Done(Revision),
    /// The object is not at the expected revision.
    Conflict,
    /// No response came; the write may have taken effect.
    Failed,
}

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen this higher fencing number.
    Refused(Fence),
    /// Not sent, because `not_after` had passed.
    Expired,
    /// No response came; the order may have taken effect.
    Failed,
}

/// Input of the reconciler.
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
    /// The live entry hosts, including this host unless it is leaving.
    Hosts(Vec<HostId>),
    /// Outcome of [`OrderAction::ReadRecord`].
    RecordRead(ActionId, ReadOutcome),
    /// Outcome of [`OrderAction::WriteRecord`].
    RecordWritten(ActionId, WriteOutcome),
    /// Outcome of [`OrderAction::ReadState`]: the loaded models, or `None` if the read failed.
    StateRead(ActionId, Option<Vec<ModelId>>),
    /// Outcome of [`OrderAction::SendOrder`].
    OrderSent(ActionId, SendOutcome),
    /// Outcome of [`OrderAction::ListRecords`]; empty if the listing failed.
    RecordsListed(Vec<ListedRecord>),
}

/// An action that the reconciler requests.
///
/// The executor reports each outcome in exactly one event, which carries the id of the action;
/// `ListRecords` has no id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the target's record.
    ReadRecord(ActionId),
    /// Create the record, or replace the one at the expected revision.
    WriteRecord {
        /// The action.
        id: ActionId,
        /// Revision to replace; `None` to create.
        expected: Option<Revision>,
        /// The new record.
        record: OrderRecord,
    },
    /// Read an engine's state.
    ReadState {
        /// The action.
        id: ActionId,
        /// Address of the engine.
        address: String,
    },
    /// Send an order, unless `not_after` has passed.
    SendOrder {
        /// The action.
        id: ActionId,
        /// Address of the engine.
        address: String,
        /// Fencing number of the order.
        fence: Fence,
        /// What the engine is told to do.
        command: Command,
        /// Last moment at which the order may be sent, to be checked right before sending.
        not_after: Time,
    },
    /// List all records.
    ListRecords,
}
