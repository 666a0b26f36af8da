//! Events and actions of a lot.

use oleander_core::{ItemIndex, TargetId, value};
use oleander_ledger::{LogEvent, Segment};

use crate::record::{Counts, LotRecord, Response};

value! {
    /// Output of an item so far.
    #[derive(Default)]
    pub struct PartialOutput {
        /// Text of the tokens.
        pub text: String,
        /// Number of tokens.
        pub tokens: u32,
    }
}

/// Identifies a run of an item within a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId {
    /// The item.
    pub item: ItemIndex,
    /// Number of the run, from 1, over all items.
    pub number: u32,
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target sent the whole response, or rejected the request with an error status.
    Responded(Response),
    /// The target failed the request or timed out.
    Failed {
        /// Whether the target is healthy for other items.
        target_healthy: bool,
    },
    /// The connection to the target broke, and the target appears to have crashed.
    TargetLost,
    /// The request was not sent, or the target had no capacity for it.
    NotRun,
    /// The run gave up its slot to online requests; holds its output so far.
    Yielded(Option<PartialOutput>),
}

/// Input of a lot.
#[derive(Debug, Clone, PartialEq)]
pub enum LotEvent {
    /// Response of the platform to a create or fetch.
    Log(LogEvent<LotRecord>),
    /// A slot for one item is free at a target.
    OfferSlot {
        /// The target.
        target: TargetId,
        /// Whether nothing else of this host runs at the target until the run ends.
        alone: bool,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// Its outcome.
        outcome: RunOutcome,
    },
    /// This host is shutting down, or the job was cancelled.
    Release,
    /// Time has passed.
    Tick,
}

/// How this host's work on a lot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LotEnd {
    /// All items have a result.
    Closed(Counts),
    /// Another host claimed the lot.
    Superseded,
    /// This host released the lot, or another host holds it.
    Released,
}

/// Output of a lot.
#[derive(Debug, Clone, PartialEq)]
pub enum LotAction {
    /// Create the log segment of this sequence number.
    Create(u64, Segment<LotRecord>),
    /// Read the log segment of this sequence number.
    Fetch(u64),
    /// Run an item.
    StartRun {
        /// Id of the run.
        run: RunId,
        /// The target to run it at.
        target: TargetId,
        /// Whether nothing else may start at the target until the run ends.
        alone: bool,
        /// Output of an earlier run to resume from.
        partial: Option<PartialOutput>,
    },
    /// Cancel a run; its outcome is not awaited.
    CancelRun(RunId),
    /// The offered slot is not needed.
    DeclineSlot(TargetId),
    /// This host is done with the lot.
    Finished(LotEnd),
}
