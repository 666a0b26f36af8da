//! Admin listener: public paths, the operator key check and additional routes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::sync::Arc;

use axum::{
    Router,
    body::{Body, to_bytes},
    http::{Request, StatusCode},
    routing::get,
};
use oleander_core::{EventKind, Revision, Time};
use oleander_host::{
    AdminState, HostState, HostStatus, OperatorKey, Phase, Role, Shutdown, Timeline,
    admin::admin_routes, metrics::Metrics,
};
use serde_json::{Value, json};
use tower::ServiceExt;

const KEY: &str = "an operator key of the test";

struct Process(Shutdown);

impl AdminState for Process {
    async fn status(&self) -> HostStatus {
        let draining = self.0.phase() > Phase::Running;
        HostStatus {
            host: "entry-1".parse().unwrap(),
            role: Role::Entry,
            zone: "junin".parse().unwrap(),
            revision: Some(Revision(7)),
            state: if draining { HostState::Draining } else { HostState::Ready },
            in_flight: 2,
            targets: Vec::new(),
        }
    }

    async fn drain(&self) {
        self.0.start();
    }
}

fn router(shutdown: &Shutdown) -> Router {
    let timeline = Timeline::new("entry-1".parse().unwrap(), 8);
    timeline.record(Time(5), EventKind::Accepted, "r-1", "");
    let key = OperatorKey::try_from(KEY.as_bytes()).unwrap();
    let metrics = Metrics::detached().unwrap();
    admin_routes(Process(shutdown.clone()), Arc::new(timeline), metrics, key)
        .merge(Router::new().route("/admin/extra", get(|| async { "\"extra\"" })))
        .into_router()
}

async fn call(shutdown: &Shutdown, method: &str, path: &str, key: Option<&str>) -> (u16, Value) {
    let mut request = Request::builder().method(method).uri(path);
    if let Some(key) = key {
        request = request.header("authorization", key);
    }
    let request = request.body(Body::empty()).unwrap();
    let response = router(shutdown).oneshot(request).await.unwrap();
    let status = response.status().as_u16();
    let body = to_bytes(response.into_body(), 1 << 20).await.unwrap();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

#[tokio::test]
async fn monitoring_needs_no_key() {
    let shutdown = Shutdown::new();
    for path in ["/health", "/ready", "/metrics"] {
        assert_eq!(call(&shutdown, "GET", path, None).await.0, 200, "{path}");
    }
}

#[tokio::test]
async fn operator_calls_need_the_key() {
    let shutdown = Shutdown::new();
    let wrong = [None, Some("Bearer wrong"), Some(KEY), Some("Bearer "), Some("Basic x")];
    let calls = [
        ("GET", "/admin/status"),
        ("GET", "/admin/events"),
        ("GET", "/admin/extra"),
        ("POST", "/admin/drain"),
    ];
    for (method, path) in calls {
        for key in wrong {
            let (status, body) = call(&shutdown, method, path, key).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{path} {key:?}");
            assert_eq!(body["error"]["code"], "unauthorized", "{path} {key:?}");
        }
        let key = format!("Bearer {KEY}");
        assert!(call(&shutdown, method, path, Some(&key)).await.0 < 300, "{path}");
    }
}

#[tokio::test]
async fn status_and_events_have_the_expected_fields() {
    let shutdown = Shutdown::new();
    let key = format!("Bearer {KEY}");
    let (_, status) = call(&shutdown, "GET", "/admin/status", Some(&key)).await;
    let expected = json!({
        "host": "entry-1", "role": "entry", "zone": "junin", "revision": 7,
        "state": "ready", "in_flight": 2, "targets": [],
    });
    assert_eq!(status, expected);
    let path = "/admin/events?subject=r-1&since=5";
    let (_, events) = call(&shutdown, "GET", path, Some(&key)).await;
    assert_eq!(events["events"][0]["kind"], "accepted");
    let (_, events) = call(&shutdown, "GET", "/admin/events?since=6", Some(&key)).await;
    assert_eq!(events, json!({ "events": [] }));
}

#[tokio::test]
async fn draining_fails_the_readiness_check() {
    let shutdown = Shutdown::new();
    let key = format!("Bearer {KEY}");
    assert_eq!(call(&shutdown, "POST", "/admin/drain", Some(&key)).await.0, 202);
    shutdown.started().await;
    assert_eq!(call(&shutdown, "GET", "/ready", None).await.0, 503);
    assert_eq!(call(&shutdown, "GET", "/health", None).await.0, 200);
}

#[tokio::test]
async fn unknown_paths_return_an_error_code() {
    let (status, body) = call(&Shutdown::new(), "GET", "/nothing", None).await;
    assert_eq!((status, body["error"]["code"].as_str()), (404, Some("not_found")));
}

#[tokio::test]
async fn an_invalid_query_returns_an_error_code() {
    let key = format!("Bearer {KEY}");
    let (status, body) = call(&Shutdown::new(), "GET", "/admin/events?since=x", Some(&key)).await;
    assert_eq!((status, body["error"]["code"].as_str()), (400, Some("invalid_request")));
}

#[test]
fn the_key_is_not_printed() {
    let key = OperatorKey::try_from(KEY.as_bytes()).unwrap();
    assert_eq!(format!("{key:?}"), "OperatorKey(..)");
    assert!(OperatorKey::try_from(&b"short"[..]).is_err());
}
