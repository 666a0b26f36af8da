//! HTTP interface of the platform stand-in.

use std::{future, time::Duration};

use axum::{
    Json, Router,
    body::{self, Body},
    extract::{DefaultBodyLimit, Path, Query, Request, State},
    http::{HeaderMap, HeaderName, StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, put},
};
use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{Created, Host, HostListing, Listing, Updated};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::platform::{
    Faults, Platform, Stats,
    store::DeleteOutcome,
    watch::{self, WatchQuery},
};

const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_KEY_BYTES: usize = 512;
const MAX_LIST_ENTRIES: usize = 1_000;
const REVISION_HEADER: HeaderName = HeaderName::from_static("x-revision");

/// Query parameters of `GET /v1/list`.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default = "default_limit")]
    limit: usize,
}

const fn default_limit() -> usize {
    MAX_LIST_ENTRIES
}

/// Precondition, which each write must have.
#[derive(Debug, Clone, Copy)]
enum Condition {
    Absent,
    Matches(Revision),
}

pub(super) fn router(platform: Platform) -> Router {
    let api = Router::new()
        .route("/v1/objects/{*key}", get(read_object).put(write_object).delete(delete_object))
        .route("/v1/list", get(list_objects))
        .route("/v1/watch", get(watch_objects))
        .route("/v1/hosts", get(list_hosts))
        .layer(middleware::from_fn_with_state(platform.clone(), inject_faults));
    Router::new()
        .merge(api)
        .route("/v1/hosts/{name}", put(put_host).delete(delete_host))
        .route("/_fault", put(set_faults).get(read_faults))
        .route("/_stats", get(read_stats))
        .route("/health", get(|| async {}))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(platform)
}

async fn inject_faults(State(platform): State<Platform>, request: Request, next: Next) -> Response {
    let faults = platform.faults();
    let lose_response = faults.lose_answers > 0 && !request.method().is_safe();
    if faults.silent && !lose_response {
        return future::pending().await;
    }
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = body::to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let request = Request::from_parts(parts, Body::from(body));
    // Runs as a separate task, so that a write takes effect even if its client disconnects.
    let call = tokio::spawn(run_delayed(Duration::from_millis(faults.delay_ms), request, next));
    let response = call.await;
    if platform.faults().silent {
        return future::pending().await;
    }
    response.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn run_delayed(delay: Duration, request: Request, next: Next) -> Response {
    tokio::time::sleep(delay).await;
    next.run(request).await
}

impl Platform {
    /// Notifies watches of a write that took effect, and returns `response` or an injected 503.
    fn finish_write(&self, response: Response) -> Response {
        self.revision.send_replace(self.store.lock().revision);
        let response_lost = self.faults.send_if_modified(|faults| {
            let lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lost
        });
        if response_lost {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        response
    }
}

async fn read_object(State(platform): State<Platform>, Path(key): Path<String>) -> Response {
    let object = {
        let mut store = platform.store.lock();
        store.stats.reads += 1;
        store.get(&key)
    };
    match object {
        Some(object) => (revision_header(object.revision), object.body).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    platform.store.lock().stats.writes += 1;
    if body.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let Some(condition) = read_condition(&headers).filter(|_| is_valid_key(&key)) else {
        return (StatusCode::BAD_REQUEST, "invalid key or precondition").into_response();
    };
    match condition {
        Condition::Absent => platform.create(&key, body),
        Condition::Matches(revision) => platform.update(&key, body, revision),
    }
}

impl Platform {
    fn create(&self, key: &str, body: Bytes) -> Response {
        let (outcome, current) = {
            let mut store = self.store.lock();
            (store.create(key, body), store.revision_of(key))
        };
        match outcome {
            Created::New(revision) => {
                let response = (StatusCode::CREATED, revision_header(revision)).into_response();
                self.finish_write(response)
            }
            Created::Exists => precondition_failed(current),
        }
    }

    fn update(&self, key: &str, body: Bytes, expected: Revision) -> Response {
        let outcome = self.store.lock().update(key, body, expected);
        match outcome {
            Updated::Done(revision) => self.finish_write(revision_header(revision).into_response()),
            Updated::Stale(current) => precondition_failed(current),
        }
    }
}

async fn delete_object(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Response {
    platform.store.lock().stats.writes += 1;
    let Some(Condition::Matches(expected)) = read_condition(&headers) else {
        return (StatusCode::BAD_REQUEST, "missing or invalid if-match header").into_response();
    };
    let outcome = platform.store.lock().delete(&key, expected);
    match outcome {
        DeleteOutcome::Done => platform.finish_write(StatusCode::NO_CONTENT.into_response()),
        DeleteOutcome::Stale(current) => precondition_failed(Some(current)),
        DeleteOutcome::Missing => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list_objects(
    State(platform): State<Platform>,
    Query(query): Query<ListQuery>,
) -> Json<Listing> {
    let mut store = platform.store.lock();
    store.stats.lists += 1;
    Json(store.list(&query.prefix, &query.after, query.limit.min(MAX_LIST_ENTRIES)))
}

async fn watch_objects(
    State(platform): State<Platform>,
    Query(query): Query<WatchQuery>,
) -> Response {
    platform.store.lock().stats.watches += 1;
    let body: Body = watch::start(platform, query);
    ([(header::CONTENT_TYPE, "application/x-ndjson")], body).into_response()
}

async fn list_hosts(State(platform): State<Platform>) -> Json<HostListing> {
    let lag = Duration::from_millis(platform.faults().hosts_lag_ms);
    let mut store = platform.store.lock();
    store.stats.reads += 1;
    Json(store.hosts.listing_at(lag, Instant::now()))
}

async fn put_host(
    State(platform): State<Platform>,
    Path(name): Path<String>,
    Json(host): Json<Host>,
) -> StatusCode {
    if host.name != name {
        return StatusCode::BAD_REQUEST;
    }
    platform.store.lock().hosts.put(host, Instant::now());
    StatusCode::NO_CONTENT
}

async fn delete_host(State(platform): State<Platform>, Path(name): Path<String>) -> StatusCode {
    platform.store.lock().hosts.remove(&name, Instant::now());
    StatusCode::NO_CONTENT
}

async fn set_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn read_faults(State(platform): State<Platform>) -> Json<Faults> {
    Json(platform.faults())
}

async fn read_stats(State(platform): State<Platform>) -> Json<Stats> {
    Json(platform.stats())
}

fn revision_header(revision: Revision) -> [(HeaderName, String); 1] {
    [(REVISION_HEADER, revision.to_string())]
}

fn precondition_failed(current: Option<Revision>) -> Response {
    match current {
        Some(revision) => {
            (StatusCode::PRECONDITION_FAILED, revision_header(revision)).into_response()
        }
        None => StatusCode::PRECONDITION_FAILED.into_response(),
    }
}

fn read_condition(headers: &HeaderMap) -> Option<Condition> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if text(header::IF_NONE_MATCH) == Some("*") {
        return Some(Condition::Absent);
    }
    let revision = text(header::IF_MATCH)?.trim_matches('"').parse().ok()?;
    Some(Condition::Matches(revision))
}

fn is_valid_key(key: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:/-".contains(c);
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.chars().all(allowed)
}
