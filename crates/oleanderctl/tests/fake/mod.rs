//! Fake host: an admin listener that keeps the document in memory.

use std::{net::SocketAddr, sync::Arc};

use axum::{
    Json, Router,
    extract::{Path, Request, State},
    http::{StatusCode, Uri, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use oleander_document::Document;
use parking_lot::Mutex;
use serde_json::{Value, json};

/// Operator key that the fake host accepts.
pub(crate) const KEY: &str = "operator-key-of-the-tests";

/// A running fake host; clones share its state.
#[derive(Clone)]
pub(crate) struct FakeHost {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

/// State of a fake host.
#[derive(Default)]
pub(crate) struct FakeState {
    pub(crate) host: String,
    pub(crate) revision: u64,
    pub(crate) document: Value,
    /// Number of applies that take effect but return 503.
    pub(crate) lose_responses: u32,
    /// Document that another operator applies just before the next apply.
    pub(crate) concurrent_change: Option<Value>,
    pub(crate) events: Vec<Value>,
    pub(crate) drained: bool,
    pub(crate) cancelled: Vec<String>,
}

type Shared = State<Arc<Mutex<FakeState>>>;

impl FakeHost {
    /// Starts a fake host named `host`.
    pub(crate) async fn start(host: &str) -> Self {
        let fake = FakeState { host: host.to_owned(), ..FakeState::default() };
        let state = Arc::new(Mutex::new(fake));
        let router = Router::new()
            .route("/admin/status", get(status))
            .route("/admin/events", get(events))
            .route("/admin/drain", post(drain))
            .route("/admin/document", get(document))
            .route("/admin/apply", post(apply))
            .route("/admin/jobs", get(jobs))
            .route("/admin/jobs/{id}/cancel", post(cancel))
            .layer(middleware::from_fn(check_key))
            .with_state(Arc::clone(&state));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { address, state }
    }

    /// Calls `access` with the state locked.
    pub(crate) fn with<T>(&self, access: impl FnOnce(&mut FakeState) -> T) -> T {
        access(&mut self.state.lock())
    }
}

async fn check_key(request: Request, next: Next) -> Response {
    let expected = format!("Bearer {KEY}");
    let found = request.headers().get(header::AUTHORIZATION);
    if found.is_some_and(|value| value.as_bytes() == expected.as_bytes()) {
        return next.run(request).await;
    }
    failure(StatusCode::UNAUTHORIZED, "unauthorized", "operator key missing or wrong")
}

fn failure(status: StatusCode, code: &str, message: &str) -> Response {
    let error = json!({ "code": code, "message": message, "ran": "no" });
    (status, Json(json!({ "error": error }))).into_response()
}

async fn status(State(state): Shared) -> Json<Value> {
    let fake = state.lock();
    let host_state = if fake.drained { "draining" } else { "ready" };
    let target = json!({ "name": "t-1", "state": "up", "online": 1, "batch": 2, "limit": 16 });
    Json(json!({
        "host": fake.host, "role": "entry", "zone": "a", "revision": fake.revision,
        "state": host_state, "in_flight": 3, "targets": [target],
    }))
}

async fn events(State(state): Shared) -> Json<Value> {
    Json(json!({ "events": state.lock().events }))
}

async fn drain(State(state): Shared) -> StatusCode {
    state.lock().drained = true;
    StatusCode::ACCEPTED
}

fn current(fake: &FakeState) -> Value {
    let revision = (fake.revision > 0).then_some(fake.revision);
    json!({ "revision": revision, "document": fake.document })
}

async fn document(State(state): Shared) -> Json<Value> {
    Json(current(&state.lock()))
}

async fn apply(State(state): Shared, Json(request): Json<Value>) -> Response {
    let mut fake = state.lock();
    if let Some(concurrent_change) = fake.concurrent_change.take() {
        fake.document = concurrent_change;
        fake.revision += 10;
    }
    if let Err(faults) = Document::try_from(&request["document"]) {
        let error = json!({ "code": "invalid_request", "message": "faults", "ran": "no" });
        let body = json!({ "error": error, "faults": faults });
        return (StatusCode::BAD_REQUEST, Json(body)).into_response();
    }
    if request["base"] != current(&fake)["revision"] {
        let mut body = current(&fake);
        body["error"] = json!({ "code": "conflict", "message": "newer", "ran": "no" });
        return (StatusCode::CONFLICT, Json(body)).into_response();
    }
    fake.document = request["document"].clone();
    fake.revision += 1;
    if fake.lose_responses > 0 {
        fake.lose_responses -= 1;
        let error = json!({ "code": "unavailable", "message": "lost", "ran": "unknown" });
        return (StatusCode::SERVICE_UNAVAILABLE, Json(json!({ "error": error }))).into_response();
    }
    Json(json!({ "revision": fake.revision })).into_response()
}

async fn jobs(uri: Uri) -> Json<Value> {
    if uri.query() == Some("after=job-1") {
        return Json(json!({ "jobs": [], "more": false }));
    }
    let job = json!({ "id": "job-1", "workspace": "w", "state": "in_progress",
        "total": 10, "completed": 4, "failed": 1 });
    Json(json!({ "jobs": [job], "more": true }))
}

async fn cancel(State(state): Shared, Path(id): Path<String>) -> Response {
    if id != "job-1" {
        return failure(StatusCode::NOT_FOUND, "not_found", "no such job");
    }
    state.lock().cancelled.push(id);
    Json(json!({})).into_response()
}
