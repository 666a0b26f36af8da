//! Stand-in for a service whose operations need not be idempotent.
//!
//! A run continues after its client has disconnected. The service does not deduplicate calls: its
//! records show how often each request id ran.

use std::{future, io, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, Query, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use clap::Args;
use oleander_core::hash;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify};

use crate::{
    record::{RecordEvent, RecordList, RecordQuery, Records},
    response::expected_result,
    server::{self, close_connection},
};

const REQUEST_ID_HEADER: &str = "x-request-id";

/// Settings of the service stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Args)]
pub struct Options {
    /// Duration of each run, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub work_ms: u64,
}

/// Faults that the service injects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Runs start but don't end while this is set.
    pub freeze: bool,
    /// Each call fails with this HTTP status without a run; 0 for none.
    pub fail_status: u16,
    /// Number of further calls that run but get no response: their connections are closed.
    pub drop_answer: u64,
}

/// Shared state of the service stand-in.
#[derive(Debug, Clone, Default)]
pub struct Service {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    options: Options,
    faults: Mutex<Faults>,
    changed: Notify,
    records: Records,
}

#[derive(Debug)]
struct Run {
    operation: String,
    request_id: String,
    body: Value,
}

/// Serves a new service stand-in.
///
/// # Errors
///
/// Returns the error of accepting a connection.
pub async fn serve(listener: TcpListener, options: Options) -> io::Result<()> {
    Service::new(options).serve(listener).await
}

impl Service {
    /// A new service with these settings.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { shared: Arc::new(Shared { options, ..Shared::default() }) }
    }

    /// Serves the HTTP interface on `listener`.
    ///
    /// # Errors
    ///
    /// Returns the error of accepting a connection.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let router = Router::new()
            .route("/health", get(|| async {}))
            .route("/_records", get(read_records))
            .route("/_stats", get(read_stats))
            .route("/_fault", put(set_faults).get(read_faults))
            .route("/{operation}", post(call))
            .with_state(self);
        server::serve(listener, router, future::pending()).await
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
        self.shared.changed.notify_waiters();
    }

    /// Records of the requests to the service.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.shared.records
    }

    async fn wait_while_frozen(&self) {
        loop {
            let changed = self.shared.changed.notified();
            if !self.shared.faults.lock().freeze {
                return;
            }
            changed.await;
        }
    }

    fn consume_drop_answer(&self) -> bool {
        let mut faults = self.shared.faults.lock();
        let dropped = faults.drop_answer > 0;
        faults.drop_answer = faults.drop_answer.saturating_sub(1);
        dropped
    }

    async fn run(self, run: Run) -> Response {
        let digest = hash::digest(run.body.to_string().as_bytes());
        let records = &self.shared.records;
        records.add(&run.request_id, RecordEvent::Started, &digest);
        tokio::time::sleep(Duration::from_millis(self.shared.options.work_ms)).await;
        self.wait_while_frozen().await;
        records.add(&run.request_id, RecordEvent::Finished, &digest);
        if self.consume_drop_answer() {
            return close_connection();
        }
        let result = expected_result(&run.operation, &run.body);
        Json(json!({ "request_id": run.request_id, "result": result })).into_response()
    }
}

async fn call(
    State(service): State<Service>,
    Path(operation): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let id = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let Some(request_id) = id.map(str::to_owned) else {
        return (StatusCode::BAD_REQUEST, "x-request-id is missing").into_response();
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return (StatusCode::BAD_REQUEST, "body is not JSON").into_response();
    };
    let digest = hash::digest(body.to_string().as_bytes());
    service.shared.records.add(&request_id, RecordEvent::Received, &digest);
    let status = service.shared.faults.lock().fail_status;
    if let Some(status) = StatusCode::from_u16(status).ok().filter(|_| status != 0) {
        return (status, "injected fault").into_response();
    }
    let run = tokio::spawn(service.run(Run { operation, request_id, body }));
    run.await.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn read_records(
    State(service): State<Service>,
    Query(query): Query<RecordQuery>,
) -> Json<RecordList> {
    Json(service.shared.records.list(&query))
}

async fn read_stats(State(service): State<Service>) -> Json<Value> {
    Json(json!(service.shared.records.counts()))
}

async fn set_faults(State(service): State<Service>, Json(faults): Json<Faults>) -> StatusCode {
    service.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn read_faults(State(service): State<Service>) -> Json<Faults> {
    Json(*service.shared.faults.lock())
}
