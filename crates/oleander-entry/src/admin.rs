//! Operators' interface of the entry: status, hosts and the configuration document.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use oleander_core::{ApiError, ErrorCode, Revision};
use oleander_document::Document;
use oleander_host::{AdminState, HostState, HostStatus, Phase, admin::error_response};
use oleander_node::{DOCUMENT_KEY, target_status};
use oleander_platform::{Created, Object, ObjectStore, PlatformError, Updated};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{app::App, background};

/// State and drain of the entry for the operators' interface.
pub(crate) struct EntryAdmin(pub(crate) Arc<App>);

impl AdminState for EntryAdmin {
    async fn status(&self) -> HostStatus {
        let app = &self.0;
        let revision = app.document.revision();
        let state = match (app.shutdown.phase(), revision) {
            (Phase::Running, None) => HostState::Starting,
            (Phase::Running, Some(_)) => HostState::Ready,
            _ => HostState::Draining,
        };
        let targets = app.pools.all().into_iter().flat_map(|pool| pool.snapshot());
        HostStatus {
            host: app.settings.host.clone(),
            role: app.settings.role,
            zone: app.settings.zone.clone(),
            revision,
            state,
            in_flight: app.runs.running() as u64,
            targets: targets.map(target_status).collect(),
        }
    }

    async fn drain(&self) {
        self.0.shutdown.start();
    }
}

/// Routes that need the operator key.
pub(crate) fn routes(app: Arc<App>) -> Router {
    Router::new()
        .route("/admin/document", get(read_document))
        .route("/admin/apply", post(apply))
        .route("/admin/hosts", get(hosts))
        .with_state(Arc::clone(&app))
        .merge(oleander_intake::admin_router_with_store(app.jobs.clone()))
}

async fn hosts(State(app): State<Arc<App>>) -> Response {
    let contacts = app.hosts.lock().contacts();
    Json(json!({"hosts": contacts})).into_response()
}

async fn read_document(State(app): State<Arc<App>>) -> Response {
    match app.platform.get(DOCUMENT_KEY).await {
        Ok(object) => Json(document_json(object.as_ref())).into_response(),
        Err(error) => platform_error(&error),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyBody {
    base: Option<Revision>,
    document: Value,
}

async fn apply(State(app): State<Arc<App>>, body: Bytes) -> Response {
    let body: ApplyBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(error) => {
            let error = ApiError::not_run(ErrorCode::InvalidRequest, error.to_string());
            return error_response(error);
        }
    };
    let document = match Document::from_json(body.document.to_string().as_bytes()) {
        Ok(document) => document,
        Err(faults) => {
            let error = ApiError::not_run(ErrorCode::InvalidRequest, "the document has faults");
            let faults: Vec<Value> = faults
                .iter()
                .map(|fault| json!({"path": fault.path, "message": fault.message}))
                .collect();
            let body = Json(json!({"error": error, "faults": faults}));
            return (StatusCode::BAD_REQUEST, body).into_response();
        }
    };
    let text = document.to_json();
    match write(&app, body.base, &text).await {
        Ok(Some(revision)) => {
            background::apply_document(&app, revision, text.as_bytes());
            Json(json!({"revision": revision})).into_response()
        }
        Ok(None) => confirm_write(&app, &text).await,
        Err(error) if error.may_have_written() => confirm_write(&app, &text).await,
        Err(error) => platform_error(&error),
    }
}

/// Replaces the revision that the operator read; `None` if another change was written first.
async fn write(
    app: &App,
    base: Option<Revision>,
    text: &str,
) -> Result<Option<Revision>, PlatformError> {
    let body = Bytes::from(text.to_owned());
    match base {
        None => match app.platform.create(DOCUMENT_KEY, body).await? {
            Created::New(revision) => Ok(Some(revision)),
            Created::Exists => Ok(None),
        },
        Some(base) => match app.platform.update(DOCUMENT_KEY, body, base).await? {
            Updated::Done(revision) => Ok(Some(revision)),
            Updated::Stale(_) => Ok(None),
        },
    }
}

/// Reads the stored document to learn how a write ended: the same document is a success, another
/// one a conflict.
async fn confirm_write(app: &App, text: &str) -> Response {
    match app.platform.get(DOCUMENT_KEY).await {
        Ok(Some(object)) if object.body == text.as_bytes() => {
            background::apply_document(app, object.revision, &object.body);
            Json(json!({"revision": object.revision})).into_response()
        }
        Ok(object) => {
            let error = ApiError::not_run(ErrorCode::Conflict, "another change came first");
            let mut body = document_json(object.as_ref());
            body["error"] = json!(error);
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
        Err(error) => platform_error(&error),
    }
}

fn document_json(object: Option<&Object>) -> Value {
    let document: Option<Value> =
        object.and_then(|object| serde_json::from_slice(&object.body).ok());
    json!({"revision": object.map(|object| object.revision), "document": document})
}

fn platform_error(error: &PlatformError) -> Response {
    let error = ApiError::may_have_run(ErrorCode::Unavailable, error.to_string());
    error_response(error)
}
