//! Files and jobs over HTTP, against the in-memory platform with its faults.

#![allow(clippy::unwrap_used)]

use std::{convert::Infallible, sync::Arc, time::Duration};

use axum::{
    Extension, Router,
    body::{Body, to_bytes},
    http::{Request, StatusCode},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use oleander_core::{ItemIndex, JobId, LotIndex, Revision, Time};
use oleander_document::{Document, Workspace};
use oleander_intake::{JobStore, admin_router, admin_router_with_store, router};
use oleander_jobs::{Counts, ItemError, ItemResult, JobState, LotRecord, Response, key};
use oleander_ledger::Segment;
use oleander_platform::{
    Created, HostListing, Listing, MemoryFaults, MemoryPlatform, Object, ObjectStore, Platform,
    PlatformError, Updated,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task, time,
};
use tower::ServiceExt;

const MAX_BODY: usize = 64 << 20;

struct Desk {
    platform: MemoryPlatform,
    document: Arc<Document>,
}

fn document() -> Document {
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

fn item(id: &str) -> String {
    json!({"custom_id": id, "method": "POST", "url": "/v1/chat/completions",
        "body": {"model": "alarma-llm", "messages": [{"role": "user", "content": "fan 3 stopped"}]}})
    .to_string()
}

fn lines(count: usize) -> String {
    (0..count).map(|i| item(&format!("shed-{i}")) + "\n").collect()
}

impl Desk {
    fn new() -> Self {
        Self { platform: MemoryPlatform::new(), document: Arc::new(document()) }
    }

    fn app(&self, workspace: usize) -> Router {
        let document = Arc::clone(&self.document);
        let workspace: Workspace = self.document.workspaces[workspace].clone();
        router(self.platform.clone(), move || Some(Arc::clone(&document)))
            .layer(Extension(workspace))
    }

    async fn raw(&self, workspace: usize, request: Request<Body>) -> (StatusCode, Bytes) {
        let response = self.app(workspace).oneshot(request).await.unwrap();
        let status = response.status();
        (status, to_bytes(response.into_body(), MAX_BODY).await.unwrap())
    }

    async fn call(&self, request: Request<Body>) -> (StatusCode, Value) {
        let (status, body) = self.raw(0, request).await;
        (status, serde_json::from_slice(&body).unwrap())
    }

    async fn upload(&self, text: &str) -> (StatusCode, Value) {
        self.call(Request::post("/v1/files").body(Body::from(text.to_owned())).unwrap()).await
    }

    async fn submit(&self, file: &str, key: &str, window: &str) -> (StatusCode, Value) {
        let body = json!({"input_file_id": file, "endpoint": "/v1/chat/completions",
            "completion_window": window, "metadata": {"shift": "night"}});
        let request = Request::post("/v1/batches").header("idempotency-key", key);
        self.call(request.body(Body::from(body.to_string())).unwrap()).await
    }

    async fn keys(&self, prefix: &str) -> Vec<String> {
        let listing = self.platform.list(prefix, "", 1000).await.unwrap();
        listing.objects.into_iter().map(|object| object.key).collect()
    }
}

fn get(path: &str) -> Request<Body> {
    Request::get(path).body(Body::empty()).unwrap()
}

fn post(path: &str) -> Request<Body> {
    Request::post(path).body(Body::empty()).unwrap()
}

#[tokio::test]
async fn an_upload_sent_again_is_the_same_file() {
    let desk = Desk::new();
    let (status, first) = desk.upload(&lines(5)).await;
    assert_eq!((status, &first["items"]), (StatusCode::OK, &json!(5)));
    let objects = desk.keys("file/").await;

    let boundary = "b0undary";
    let form = format!(
        "--{boundary}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{boundary}\r\ncontent-disposition: form-data; name=\"file\"; filename=\"a.jsonl\"\r\n\r\n\
         {}\r\n--{boundary}--\r\n",
        lines(5)
    );
    let kind = format!("multipart/form-data; boundary={boundary}");
    let request = Request::post("/v1/files").header("content-type", kind);
    let (status, second) = desk.call(request.body(Body::from(form)).unwrap()).await;
    assert_eq!(status, StatusCode::OK, "{second}");
    assert_eq!(first["id"], second["id"]);
    assert_eq!(objects, desk.keys("file/").await);

    let path = format!("/v1/files/{}/content", first["id"].as_str().unwrap());
    let (status, content) = desk.raw(0, get(&path)).await;
    assert_eq!((status, content), (StatusCode::OK, Bytes::from(lines(5))));
    assert_eq!(desk.raw(1, get(&path)).await.0, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn bad_files_are_refused_and_nothing_counts() {
    let desk = Desk::new();
    let bad = format!("{}nonsense\n{}", lines(1), lines(1));
    let (status, answer) = desk.upload(&bad).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let message = answer["error"]["message"].as_str().unwrap();
    assert!(message.contains("line 2: ") && message.contains("line 3: custom_id"), "{message}");
    assert_eq!(answer["error"]["ran"], "no");

    let (status, answer) = desk.upload(&"x".repeat(3_000_001)).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer["error"]["code"], "too_large");
    let foreign = item("a").replace("alarma-llm", "unknown");
    assert_eq!(desk.upload(&foreign).await.0, StatusCode::BAD_REQUEST);
    assert_eq!(desk.upload("").await.0, StatusCode::BAD_REQUEST);
    assert!(desk.keys("file/pampeanos/record/").await.is_empty());
}

#[tokio::test]
async fn a_body_that_is_too_large_is_answered_over_its_connection() {
    let desk = Desk::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(axum::serve(listener, desk.app(0)).into_future());
    for head in ["content-length: 6000000", "transfer-encoding: chunked"] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head =
            format!("POST /v1/files HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{head}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..60 {
            let piece = if head.contains("chunked") {
                format!("186a0\r\n{}\r\n", "x".repeat(100_000))
            } else {
                "x".repeat(100_000)
            };
            stream.write_all(piece.as_bytes()).await.unwrap();
        }
        if head.contains("chunked") {
            stream.write_all(b"0\r\n\r\n").await.unwrap();
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains("too_large"), "{answer}");
    }
    server.abort();
}

#[tokio::test(start_paused = true)]
async fn a_body_that_never_ends_is_given_up() {
    let desk = Desk::new();
    let stalled = stream::iter([Ok::<_, Infallible>(lines(1))]).chain(stream::pending());
    let request = Request::post("/v1/files").body(Body::from_stream(stalled)).unwrap();
    assert_eq!(desk.raw(0, request).await.0, StatusCode::REQUEST_TIMEOUT);
    let slow = stream::unfold((), |()| async {
        time::sleep(Duration::from_secs(9)).await;
        Some((Ok::<_, Infallible>(" "), ()))
    });
    let request = Request::post("/v1/files").body(Body::from_stream(slow)).unwrap();
    assert_eq!(desk.raw(0, request).await.0, StatusCode::REQUEST_TIMEOUT);
}

#[tokio::test]
async fn a_job_sent_again_is_the_same_job() {
    let desk = Desk::new();
    let (_, file) = desk.upload(&lines(5)).await;
    let file = file["id"].as_str().unwrap();
    let (status, first) = desk.submit(file, "night-1", "24h").await;
    assert_eq!(status, StatusCode::OK, "{first}");
    assert_eq!(first["request_counts"], json!({"total": 5, "completed": 0, "failed": 0}));
    let (_, second) = desk.submit(file, "night-1", "24h").await;
    assert_eq!(first, second);
    assert_eq!(desk.submit(file, "night-1", "12h").await.0, StatusCode::CONFLICT);
    assert_eq!(desk.keys("job/").await.len(), 1);
    assert_eq!(desk.keys("open/").await.len(), 1);

    let path = format!("/v1/batches/{}", first["id"].as_str().unwrap());
    assert_eq!(desk.raw(1, get(&path)).await.0, StatusCode::NOT_FOUND);
    assert_eq!(desk.raw(1, post(&format!("{path}/cancel"))).await.0, StatusCode::NOT_FOUND);
    assert_eq!(desk.call(get("/v1/batches")).await.1["data"][0]["id"], first["id"]);
    let (_, others) = desk.raw(1, get("/v1/batches")).await;
    assert_eq!(serde_json::from_slice::<Value>(&others).unwrap()["data"], json!([]));
    assert_eq!(desk.submit("file-none", "night-2", "24h").await.0, StatusCode::NOT_FOUND);
    assert_eq!(desk.submit(file, "night-3", "forever").await.0, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn lost_answers_and_racing_resends_make_one_job() {
    let desk = Desk::new();
    let (_, file) = desk.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap();
    desk.platform.set_faults(MemoryFaults {
        down: false,
        lost_responses: 3,
        ..MemoryFaults::default()
    });
    let (a, b) = tokio::join!(desk.submit(file, "k", "1h"), desk.submit(file, "k", "1h"));
    assert_eq!((a.0, b.0), (StatusCode::OK, StatusCode::OK));
    assert_eq!(a.1["id"], b.1["id"]);
    assert_eq!(desk.keys("job/").await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_platform_that_is_down_is_said_so() {
    let desk = Desk::new();
    let (_, file) = desk.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap();
    desk.platform.set_faults(MemoryFaults {
        down: true,
        lost_responses: 0,
        ..MemoryFaults::default()
    });
    let (status, answer) = desk.submit(file, "k", "1h").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer["error"]["ran"], "no");
    assert!(answer["error"]["retry_after_ms"].as_u64().unwrap() > 0);
    assert_eq!(desk.upload(&lines(2)).await.0, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test(start_paused = true)]
async fn a_submission_that_may_have_taken_effect_is_not_said_to_have_failed() {
    let desk = Desk::new();
    let (_, file) = desk.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap().to_owned();
    desk.platform.set_faults(MemoryFaults {
        down: false,
        lost_responses: 1_000,
        ..MemoryFaults::default()
    });
    let (status, answer) = desk.submit(&file, "k", "1h").await;
    // Each create is repeated and then meets its own write.
    assert_eq!(status, StatusCode::OK, "{answer}");
    let job = answer["id"].as_str().unwrap().to_owned();
    let (status, answer) = desk.call(post(&format!("/v1/batches/{job}/cancel"))).await;
    assert_eq!((status, &answer["status"]), (StatusCode::OK, &json!("cancelled")));
}

#[tokio::test]
async fn a_cancel_is_notified_once_it_is_confirmed() {
    let desk = Desk::new();
    let (_, file) = desk.upload(&lines(3)).await;
    let (_, job) = desk.submit(file["id"].as_str().unwrap(), "k", "1h").await;
    let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
    let (sender, mut notices) = mpsc::channel(4);
    let store = JobStore::new(desk.platform.clone()).notify_cancelled(sender);
    let request = post(&format!("/admin/jobs/{id}/cancel"));
    let response = admin_router_with_store(store.clone()).oneshot(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(notices.try_recv(), Ok(id));
    let (_, job) = desk.submit(file["id"].as_str().unwrap(), "k2", "1h").await;
    let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
    store.complete(&id, Counts { completed: 3, failed: 0 }, Time(1)).await.unwrap();
    assert_eq!(store.cancel(&id, Time(2)).await.unwrap().unwrap().state, JobState::Completed);
    assert!(notices.try_recv().is_err());
}

/// A platform that lets other tasks run before each call, so that calls interleave.
#[derive(Debug, Clone)]
struct Interleaved(MemoryPlatform);

impl ObjectStore for Interleaved {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        task::yield_now().await;
        self.0.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        task::yield_now().await;
        self.0.create(key, body).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        task::yield_now().await;
        self.0.update(key, body, expected).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.0.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.0.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.0.changed(prefix, from).await
    }
}

impl Platform for Interleaved {
    async fn hosts(&self) -> Result<HostListing, PlatformError> {
        self.0.hosts().await
    }
}

#[tokio::test]
async fn cancel_and_completion_have_one_outcome() {
    let desk = Desk::new();
    let (_, file) = desk.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap();
    let mut ends = Vec::new();
    for round in 0..20 {
        let (_, job) = desk.submit(file, &format!("k{round}"), "1h").await;
        let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
        let counts = Counts { completed: 3, failed: 0 };
        let store = JobStore::new(Interleaved(desk.platform.clone()));
        let lost_responses = round % 3;
        desk.platform.set_faults(MemoryFaults { lost_responses, ..MemoryFaults::default() });
        let cancel = async {
            for _ in 0..round % 5 {
                task::yield_now().await;
            }
            store.cancel(&id, Time(1)).await.unwrap().unwrap()
        };
        let complete = store.complete(&id, counts, Time(1));
        let (cancelled, completed) = tokio::join!(cancel, complete);
        let end = store.job(&id).await.unwrap().unwrap().1;
        assert_eq!((&cancelled, &completed.unwrap().unwrap()), (&end, &end));
        assert_ne!(end.state, JobState::Open);
        let (status, _) = desk.call(post(&format!("/v1/batches/{id}/cancel"))).await;
        assert_eq!(status == StatusCode::CONFLICT, end.state == JobState::Completed);
        ends.push(end.state);
    }
    assert!(ends.contains(&JobState::Cancelled) && ends.contains(&JobState::Completed));
}

#[tokio::test]
async fn output_has_the_first_outcome_of_each_item() {
    let desk = Desk::new();
    let (_, file) = desk.upload(&lines(3)).await;
    let (_, job) = desk.submit(file["id"].as_str().unwrap(), "k", "1h").await;
    let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
    let answer = |text: &str| {
        let body = json!({"text": text}).to_string();
        ItemResult::Response(Response { status: 200, request: "r1".to_owned(), body })
    };
    let outcome = |item, result| LotRecord::Outcome { item: ItemIndex(item), result };
    let failed = ItemResult::failed(ItemError::TargetLost, 3);
    let records = [
        (0, 0, vec![outcome(1, answer("one")), outcome(1, answer("twice"))]),
        (0, 1, vec![outcome(0, answer("zero")), outcome(1, answer("thrice"))]),
        (1, 0, vec![outcome(2, failed)]),
    ];
    for (lot, sequence, records) in records {
        let (writer, attempt) = ("batch-1".parse().unwrap(), "batch-1:1".parse().unwrap());
        let segment = Segment { writer, attempt, records };
        let key = key::segment(&id, LotIndex(lot), sequence);
        desk.platform.create(&key, Bytes::from(segment.encode().unwrap())).await.unwrap();
    }
    for (lot, counts) in [(0, (2, 0)), (1, (0, 1))] {
        let counts = Counts { completed: counts.0, failed: counts.1 };
        let key = key::closed_lot(&id, LotIndex(lot), counts);
        desk.platform.create(&key, Bytes::new()).await.unwrap();
    }
    let (_, job) = desk.call(get(&format!("/v1/batches/{id}"))).await;
    assert_eq!(job["request_counts"], json!({"total": 3, "completed": 2, "failed": 1}));
    let output = job["output_file_id"].as_str().unwrap();
    let (status, content) = desk.raw(0, get(&format!("/v1/files/{output}/content"))).await;
    assert_eq!(status, StatusCode::OK);
    let rows: Vec<Value> = std::str::from_utf8(&content)
        .unwrap()
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let names: Vec<&str> = rows.iter().map(|row| row["custom_id"].as_str().unwrap()).collect();
    assert_eq!(names, ["shed-1", "shed-0", "shed-2"]);
    assert_eq!(rows[0]["response"]["body"]["text"], "one");
    assert_eq!(rows[2]["error"]["code"], "target_lost");
    assert_eq!(desk.raw(1, get(&format!("/v1/files/{output}"))).await.0, StatusCode::NOT_FOUND);

    let admin = admin_router(desk.platform.clone());
    let response = admin.oneshot(get("/admin/jobs")).await.unwrap();
    let body = to_bytes(response.into_body(), MAX_BODY).await.unwrap();
    let jobs: Value = serde_json::from_slice(&body).unwrap();
    let expected = json!({"id": id, "workspace": "pampeanos", "state": "open", "total": 3,
        "completed": 2, "failed": 1});
    assert_eq!(jobs["jobs"], json!([expected]));
}
