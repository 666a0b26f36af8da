//! Durable logs at the platform, and the online calls recorded in them.
//!
//! A [`Log`] is a sequence of objects, each written by a create-if-absent of the next sequence
//! number. Of several concurrent writers, only one can create an object, so that a paused former
//! owner can't overwrite the records of its successor. A [`Shard`] tracks the online calls of one
//! log: which are running, which have ended, and with which outcome. Both are state machines
//! without I/O.

mod call;
mod log;
mod segment;
mod shard;
mod table;

pub use call::{CallRecord, Claim, Outcome};
pub use log::{Log, LogAction, LogEvent, Ticket};
pub use segment::{Segment, SegmentError};
pub use shard::{Shard, ShardAction, ShardConfig, ShardEvent, ShardReply};
pub use table::{CallState, CallTable};
