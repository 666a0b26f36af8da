//! Durable logs at the platform, and the online calls recorded in them.
//!
//! A [`Log`] is a sequence of objects, each made by one create-if-absent of the next sequence
//! number. The name of the object fixes which writer wins, so that a paused former owner can't
//! write over its successor. A [`Shard`] keeps the online calls of one log: which run, which are
//! done, and with which result. Both are state machines without input or output.

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
