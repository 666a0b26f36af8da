//! Requests and answers of the links.

use oleander_core::{
    AttemptId, CallId, DigestId, HostId, JobId, Revision, ShardId, Span, TargetId, Time, ZoneId,
    value,
};
use oleander_ledger::{CallRecord, Claim, Outcome, ShardReply};

value! {
    /// What one process asks of another.
    pub enum PeerRequest {
        /// A call of the owner of a shard.
        Shard(ShardId, ShardRequest),
        /// Tokens of a run from a position on; waits for news at most `wait`.
        Follow {
            /// The call.
            call: CallId,
            /// The run.
            attempt: AttemptId,
            /// Number of tokens known already.
            from: u64,
            /// Longest wait for news.
            wait: Span,
        },
        /// The sender's in-flight work and configuration.
        Status(Status),
        /// The document in force, if it is newer than this revision.
        Document(Revision),
        /// Batch items that must make room.
        Yield(TargetId, u32),
        /// A job was cancelled.
        Cancelled(JobId),
        /// A membership message, encoded by its own crate.
        Members(Vec<u8>),
    }

    /// A call of a shard's owner.
    pub enum ShardRequest {
        /// Ask to run a call.
        Claim(Claim),
        /// Report an outcome.
        Record(CallId, DigestId, Outcome),
        /// Give up a run before a byte was sent.
        Withdraw(CallId, AttemptId),
        /// Read a call.
        Lookup(CallId),
        /// Keep outcomes that the platform does not take.
        Copies(Vec<CallRecord>),
        /// Tell the outcomes that are not committed.
        Buffered,
    }

    /// The answer to a [`PeerRequest`].
    pub enum PeerResponse {
        /// Done; nothing to say.
        Done,
        /// The answer of a shard.
        Shard(ShardReply),
        /// News of a run; `None` if the run is not known here.
        Followed(Option<RunUpdate>),
        /// The newer document as JSON, if there is one.
        Document(Option<(Revision, String)>),
        /// The answerer's own status.
        Status(Status),
        /// The request can't be served here.
        Refused(String),
    }

    /// News of a run.
    pub struct RunUpdate {
        /// Tokens from the asked position on.
        pub tokens: Vec<String>,
        /// How far the run is.
        pub state: RunState,
    }

    /// How far a run is.
    pub enum RunState {
        /// Still running.
        Running,
        /// At its end, with the outcome that counts.
        Ended(Outcome),
    }

    /// One process's in-flight work and configuration.
    pub struct Status {
        /// Who sends it.
        pub contact: Contact,
        /// When it was made, by the sender's clock.
        pub sent_at: Time,
        /// Logical time of the sender's time line.
        pub logical: u64,
        /// Revision of the document in force.
        pub revision: Option<Revision>,
        /// Whether the sender takes new work.
        pub draining: bool,
        /// In-flight work by target.
        pub counts: Vec<TargetCount>,
        /// Targets that the sender found unreachable or leaving.
        pub events: Vec<TargetEvent>,
    }

    /// Where a process is reached.
    pub struct Contact {
        /// Name of the host.
        pub host: HostId,
        /// Its data centre.
        pub zone: ZoneId,
        /// Whether it serves callers; else it runs batch jobs.
        pub entry: bool,
        /// Address for callers.
        pub listen: String,
        /// Address for peers.
        pub link: String,
        /// Address for operators.
        pub admin: String,
    }

    /// In-flight work at one target.
    pub struct TargetCount {
        /// The target.
        pub target: TargetId,
        /// Online calls.
        pub online: u32,
        /// Batch items.
        pub batch: u32,
    }

    /// Something that the sender found out about a target.
    pub enum TargetEvent {
        /// The target says that it is leaving.
        Leaving(TargetId),
    }
}
