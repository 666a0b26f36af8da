//! Requests and responses that hosts exchange over links.

use oleander_core::{
    AttemptId, CallId, DigestId, HostId, JobId, Revision, ServiceId, ShardId, Span, TargetId, Time,
    ZoneId, value,
};
use oleander_ledger::{CallRecord, Claim, Outcome, ShardReply};
use oleander_quarantine::QuarantineNews;

value! {
    /// A request from one host to another.
    pub enum PeerRequest {
        /// A request to the owner of a shard.
        Shard(ShardId, ShardRequest),
        /// Reads the output of a run from a position on; waits for new tokens or its end.
        Follow {
            /// The call.
            call: CallId,
            /// Id of the run.
            attempt: AttemptId,
            /// Index of the first token to return.
            from: u64,
            /// Maximum time to wait.
            wait: Span,
        },
        /// The sender's status; the response is the status of the receiver.
        Status(Status),
        /// Asks for the configuration document in force if it is newer than this revision.
        Document(Revision),
        /// Asks to preempt this number of batch items at a target.
        Yield(TargetId, u32),
        /// Notifies that a job was cancelled.
        Cancelled(JobId),
        /// An encoded membership message.
        Members(Vec<u8>),
        /// Asks for the link addresses of the hosts that the receiver exchanges statuses with.
        Hosts,
        /// Crashes of targets, and the calls that are kept away from them.
        Quarantine(Vec<ServiceCrashes>),
    }

    /// What a host knows of the crashes of a service's targets.
    pub struct ServiceCrashes {
        /// The service.
        pub service: ServiceId,
        /// Crashes and blocked parts.
        pub news: QuarantineNews,
    }

    /// A request to the owner of a shard.
    pub enum ShardRequest {
        /// Requests to run a call.
        Claim(Claim),
        /// Reports the outcome of a call.
        Record(CallId, DigestId, Outcome),
        /// Withdraws the claim of a run that sent nothing to a target.
        Withdraw(CallId, AttemptId),
        /// Asks for the state of a call.
        Lookup(CallId),
        /// Asks to store copies of outcomes that can't be committed yet.
        Copies(Vec<CallRecord>),
        /// Asks for the outcomes that are not committed.
        Buffered,
    }

    /// The response to a [`PeerRequest`].
    pub enum PeerResponse {
        /// The request was carried out.
        Done,
        /// The reply of a shard.
        Shard(ShardReply),
        /// Output of a run; `None` if this host does not run it.
        Followed(Option<RunUpdate>),
        /// The newer document as JSON, if there is one.
        Document(Option<(Revision, String)>),
        /// Status of the responding host.
        Status(Status),
        /// The request can't be served by this host; the reason.
        Refused(String),
        /// Link addresses of the hosts that the responding host exchanges statuses with.
        Hosts(Vec<String>),
    }

    /// New output and state of a run.
    pub struct RunUpdate {
        /// Tokens from the requested position on.
        pub tokens: Vec<String>,
        /// State after these tokens.
        #[serde(rename = "progress")]
        pub state: RunState,
    }

    /// State of a run.
    pub enum RunState {
        /// The run continues.
        Running,
        /// The run has ended; the outcome that is recorded for the call.
        Ended(Outcome),
    }

    /// In-flight work and configuration of a host.
    pub struct Status {
        /// Name and addresses of the host.
        pub contact: Contact,
        /// Time of sending, on the sender's clock.
        #[serde(rename = "at")]
        pub sent_at: Time,
        /// Logical time of the sender's event record.
        pub logical: u64,
        /// Revision of the configuration document in force.
        pub revision: Option<Revision>,
        /// Whether the host drains and accepts no new work.
        pub draining: bool,
        /// In-flight work by target.
        pub counts: Vec<TargetCount>,
        /// Events at targets, as observed by the sender.
        pub events: Vec<TargetEvent>,
    }

    /// Name and addresses of a host.
    pub struct Contact {
        /// Its name.
        pub host: HostId,
        /// Its data centre.
        pub zone: ZoneId,
        /// Whether it serves callers; otherwise it runs batch jobs.
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

    /// An event at a target.
    pub enum TargetEvent {
        /// The target has announced that it is leaving.
        Leaving(TargetId),
    }
}
