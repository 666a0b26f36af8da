//! Batch jobs: what is recorded of them and how their lots run.
//!
//! A file is checked line by line ([`BatchParser`]) and kept in chunks. A job names a file; its
//! items are divided into lots ([`LotPlan`]). Each lot has a log of named creates, and the
//! [`Lot`] state machine decides from that log who runs the lot and how each item ends. The
//! [`JobBoard`] decides which lot a host opens next. Nothing here reads a clock or does input or
//! output.

mod board;
mod health;
mod item;
pub mod key;
mod lot;
mod parse;
mod plan;
mod record;

pub use board::{BoardJob, JobBoard};
pub use health::TargetHealth;
pub use item::{ITEM_URL, ItemLine, LineError, read_items};
pub use lot::{ItemEnd, Lot, LotAction, LotConfig, LotEnd, LotEvent, Partial, RunId};
pub use parse::{BatchParser, LineFault, ParseError, ParseLimits, ParsedChunk, ParsedFile};
pub use plan::{LotPlan, LotRange};
pub use record::{
    Answer, ChunkRecord, Counts, FileRecord, ItemError, ItemFailure, ItemResult, JobRecord,
    JobState, LotRecord, MAX_ANSWER_BYTES, RecordError, decode, encode,
};
