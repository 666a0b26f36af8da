//! Calls about jobs between hosts.

use bytes::Bytes;
use oleander_core::{JobId, Span, TargetId, value};
use serde::{Deserialize, Serialize};

use crate::record::ItemResult;

value! {
    /// Results of a job from one position on.
    pub struct Results {
        /// Number of items of the job.
        pub total: u32,
        /// Results in order.
        pub results: Vec<ItemResult>,
    }
}

/// A call to the owner of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobCall {
    /// Results from a position on.
    Read {
        /// The job.
        job: JobId,
        /// Position of the first result.
        after: usize,
        /// How long to wait for one.
        wait: Span,
    },
    /// Asks the receiver to make room for online requests.
    Yield {
        /// Where.
        target: TargetId,
        /// Items to interrupt.
        count: u32,
        /// Whether the receiver stands for its data centre and asks its neighbours for the rest.
        pass_on: bool,
    },
    /// Tells that the job's entry changed in a way that concerns the receiver.
    Changed {
        /// The job.
        job: JobId,
    },
    /// Body of an item.
    Body {
        /// The job.
        job: JobId,
        /// The item.
        item: String,
    },
}

/// Answer of the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobAnswer {
    /// It does not hold the job.
    NotHere,
    /// It made room.
    Yielded,
    /// It reads the job's entry again.
    Noted,
    /// Results.
    Results(Results),
    /// Body; `None` if the item is listed or unknown.
    Body(Option<Bytes>),
}
