//! HTTP control interface of the relay.

use std::{future, io, time::Duration};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, put},
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::{
    relay::{Action, RelayHandle, Stats},
    server,
};

/// Body of `PUT /_fault`; an absent member leaves its setting unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ControlRequest {
    action: Option<Action>,
    delay_ms: Option<u64>,
}

/// Serves `PUT /_fault` and `GET /_stats` for `relay`.
///
/// # Errors
///
/// Returns the error of accepting a connection.
pub async fn serve_control(listener: TcpListener, relay: RelayHandle) -> io::Result<()> {
    let router = Router::new()
        .route("/_fault", put(apply_request))
        .route("/_stats", get(read_stats))
        .with_state(relay);
    server::serve(listener, router, future::pending()).await
}

async fn apply_request(
    State(relay): State<RelayHandle>,
    Json(request): Json<ControlRequest>,
) -> StatusCode {
    if let Some(delay) = request.delay_ms {
        relay.set_delay(Duration::from_millis(delay));
    }
    if let Some(action) = request.action {
        relay.apply(action).await;
    }
    StatusCode::NO_CONTENT
}

async fn read_stats(State(relay): State<RelayHandle>) -> Json<Stats> {
    Json(relay.stats())
}
