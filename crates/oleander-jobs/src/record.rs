//! What the platform keeps of files, jobs and lots.

use std::{collections::BTreeMap, fmt};

use oleander_core::{
    AttemptId, Bytes, DigestId, FileId, HostId, ItemIndex, JobId, ServiceId, TargetId, Time,
    WorkspaceId, value,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Largest answer that is recorded, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 900_000;

/// First status of an answer that counts as a failure.
const FIRST_ERROR_STATUS: u16 = 400;

value! {
    /// One chunk of an input file.
    pub struct ChunkRecord {
        /// Digest of its content, which names its object.
        pub digest: DigestId,
        /// Number of items in it.
        pub items: u32,
    }

    /// An input file; its creation makes the file exist.
    pub struct FileRecord {
        /// Workspace that uploaded it.
        pub workspace: WorkspaceId,
        /// Name derived from the content.
        pub file: FileId,
        /// Service that all items name.
        pub service: ServiceId,
        /// Size of the content.
        pub bytes: Bytes,
        /// Number of items.
        pub items: u32,
        /// When it was uploaded.
        pub created: Time,
        /// Its chunks, in order.
        pub chunks: Vec<ChunkRecord>,
    }

    /// A batch job; its creation commits the job.
    pub struct JobRecord {
        /// Name derived from the idempotency key, or from the content.
        pub job: JobId,
        /// Workspace that submitted it.
        pub workspace: WorkspaceId,
        /// Service that runs it.
        pub service: ServiceId,
        /// Its input.
        pub file: FileId,
        /// Digest of the submitted body.
        pub digest: DigestId,
        /// Number of items.
        pub items: u32,
        /// Number of lots.
        pub lots: u32,
        /// Most items in one lot.
        pub lot_items: u32,
        /// When it was submitted.
        pub created: Time,
        /// Time allowed, as the caller wrote it.
        pub window: String,
        /// When its remaining items fail.
        pub deadline: Time,
        /// When it was cancelled or completed.
        pub ended: Option<Time>,
        /// Where it stands.
        pub state: JobState,
        /// How its items ended, once it is completed.
        pub counts: Counts,
        /// The caller's own pairs.
        pub metadata: BTreeMap<String, String>,
    }

    /// An answer of a target.
    pub struct Response {
        /// HTTP status.
        pub status: u16,
        /// Name of the run that gave it.
        pub request: String,
        /// JSON body.
        pub body: String,
    }

    /// Why an item has no answer.
    pub struct ItemFailure {
        /// Machine-readable reason.
        pub error: ItemError,
        /// Tries that count against the item.
        pub tries: u32,
    }

    /// How an item ended.
    pub enum ItemResult {
        /// A target answered; an error status is a failure.
        Response(Response),
        /// No target answered.
        Failed(ItemFailure),
    }

    /// One record of a lot's log.
    pub enum LotRecord {
        /// A runner takes the lot, or shows that it still runs it.
        Claimed {
            /// Host that runs it.
            runner: HostId,
            /// Names the claim.
            attempt: AttemptId,
        },
        /// The holder of the claim gives the lot back.
        Released {
            /// Names the claim.
            attempt: AttemptId,
        },
        /// An item ran at a target when it broke off.
        Suspect {
            /// The item.
            item: ItemIndex,
        },
        /// A suspect is about to run alone.
        Trial {
            /// The item.
            item: ItemIndex,
            /// Counts the trials of the item.
            number: u32,
        },
        /// A target died while the item was alone there.
        #[serde(rename = "Strike")]
        TargetLost {
            /// The item.
            item: ItemIndex,
        },
        /// A target that works failed the item.
        #[serde(rename = "Refused")]
        TargetFailed {
            /// The item.
            item: ItemIndex,
            /// The target.
            target: TargetId,
        },
        /// An item ended; the first record of an item counts.
        Outcome {
            /// The item.
            item: ItemIndex,
            /// How it ended.
            result: ItemResult,
        },
        /// All items of the lot ended.
        Closed {
            /// How they ended.
            counts: Counts,
        },
    }
}

/// Reason of an item without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemError {
    /// Targets died while the item was alone there.
    TargetLost,
    /// Targets that work failed the item.
    TargetFailed,
    /// The deadline of the job passed.
    DeadlineExceeded,
    /// The answer is larger than what is recorded.
    AnswerTooLarge,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items run or wait.
    Open,
    /// The caller or an operator stopped it.
    Cancelled,
    /// Every item ended.
    Completed,
}

/// How many items ended, and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Items with an answer.
    pub completed: u32,
    /// Items that failed.
    pub failed: u32,
}

impl Counts {
    /// Number of items that ended.
    #[must_use]
    pub const fn ended(self) -> u32 {
        self.completed + self.failed
    }

    /// Counts one more item.
    pub const fn add(&mut self, result: &ItemResult) {
        if result.is_failure() {
            self.failed += 1;
        } else {
            self.completed += 1;
        }
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self { completed: self.completed + other.completed, failed: self.failed + other.failed }
    }
}

impl ItemResult {
    /// Whether the item failed.
    #[must_use]
    pub const fn is_failure(&self) -> bool {
        match self {
            Self::Response(answer) => answer.status >= FIRST_ERROR_STATUS,
            Self::Failed(_) => true,
        }
    }

    /// A failure without an answer.
    #[must_use]
    pub const fn failed(error: ItemError, tries: u32) -> Self {
        Self::Failed(ItemFailure { error, tries })
    }
}

impl JobRecord {
    /// The record after a cancel; `None` if the job has ended.
    #[must_use]
    pub fn cancelled(&self, now: Time) -> Option<Self> {
        self.ended_as(JobState::Cancelled, self.counts, now)
    }

    /// The record after the last lot was closed; `None` if the job has ended.
    #[must_use]
    pub fn completed(&self, counts: Counts, now: Time) -> Option<Self> {
        self.ended_as(JobState::Completed, counts, now)
    }

    fn ended_as(&self, state: JobState, counts: Counts, now: Time) -> Option<Self> {
        if self.state != JobState::Open {
            return None;
        }
        Some(Self { state, counts, ended: Some(now), ..self.clone() })
    }
}

impl fmt::Display for ItemError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Why a stored record can't be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError(pub String);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record codec: {}", self.0)
    }
}

impl std::error::Error for RecordError {}

/// Encodes a file, job or count record as JSON.
///
/// # Errors
///
/// Fails on a record that JSON can't hold.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, RecordError> {
    serde_json::to_vec(record).map_err(|e| RecordError(e.to_string()))
}

/// Decodes a file, job or count record.
///
/// # Errors
///
/// Fails on bytes that are no such record.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    serde_json::from_slice(bytes).map_err(|e| RecordError(e.to_string()))
}
