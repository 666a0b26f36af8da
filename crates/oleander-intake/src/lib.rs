//! HTTP interface for input files and batch jobs.
//!
//! [`router`] serves the files and jobs of the workspace that an earlier middleware has added to
//! the request; [`admin_router`] serves operators. A file is validated while it is received, and
//! stored in chunks. A job is accepted once its record is created. [`JobStore`] reads and writes
//! files and jobs at the platform, for this crate and for the hosts that run jobs.

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

/// Maximum body size of a job submission.
const MAX_SUBMISSION_BYTES: usize = 64 << 10;
/// Maximum number of concurrent uploads on a host; limits the memory that they use.
const MAX_UPLOADS: usize = 16;

/// Function that returns the document in force; `None` if there is none yet.
pub trait DocumentSource: Fn() -> Option<Arc<Document>> + Clone + Send + Sync + 'static {}

impl<F: Fn() -> Option<Arc<Document>> + Clone + Send + Sync + 'static> DocumentSource for F {}

/// State shared by the handlers.
#[derive(Debug, Clone)]
struct ApiState<P, D> {
    store: JobStore<P>,
    document_source: D,
    upload_permits: Arc<Semaphore>,
}

/// Routes for files and jobs; each request must have its workspace as an `Extension`.
pub fn router<P: ObjectStore, D: DocumentSource>(platform: P, document_source: D) -> Router {
    router_with_store(JobStore::new(platform), document_source)
}

/// Same routes as [`router`], with a given store, such as one that notifies of cancelled jobs.
pub fn router_with_store<P: ObjectStore, D: DocumentSource>(
    store: JobStore<P>,
    document_source: D,
) -> Router {
    let upload_permits = Arc::new(Semaphore::new(MAX_UPLOADS));
    let state = ApiState { store, document_source, upload_permits };
    let upload = post(upload::upload::<P, D>).layer(DefaultBodyLimit::disable());
    let submit = post(batches::submit::<P, D>).layer(DefaultBodyLimit::max(MAX_SUBMISSION_BYTES));
    Router::new()
        .route("/v1/files", upload)
        .route("/v1/files/{id}", get(files::info::<P, D>))
        .route("/v1/files/{id}/content", get(files::content::<P, D>))
        .route("/v1/batches", submit.get(batches::list::<P, D>))
        .route("/v1/batches/{id}", get(batches::read::<P, D>))
        .route("/v1/batches/{id}/cancel", post(batches::cancel::<P, D>))
        .with_state(state)
}
