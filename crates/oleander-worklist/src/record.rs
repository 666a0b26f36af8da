//! Records stored at the platform.

use std::collections::BTreeMap;

use oleander_core::{HostId, JobId, Span, Time, Tokens, value};
use serde::{Deserialize, Serialize};

/// Maximum difference between the clocks of two hosts.
const MAX_CLOCK_DIFFERENCE: Span = Span::from_secs(5);

/// Phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Items wait or run.
    Open,
    /// Cancelled by its caller; no more items are run.
    #[serde(rename = "ended")]
    Cancelled,
    /// All results are committed.
    Done,
}

/// Final outcome of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// The output is complete.
    Completed,
    /// The item failed for good.
    Failed,
}

value! {
    /// The process that runs a job's items.
    pub struct Owner {
        /// Host of the process.
        pub host: HostId,
        /// Start time of the process, which tells it from earlier ones on the host.
        pub started: Time,
    }

    /// A job; creating this record accepts it.
    pub struct JobRecord {
        /// Id of the job.
        pub job: JobId,
        /// Name of the route.
        pub route: String,
        /// Host name that the caller addressed.
        pub host: String,
        /// Number of items.
        pub total: u32,
        /// Sum of the items' tokens.
        pub tokens: Tokens,
        /// Number of stored parts of the items.
        pub parts: u32,
        /// Time of acceptance, by the clock of the accepting host.
        pub accepted: Time,
        /// Time from acceptance within which all items should be done.
        pub due: Span,
        /// Time from acceptance after which waiting items fail.
        pub retention: Span,
        /// Number of failed runs after which an item fails for good.
        pub attempts: u32,
        /// Process that runs the job; `None` until a host takes it over.
        pub owner: Option<Owner>,
        /// Current phase.
        pub phase: JobPhase,
    }

    /// A stored item.
    pub struct ItemRecord {
        /// Id of the item.
        pub id: String,
        /// Path and query of the request.
        pub path: String,
        /// Headers of the request.
        pub headers: BTreeMap<String, String>,
        /// Body of the request, in base64.
        pub body: String,
        /// Tokens of the prompt plus the maximum tokens of the output.
        pub tokens: u64,
    }

    /// Some consecutive items of a job.
    pub struct Part {
        /// The items, in order.
        pub items: Vec<ItemRecord>,
    }

    /// Final result of one item.
    pub struct ItemResult {
        /// Id of the item.
        pub item: String,
        /// Outcome of the item.
        pub state: ItemOutcome,
        /// Data of all events, joined by line feeds; empty if the item failed.
        pub output: String,
    }

    /// A segment of a job's result log.
    pub struct Segment {
        /// Unique name of the write; lets the writer recognise its own segment.
        pub writer: String,
        /// Results, in the order of their positions.
        pub results: Vec<ItemResult>,
    }
}

impl JobRecord {
    /// Time by which all items should be done.
    #[must_use]
    pub fn due_at(&self) -> Time {
        self.accepted + self.due
    }

    /// Time, on the clock of any host, from which waiting items fail: the retention is then over
    /// on the clock of the accepting host.
    #[must_use]
    pub fn expires_at(&self) -> Time {
        self.accepted + self.retention + MAX_CLOCK_DIFFERENCE
    }
}
