//! Input and output of a log.

use crate::segment::Segment;

/// Identifies an append or a request, to match it with its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Input of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent<R> {
    /// Append a record.
    Append(Ticket, R),
    /// The object of this sequence number was created.
    Created(u64),
    /// The object of this sequence number existed before the create.
    Exists(u64),
    /// The create or fetch of this sequence number failed or got no response.
    Failed(u64),
    /// The object of this sequence number, or `None` if it is absent.
    Fetched(u64, Option<Segment<R>>),
    /// Read the segments that other writers have added.
    Refresh,
    /// Time has passed.
    Tick,
}

/// Output of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LogAction<R> {
    /// Create the object of this sequence number.
    Create(u64, Segment<R>),
    /// Read the object of this sequence number.
    Fetch(u64),
    /// Apply a committed segment. The tickets are those of its records, in order; there are none
    /// if another writer created the segment.
    Apply(u64, Segment<R>, Vec<Ticket>),
    /// Appends that were not committed, because another writer's segment came first or their
    /// create did not take effect.
    Reject(Vec<(Ticket, R)>),
}
