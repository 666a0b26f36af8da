//! Records and outcomes of online calls.

use oleander_core::{ApiError, AttemptId, CallId, DigestId, HostId, value};

value! {
    /// The final outcome of a call.
    pub enum Outcome {
        /// The target's whole answer.
        Answer {
            /// HTTP status.
            status: u16,
            /// Body as JSON text.
            body: String,
        },
        /// The call ended with an error that a resend receives as well.
        Failed(ApiError),
        /// The call may have run; it is never run again.
        Unknown,
    }

    /// One record of a shard's log.
    pub enum CallRecord {
        /// A call that may not be repeated is about to be sent to a target.
        Intent {
            /// The call.
            call: CallId,
            /// Digest of its body.
            digest: DigestId,
            /// Host that will send it.
            runner: HostId,
            /// The run.
            attempt: AttemptId,
        },
        /// The run of this intent was given up before a byte was sent.
        Withdrawn {
            /// The call.
            call: CallId,
            /// The run.
            attempt: AttemptId,
        },
        /// A call came to its end; the first such record of a call counts.
        Final {
            /// The call.
            call: CallId,
            /// Digest of its body.
            digest: DigestId,
            /// How it ended.
            outcome: Outcome,
        },
    }

    /// A request for the right to run a call.
    pub struct Claim {
        /// The call.
        pub call: CallId,
        /// Digest of its body.
        pub digest: DigestId,
        /// Host that asks.
        pub runner: HostId,
        /// The run, if granted.
        pub attempt: AttemptId,
        /// Whether the call may be run again.
        pub repeatable: bool,
        /// A run that the asking host found gone.
        #[serde(rename = "gone")]
        pub lost_attempt: Option<AttemptId>,
    }
}

impl CallRecord {
    /// The call that the record is about.
    #[must_use]
    pub const fn call(&self) -> &CallId {
        match self {
            Self::Intent { call, .. } | Self::Withdrawn { call, .. } | Self::Final { call, .. } => {
                call
            }
        }
    }
}
