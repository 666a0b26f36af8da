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

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Query parameters of `GET /v1/cache_events`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct EventQuery {
    #[serde(default)]
    after: u64,
}

/// Response to `GET /_stats`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Stats {
    events: BTreeMap<RecordEvent, u64>,
    tokens: u64,
    load: Load,
}

pub(super) fn router(engine: Engine) -> Router {
    let api = Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/cancel/{request_id}", post(cancel))
        .route("/v1/load", get(read_load))
        .route("/v1/cache_events", get(read_events))
        .route("/v1/orders", post(apply_order))
        .route("/v1/state", get(read_state))
        .route("/health", get(|| async {}))
        .layer(middleware::from_fn_with_state(engine.clone(), inject_silence));
    Router::new()
        .merge(api)
        .route("/_records", get(read_records))
        .route("/_stats", get(read_stats))
        .route("/_fault", put(set_faults).get(read_faults))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(engine)
}

async fn inject_silence(State(engine): State<Engine>, request: Request, next: Next) -> Response {
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
    chat::respond(engine, headers, body).await
}

async fn cancel(State(engine): State<Engine>, Path(request_id): Path<String>) -> StatusCode {
    let shared = &engine.shared;
    shared.batch.lock().cancel(&request_id, &shared.records, Instant::now());
    StatusCode::NO_CONTENT
}

async fn read_load(State(engine): State<Engine>) -> Json<Load> {
    let lag = Duration::from_millis(engine.faults().load_lag_ms);
    Json(engine.shared.batch.lock().load.load_at(lag, Instant::now()))
}

async fn read_events(
    State(engine): State<Engine>,
    Query(query): Query<EventQuery>,
) -> Json<CacheEventList> {
    let lag = Duration::from_millis(engine.shared.options.cache_lag_ms);
    let batch = engine.shared.batch.lock();
    Json(batch.cache.events_after(query.after, lag, Instant::now()))
}

async fn apply_order(State(engine): State<Engine>, Json(request): Json<OrderRequest>) -> Response {
    let ignore_fence = engine.faults().ignore_fence;
    match engine.shared.orders.lock().apply(request, ignore_fence) {
        Ok(response) => Json(response).into_response(),
        Err(response) => (StatusCode::CONFLICT, Json(response)).into_response(),
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
    let load = batch.load.load_at(Duration::ZERO, Instant::now());
    Json(Stats { events: engine.records().counts(), tokens: batch.generated_tokens, load })
}

async fn set_faults(State(engine): State<Engine>, Json(faults): Json<Faults>) -> StatusCode {
    engine.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn read_faults(State(engine): State<Engine>) -> Json<Faults> {
    Json(engine.faults())
}
