//! HTTP interface of the engine stand-in.

use std::{collections::BTreeMap, future, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, Request, State},
    http::{HeaderMap, StatusCode},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    engine::{
        CacheEventList, Engine, Faults, Load, chat,
        orders::{EngineState, OrderRequest},
    },
    record::{RecordEvent, RecordList, RecordQuery},
};

const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Query of the cache events.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

/// The answer to `GET /_stats`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Stats {
    events: BTreeMap<RecordEvent, u64>,
    tokens: u64,
    load: Load,
}

pub(super) fn router(engine: Engine) -> Router {
    let calls = Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/cancel/{request_id}", post(cancel))
        .route("/v1/load", get(read_load))
        .route("/v1/cache_events", get(read_events))
        .route("/v1/orders", post(take_order))
        .route("/v1/state", get(read_state))
        .route("/health", get(|| async {}))
        .layer(middleware::from_fn_with_state(engine.clone(), stay_silent));
    Router::new()
        .merge(calls)
        .route("/_records", get(read_records))
        .route("/_stats", get(read_stats))
        .route("/_fault", put(set_faults).get(read_faults))
        .layer(DefaultBodyLimit::max(BODY_LIMIT))
        .with_state(engine)
}

async fn stay_silent(State(engine): State<Engine>, request: Request, next: Next) -> Response {
    if engine.faults().silent {
        return future::pending().await;
    }
    let response = next.run(request).await;
    if engine.faults().silent {
        return future::pending().await;
    }
    response
}

async fn complete(State(engine): State<Engine>, headers: HeaderMap, body: Bytes) -> Response {
    chat::complete(engine, headers, body).await
}

async fn cancel(State(engine): State<Engine>, Path(request_id): Path<String>) -> StatusCode {
    let shared = &engine.shared;
    shared.batch.lock().cancel(&request_id, &shared.records, Instant::now());
    StatusCode::NO_CONTENT
}

async fn read_load(State(engine): State<Engine>) -> Json<Load> {
    let lag = Duration::from_millis(engine.faults().load_lag_ms);
    Json(engine.shared.batch.lock().load.read(lag, Instant::now()))
}

async fn read_events(
    State(engine): State<Engine>,
    Query(query): Query<EventQuery>,
) -> Json<CacheEventList> {
    let lag = Duration::from_millis(engine.shared.options.cache_lag_ms);
    let batch = engine.shared.batch.lock();
    Json(batch.cache.events_after(query.after, lag, Instant::now()))
}

async fn take_order(State(engine): State<Engine>, Json(request): Json<OrderRequest>) -> Response {
    let ignore_fence = engine.faults().ignore_fence;
    match engine.shared.orders.lock().take(request, ignore_fence) {
        Ok(fenced) => Json(fenced).into_response(),
        Err(fenced) => (StatusCode::CONFLICT, Json(fenced)).into_response(),
    }
}

async fn read_state(State(engine): State<Engine>) -> Json<EngineState> {
    Json(engine.shared.orders.lock().state())
}

async fn read_records(
    State(engine): State<Engine>,
    Query(query): Query<RecordQuery>,
) -> Json<RecordList> {
    Json(engine.records().list(&query))
}

async fn read_stats(State(engine): State<Engine>) -> Json<Stats> {
    let batch = engine.shared.batch.lock();
    let load = batch.load.read(Duration::ZERO, Instant::now());
    Json(Stats { events: engine.records().counts(), tokens: batch.tokens, load })
}

async fn set_faults(State(engine): State<Engine>, Json(faults): Json<Faults>) -> StatusCode {
    engine.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn read_faults(State(engine): State<Engine>) -> Json<Faults> {
    Json(engine.faults())
}
