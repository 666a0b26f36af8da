//! Batch jobs: what is recorded of them and how their lots run.
//!
//! A file is checked line by line ([`BatchParser`]) and kept in chunks. A job names a file; its
//! items are divided into lots ([`LotPlan`]). Each lot has a log of named creates, and the
//! [`Lot`] state machine decides from that log who runs the lot and how each item ends. The
//! [`LotScheduler`] decides which lot a host opens next. Nothing here reads a clock or does input or
//! output.

mod health;
mod item;
pub mod key;
mod lot;
mod parse;
mod plan;
mod record;
mod scheduler;

pub use health::TargetHealth;
pub use item::{ITEM_URL, ItemLine, LineError, read_items};
pub use lot::{Lot, LotAction, LotConfig, LotEnd, LotEvent, PartialOutput, RunId, RunOutcome};
pub use parse::{BatchParser, InvalidLine, ParseError, ParseLimits, ParsedChunk, ParsedFile};
pub use plan::{LotPlan, LotRange};
pub use record::{
    ChunkRecord, Counts, FileRecord, ItemError, ItemFailure, ItemResult, JobRecord, JobState,
    LotRecord, MAX_RESPONSE_BYTES, RecordError, Response, decode, encode,
};
pub use scheduler::{LotScheduler, ScheduledJob};
