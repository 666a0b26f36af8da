//! HTTP control of the relay.

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

/// Body of `PUT /_fault`; a member left out changes nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Change {
    action: Option<Action>,
    delay_ms: Option<u64>,
}

/// Serves `PUT /_fault` and `GET /_stats` for a relay.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve_control(listener: TcpListener, relay: RelayHandle) -> io::Result<()> {
    let router = Router::new()
        .route("/_fault", put(change))
        .route("/_stats", get(read_stats))
        .with_state(relay);
    server::serve(listener, router, future::pending()).await
}

async fn change(State(relay): State<RelayHandle>, Json(change): Json<Change>) -> StatusCode {
    if let Some(delay) = change.delay_ms {
        relay.set_delay(Duration::from_millis(delay));
    }
    if let Some(action) = change.action {
        relay.apply(action).await;
    }
    StatusCode::NO_CONTENT
}

async fn read_stats(State(relay): State<RelayHandle>) -> Json<Stats> {
    Json(relay.stats())
}
