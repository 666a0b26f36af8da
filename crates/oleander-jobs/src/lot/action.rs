//! What a lot is told and what it asks for.

use oleander_core::{ItemIndex, TargetId, value};
use oleander_ledger::{LogEvent, Segment};

use crate::record::{Counts, LotRecord, Response};

value! {
    /// Output that an item has so far.
    #[derive(Default)]
    pub struct PartialOutput {
        /// Text of the tokens.
        pub text: String,
        /// Number of tokens.
        pub tokens: u32,
    }
}

/// Names one run of an item within a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId {
    /// The item.
    pub item: ItemIndex,
    /// Counts the runs of the claim.
    pub number: u32,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target answered in full, or rejected the request itself.
    Responded(Response),
    /// The target reported a fault or took too long.
    Failed {
        /// Whether other items succeed at the target.
        target_healthy: bool,
    },
    /// The connection broke or the target died.
    TargetLost,
    /// Nothing was sent, or the target had no room.
    NotRun,
    /// The run gave up its place, with what it has.
    Yielded(Option<PartialOutput>),
}

/// What the lot is told.
#[derive(Debug, Clone, PartialEq)]
pub enum LotEvent {
    /// The platform's answer.
    Log(LogEvent<LotRecord>),
    /// A place at a target is free for one item.
    OfferSlot {
        /// The target.
        target: TargetId,
        /// Whether nothing else of this host runs there until the run ends.
        alone: bool,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// How.
        outcome: RunOutcome,
    },
    /// The host leaves, or the job was cancelled.
    Release,
    /// Time has passed.
    Tick,
}

/// How a lot ended for this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LotEnd {
    /// All its items ended.
    Closed(Counts),
    /// Another host took it.
    Superseded,
    /// It was given back.
    Released,
}

/// What the lot asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum LotAction {
    /// Create the log object of this sequence number.
    Create(u64, Segment<LotRecord>),
    /// Read the log object of this sequence number.
    Fetch(u64),
    /// Run an item.
    StartRun {
        /// Names the run.
        run: RunId,
        /// Where.
        target: TargetId,
        /// Whether nothing else may start there.
        alone: bool,
        /// Output of an earlier run to go on from.
        partial: Option<PartialOutput>,
    },
    /// Cancel a run; its end is not awaited.
    CancelRun(RunId),
    /// The offered place is not needed.
    DeclineSlot(TargetId),
    /// Nothing more is to be done here.
    Finished(LotEnd),
}
