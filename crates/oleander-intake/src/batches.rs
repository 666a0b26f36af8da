//! Submission, listing, status and cancellation of jobs.

use std::collections::BTreeMap;

use axum::{
    Extension, Json,
    body::Bytes,
    extract::{Path, Query, State, rejection::QueryRejection},
    http::HeaderMap,
};
use oleander_core::{FileId, JobId, RequestId, Time, WorkspaceId, hash};
use oleander_document::{Service, ServiceKind, Workspace};
use oleander_host::clock;
use oleander_jobs::{Counts, FileRecord, ITEM_URL, JobRecord, JobState, LotPlan, encode, key};
use oleander_platform::ObjectStore;
use serde::{Deserialize, Serialize};

use crate::{
    ApiState, CreateOutcome, DocumentSource, JobStore, StoreError,
    error::ErrorResponse,
    view::{BatchList, BatchView},
    window::Window,
};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_METADATA_PAIRS: usize = 16;
/// Maximum size of a name together with its value.
const MAX_METADATA_PAIR_BYTES: usize = 512;
const DEFAULT_LIST_LIMIT: usize = 20;
const MAX_LIST_LIMIT: usize = 100;

/// Body of a submission as received.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSubmission {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<BTreeMap<String, String>>,
}

/// Validated submission.
struct Submission {
    file: FileId,
    window: Window,
    window_text: String,
    metadata: BTreeMap<String, String>,
    /// Digest of the submitted body.
    digest: oleander_core::DigestId,
}

impl TryFrom<RawSubmission> for Submission {
    type Error = ErrorResponse;

    fn try_from(raw: RawSubmission) -> Result<Self, Self::Error> {
        let encoded = encode(&raw).map_err(|e| ErrorResponse::invalid(e.0))?;
        let file = raw.input_file_id.parse();
        let file = file.map_err(|e| ErrorResponse::invalid(format!("input_file_id: {e}")))?;
        if raw.endpoint != ITEM_URL {
            return Err(ErrorResponse::invalid(format!("endpoint must be {ITEM_URL}")));
        }
        let window = raw.completion_window.parse().map_err(|_| {
            ErrorResponse::invalid("completion_window must be from 1s to 7d, such as 24h")
        })?;
        let metadata = raw.metadata.unwrap_or_default();
        let fits =
            |(name, value): (&String, &String)| name.len() + value.len() <= MAX_METADATA_PAIR_BYTES;
        if metadata.len() > MAX_METADATA_PAIRS || !metadata.iter().all(fits) {
            let text = format!(
                "metadata must have at most {MAX_METADATA_PAIRS} pairs, each of at most \
                 {MAX_METADATA_PAIR_BYTES} bytes"
            );
            return Err(ErrorResponse::invalid(text));
        }
        let window_text = raw.completion_window;
        Ok(Self { file, window, window_text, metadata, digest: hash::digest(&encoded) })
    }
}

/// Creates a job, or returns the one that an earlier request created.
pub(crate) async fn submit<P: ObjectStore, D: DocumentSource>(
    State(state): State<ApiState<P, D>>,
    Extension(workspace): Extension<Workspace>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<BatchView>, ErrorResponse> {
    let raw: RawSubmission =
        serde_json::from_slice(&body).map_err(|e| ErrorResponse::invalid(e.to_string()))?;
    let submission = Submission::try_from(raw)?;
    let job = job_id(&headers, &workspace.name, &submission)?;
    if let Some((_, found)) = state.store.job(&job).await? {
        return existing_job(&state.store, found, &submission).await;
    }
    let file = state.store.file(&workspace.name, &submission.file).await?;
    let file = file.ok_or_else(|| ErrorResponse::not_found("input file"))?;
    let record = new_record(&state, &workspace, job, &file, &submission)?;
    create(&state.store, record, &submission).await
}

/// Derives the id of a job from its idempotency key, or from the body if there is no key.
fn job_id(
    headers: &HeaderMap,
    workspace: &WorkspaceId,
    submission: &Submission,
) -> Result<JobId, ErrorResponse> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(key::job_id(workspace, &format!("body\n{}", submission.digest)));
    };
    let text = value.to_str().unwrap_or_default();
    let id: RequestId = text
        .parse()
        .map_err(|e| ErrorResponse::invalid(format!("{IDEMPOTENCY_KEY_HEADER}: {e}")))?;
    Ok(key::job_id(workspace, &format!("key\n{id}")))
}

/// Returns a job that exists already, if it was created with the same body.
async fn existing_job<P: ObjectStore>(
    store: &JobStore<P>,
    found: JobRecord,
    submission: &Submission,
) -> Result<Json<BatchView>, ErrorResponse> {
    if found.digest != submission.digest {
        return Err(ErrorResponse::conflict(
            "this idempotency key was used with another request body",
        ));
    }
    let counts = store.counts(&found).await?;
    Ok(Json(BatchView::new(found, counts)))
}

