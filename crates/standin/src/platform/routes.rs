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
    store::Deleted,
    watch::{self, WatchQuery},
};

const BODY_LIMIT: usize = 2 * 1024 * 1024;
const VALUE_LIMIT: usize = 1024 * 1024;
const KEY_LIMIT: usize = 512;
const LIST_LIMIT: usize = 1_000;
const REVISION_HEADER: HeaderName = HeaderName::from_static("x-revision");

/// Query of a listing.
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
    LIST_LIMIT
}

/// The condition that each write must carry.
#[derive(Debug, Clone, Copy)]
enum Condition {
    Absent,
    Matches(Revision),
}

pub(super) fn router(platform: Platform) -> Router {
    let calls = Router::new()
        .route("/v1/objects/{*key}", get(read_object).put(write_object).delete(delete_object))
        .route("/v1/list", get(list_objects))
        .route("/v1/watch", get(watch_objects))
        .route("/v1/hosts", get(list_hosts))
        .layer(middleware::from_fn_with_state(platform.clone(), show_faults));
    Router::new()
        .merge(calls)
        .route("/v1/hosts/{name}", put(put_host).delete(delete_host))
        .route("/_fault", put(set_faults).get(read_faults))
        .route("/_stats", get(read_stats))
        .route("/health", get(|| async {}))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(platform)
}

async fn show_faults(State(platform): State<Platform>, request: Request, next: Next) -> Response {
    let faults = platform.faults();
    let loses = faults.lose_answers > 0 && !request.method().is_safe();
    if faults.silent && !loses {
        return future::pending().await;
    }
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = body::to_bytes(body, BODY_LIMIT).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let request = Request::from_parts(parts, Body::from(body));
    // A write takes effect even if its caller hangs up during the delay.
    let call = tokio::spawn(run_call(Duration::from_millis(faults.delay_ms), request, next));
    let response = call.await;
    if platform.faults().silent {
        return future::pending().await;
    }
    response.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn run_call(delay: Duration, request: Request, next: Next) -> Response {
    tokio::time::sleep(delay).await;
    next.run(request).await
}

impl Platform {
    /// Answers a write that took effect, or loses its answer.
    fn confirm(&self, response: Response) -> Response {
        self.revision.send_replace(self.store.lock().revision);
        let lost = self.faults.send_if_modified(|faults| {
            let lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lost
        });
        if lost {
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
        Some(object) => (with_revision(object.revision), object.body).into_response(),
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
    if body.len() > VALUE_LIMIT {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let Some(condition) = read_condition(&headers).filter(|_| is_key(&key)) else {
        return (StatusCode::BAD_REQUEST, "bad key or condition").into_response();
    };
    match condition {
        Condition::Absent => platform.create(&key, body),
        Condition::Matches(revision) => platform.update(&key, body, revision),
    }
}

impl Platform {
    fn create(&self, key: &str, body: Bytes) -> Response {
        let (created, current) = {
            let mut store = self.store.lock();
            (store.create(key, body), store.revision_of(key))
        };
        match created {
            Created::New(revision) => {
                let answer = (StatusCode::CREATED, with_revision(revision)).into_response();
                self.confirm(answer)
            }
            Created::Exists => failed_condition(current),
        }
    }

    fn update(&self, key: &str, body: Bytes, expected: Revision) -> Response {
        let updated = self.store.lock().update(key, body, expected);
        match updated {
            Updated::Done(revision) => self.confirm(with_revision(revision).into_response()),
            Updated::Stale(current) => failed_condition(current),
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
        return (StatusCode::BAD_REQUEST, "if-match is missing").into_response();
    };
    let deleted = platform.store.lock().delete(&key, expected);
    match deleted {
        Deleted::Done => platform.confirm(StatusCode::NO_CONTENT.into_response()),
        Deleted::Stale(current) => failed_condition(Some(current)),
        Deleted::Missing => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list_objects(
    State(platform): State<Platform>,
    Query(query): Query<ListQuery>,
) -> Json<Listing> {
    let mut store = platform.store.lock();
    store.stats.lists += 1;
    Json(store.list(&query.prefix, &query.after, query.limit.min(LIST_LIMIT)))
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
    Json(store.hosts.view(lag, Instant::now()))
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

fn with_revision(revision: Revision) -> [(HeaderName, String); 1] {
    [(REVISION_HEADER, revision.to_string())]
}

fn failed_condition(current: Option<Revision>) -> Response {
    match current {
        Some(revision) => {
            (StatusCode::PRECONDITION_FAILED, with_revision(revision)).into_response()
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

fn is_key(key: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:/-".contains(c);
    !key.is_empty() && key.len() <= KEY_LIMIT && key.chars().all(allowed)
}
