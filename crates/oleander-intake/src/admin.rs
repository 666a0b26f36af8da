//! HTTP interface for operators to list and cancel jobs.

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
    batches::{after_write, cancel_job},
    error::ErrorResponse,
    view::AdminJob,
};

const MAX_PAGE_JOBS: usize = 200;

/// One page of jobs.
#[derive(Debug, Serialize)]
struct AdminJobList {
    jobs: Vec<AdminJob>,
    /// Whether more jobs follow the last one.
    more: bool,
}

/// Query parameters of a listing.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListQuery {
    #[serde(default)]
    after: Option<JobId>,
}

/// Operators' routes for jobs; an earlier middleware must check the operator key.
pub fn admin_router<P: ObjectStore>(platform: P) -> Router {
    admin_router_with_store(JobStore::new(platform))
}

/// Same routes as [`admin_router`], with a given store, such as one that notifies of cancelled
/// jobs.
pub fn admin_router_with_store<P: ObjectStore>(store: JobStore<P>) -> Router {
    Router::new()
        .route("/admin/jobs", get(list::<P>))
        .route("/admin/jobs/{id}/cancel", post(cancel::<P>))
        .with_state(store)
}

async fn list<P: ObjectStore>(
    State(store): State<JobStore<P>>,
    query: Result<Query<ListQuery>, QueryRejection>,
) -> Result<Json<AdminJobList>, ErrorResponse> {
    let Query(query) = query.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
    let after = query.after.map(|job| key::job(&job)).unwrap_or_default();
    let listing = store.list(key::JOB_PREFIX, &after, MAX_PAGE_JOBS).await?;
    let ids = listing.objects.iter().filter_map(|object| object.key.strip_prefix(key::JOB_PREFIX));
    let mut jobs = Vec::new();
    for job in ids.filter_map(|id| id.parse().ok()) {
        if let Some((_, record)) = store.job(&job).await? {
            let counts = store.counts(&record).await?;
            jobs.push(AdminJob::new(record, counts));
        }
    }
    Ok(Json(AdminJobList { jobs, more: listing.more }))
}

async fn cancel<P: ObjectStore>(
    State(store): State<JobStore<P>>,
    Path(id): Path<String>,
) -> Result<Json<AdminJob>, ErrorResponse> {
    let job: JobId = id.parse().map_err(|_| ErrorResponse::not_found("job"))?;
    let record = cancel_job(&store, &job, clock::now()).await?;
    let counts = store.counts(&record).await.map_err(after_write)?;
    Ok(Json(AdminJob::new(record, counts)))
}
