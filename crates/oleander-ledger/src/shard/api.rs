//! What a shard is told, and what it asks for.

use oleander_core::{AttemptId, CallId, DigestId, HostId, Span, value};

use crate::{
    call::{CallRecord, Claim, Outcome},
    log::{LogEvent, Ticket},
    segment::Segment,
};

/// Tunables of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardConfig {
    /// Least time between two commits.
    pub commit_interval: Span,
    /// Time after which an unanswered platform counts as down.
    pub platform_timeout: Span,
    /// Age at which the end of the log is read again before a new call is granted.
    pub max_staleness: Span,
    /// Time after which a copy is committed by the host that holds it.
    pub copy_delay: Span,
    /// Longest wait of a new owner for what the other hosts hold.
    pub gather_timeout: Span,
    /// Time after which hosts that did not tell are asked again.
    pub gather_interval: Span,
    /// Bytes of outcomes kept in memory.
    pub cache_bytes: usize,
}

impl ShardConfig {
    /// The usual tunables.
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

    /// Sets the least time between two commits.
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

/// What the shard is told.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardEvent {
    /// A host asks to run a call.
    Claim(Ticket, Claim),
    /// A runner reports the outcome of a call.
    Record(Ticket, CallId, DigestId, Outcome),
    /// A runner gives up a run before a byte was sent.
    Withdraw(Ticket, CallId, AttemptId),
    /// Somebody reads a call.
    Lookup(Ticket, CallId),
    /// The view of the live hosts: its number, and whether it makes this host the first owner.
    View(u64, bool),
    /// Somebody asks for the outcomes that are not committed.
    Buffered(Ticket),
    /// What the other hosts hold uncommitted, and whether all live ones told it.
    Gathered(Vec<CallRecord>, bool),
    /// Outcomes that another owner could not commit yet.
    Copies(Vec<CallRecord>),
    /// The second host holds copies of these calls.
    Copied(Vec<CallId>),
    /// The platform's answer, or the passing of time.
    Log(LogEvent<CallRecord>),
}

value! {
    /// The answer to one ticket.
    pub enum ShardReply {
        /// Run the call.
        Run,
        /// The call is running there.
        Join {
            /// Host that runs it.
            runner: HostId,
            /// The run.
            attempt: AttemptId,
        },
        /// The call is at its end.
        Done(Outcome),
        /// The id stands for another body.
        Mismatch,
        /// Nothing is known of the call.
        Absent,
        /// The platform is needed and does not answer.
        Unavailable {
            /// Whether it is certain that the call was never sent to a target.
            #[serde(rename = "clean")]
            unsent: bool,
        },
        /// Outcomes that are not committed.
        Buffered(Vec<CallRecord>),
        /// The run is withdrawn.
        Withdrawn,
        /// The outcome that counts, and whether the platform holds it.
        Recorded {
            /// The outcome that counts.
            outcome: Outcome,
            /// Whether it is committed, not only copied.
            durable: bool,
        },
    }
}

/// What the shard asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardAction {
    /// Create the log object of this sequence number.
    Create(u64, Segment<CallRecord>),
    /// Read the log object of this sequence number.
    Fetch(u64),
    /// Answer a ticket.
    Reply(Ticket, ShardReply),
    /// Copy outcomes to the second host.
    Copy(Vec<CallRecord>),
    /// Ask the other hosts for outcomes that are not committed.
    Gather,
}
