//! Records, outcomes and claims of online calls.

use oleander_core::{ApiError, AttemptId, CallId, DigestId, HostId, value};

value! {
    /// The final outcome of a call.
    pub enum Outcome {
        /// The complete response of the target.
        Answer {
            /// HTTP status.
            status: u16,
            /// Body as JSON text.
            body: String,
        },
        /// The call failed; resends get the same error.
        Failed(ApiError),
        /// The call may have run, and is never run again.
        Unknown,
    }

    /// A record of a shard's log.
    pub enum CallRecord {
        /// A run of a call that may not be repeated, committed before it is sent to a target.
        Intent {
            /// The call.
            call: CallId,
            /// Digest of its body.
            digest: DigestId,
            /// Host that runs it.
            runner: HostId,
            /// Id of the run.
            attempt: AttemptId,
        },
        /// The run of an intent ended before anything was sent to a target.
        Withdrawn {
            /// The call.
            call: CallId,
            /// Id of the run.
            attempt: AttemptId,
        },
        /// A call ended; the first such record of a call counts.
        Final {
            /// The call.
            call: CallId,
            /// Digest of its body.
            digest: DigestId,
            /// Its outcome.
            outcome: Outcome,
        },
    }

    /// A request to run a call.
    pub struct Claim {
        /// The call.
        pub call: CallId,
        /// Digest of its body.
        pub digest: DigestId,
        /// Host that requests the run.
        pub runner: HostId,
        /// Id of the run, if granted.
        pub attempt: AttemptId,
        /// Whether the call may be run again.
        pub repeatable: bool,
        /// Earlier run whose runner no longer answers for it.
        #[serde(rename = "gone")]
        pub lost_attempt: Option<AttemptId>,
    }
}

impl CallRecord {
    /// The call that the record belongs to.
    #[must_use]
    pub const fn call(&self) -> &CallId {
        match self {
            Self::Intent { call, .. } | Self::Withdrawn { call, .. } | Self::Final { call, .. } => {
                call
            }
        }
    }
}
