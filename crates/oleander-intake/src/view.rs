//! JSON representations of files and jobs, in the format that callers' client libraries expect.

use std::collections::BTreeMap;

use oleander_core::{FileId, JobId, Time};
use oleander_jobs::{
    Counts, FileRecord, ITEM_URL, ItemError, ItemResult, JobRecord, JobState, key,
};
use serde::Serialize;
use serde_json::value::RawValue;

/// Description of a file.
#[derive(Debug, Serialize)]
pub(crate) struct FileView {
    id: FileId,
    object: &'static str,
    purpose: &'static str,
    created_at: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    bytes: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    items: Option<u32>,
}

impl From<&FileRecord> for FileView {
    fn from(file: &FileRecord) -> Self {
        Self {
            id: file.file.clone(),
            object: "file",
            purpose: "batch",
            created_at: unix_secs(file.created),
            bytes: Some(file.bytes.0),
            items: Some(file.items),
        }
    }
}

impl FileView {
    /// Describes the output of a job; its size is omitted, since it is known only after a read.
    pub(crate) fn output(job: &JobRecord) -> Self {
        Self {
            id: key::output_id(&job.job),
            object: "file",
            purpose: "batch_output",
            created_at: unix_secs(job.created),
            bytes: None,
            items: None,
        }
    }
}

/// Numbers of items: in total, succeeded and failed.
#[derive(Debug, Serialize)]
struct CountsView {
    total: u32,
    completed: u32,
    failed: u32,
}

/// Description of a job.
#[derive(Debug, Serialize)]
pub(crate) struct BatchView {
    id: JobId,
    object: &'static str,
    endpoint: &'static str,
    input_file_id: FileId,
    output_file_id: Option<FileId>,
    completion_window: String,
    status: &'static str,
    created_at: u64,
    expires_at: u64,
    completed_at: Option<u64>,
    cancelled_at: Option<u64>,
    request_counts: CountsView,
    metadata: BTreeMap<String, String>,
}

impl BatchView {
    /// Describes a job with the counts of its closed lots.
    pub(crate) fn new(job: JobRecord, counts: Counts) -> Self {
        let ended = |state| job.ended.filter(|_| job.state == state).map(unix_secs);
        let has_output = counts.ended() > 0 || job.state != JobState::Open;
        Self {
            object: "batch",
            endpoint: ITEM_URL,
            output_file_id: has_output.then(|| key::output_id(&job.job)),
            status: status(job.state),
            created_at: unix_secs(job.created),
            expires_at: unix_secs(job.deadline),
            completed_at: ended(JobState::Completed),
            cancelled_at: ended(JobState::Cancelled),
            request_counts: CountsView {
                total: job.items,
                completed: counts.completed,
                failed: counts.failed,
            },
            id: job.job,
            input_file_id: job.file,
            completion_window: job.window,
            metadata: job.metadata,
        }
    }

    pub(crate) const fn id(&self) -> &JobId {
        &self.id
    }
}

const fn status(state: JobState) -> &'static str {
    match state {
        JobState::Open => "in_progress",
        JobState::Cancelled => "cancelled",
        JobState::Completed => "completed",
    }
}

/// One page of jobs.
#[derive(Debug, Serialize)]
pub(crate) struct BatchList {
    object: &'static str,
    first_id: Option<JobId>,
    last_id: Option<JobId>,
    has_more: bool,
    data: Vec<BatchView>,
}

impl BatchList {
    pub(crate) fn new(data: Vec<BatchView>, has_more: bool) -> Self {
        Self {
            object: "list",
            first_id: data.first().map(|job| job.id().clone()),
            last_id: data.last().map(|job| job.id().clone()),
            has_more,
            data,
        }
    }
}

/// Line of a job's output: the result of one item.
#[derive(Debug, Serialize)]
pub(crate) struct OutputLine<'a> {
    id: String,
    custom_id: &'a str,
    response: Option<ResponseView<'a>>,
    error: Option<ErrorView>,
}

#[derive(Debug, Serialize)]
struct ResponseView<'a> {
    status_code: u16,
    request_id: &'a str,
    body: BodyView<'a>,
}

/// Response body of a target: unchanged if it is JSON, else as a JSON string.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum BodyView<'a> {
    Json(&'a RawValue),
    Text(&'a str),
}

#[derive(Debug, Serialize)]
struct ErrorView {
    code: ItemError,
    message: String,
}

impl<'a> OutputLine<'a> {
    pub(crate) fn new(id: String, custom_id: &'a str, result: &'a ItemResult) -> Self {
        let (response, error) = match result {
            ItemResult::Response(response) => {
                let body = serde_json::from_str(&response.body).map(BodyView::Json);
                let body = body.unwrap_or(BodyView::Text(&response.body));
                let request_id = &response.request;
                (Some(ResponseView { status_code: response.status, request_id, body }), None)
            }
            ItemResult::Failed(failure) => {
                let message = failure_message(failure.error, failure.tries);
                (None, Some(ErrorView { code: failure.error, message }))
            }
        };
        Self { id, custom_id, response, error }
    }
}

fn failure_message(error: ItemError, tries: u32) -> String {
    match error {
        ItemError::TargetLost => {
            format!("the target was lost in each of {tries} runs of this item alone")
        }
        ItemError::TargetFailed => {
            format!("{tries} targets that are healthy for other items failed this item")
        }
        ItemError::DeadlineExceeded => {
            "the deadline of the job passed before the item ended".to_owned()
        }
        ItemError::AnswerTooLarge => "the response is too large to be recorded".to_owned(),
    }
}

/// Description of a job for operators.
#[derive(Debug, Serialize)]
pub(crate) struct AdminJob {
    pub(crate) id: JobId,
    workspace: String,
    state: JobState,
    total: u32,
    completed: u32,
    failed: u32,
}

impl AdminJob {
    pub(crate) fn new(job: JobRecord, counts: Counts) -> Self {
        Self {
            id: job.job,
            workspace: job.workspace.into(),
            state: job.state,
            total: job.items,
            completed: counts.completed,
            failed: counts.failed,
        }
    }
}

/// Whole seconds since the Unix epoch.
const fn unix_secs(time: Time) -> u64 {
    time.0 / 1_000_000
}
