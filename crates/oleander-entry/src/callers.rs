//! The callers' HTTP interface.

mod answer;
mod body;
mod chat;
mod operation;

use std::sync::Arc;

use axum::{
    Extension, Json, Router,
    extract::{Path, Request, State},
    http::{HeaderMap, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use oleander_core::{ApiError, CallId, ErrorCode, EventKind, RequestId, ShardId, Span, Time, hash};
use oleander_document::Workspace;
use oleander_host::{Phase, clock};
use oleander_ledger::ShardReply;
use oleander_peer::ShardCall;
use serde_json::json;
use tokio::time;

use crate::{
    app::App,
    call::{self, CallRequest},
    flight::Flight,
};

use answer::{error_answer, outcome_answer};

const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const MAX_DEADLINE: Span = Span::from_secs(600);
/// When to come back if no document is in force yet.
const START_RETRY: Span = Span::from_secs(1);
/// Longest wait of a read for an owner that can tell; a caller's usual patience for a read.
const LOOKUP_WAIT: Span = Span::from_secs(2);
/// Time between two questions to the owner; a change of owners takes several times as long.
const LOOKUP_AGAIN: Span = Span::from_millis(100);

/// The routes for callers.
pub(crate) fn router(app: Arc<App>) -> Router {
    let documents = Arc::clone(&app);
    let batch = oleander_intake::store_router(app.jobs.clone(), move || {
        documents.documents.current().map(|current| current.document)
    });
    let keyed = Router::new()
        .route("/v1/chat/completions", post(chat::complete))
        .route("/v1/services/{service}/{operation}", post(operation::call))
        .route("/v1/results/{request}", get(read_result))
        .with_state(Arc::clone(&app))
        .merge(batch)
        .layer(middleware::from_fn_with_state(Arc::clone(&app), authenticate));
    Router::new()
        .route("/v1/addresses", get(addresses))
        .with_state(Arc::clone(&app))
        .merge(keyed)
        .fallback(not_found)
        .layer(middleware::from_fn_with_state(app, close_when_draining))
}

async fn not_found() -> Response {
    error_answer(ApiError::not_run(ErrorCode::NotFound, "no such path"))
}

/// Asks callers of a leaving host to connect elsewhere.
async fn close_when_draining(
    State(app): State<Arc<App>>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if app.drain.phase() > Phase::Running {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Finds the workspace of the caller's key.
async fn authenticate(State(app): State<Arc<App>>, mut request: Request, next: Next) -> Response {
    let Some(current) = app.documents.current() else {
        let error = ApiError::not_run(ErrorCode::Unavailable, "no document is in force yet");
        return error_answer(error.retry_after(START_RETRY));
    };
    let workspace = bearer(request.headers())
        .and_then(|key| current.document.workspace_by_key(&hash::digest(key.as_bytes())));
    let Some(workspace) = workspace.cloned() else {
        let error = ApiError::not_run(ErrorCode::Unauthorized, "the key is missing or unknown");
        return error_answer(error);
    };
    request.extensions_mut().insert(workspace);
    next.run(request).await
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

async fn addresses(State(app): State<Arc<App>>) -> Response {
    let addresses = app.hosts.lock().addresses(clock::now());
    let keep = app.settings.entry.address_ttl.as_millis();
    Json(json!({"addresses": addresses, "keep_ms": keep})).into_response()
}

async fn read_result(
    State(app): State<Arc<App>>,
    Extension(workspace): Extension<Workspace>,
    Path(request): Path<String>,
) -> Response {
    let Ok(request) = RequestId::try_from(request) else {
        let error = ApiError::not_run(ErrorCode::InvalidRequest, "the request id is malformed");
        return error_answer(error);
    };
    let call = CallId { workspace: workspace.name, request };
    let shard = app.shard_of(&call);
    match look_up(&app, shard, &call).await {
        Some(ShardReply::Done(outcome)) => outcome_answer(outcome),
        Some(ShardReply::Join { .. }) => {
            let body = Json(json!({"status": "running"}));
            (axum::http::StatusCode::ACCEPTED, body).into_response()
        }
        Some(ShardReply::Absent) => {
            error_answer(ApiError::not_run(ErrorCode::NotFound, "nothing has this id"))
        }
        _ => {
            let error = ApiError::unknown(ErrorCode::Unavailable, "the platform does not answer");
            error_answer(error.retry_after(START_RETRY))
        }
    }
}

/// Asks for what is known of a call, again while its owner can't tell, within a bound.
///
/// A read changes nothing, so that asking again is safe; the owner of a shard may just have
/// changed, or may wait for the platform.
async fn look_up(app: &App, shard: ShardId, call: &CallId) -> Option<ShardReply> {
    let last = clock::steady() + LOOKUP_WAIT;
    loop {
        let reply = app.ask_owner(shard, ShardCall::Lookup(call.clone())).await;
        let known = !matches!(reply, None | Some(ShardReply::Unavailable { .. }));
        if known || clock::steady() + LOOKUP_AGAIN > last {
            return reply;
        }
        time::sleep(LOOKUP_AGAIN.to_duration()).await;
    }
}

/// Checks the headers of an online call and names it.
fn call_id(app: &App, workspace: &Workspace, headers: &HeaderMap) -> Result<CallId, ApiError> {
    let request = match headers.get(KEY_HEADER) {
        Some(value) => {
            let text = value.to_str().map_err(|e| invalid(&format!("{KEY_HEADER}: {e}")))?;
            text.parse().map_err(|e| invalid(&format!("{KEY_HEADER}: {e}")))?
        }
        None => app.next_attempt().to_string().parse().map_err(|e| invalid(&format!("{e}")))?,
    };
    Ok(CallId { workspace: workspace.name.clone(), request })
}

fn deadline(headers: &HeaderMap, usual: Span, now: Time) -> Result<Time, ApiError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(now + usual) };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let span = millis.map(Span::from_millis).filter(|span| *span <= MAX_DEADLINE);
    let text = format!("{DEADLINE_HEADER}: must be whole milliseconds up to {MAX_DEADLINE}");
    span.map(|span| now + span).ok_or_else(|| invalid(&text))
}

fn invalid(text: &str) -> ApiError {
    ApiError::not_run(ErrorCode::InvalidRequest, text)
}

/// Admits a call to its service and starts it or joins its run.
fn open(app: &Arc<App>, request: CallRequest) -> Result<Arc<Flight>, ApiError> {
    let (call, service) = (request.call.to_string(), request.service.to_string());
    let flight = call::open(app, request)?;
    app.timeline.record(clock::now(), EventKind::Accepted, call, format!("service {service}"));
    metrics::counter!("oleander_calls_total", "service" => service).increment(1);
    Ok(flight)
}

/// Checks that the workspace may call the service now.
fn admit(app: &App, workspace: &Workspace, service: &str) -> Result<(), ApiError> {
    if !workspace.services.iter().any(|allowed| allowed.as_str() == service) {
        let text = format!("service {service} is not declared for this workspace");
        return Err(ApiError::not_run(ErrorCode::NotFound, text));
    }
    let limited = app.limiter.lock().try_acquire(clock::now(), &workspace.name);
    limited.map_err(|wait| {
        let text = "the workspace's rate limit is reached";
        ApiError::not_run(ErrorCode::RateLimited, text).retry_after(wait)
    })
}
