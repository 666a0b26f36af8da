//! HTTP listener for operators and monitoring.
//!
//! `/health`, `/ready` and `/metrics` are public; all paths under `/admin/` require the operator
//! key as a bearer token. Routes that a process adds with [`AdminRoutes::merge`] require the same
//! key.

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
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Routes of the admin listener of one process.
#[derive(Debug)]
pub struct AdminRoutes {
    public: Router,
    protected: Router,
    key: Arc<OperatorKey>,
}

/// State shared by the handlers.
struct Shared<S> {
    state: S,
    timeline: Arc<Timeline>,
    metrics: Metrics,
}

type SharedState<S> = State<Arc<Shared<S>>>;

/// The routes that all processes have.
pub fn admin_routes<S: AdminState>(
    state: S,
    timeline: Arc<Timeline>,
    metrics: Metrics,
    key: OperatorKey,
) -> AdminRoutes {
    let shared = Arc::new(Shared { state, timeline, metrics });
    let public = Router::new()
        .route("/health", get(health))
        .route("/ready", get(ready::<S>))
        .route("/metrics", get(render_metrics::<S>))
        .with_state(Arc::clone(&shared));
    let protected = Router::new()
        .route("/admin/status", get(status::<S>))
        .route("/admin/events", get(events::<S>))
        .route("/admin/drain", post(drain::<S>))
        .with_state(shared);
    AdminRoutes { public, protected, key: Arc::new(key) }
}

impl AdminRoutes {
    /// Adds routes that require the operator key.
    #[must_use]
    pub fn merge(mut self, routes: Router) -> Self {
        self.protected = self.protected.merge(routes);
        self
    }

    /// Adds routes that require no key.
    #[must_use]
    pub fn merge_public(mut self, routes: Router) -> Self {
        self.public = self.public.merge(routes);
        self
    }

    /// The router of all routes.
    pub fn into_router(self) -> Router {
        let layer = middleware::from_fn_with_state(self.key, require_key);
        self.public.merge(self.protected.layer(layer)).fallback(not_found)
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
                log::error!("admin listener on {address} failed: {error}");
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
        /// The requested address.
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

/// Response body of `/admin/events`.
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
    ([(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)], shared.metrics.render())
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

/// Middleware that rejects requests without the operator key.
async fn require_key(
    State(key): State<Arc<OperatorKey>>,
    request: Request,
    next: Next,
) -> Response {
    let presented = bearer_token(&request).unwrap_or_default();
    if key.matches(presented) {
        return next.run(request).await;
    }
    error_response(ApiError::not_run(ErrorCode::Unauthorized, "operator key missing or wrong"))
}

fn bearer_token(request: &Request) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// The response that carries `error` as a JSON body.
pub fn error_response(error: ApiError) -> Response {
    let status = StatusCode::from_u16(error.code.http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    (status, Json(ErrorBody { error })).into_response()
}
