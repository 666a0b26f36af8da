//! Records of files, jobs and lots, as stored at the platform.

use std::{collections::BTreeMap, fmt};

use oleander_core::{
    AttemptId, Bytes, DigestId, FileId, HostId, ItemIndex, JobId, ServiceId, TargetId, Time,
    WorkspaceId, value,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum size of a recorded response body.
pub const MAX_RESPONSE_BYTES: usize = 900_000;

const MIN_ERROR_STATUS: u16 = 400;

value! {
    /// One chunk of an input file.
    pub struct ChunkRecord {
        /// Digest of its content; part of its key.
        pub digest: DigestId,
        /// Number of items in it.
        pub items: u32,
    }

    /// An input file, which exists once this record is created.
    pub struct FileRecord {
        /// Workspace that uploaded it.
        pub workspace: WorkspaceId,
        /// Id derived from the content.
        pub file: FileId,
        /// Service that all items call.
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

    /// A batch job, which is accepted once this record is created.
    pub struct JobRecord {
        /// Id derived from the idempotency key or from the submitted body.
        pub job: JobId,
        /// Workspace that submitted it.
        pub workspace: WorkspaceId,
        /// Service that its items call.
        pub service: ServiceId,
        /// Its input file.
        pub file: FileId,
        /// Digest of the submitted body.
        pub digest: DigestId,
        /// Number of items.
        pub items: u32,
        /// Number of lots.
        pub lots: u32,
        /// Maximum number of items in a lot.
        pub lot_items: u32,
        /// When it was submitted.
        pub created: Time,
        /// Time to complete the job, as submitted.
        pub window: String,
        /// Time at which its unfinished items fail.
        pub deadline: Time,
        /// When it was cancelled or completed.
        pub ended: Option<Time>,
        /// Whether it is open, and how it ended if not.
        pub state: JobState,
        /// Counts of its items once it is completed; zero before.
        pub counts: Counts,
        /// Names and values that the caller attached to the job.
        pub metadata: BTreeMap<String, String>,
    }

    /// Response of a target to an item.
    pub struct Response {
        /// HTTP status.
        pub status: u16,
        /// Id of the request; empty for an error response.
        pub request: String,
        /// JSON body.
        pub body: String,
    }

    /// Why an item failed without a response.
    pub struct ItemFailure {
        /// Machine-readable reason.
        pub error: ItemError,
        /// Number of tries that counted towards the item's limit.
        pub tries: u32,
    }

    /// Result of an item.
    pub enum ItemResult {
        /// Response of a target; the item failed if it has an error status.
        #[serde(rename = "Answer")]
        Response(Response),
        /// The item failed without a response that could be recorded.
        Failed(ItemFailure),
    }

    /// Record in the log of a lot.
    pub enum LotRecord {
        /// A host claims the lot or renews its claim.
        Claimed {
            /// The claiming host.
            runner: HostId,
            /// Id of the claim.
            attempt: AttemptId,
        },
        /// The holder of the claim releases the lot.
        Released {
            /// Id of the claim.
            attempt: AttemptId,
        },
        /// A target was lost while the item shared it with others; the item becomes a suspect.
        Suspect {
            /// The item.
            item: ItemIndex,
        },
        /// A trial of a suspect begins: its next run, alone at its target.
        Trial {
            /// The item.
            item: ItemIndex,
            /// Number of the trial, from 1.
            number: u32,
        },
        /// The target was lost during a trial; counts as a try of the item.
        #[serde(rename = "Strike")]
        TargetLost {
            /// The item.
            item: ItemIndex,
        },
        /// A target that is healthy for other items failed this one; counts as a try of the item.
        #[serde(rename = "Refused")]
        TargetFailed {
            /// The item.
            item: ItemIndex,
            /// The target.
            target: TargetId,
        },
        /// The result of an item; the first one in the log counts.
        Outcome {
            /// The item.
            item: ItemIndex,
            /// The result.
            result: ItemResult,
        },
        /// All items of the lot have a result.
        Closed {
            /// Counts of the lot's items.
            counts: Counts,
        },
    }
}

/// Reason why an item failed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemError {
    /// Targets were lost during trials of the item.
    TargetLost,
    /// Targets that are healthy for other items failed this one.
    TargetFailed,
    /// The deadline of the job passed.
    DeadlineExceeded,
    /// The response is larger than [`MAX_RESPONSE_BYTES`].
    AnswerTooLarge,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job is waiting or running.
    Open,
    /// The caller or an operator cancelled it.
    Cancelled,
    /// All items have a result.
    Completed,
}

/// Numbers of items with a result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Items that succeeded.
    pub completed: u32,
    /// Items that failed.
    pub failed: u32,
}

impl Counts {
    /// Number of items with a result.
    #[must_use]
    pub const fn ended(self) -> u32 {
        self.completed + self.failed
    }

    /// Counts one more result.
    pub const fn add(&mut self, result: &ItemResult) {
        if result.is_failure() {
            self.failed += 1;
        } else {
            self.completed += 1;
        }
    }

    /// Adds the counts of other items.
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
            Self::Response(response) => response.status >= MIN_ERROR_STATUS,
            Self::Failed(_) => true,
        }
    }

    /// Creates the result of an item that failed without a response.
    #[must_use]
    pub const fn failed(error: ItemError, tries: u32) -> Self {
        Self::Failed(ItemFailure { error, tries })
    }
}

impl JobRecord {
    /// Record of the job once cancelled; `None` if the job has ended already.
    #[must_use]
    pub fn cancelled(&self, now: Time) -> Option<Self> {
        self.with_end(JobState::Cancelled, self.counts, now)
    }

    /// Record of the job once completed; `None` if the job has ended already.
    #[must_use]
    pub fn completed(&self, counts: Counts, now: Time) -> Option<Self> {
        self.with_end(JobState::Completed, counts, now)
    }

    fn with_end(&self, state: JobState, counts: Counts, now: Time) -> Option<Self> {
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

/// Error in encoding or decoding a stored record; holds the codec's message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError(pub String);

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record can't be encoded or decoded: {}", self.0)
    }
}

impl std::error::Error for RecordError {}

/// Encodes a file or job record as JSON.
///
/// # Errors
///
/// Fails if JSON can't represent the record.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, RecordError> {
    serde_json::to_vec(record).map_err(|e| RecordError(e.to_string()))
}

/// Decodes a file or job record from JSON.
///
/// # Errors
///
/// Fails if the bytes are not such a record.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    serde_json::from_slice(bytes).map_err(|e| RecordError(e.to_string()))
}
