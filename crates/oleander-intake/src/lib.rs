//! Callers' interface of files and batch jobs.

use std::sync::Arc;

use axum::Router;
use oleander_document::Document;
use oleander_platform::Platform;

/// Routes for callers.
pub fn router<P, F>(_platform: P, _documents: F) -> Router
where
    P: Platform,
    F: Fn() -> Option<Arc<Document>> + Clone + Send + Sync + 'static,
{
    Router::new()
}

/// Routes for operators.
pub fn admin_router<P: Platform>(_platform: P) -> Router {
    Router::new()
}
