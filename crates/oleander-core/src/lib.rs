//! Identifiers, units and shared wire types of the serving system.
//!
//! Everything here is plain data and reads no clock and does no I/O. The crates that make decisions
//! take the current [`Time`] as an argument and return typed actions.

mod macros;

pub mod api;
pub mod event;
pub mod hash;
pub mod ids;
pub mod prompt;
pub mod units;

pub use api::{ApiError, ErrorCode, Ran};
pub use event::{Event, EventKind};
pub use ids::{
    AttemptId, CallId, ChunkIndex, DigestId, Fence, FileId, HostId, ItemIndex, JobId, LotIndex,
    ModelId, ParseIdError, RequestId, Revision, ServiceId, ShardId, TargetId, WorkspaceId, ZoneId,
};
pub use prompt::PromptPart;
pub use units::{Bytes, ParseUnitError, Rate, Span, Time, Tokens};
