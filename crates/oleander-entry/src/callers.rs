//! HTTP interface for callers.

mod body;
mod chat;
mod operation;
mod response;

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
use oleander_peer::ShardRequest;
use serde_json::json;
use tokio::time;

use crate::{
    active_run::ActiveRun,
    app::App,
    call::{self, CallRequest},
};

use response::{error_response, outcome_response};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const MAX_DEADLINE: Span = Span::from_secs(600);
/// `Retry-After` while no document is in force or the state of a call can't be read.
const UNAVAILABLE_RETRY_AFTER: Span = Span::from_secs(1);
/// Maximum time that a read waits for an owner that can respond; the usual time-out of a caller's
/// read.
const LOOKUP_TIMEOUT: Span = Span::from_secs(2);
/// Time between two lookups at the owner; a change of owner takes several times as long.
const LOOKUP_INTERVAL: Span = Span::from_millis(100);

/// The routes for callers.
pub(crate) fn router(app: Arc<App>) -> Router {
    let state = Arc::clone(&app);
    let batch_routes = oleander_intake::router_with_store(app.jobs.clone(), move || {
        state.document.current().map(|current| current.document)
    });
    let authenticated = Router::new()
        .route("/v1/chat/completions", post(chat::complete))
        .route("/v1/services/{service}/{operation}", post(operation::call))
        .route("/v1/results/{request}", get(read_result))
        .with_state(Arc::clone(&app))
        .merge(batch_routes)
        .layer(middleware::from_fn_with_state(Arc::clone(&app), authenticate));
    Router::new()
        .route("/v1/addresses", get(addresses))
        .with_state(Arc::clone(&app))
        .merge(authenticated)
        .fallback(not_found)
        .layer(middleware::from_fn_with_state(app, close_when_draining))
}

async fn not_found() -> Response {
    error_response(ApiError::not_run(ErrorCode::NotFound, "no such path"))
}

/// Adds `Connection: close` to the responses of a draining host, so that callers connect
/// elsewhere.
async fn close_when_draining(
    State(app): State<Arc<App>>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if app.shutdown.phase() > Phase::Running {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Adds the workspace of the caller's key to the request, or responds with an error.
async fn authenticate(State(app): State<Arc<App>>, mut request: Request, next: Next) -> Response {
    let Some(current) = app.document.current() else {
        let error = ApiError::not_run(ErrorCode::Unavailable, "no document is in force yet");
        return error_response(error.retry_after(UNAVAILABLE_RETRY_AFTER));
    };
    let workspace = bearer(request.headers())
        .and_then(|key| current.document.workspace_by_digest(&hash::digest(key.as_bytes())));
    let Some(workspace) = workspace.cloned() else {
        let error = ApiError::not_run(ErrorCode::Unauthorized, "the key is missing or unknown");
        return error_response(error);
    };
    request.extensions_mut().insert(workspace);
    next.run(request).await
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

async fn addresses(State(app): State<Arc<App>>) -> Response {
    let addresses = app.hosts.lock().addresses(clock::now());
    let ttl = app.settings.entry.address_ttl.as_millis();
    Json(json!({"addresses": addresses, "keep_ms": ttl})).into_response()
}

async fn read_result(
    State(app): State<Arc<App>>,
    Extension(workspace): Extension<Workspace>,
    Path(request): Path<String>,
) -> Response {
    let Ok(request) = RequestId::try_from(request) else {
        let error = ApiError::not_run(ErrorCode::InvalidRequest, "the request id is malformed");
        return error_response(error);
    };
    let call = CallId { workspace: workspace.name, request };
    let shard = app.shard_of(&call);
    match look_up(&app, shard, &call).await {
        Some(ShardReply::Done(outcome)) => outcome_response(outcome),
        Some(ShardReply::Join { .. }) => {
            let body = Json(json!({"status": "running"}));
            (axum::http::StatusCode::ACCEPTED, body).into_response()
        }
        Some(ShardReply::Absent) => {
            error_response(ApiError::not_run(ErrorCode::NotFound, "no call has this request id"))
        }
        _ => {
            let error = ApiError::may_have_run(
                ErrorCode::Unavailable,
                "the state of the call can't be read: its owner or the platform does not answer",
            );
            error_response(error.retry_after(UNAVAILABLE_RETRY_AFTER))
        }
    }
}

/// Looks up a call and retries while its owner can't respond, for at most [`LOOKUP_TIMEOUT`].
///
/// The owner may have changed a moment ago or may wait for the platform. A lookup changes nothing,
/// so repeating it is safe.
async fn look_up(app: &App, shard: ShardId, call: &CallId) -> Option<ShardReply> {
    let give_up_at = clock::steady() + LOOKUP_TIMEOUT;
    loop {
        let reply = app.ask_owner(shard, ShardRequest::Lookup(call.clone())).await;
        let known = !matches!(reply, None | Some(ShardReply::Unavailable { .. }));
        if known || clock::steady() + LOOKUP_INTERVAL > give_up_at {
            return reply;
        }
        time::sleep(LOOKUP_INTERVAL.to_duration()).await;
    }
}

/// The id of an online call: its idempotency key, or a generated one.
fn call_id(app: &App, workspace: &Workspace, headers: &HeaderMap) -> Result<CallId, ApiError> {
    let request = match headers.get(IDEMPOTENCY_KEY_HEADER) {
        Some(value) => {
            let text = value
                .to_str()
                .map_err(|e| invalid_request(&format!("{IDEMPOTENCY_KEY_HEADER}: {e}")))?;
            text.parse().map_err(|e| invalid_request(&format!("{IDEMPOTENCY_KEY_HEADER}: {e}")))?
        }
        None => {
            app.next_attempt().to_string().parse().map_err(|e| invalid_request(&format!("{e}")))?
        }
    };
    Ok(CallId { workspace: workspace.name.clone(), request })
}

fn parse_deadline(headers: &HeaderMap, default: Span, now: Time) -> Result<Time, ApiError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(now + default) };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let span = millis.map(Span::from_millis).filter(|span| *span <= MAX_DEADLINE);
    let text = format!("{DEADLINE_HEADER}: must be whole milliseconds up to {MAX_DEADLINE}");
    span.map(|span| now + span).ok_or_else(|| invalid_request(&text))
}

fn invalid_request(text: &str) -> ApiError {
    ApiError::not_run(ErrorCode::InvalidRequest, text)
}

/// Starts a call or joins its active run, and records that it was accepted.
fn start_call(app: &Arc<App>, request: CallRequest) -> Result<Arc<ActiveRun>, ApiError> {
    let (call, service) = (request.call.to_string(), request.service.to_string());
    let run = call::start_or_join(app, request)?;
    app.timeline.record(clock::now(), EventKind::Accepted, call, format!("service {service}"));
    metrics::counter!("oleander_calls_total", "service" => service).increment(1);
    Ok(run)
}

/// Checks that the workspace may call the service and is within its rate limit.
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
