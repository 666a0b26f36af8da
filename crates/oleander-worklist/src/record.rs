//! What stands at the platform.

use std::collections::BTreeMap;

use oleander_core::{HostId, JobId, Span, Time, Tokens, value};
use serde::{Deserialize, Serialize};

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Items are to be run.
    Open,
    /// Its caller ended it; nothing more is run.
    #[serde(rename = "ended")]
    Cancelled,
    /// All items are listed.
    Done,
}

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// Its output is whole.
    Completed,
    /// It was given up.
    Failed,
}

value! {
    /// The run of a process that runs a job's items.
    pub struct Owner {
        /// Its host.
        pub host: HostId,
        /// Start of the process.
        pub started: Time,
    }

    /// A job; its create is what accepts it.
    pub struct JobEntry {
        /// Name of the job.
        pub job: JobId,
        /// Name of its route.
        pub route: String,
        /// Host that its caller addressed.
        pub host: String,
        /// Number of items.
        pub total: u32,
        /// Tokens of all items.
        pub tokens: Tokens,
        /// Number of parts that hold the items.
        pub parts: u32,
        /// When it was accepted, by the clock of the host that did.
        pub accepted: Time,
        /// Time from then within which all items are due.
        pub due: Span,
        /// Time from then after which items may be given up.
        pub retention: Span,
        /// Failed runs after which an item is given up.
        pub attempts: u32,
        /// Who runs it; `None` for whoever is next.
        pub owner: Option<Owner>,
        /// How far it is.
        pub phase: JobPhase,
    }

    /// An item as it was submitted.
    pub struct ItemRecord {
        /// Name of the item.
        pub id: String,
        /// Path and query of its request.
        pub path: String,
        /// Headers of its request.
        pub headers: BTreeMap<String, String>,
        /// Body of its request, in base64.
        pub body: String,
        /// Tokens of its prompt and most tokens of its output.
        pub tokens: u64,
    }

    /// Some items of a job.
    pub struct Part {
        /// The items, in order.
        pub items: Vec<ItemRecord>,
    }

    /// Result of one item.
    pub struct ItemResult {
        /// Name of the item.
        pub item: String,
        /// How it ended.
        pub state: ItemOutcome,
        /// Data of all events, joined by line feeds.
        pub output: String,
    }

    /// Results that follow those of the segments before.
    pub struct Segment {
        /// Who wrote it, and which of its writes it is; tells an own write from a foreign one.
        pub writer: String,
        /// The results.
        pub results: Vec<ItemResult>,
    }
}

impl JobEntry {
    /// When all items are due.
    #[must_use]
    pub fn due_at(&self) -> Time {
        self.accepted + self.due
    }

    /// When items may be given up.
    #[must_use]
    pub fn expires_at(&self) -> Time {
        self.accepted + self.retention
    }
}
