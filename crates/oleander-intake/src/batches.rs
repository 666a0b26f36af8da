//! Submission, status and cancel of jobs.

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
    CreateOutcome, DocumentSource, Intake, JobStore, StoreError,
    error::ErrorResponse,
    view::{BatchList, BatchView},
    window::Window,
};

const KEY_HEADER: &str = "idempotency-key";
const MAX_PAIRS: usize = 16;
const MAX_PAIR_BYTES: usize = 512;
const LIST_LIMIT: usize = 20;
const MAX_LIST_LIMIT: usize = 100;

/// A submission as callers write it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSubmission {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<BTreeMap<String, String>>,
}

/// A checked submission.
struct Submission {
    file: FileId,
    window: Window,
    window_text: String,
    metadata: BTreeMap<String, String>,
    digest: oleander_core::DigestId,
}

impl TryFrom<RawSubmission> for Submission {
    type Error = ErrorResponse;

    fn try_from(raw: RawSubmission) -> Result<Self, Self::Error> {
        let text = encode(&raw).map_err(|e| ErrorResponse::invalid(e.0))?;
        let file = raw.input_file_id.parse();
        let file = file.map_err(|e| ErrorResponse::invalid(format!("input_file_id: {e}")))?;
        if raw.endpoint != ITEM_URL {
            return Err(ErrorResponse::invalid(format!("endpoint must be {ITEM_URL}")));
        }
        let window = raw.completion_window.parse().map_err(|_| {
            ErrorResponse::invalid("completion_window must be 1s to 7d, such as 24h")
        })?;
        let metadata = raw.metadata.unwrap_or_default();
        let fits = |(name, value): (&String, &String)| name.len() + value.len() <= MAX_PAIR_BYTES;
        if metadata.len() > MAX_PAIRS || !metadata.iter().all(fits) {
            let text = format!("metadata must be at most {MAX_PAIRS} pairs of short texts");
            return Err(ErrorResponse::invalid(text));
        }
        let window_text = raw.completion_window;
        Ok(Self { file, window, window_text, metadata, digest: hash::digest(&text) })
    }
}

/// Creates a job, or answers the one that an earlier call created.
pub(crate) async fn submit<P: ObjectStore, D: DocumentSource>(
    State(intake): State<Intake<P, D>>,
    Extension(workspace): Extension<Workspace>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<BatchView>, ErrorResponse> {
    let raw: RawSubmission =
        serde_json::from_slice(&body).map_err(|e| ErrorResponse::invalid(e.to_string()))?;
    let submission = Submission::try_from(raw)?;
    let job = job_id(&headers, &workspace.name, &submission)?;
    if let Some((_, found)) = intake.store.job(&job).await? {
        return resent(&intake.store, found, &submission).await;
    }
    let file = intake.store.file(&workspace.name, &submission.file).await?;
    let file = file.ok_or_else(|| ErrorResponse::not_found("input file"))?;
    let record = new_record(&intake, &workspace, job, &file, &submission)?;
    create(&intake.store, record, &submission).await
}

fn job_id(
    headers: &HeaderMap,
    workspace: &WorkspaceId,
    submission: &Submission,
) -> Result<JobId, ErrorResponse> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(key::job_id(workspace, &format!("body\n{}", submission.digest)));
    };
    let text = value.to_str().unwrap_or_default();
    let id: RequestId =
        text.parse().map_err(|e| ErrorResponse::invalid(format!("{KEY_HEADER}: {e}")))?;
    Ok(key::job_id(workspace, &format!("key\n{id}")))
}

async fn resent<P: ObjectStore>(
    store: &JobStore<P>,
    found: JobRecord,
    submission: &Submission,
) -> Result<Json<BatchView>, ErrorResponse> {
    if found.digest != submission.digest {
        return Err(ErrorResponse::conflict("the idempotency key stands for another job"));
    }
    let counts = store.counts(&found).await?;
    Ok(Json(BatchView::new(found, counts)))
}

