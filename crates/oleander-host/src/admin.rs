//! The listener for operators and monitoring.
//!
//! `/health`, `/ready` and `/metrics` are open; everything under `/admin/` needs the operator key
//! as a bearer token. A process adds routes of its own with [`AdminRoutes::merge`]; they stand
//! behind the same check.

use std::{fmt, io, net::SocketAddr, sync::Arc};

use axum::{
    Json, Router,
    extract::{Query, Request, State, rejection::QueryRejection},
    http::{StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use oleander_core::{ApiError, ErrorCode, Event, Time, api::ErrorBody};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{OperatorKey, Timeline, metrics::Metrics};

mod state;
mod status;

pub use state::AdminState;
pub use status::{HostState, HostStatus, TargetStatus};

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// The routes of one process's admin listener.
#[derive(Debug)]
pub struct AdminRoutes {
    open: Router,
    keyed: Router,
    key: Arc<OperatorKey>,
}

/// What the handlers share.
struct Shared<S> {
    state: S,
    timeline: Arc<Timeline>,
    metrics: Metrics,
}

type SharedState<S> = State<Arc<Shared<S>>>;

/// The standard routes over `state`.
pub fn admin_router<S: AdminState>(
    state: S,
    timeline: Arc<Timeline>,
    metrics: Metrics,
    key: OperatorKey,
) -> AdminRoutes {
    let shared = Arc::new(Shared { state, timeline, metrics });
    let open = Router::new()
        .route("/health", get(health))
        .route("/ready", get(ready::<S>))
        .route("/metrics", get(render_metrics::<S>))
        .with_state(Arc::clone(&shared));
    let keyed = Router::new()
        .route("/admin/status", get(status::<S>))
        .route("/admin/events", get(events::<S>))
        .route("/admin/drain", post(drain::<S>))
        .with_state(shared);
    AdminRoutes { open, keyed, key: Arc::new(key) }
}

impl AdminRoutes {
    /// Adds routes behind the operator key check.
    #[must_use]
    pub fn merge(mut self, extra: Router) -> Self {
        self.keyed = self.keyed.merge(extra);
        self
    }

    /// Adds routes that need no key.
    #[must_use]
    pub fn merge_open(mut self, extra: Router) -> Self {
        self.open = self.open.merge(extra);
        self
    }

    /// The complete router.
    pub fn into_router(self) -> Router {
        let check = middleware::from_fn_with_state(self.key, check_key);
        self.open.merge(self.keyed.layer(check)).fallback(not_found)
    }

    /// Listens on `address` and serves in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self, address: SocketAddr) -> Result<AdminServer, AdminError> {
        let bind = |error| AdminError::Bind { address, error };
        let listener = TcpListener::bind(address).await.map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let router = self.into_router();
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                log::error!("admin listener ended: {error}");
            }
        });
        Ok(AdminServer { address, task })
    }
}

/// A running admin listener; dropping it closes the listener.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl AdminServer {
    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why the admin listener can't start.
#[derive(Debug)]
pub enum AdminError {
    /// The address can't be bound.
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Bind { address, error } = self;
        write!(f, "can't listen on {address}: {error}")
    }
}

impl std::error::Error for AdminError {}

/// Query of `/admin/events`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventsQuery {
    subject: Option<String>,
    #[serde(default)]
    since: Time,
}

/// Answer of `/admin/events`.
#[derive(Debug, Serialize)]
struct EventsBody {
    events: Vec<Event>,
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready<S: AdminState>(State(shared): SharedState<S>) -> (StatusCode, String) {
    let state = shared.state.status().await.state;
    let status = match state {
        HostState::Ready => StatusCode::OK,
        HostState::Starting | HostState::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{state}\n"))
}

async fn render_metrics<S: AdminState>(State(shared): SharedState<S>) -> impl IntoResponse {
    ([(header::CONTENT_TYPE, METRICS_TYPE)], shared.metrics.render())
}

async fn status<S: AdminState>(State(shared): SharedState<S>) -> Json<HostStatus> {
    Json(shared.state.status().await)
}

async fn events<S: AdminState>(
    State(shared): SharedState<S>,
    query: Result<Query<EventsQuery>, QueryRejection>,
) -> Response {
    let query = match query {
        Ok(Query(query)) => query,
        Err(rejection) => return invalid_query(&rejection),
    };
    let events = shared.timeline.events(query.subject.as_deref(), query.since);
    Json(EventsBody { events }).into_response()
}

fn invalid_query(rejection: &QueryRejection) -> Response {
    error_response(ApiError::not_run(ErrorCode::InvalidRequest, rejection.body_text()))
}

async fn drain<S: AdminState>(State(shared): SharedState<S>) -> StatusCode {
    shared.state.drain().await;
    StatusCode::ACCEPTED
}

async fn not_found() -> Response {
    error_response(ApiError::not_run(ErrorCode::NotFound, "no such path"))
}

/// Lets requests with the operator key pass.
async fn check_key(State(key): State<Arc<OperatorKey>>, request: Request, next: Next) -> Response {
    let presented = bearer(&request).unwrap_or_default();
    if key.matches(presented) {
        return next.run(request).await;
    }
    error_response(ApiError::not_run(ErrorCode::Unauthorized, "operator key missing or wrong"))
}

fn bearer(request: &Request) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// The answer that carries `error` as a typed JSON body.
pub fn error_response(error: ApiError) -> Response {
    let status = StatusCode::from_u16(error.code.http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    (status, Json(ErrorBody { error })).into_response()
}
