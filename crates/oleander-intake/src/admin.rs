//! Operators' interface of jobs.

use axum::{
    Json, Router,
    extract::{Path, Query, State, rejection::QueryRejection},
    routing::{get, post},
};
use oleander_core::JobId;
use oleander_host::clock;
use oleander_jobs::key;
use oleander_platform::ObjectStore;
use serde::{Deserialize, Serialize};

use crate::{
    JobStore,
    batches::{after_change, cancel_job},
    error::ErrorResponse,
    view::AdminJob,
};

const MAX_JOBS: usize = 200;

/// One page of jobs.
#[derive(Debug, Serialize)]
struct AdminJobs {
    jobs: Vec<AdminJob>,
    /// Whether more follow the last one.
    more: bool,
}

/// Paging of the jobs.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Page {
    #[serde(default)]
    after: Option<JobId>,
}

/// The operators' routes of jobs; the caller puts its key check before them.
pub fn admin_router<P: ObjectStore>(platform: P) -> Router {
    admin_router_with_store(JobStore::new(platform))
}

/// The same routes over a store, such as one that notifies of cancelled jobs.
pub fn admin_router_with_store<P: ObjectStore>(store: JobStore<P>) -> Router {
    Router::new()
        .route("/admin/jobs", get(list::<P>))
        .route("/admin/jobs/{id}/cancel", post(cancel::<P>))
        .with_state(store)
}

async fn list<P: ObjectStore>(
    State(store): State<JobStore<P>>,
    page: Result<Query<Page>, QueryRejection>,
) -> Result<Json<AdminJobs>, ErrorResponse> {
    let Query(page) = page.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
    let after = page.after.map(|job| key::job(&job)).unwrap_or_default();
    let listing = store.list(key::JOB_PREFIX, &after, MAX_JOBS).await?;
    let names = listing.objects.iter().filter_map(|row| row.key.strip_prefix(key::JOB_PREFIX));
    let mut jobs = Vec::new();
    for job in names.filter_map(|name| name.parse().ok()) {
        if let Some((_, record)) = store.job(&job).await? {
            let counts = store.counts(&record).await?;
            jobs.push(AdminJob::new(record, counts));
        }
    }
    Ok(Json(AdminJobs { jobs, more: listing.more }))
}

async fn cancel<P: ObjectStore>(
    State(store): State<JobStore<P>>,
    Path(id): Path<String>,
) -> Result<Json<AdminJob>, ErrorResponse> {
    let job: JobId = id.parse().map_err(|_| ErrorResponse::not_found("job"))?;
    let record = cancel_job(&store, &job, clock::now()).await?;
    let counts = store.counts(&record).await.map_err(after_change)?;
    Ok(Json(AdminJob::new(record, counts)))
}
