//! Requests and responses between hosts about jobs.

use bytes::Bytes;
use oleander_core::{JobId, Span, TargetId, value};
use serde::{Deserialize, Serialize};

use crate::record::ItemResult;

value! {
    /// A page of a job's results.
    pub struct Results {
        /// Number of items in the job.
        pub total: u32,
        /// Results, in the order of their positions.
        pub results: Vec<ItemResult>,
    }
}

/// A request to another host about a job or an item.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobRequest {
    /// Reads results from a position on.
    Read {
        /// The job.
        job: JobId,
        /// Position of the first result.
        after: usize,
        /// Maximum wait for a result at that position.
        wait: Span,
    },
    /// Asks the receiver to preempt items in favour of online requests.
    Yield {
        /// Target whose slots are needed.
        target: TargetId,
        /// Number of items to preempt.
        count: u32,
        /// Whether the receiver forwards the rest to the other hosts of its data centre.
        pass_on: bool,
    },
    /// Notifies the receiver that it should read the job's record again.
    Changed {
        /// The job.
        job: JobId,
    },
    /// Reads the request body of an item.
    Body {
        /// The job.
        job: JobId,
        /// Id of the item.
        item: String,
    },
}

/// Response to a [`JobRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobResponse {
    /// The receiver has not loaded the job.
    NotHere,
    /// The receiver interrupted the items that it could.
    Yielded,
    /// The receiver has read the job's record again.
    Noted,
    /// The results.
    Results(Results),
    /// The body; `None` if the item's result is committed or the item is unknown.
    Body(Option<Bytes>),
}
