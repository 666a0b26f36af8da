//! Messages between batch hosts and entry hosts.

use oleander_core::{HostId, JobId, TargetId, value};

value! {
    /// What a host has in flight at one target.
    pub struct TargetCount {
        /// The target.
        pub target: TargetId,
        /// Online requests.
        pub online: u32,
        /// Batch items.
        pub batch: u32,
    }

    /// A message of the batch path.
    pub enum BatchMessage {
        /// What the sender has in flight.
        Counts {
            /// The sender.
            host: HostId,
            /// One row a target; targets without a row have nothing in flight.
            counts: Vec<TargetCount>,
        },
        /// An entry host needs room for online requests.
        Yield {
            /// Where.
            target: TargetId,
            /// Number of items to give up.
            count: u32,
        },
        /// A job was cancelled.
        Cancelled {
            /// The job.
            job: JobId,
        },
    }

    /// The answer to a message of the batch path.
    pub enum BatchAnswer {
        /// What the receiver has in flight.
        Counts {
            /// The receiver.
            host: HostId,
            /// One row a target.
            counts: Vec<TargetCount>,
        },
        /// Items that give up their place; fewer than asked for if no more ran.
        Yielded {
            /// Number of items.
            count: u32,
        },
        /// The message is taken in.
        Done,
    }
}
