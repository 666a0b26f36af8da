//! Settings, events, replies and actions of a shard.

use oleander_core::{AttemptId, CallId, DigestId, HostId, Span, value};

use crate::{
    call::{CallRecord, Claim, Outcome},
    log::{LogEvent, Ticket},
    segment::Segment,
};

/// Settings of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardConfig {
    /// Minimum time between two commits.
    pub commit_interval: Span,
    /// Time without a response after which the platform counts as unavailable.
    pub platform_timeout: Span,
    /// Maximum age of the last read of the log's end when an unknown call is granted.
    pub max_staleness: Span,
    /// Time after which the host that holds a copy commits it itself.
    pub copy_delay: Span,
    /// Maximum time that a new owner waits for the uncommitted outcomes of the other hosts.
    pub gather_timeout: Span,
    /// Minimum time between two gather requests of an owner.
    pub gather_interval: Span,
    /// Maximum size of the outcomes kept in memory.
    pub cache_bytes: usize,
}

impl ShardConfig {
    /// The default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            commit_interval: Span::from_millis(40),
            platform_timeout: Span::from_millis(250),
            max_staleness: Span::from_secs(2),
            copy_delay: Span::from_secs(3),
            gather_timeout: Span::from_millis(800),
            gather_interval: Span::from_millis(250),
            cache_bytes: 4 << 20,
        }
    }

    /// Sets the minimum time between two commits.
    #[must_use]
    pub const fn commit_interval(mut self, interval: Span) -> Self {
        self.commit_interval = interval;
        self
    }
}

impl Default for ShardConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// Input of the shard.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardEvent {
    /// A host requests to run a call.
    Claim(Ticket, Claim),
    /// A runner reports the outcome of a call.
    Record(Ticket, CallId, DigestId, Outcome),
    /// A runner ends a run before it sent anything to a target.
    Withdraw(Ticket, CallId, AttemptId),
    /// A host asks for the state of a call.
    Lookup(Ticket, CallId),
    /// The number of the current view of the live hosts, and whether this host owns the shard in
    /// it.
    View(u64, bool),
    /// A host asks for the outcomes that callers may have received and that are not committed.
    Buffered(Ticket),
    /// Uncommitted outcomes of the other hosts, and whether all live hosts replied.
    Gathered(Vec<CallRecord>, bool),
    /// Copies of outcomes that another owner could not commit yet.
    Copies(Vec<CallRecord>),
    /// A second host has stored copies of the outcomes of these calls.
    Copied(Vec<CallId>),
    /// An event of the log, such as a response of the platform or the passage of time.
    Log(LogEvent<CallRecord>),
}

value! {
    /// The reply to a request.
    pub enum ShardReply {
        /// The call is granted to the host that claimed it.
        Run,
        /// The call is running.
        Join {
            /// Host that runs it.
            runner: HostId,
            /// Id of the run.
            attempt: AttemptId,
        },
        /// The call has ended.
        Done(Outcome),
        /// The request id belongs to a call with another body.
        Mismatch,
        /// The call is unknown.
        Absent,
        /// The decision needs the platform or other hosts, which do not answer.
        Unavailable {
            /// Whether the call was certainly never sent to a target.
            #[serde(rename = "clean")]
            unsent: bool,
        },
        /// Outcomes that callers may have received and that are not committed.
        Buffered(Vec<CallRecord>),
        /// The run is withdrawn.
        Withdrawn,
        /// The reported outcome is recorded, unless the call had an earlier one.
        Recorded {
            /// The outcome that counts.
            outcome: Outcome,
            /// Whether it is committed, not just copied.
            durable: bool,
        },
    }
}

/// Output of the shard.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardAction {
    /// Create the log object of this sequence number.
    Create(u64, Segment<CallRecord>),
    /// Read the log object of this sequence number.
    Fetch(u64),
    /// Reply to a request.
    Reply(Ticket, ShardReply),
    /// Copy outcomes to a second host.
    Copy(Vec<CallRecord>),
    /// Ask the other hosts for their uncommitted outcomes.
    Gather,
}
