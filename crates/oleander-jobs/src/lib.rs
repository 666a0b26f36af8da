//! Decisions of the batch service: validation of input files, scheduling and execution of jobs.
//!
//! [`BatchParser`] validates an input file line by line and splits it into chunks. A job runs the
//! items of one file; [`LotPlan`] divides them into lots, the units of work that a host claims. The
//! [`LotScheduler`] chooses the lot that a host opens next. The [`Lot`] state machine decides from
//! the lot's log at the platform which host runs the lot and how each item ends. This crate does no
//! I/O and reads no clock.

mod health;
mod item;
pub mod key;
mod lease;
mod lot;
mod parse;
mod plan;
mod record;
mod scheduler;

pub use health::TargetHealth;
pub use item::{ITEM_URL, ItemLine, LineError, read_items};
pub use lease::{START_LEASE, StartLeases};
pub use lot::{Lot, LotAction, LotConfig, LotEnd, LotEvent, PartialOutput, RunId, RunOutcome};
pub use parse::{BatchParser, InvalidLine, ParseError, ParseLimits, ParsedChunk, ParsedFile};
pub use plan::{LotPlan, LotRange};
pub use record::{
    ChunkRecord, Counts, FileRecord, ItemError, ItemFailure, ItemResult, JobRecord, JobState,
    LotRecord, MAX_RESPONSE_BYTES, RecordError, Response, decode, encode,
};
pub use scheduler::{LotScheduler, ScheduledJob};