fn new_record<P: ObjectStore, D: DocumentSource>(
    state: &ApiState<P, D>,
    workspace: &Workspace,
    job: JobId,
    file: &FileRecord,
    submission: &Submission,
) -> Result<JobRecord, ErrorResponse> {
    let document = (state.document_source)();
    let document =
        document.ok_or_else(|| ErrorResponse::unavailable("no document is in force yet"))?;
    let service = document.service(file.service.as_str());
    let service = service.filter(|service| is_allowed(service, workspace));
    let Some(service) = service else {
        let text = format!("{} is not an engine service of this workspace", file.service);
        return Err(ErrorResponse::invalid(text));
    };
    let now = clock::now();
    let lot_items = service.batch.lot_items;
    Ok(JobRecord {
        job,
        workspace: workspace.name.clone(),
        service: service.name.clone(),
        file: file.file.clone(),
        digest: submission.digest.clone(),
        items: file.items,
        lots: LotPlan::new(&file.chunks, lot_items).lots(),
        lot_items,
        created: now,
        window: submission.window_text.clone(),
        deadline: now + submission.window.0,
        ended: None,
        state: JobState::Open,
        counts: Counts::default(),
        metadata: submission.metadata.clone(),
    })
}

fn is_allowed(service: &Service, workspace: &Workspace) -> bool {
    matches!(service.kind, ServiceKind::Engine { .. }) && workspace.services.contains(&service.name)
}

/// Creates the announcement of a job before its record, so that no accepted job is unannounced.
async fn create<P: ObjectStore>(
    store: &JobStore<P>,
    record: JobRecord,
    submission: &Submission,
) -> Result<Json<BatchView>, ErrorResponse> {
    let announcement = key::announcement(record.created, record.lots, &record.job);
    let workspace_entry = key::workspace_job(&record.workspace, &record.job);
    for key in [announcement, workspace_entry] {
        store.create(&key, Bytes::new()).await.map_err(announcement_error)?;
    }
    match store.create_record(&key::job(&record.job), &record).await? {
        CreateOutcome::New => Ok(Json(BatchView::new(record, Counts::default()))),
        CreateOutcome::Exists => {
            let found = store.job(&record.job).await.map_err(after_write)?;
            let found = found.map_or(record, |(_, found)| found);
            existing_job(store, found, submission).await
        }
    }
}

/// Error response if a job can't be announced; an announcement without a job record has no effect.
fn announcement_error(error: StoreError) -> ErrorResponse {
    log::warn!("job can't be announced: {error}");
    ErrorResponse::unavailable("the platform does not answer")
}

/// Marks the error of a read as following a write, which may have taken effect.
pub(crate) fn after_write(error: StoreError) -> StoreError {
    match error {
        StoreError::Platform { error, .. } => {
            StoreError::Platform { error, may_have_written: true }
        }
        StoreError::Record(_) | StoreError::Missing(_) => error,
    }
}

/// Query parameters of a listing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListQuery {
    #[serde(default)]
    after: Option<JobId>,
    #[serde(default)]
    limit: Option<usize>,
}

/// Lists a page of a workspace's jobs.
pub(crate) async fn list<P: ObjectStore, D: DocumentSource>(
    State(state): State<ApiState<P, D>>,
    Extension(workspace): Extension<Workspace>,
    query: Result<Query<ListQuery>, QueryRejection>,
) -> Result<Json<BatchList>, ErrorResponse> {
    let Query(query) = query.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
    let after =
        query.after.map(|job| key::workspace_job(&workspace.name, &job)).unwrap_or_default();
    let limit = query.limit.unwrap_or(DEFAULT_LIST_LIMIT).clamp(1, MAX_LIST_LIMIT);
    let prefix = key::workspace_jobs_prefix(&workspace.name);
    let listing = state.store.list(&prefix, &after, limit).await?;
    let ids = listing.objects.iter().filter_map(|object| object.key.strip_prefix(&prefix));
    let mut jobs = Vec::new();
    for job in ids.filter_map(|id| id.parse().ok()) {
        if let Some((_, record)) = state.store.job(&job).await? {
            let counts = state.store.counts(&record).await?;
            jobs.push(BatchView::new(record, counts));
        }
    }
    Ok(Json(BatchList::new(jobs, listing.more)))
}

/// Returns the description of a job.
pub(crate) async fn read<P: ObjectStore, D: DocumentSource>(
    State(state): State<ApiState<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Json<BatchView>, ErrorResponse> {
    let record = own_job(&state.store, &workspace, &id).await?;
    let counts = state.store.counts(&record).await?;
    Ok(Json(BatchView::new(record, counts)))
}

/// Cancels a job.
pub(crate) async fn cancel<P: ObjectStore, D: DocumentSource>(
    State(state): State<ApiState<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Json<BatchView>, ErrorResponse> {
    let record = own_job(&state.store, &workspace, &id).await?;
    let record = cancel_job(&state.store, &record.job, clock::now()).await?;
    let counts = state.store.counts(&record).await.map_err(after_write)?;
    Ok(Json(BatchView::new(record, counts)))
}

/// Cancels a job; fails with a conflict if it is completed.
pub(crate) async fn cancel_job<P: ObjectStore>(
    store: &JobStore<P>,
    job: &JobId,
    now: Time,
) -> Result<JobRecord, ErrorResponse> {
    let record = store.cancel(job, now).await?;
    let record = record.ok_or_else(|| ErrorResponse::not_found("job"))?;
    if record.state == JobState::Completed {
        return Err(ErrorResponse::conflict("the job is already completed"));
    }
    Ok(record)
}

/// Reads a job of the workspace; a job of another workspace counts as not found.
async fn own_job<P: ObjectStore>(
    store: &JobStore<P>,
    workspace: &Workspace,
    id: &str,
) -> Result<JobRecord, ErrorResponse> {
    let job: JobId = id.parse().map_err(|_| ErrorResponse::not_found("job"))?;
    let found = store.job(&job).await?.map(|(_, record)| record);
    let own = found.filter(|record| record.workspace == workspace.name);
    own.ok_or_else(|| ErrorResponse::not_found("job"))
}
