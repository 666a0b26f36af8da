//! The interface under test, and its requests.

use std::sync::Arc;

use axum::{
    Extension, Router,
    body::{Body, to_bytes},
    http::{Request, StatusCode},
};
use bytes::Bytes;
use oleander_document::{Document, Workspace};
use oleander_intake::router;
use oleander_platform::{MemoryPlatform, ObjectStore};
use serde_json::{Value, json};
use tower::ServiceExt;

pub(crate) const MAX_BODY_BYTES: usize = 64 << 20;

/// The interface, served from a document with two workspaces: 0 is the caller's, 1 is another.
pub(crate) struct TestApi {
    pub(crate) platform: MemoryPlatform,
    pub(crate) document: Arc<Document>,
}

pub(crate) fn document() -> Document {
    let digest = |c: &str| c.repeat(64);
    let workspace = |name: &str, c: &str| {
        json!({"name": name, "key_digest": digest(c), "services": ["alarma-llm"],
            "limits": {"file_bytes": 3_000_000, "job_items": 5000}})
    };
    let text = json!({
        "zones": ["pergamino"],
        "services": [{"name": "alarma-llm", "kind": "engine", "model": "alarma-7b",
            "targets": [{"name": "e1", "zone": "pergamino", "address": "127.0.0.1:9"}],
            "batch": {"lot_items": 2}}],
        "workspaces": [workspace("pampeanos", "a"), workspace("other", "b")],
    });
    Document::from_json(text.to_string().as_bytes()).unwrap()
}

pub(crate) fn item(id: &str) -> String {
    json!({"custom_id": id, "method": "POST", "url": "/v1/chat/completions",
        "body": {"model": "alarma-llm", "messages": [{"role": "user", "content": "fan 3 stopped"}]}})
    .to_string()
}

pub(crate) fn lines(count: usize) -> String {
    (0..count).map(|i| item(&format!("shed-{i}")) + "\n").collect()
}

impl TestApi {
    pub(crate) fn new() -> Self {
        Self { platform: MemoryPlatform::new(), document: Arc::new(document()) }
    }

    pub(crate) fn app(&self, workspace: usize) -> Router {
        let document = Arc::clone(&self.document);
        let workspace: Workspace = self.document.workspaces[workspace].clone();
        router(self.platform.clone(), move || Some(Arc::clone(&document)))
            .layer(Extension(workspace))
    }

    pub(crate) async fn send_as(
        &self,
        workspace: usize,
        request: Request<Body>,
    ) -> (StatusCode, Bytes) {
        let response = self.app(workspace).oneshot(request).await.unwrap();
        let status = response.status();
        (status, to_bytes(response.into_body(), MAX_BODY_BYTES).await.unwrap())
    }

    pub(crate) async fn send(&self, request: Request<Body>) -> (StatusCode, Value) {
        let (status, body) = self.send_as(0, request).await;
        (status, serde_json::from_slice(&body).unwrap())
    }

    pub(crate) async fn upload(&self, text: &str) -> (StatusCode, Value) {
        self.send(Request::post("/v1/files").body(Body::from(text.to_owned())).unwrap()).await
    }

    pub(crate) async fn submit(&self, file: &str, key: &str, window: &str) -> (StatusCode, Value) {
        let body = json!({"input_file_id": file, "endpoint": "/v1/chat/completions",
            "completion_window": window, "metadata": {"shift": "night"}});
        let request = Request::post("/v1/batches").header("idempotency-key", key);
        self.send(request.body(Body::from(body.to_string())).unwrap()).await
    }

    pub(crate) async fn keys(&self, prefix: &str) -> Vec<String> {
        let listing = self.platform.list(prefix, "", 1000).await.unwrap();
        listing.objects.into_iter().map(|object| object.key).collect()
    }
}

pub(crate) fn get(path: &str) -> Request<Body> {
    Request::get(path).body(Body::empty()).unwrap()
}

pub(crate) fn post(path: &str) -> Request<Body> {
    Request::post(path).body(Body::empty()).unwrap()
}