fn new_record<P: ObjectStore, D: DocumentSource>(
    intake: &Intake<P, D>,
    workspace: &Workspace,
    job: JobId,
    file: &FileRecord,
    submission: &Submission,
) -> Result<JobRecord, ErrorResponse> {
    let document = (intake.documents)();
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

/// Announces the job and then commits it, so that no committed job goes unannounced.
async fn create<P: ObjectStore>(
    store: &JobStore<P>,
    record: JobRecord,
    submission: &Submission,
) -> Result<Json<BatchView>, ErrorResponse> {
    let open = key::announcement(record.created, record.lots, &record.job);
    let member = key::workspace_job(&record.workspace, &record.job);
    for key in [open, member] {
        store.create(&key, Bytes::new()).await.map_err(not_committed)?;
    }
    match store.create_record(&key::job(&record.job), &record).await? {
        CreateOutcome::New => Ok(Json(BatchView::new(record, Counts::default()))),
        CreateOutcome::Exists => {
            let found = store.job(&record.job).await.map_err(after_change)?;
            let found = found.map_or(record, |(_, found)| found);
            resent(store, found, submission).await
        }
    }
}

/// An announcement without its job counts for nothing.
fn not_committed(error: StoreError) -> ErrorResponse {
    log::warn!("job not committed: {error}");
    ErrorResponse::unavailable("the platform does not answer")
}

/// The error of a read that follows a change.
pub(crate) fn after_change(error: StoreError) -> StoreError {
    match error {
        StoreError::Platform { error, .. } => {
            StoreError::Platform { error, may_have_written: true }
        }
        StoreError::Record(_) | StoreError::Missing(_) => error,
    }
}

/// Paging of a list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Page {
    #[serde(default)]
    after: Option<JobId>,
    #[serde(default)]
    limit: Option<usize>,
}

/// Lists the jobs of a workspace.
pub(crate) async fn list<P: ObjectStore, D: DocumentSource>(
    State(intake): State<Intake<P, D>>,
    Extension(workspace): Extension<Workspace>,
    page: Result<Query<Page>, QueryRejection>,
) -> Result<Json<BatchList>, ErrorResponse> {
    let Query(page) = page.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
    let after = page.after.map(|job| key::workspace_job(&workspace.name, &job)).unwrap_or_default();
    let limit = page.limit.unwrap_or(LIST_LIMIT).clamp(1, MAX_LIST_LIMIT);
    let prefix = key::workspace_jobs_prefix(&workspace.name);
    let listing = intake.store.list(&prefix, &after, limit).await?;
    let names = listing.objects.iter().filter_map(|row| row.key.strip_prefix(&prefix));
    let mut jobs = Vec::new();
    for job in names.filter_map(|name| name.parse().ok()) {
        if let Some((_, record)) = intake.store.job(&job).await? {
            let counts = intake.store.counts(&record).await?;
            jobs.push(BatchView::new(record, counts));
        }
    }
    Ok(Json(BatchList::new(jobs, listing.more)))
}

/// Reads a job.
pub(crate) async fn read<P: ObjectStore, D: DocumentSource>(
    State(intake): State<Intake<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Json<BatchView>, ErrorResponse> {
    let record = own_job(&intake.store, &workspace, &id).await?;
    let counts = intake.store.counts(&record).await?;
    Ok(Json(BatchView::new(record, counts)))
}

/// Cancels a job.
pub(crate) async fn cancel<P: ObjectStore, D: DocumentSource>(
    State(intake): State<Intake<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Json<BatchView>, ErrorResponse> {
    let record = own_job(&intake.store, &workspace, &id).await?;
    let record = cancel_job(&intake.store, &record.job, clock::now()).await?;
    let counts = intake.store.counts(&record).await.map_err(after_change)?;
    Ok(Json(BatchView::new(record, counts)))
}

/// Cancels a job; one that is completed stays so.
pub(crate) async fn cancel_job<P: ObjectStore>(
    store: &JobStore<P>,
    job: &JobId,
    now: Time,
) -> Result<JobRecord, ErrorResponse> {
    let record = store.cancel(job, now).await?;
    let record = record.ok_or_else(|| ErrorResponse::not_found("job"))?;
    if record.state == JobState::Completed {
        return Err(ErrorResponse::conflict("the job is completed"));
    }
    Ok(record)
}

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
