//! Callers' interface of files and batch jobs.
//!
//! [`router`] serves files and jobs of one workspace, which the middleware before it puts into
//! the request; [`admin_router`] serves operators. A file is checked while it streams in and kept
//! in chunks; a job exists from the create of its record on. [`JobStore`] is the access to both
//! at the platform, for this crate and for the runners of jobs.

mod admin;
mod batches;
mod error;
mod files;
mod output;
mod store;
mod upload;
mod view;
mod window;

use std::sync::Arc;

use axum::{
    Router,
    extract::DefaultBodyLimit,
    routing::{get, post},
};
use oleander_document::Document;
use oleander_platform::ObjectStore;
use tokio::sync::Semaphore;

pub use admin::{admin_router, admin_router_with_store};
pub use error::ErrorResponse;
pub use store::{ClosedLots, CreateOutcome, JobStore, StoreError};

/// Largest body of a call that submits a job, in bytes.
const MAX_JOB_BYTES: usize = 64 << 10;
/// Files that one host takes in at once; bounds the memory that uploads need.
const MAX_UPLOADS: usize = 16;

/// The document in force, if any.
pub trait DocumentSource: Fn() -> Option<Arc<Document>> + Clone + Send + Sync + 'static {}

impl<F: Fn() -> Option<Arc<Document>> + Clone + Send + Sync + 'static> DocumentSource for F {}

/// What the handlers share.
#[derive(Debug, Clone)]
struct Intake<P, D> {
    store: JobStore<P>,
    documents: D,
    uploads: Arc<Semaphore>,
}

/// The routes of files and jobs, for requests with an `Extension` of their workspace.
pub fn router<P: ObjectStore, D: DocumentSource>(platform: P, documents: D) -> Router {
    router_with_store(JobStore::new(platform), documents)
}

/// The same routes over a store, such as one that notifies of cancelled jobs.
pub fn router_with_store<P: ObjectStore, D: DocumentSource>(
    store: JobStore<P>,
    documents: D,
) -> Router {
    let uploads = Arc::new(Semaphore::new(MAX_UPLOADS));
    let intake = Intake { store, documents, uploads };
    let upload = post(upload::upload::<P, D>).layer(DefaultBodyLimit::disable());
    let submit = post(batches::submit::<P, D>).layer(DefaultBodyLimit::max(MAX_JOB_BYTES));
    Router::new()
        .route("/v1/files", upload)
        .route("/v1/files/{id}", get(files::info::<P, D>))
        .route("/v1/files/{id}/content", get(files::content::<P, D>))
        .route("/v1/batches", submit.get(batches::list::<P, D>))
        .route("/v1/batches/{id}", get(batches::read::<P, D>))
        .route("/v1/batches/{id}/cancel", post(batches::cancel::<P, D>))
        .with_state(intake)
}
